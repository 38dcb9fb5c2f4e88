"""Tests of changes that take away what a request in progress holds, at every stage of a request."""

import asyncio
import contextlib
import json
import os
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import eliot
import pytest

from laburnumrock.dispatch import UpstreamState
from laburnumrock.forwarding import ForwardingSettings
from laburnumrock.forwarding.tests.scripted import ScriptedUpstream, answer
from laburnumrock.nodes.tests.deployment import (
    CORES,
    WAIT_S,
    Deployment,
    make_report,
    open_deployment,
    wait_until,
    waits,
)
from laburnumrock.nodes.tests.stages import STAGES, Phase, Trial
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform.tests.samples import CONFIG

ENGINE = CONFIG["services"][0]["engine"]
ERROR_LINES = ("run_failed", "attempt_raised", "handler_failed", "periodic_work_failed")
RELEASE_SPREAD_S, RELEASE_AFTER_SHARE = 0.1, 0.5
"""Time over which requests are released beside the change, and the share that is released once the
change is in force."""
SEEDS = [int(seed) for seed in os.environ.get("CHANGES_SEEDS", "1").split(",")]
FORWARD = ForwardingSettings(first_event_timeout_s=0.1)
REFUSED = frozenset({"200", "429", "503"})


class Bench:
    """Nodes, upstreams and the requests that are held at their stages.

    Parameters
    ----------
    deployment : Deployment
        Cores and an entry.
    seed : int
        Seed of the services that have an engine model, and of the times of the releases.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.trials = {name: Trial(deployment, stage) for name, stage in STAGES.items()}
        self.spare = ScriptedUpstream(answer())
        self.config = make_stage_config(self.rng)
        self.version = 0

    async def store(self) -> None:
        """Store the config as the next version."""
        self.version += 1
        self.config["version"] = self.version
        document = json.dumps(self.config).encode()
        routes = decode_routes(document).unwrap()
        leader = self.deployment.leader()
        assert (await leader.changes.store_routes(routes, document)).is_ok()

    async def start(self) -> None:
        """Start the upstreams, and wait until the entry knows them and the routes."""
        await self.store()
        await self.spare.start()
        leader = self.deployment.leader()
        values = {"upstream_id": "u-spare", "service": "spare", "failure_domain": "b"}
        await leader.observe_upstream(make_report(self.spare.port, **values))
        for trial in self.trials.values():
            trial.others.append(self.spare)
            for number, upstream in enumerate(trial.upstreams):
                await upstream.start()
                await self.report(trial, number)
        entry = self.deployment.entry
        count = 1 + sum(len(trial.upstreams) for trial in self.trials.values())
        await wait_until(lambda: len(entry.directory.records) == count)
        await wait_until(lambda: entry.is_ready and entry.leader is not None)

    async def report(self, trial: Trial, number: int, **values) -> None:
        """Let the leader know an upstream of a request."""
        fields = {
            "upstream_id": f"u-{trial.stage.name}-{number}",
            "service": trial.service,
            "slots": trial.stage.slots,
            **values,
        }
        report = make_report(trial.upstreams[number].port, **fields)
        await self.deployment.leader().observe_upstream(report)

    async def report_all(self, **values) -> None:
        """Report a change of all upstreams but the spare one."""
        for trial in self.trials.values():
            for number in range(len(trial.upstreams)):
                await self.report(trial, number, **values)

    def count_usable(self) -> int:
        """Return how many upstreams the entry may use, without the spare one."""
        directory = self.deployment.entry.directory
        return sum(len(directory.usable(trial.service, 0.0)) for trial in self.trials.values())


def make_stage_config(rng: random.Random) -> dict:
    """Return a config with a route and a service for each stage, and a spare service."""
    routes = [
        {
            "name": f"r-{stage.name}",
            "hostname": "a.example",
            "path_prefix": f"/{stage.name}/",
            "type": stage.kind,
            "timeout_ms": 12000,
            "latency_goal_ms": 2000,
            "gap_target_ms": 200,
            "service": f"s-{stage.name}",
            "max_attempts": 1 if stage.kind == "non_idempotent" else 2,
            "resumable": True,
        }
        for stage in STAGES.values()
    ]
    services = [{"name": "spare"}]
    for name in STAGES:
        service = {"name": f"s-{name}", "max_conns": 100}
        services.append(service if rng.random() < 0.5 else {**service, "engine": ENGINE})
    tenants = [{"name": "one", "api_keys": ["k1", "k2"], "priority": 1}]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "idle_timeout_ms": 15000}
    return {"routes": routes, "services": services, "limits": limits, "tenants": tenants}


@dataclass(frozen=True, slots=True)
class Change:
    """Change that may take away what a request holds.

    Parameters
    ----------
    apply : callable
        Applies the change, and returns once it is in force at the entry.
    early : frozenset of str
        What callers of requests may get that the entry has not admitted before the change.
    unplaced : frozenset of str
        The same for admitted requests that need another placement.
    """

    apply: Callable[[Bench], Awaitable[None]]
    early: frozenset[str]
    unplaced: frozenset[str]

    def find_allowed(self, phase: Phase) -> frozenset[str]:
        """Return what the caller of a request in a phase may get."""
        by_phase = {Phase.EARLY: self.early, Phase.UNPLACED: self.unplaced}
        return by_phase.get(phase, frozenset({"200"}))


CHANGES: dict[str, Change] = {}


def register_config(*early: str):
    """Register a function that changes a config; `early` are further statuses it may cause."""

    def register(edit):
        async def apply(bench: Bench) -> None:
            edit(bench.config)
            await bench.store()
            entry = bench.deployment.entry
            await wait_until(lambda: entry.routes_version == bench.version)

        CHANGES[edit.__name__] = Change(apply, frozenset({"200", *early}), frozenset({"200"}))
        return edit

    return register


def register_upstreams(apply):
    """Register a change of the upstreams, after which their services have none."""
    CHANGES[apply.__name__] = Change(apply, REFUSED, REFUSED | {"cut"})
    return apply


@register_config()
def move_routes(config: dict) -> None:
    for route in config["routes"]:
        route["service"] = "spare"


@register_config("404")
def remove_routes(config: dict) -> None:
    config["routes"] = []


@register_config("404")
def remove_routes_and_services(config: dict) -> None:
    config["routes"] = []
    config["services"] = []


@register_config()
def remove_services(config: dict) -> None:
    move_routes(config)
    del config["services"][1:]


@register_config()
def change_weights(config: dict) -> None:
    for route in config["routes"]:
        old = {"service": route.pop("service"), "weight": 0}
        route["backends"] = [old, {"service": "spare", "weight": 1}]


@register_config()
def shorten_timeouts(config: dict) -> None:
    for route in config["routes"]:
        route["timeout_ms"] = 6000
        route["latency_goal_ms"] = 50


@register_config()
def change_kinds(config: dict) -> None:
    swapped = {"non_idempotent": "idempotent", "idempotent": "non_idempotent"}
    for route in config["routes"]:
        route["type"] = swapped.get(route["type"], route["type"])
        route["max_attempts"] = 1
        route["resumable"] = False


@register_config()
def change_engine_models(config: dict) -> None:
    for number, service in enumerate(config["services"][1:]):
        service["max_conns"] = 1
        if "engine" not in service:
            service["engine"] = ENGINE
        elif number % 2:
            del service["engine"]
        else:
            service["engine"] = {**ENGINE, "slots": 1, "kv_capacity": 200, "chunk": 16}


@register_config("401")
def remove_tenants(config: dict) -> None:
    config["tenants"] = []


@register_config("401")
def remove_keys(config: dict) -> None:
    config["tenants"][0]["api_keys"] = ["k2"]


@register_config()
def change_priorities(config: dict) -> None:
    config["tenants"][0]["priority"] = 9
    for route in config["routes"]:
        route["priority"] = 9


@register_config()
def shorten_idle_timeout(config: dict) -> None:
    config["limits"]["idle_timeout_ms"] = 1


@register_config("413")
def lower_limits(config: dict) -> None:
    config["limits"] = {"max_header_bytes": 16, "max_body_bytes": 1, "header_timeout_ms": 1}


@register_upstreams
async def evacuate(bench: Bench) -> None:
    leader = bench.deployment.leader()
    assert (await leader.changes.set_drain("a", True, waits)).is_ok()
    await wait_until(lambda: bench.deployment.entry.drained == {"a"})


@register_upstreams
async def drain_upstreams(bench: Bench) -> None:
    await bench.report_all(sequence=2, state=UpstreamState.DRAINING)
    await wait_until(lambda: not bench.count_usable())


@register_upstreams
async def remove_upstreams(bench: Bench) -> None:
    leader = bench.deployment.leader()
    for name in list(leader.directory.records):
        if name != "u-spare":
            await leader.remove_upstream(name)
    await wait_until(lambda: not bench.count_usable())


@register_upstreams
async def forget_upstreams(bench: Bench) -> None:
    leader = bench.deployment.leader()
    for name in list(leader.directory.records):
        if name != "u-spare":
            leader.directory.delete_record(name)
            leader.dispatcher.fleet.forget(name)
    await wait_until(lambda: not bench.count_usable())


@register_upstreams
async def reuse_addresses(bench: Bench) -> None:
    for trial in bench.trials.values():
        for number in range(len(trial.upstreams)):
            values = {"upstream_id": f"v-{trial.stage.name}-{number}", "service": "spare"}
            await bench.report(trial, number, incarnation=2, failure_domain="c", **values)
    await wait_until(lambda: not bench.count_usable())


@register_upstreams
async def move_upstreams_to_another_service(bench: Bench) -> None:
    await bench.report_all(sequence=2, service="spare")
    await wait_until(lambda: not bench.count_usable())


@register_upstreams
async def restart_upstreams(bench: Bench) -> None:
    await bench.report_all(incarnation=2, slots=0)
    records = bench.deployment.entry.directory.records
    await wait_until(
        lambda: all(
            name == "u-spare" or record.report.incarnation == 2 for name, record in records.items()
        )
    )


@contextlib.contextmanager
def record_errors():
    """Yield the log lines of unexpected errors."""
    lines = []

    def record(message: dict) -> None:
        if message.get("message_type") in ERROR_LINES:
            lines.append(message)

    eliot.add_destinations(record)
    try:
        yield lines
    finally:
        eliot.remove_destination(record)


async def hold_and_change(bench: Bench, change: Change) -> dict[str, str]:
    """Hold a request at each stage, apply a change, release them and return what callers got."""
    holds = {name: trial.stage.hold(trial) for name, trial in bench.trials.items()}

    async def reach(name: str) -> None:
        try:
            async with asyncio.timeout(WAIT_S):
                await holds[name].__aenter__()
        except TimeoutError as error:
            raise AssertionError(f"a request does not reach the stage {name}") from error

    await asyncio.gather(*(reach(name) for name in holds if not STAGES[name].is_last))
    for name in holds:
        if STAGES[name].is_last:
            await reach(name)
    applied = asyncio.create_task(change.apply(bench))
    delays = {name: bench.rng.uniform(0.0, RELEASE_SPREAD_S) for name in holds}

    async def release(name: str) -> str:
        if bench.rng.random() < RELEASE_AFTER_SHARE:
            await asyncio.shield(applied)
        else:
            await asyncio.sleep(delays[name])
        await holds[name].__aexit__(None, None, None)
        return await bench.trials[name].read()

    outcomes = await asyncio.gather(*map(release, holds))
    await applied
    return dict(zip(holds, outcomes, strict=True))


class TestChanges:
    @pytest.mark.parametrize("name", CHANGES)
    @pytest.mark.parametrize("seed", SEEDS)
    def test_request_in_progress_gets_its_answer(self, name, seed, tmp_path, monkeypatch):
        """Guards against a change that leaves a whole request without an answer or refusal, or
        that ends or refuses one which has run.
        """
        change = CHANGES[name]
        # On a busy machine these limits pass before the change is in force.
        monkeypatch.setattr("laburnumrock.nodes._entry.PLACE_TIMEOUT_S", 2.0)
        monkeypatch.setattr("laburnumrock.nodes._entry.MAX_PLACE_TIMEOUT_S", 2.0)
        monkeypatch.setattr("laburnumrock.forwarding._reservations.CALL_TIMEOUT_S", 5.0)
        monkeypatch.setattr("laburnumrock.forwarding._attempt.MAX_PLACEMENT_AGE_S", 10.0)

        async def run():
            # A single core loses its leadership to no other one on a busy machine.
            async with open_deployment(tmp_path, CORES[:1], forward=FORWARD) as deployment:
                bench = Bench(deployment, seed)
                await bench.start()
                try:
                    outcomes = await hold_and_change(bench, change)
                finally:
                    for trial in bench.trials.values():
                        trial.close()
                runs = {name: trial.count_runs() for name, trial in bench.trials.items()}
                return outcomes, runs

        with record_errors() as errors:
            outcomes, runs = asyncio.run(run())
        wrong = {
            name: outcome
            for name, outcome in outcomes.items()
            if outcome not in change.find_allowed(STAGES[name].phase)
        }
        assert (wrong, errors) == ({}, [])
        for name, count in runs.items():
            assert count <= (1 if STAGES[name].kind == "non_idempotent" else 2), (name, count)
            if outcomes[name] in ("429", "503", "408", "421"):
                assert count == 0, (name, outcomes[name])
