"""Execution of one soak run."""

import asyncio
import contextlib
import json
import random
import signal
import socket
import time
from collections.abc import AsyncIterator
from pathlib import Path

from laburnumrock.platform.soak._callers import Caller
from laburnumrock.platform.soak._faults import apply_step
from laburnumrock.platform.soak._findings import Findings
from laburnumrock.platform.soak._operator import Operator, call_core
from laburnumrock.platform.soak._schedule import CORES, make_schedule
from laburnumrock.platform.soak._state import ZONES, Node, RunState, SoakSettings
from laburnumrock.platform.soak._upstreams import HEARTBEAT_S, Upstream
from laburnumrock.scenarios import ManagedProcess, find_free_ports
from laburnumrock.standins import FaultyProxy

START_TIMEOUT_S = 20.0
FINAL_FAULT_FREE_S = 9.0
"""Time without new faults at the end of a run.

The platform requires service to resume within 12 s.
"""
RELEASE_WAIT_S = 4.5
"""Time after the last request within which all reservations must be released."""
NETWORKS = 200
"""Number of loopback networks among which a run chooses."""
CLAIM_PORT = 9_099
"""Port, unused by nodes, that a run binds on the first address of its network to claim it."""


def run_soak(settings: SoakSettings) -> Findings:
    """Run the processes under the faults of a seed, and return the findings.

    Notes
    -----
    Signals go only to processes that this function started, by process id.
    """
    return asyncio.run(_run(RunState(settings)))


async def _run(soak: RunState) -> Findings:
    rng = random.Random(soak.settings.seed)
    async with open_deployment(soak, rng):
        callers = await _run_schedule(soak, rng)
        await _check_final_state(soak, callers)
    return soak.findings


@contextlib.asynccontextmanager
async def open_deployment(soak: RunState, rng: random.Random) -> AsyncIterator[None]:
    """Start the processes and upstreams of a run, and end them on exit."""
    soak.ports = _find_free_ports(6)
    claim = _claim_network(soak)
    try:
        _make_nodes(soak)
        _make_upstreams(soak, rng)
        await _start_all(soak, rng)
        yield
    finally:
        for node in soak.nodes.values():
            node.process.send(signal.SIGCONT)
            node.process.kill()
            node.proxy.close()
        for task in list(soak.tasks):
            task.cancel()
        claim.close()


def _make_nodes(soak: RunState) -> None:
    front, control, target, bind, _, ready = soak.ports
    cores = [f"{soak.network}.{10 + number}" for number in range(CORES)]
    entries = [f"{soak.network}.{20 + number}" for number in range(soak.settings.entries)]
    for kind, hosts in (("core", cores), ("entry", entries)):
        for number, host in enumerate(hosts):
            name = f"{kind}{number}"
            folder = soak.settings.folder / name
            folder.mkdir(parents=True)
            listen = {"control": f"{host}:{control}"}
            if kind == "entry":
                listen = {"front": f"{host}:{front}", "readiness_address": f"{host}:{ready}"}
            document = {
                "ip": host,
                "zone": ZONES[number % len(ZONES)],
                "port_range": [target, target + 1],
                "peer_bind_port": bind,
                "seeds": [f"{core}:{control}" for core in cores],
                "bootstrap": True,
                "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "listen": listen,
                "bounds": {
                    "grace_s": 8,
                    "retry_ratio": 0.2,
                    "retry_window_s": 10,
                    "retry_slack": 200,
                },
            }
            if kind == "core":
                document["data_dir"] = str(folder / "data")
            _write_settings(folder, document)
            process = ManagedProcess(
                name,
                ["-m", "laburnumrock.platform", kind],
                folder / "log.txt",
                folder / "data" if kind == "core" else None,
                variables={"LABURNUMROCK_CONFIG": str(folder / "settings.toml")},
            )
            proxy = FaultyProxy(host, target, bind)
            soak.nodes[name] = Node(name, host, kind, process, proxy)


def _write_settings(folder: Path, document: dict) -> None:
    lines = [f"{key} = {json.dumps(document[key])}" for key in document if key not in TOML_TABLES]
    for table in TOML_TABLES:
        lines.append(f"[{table}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in document[table].items()]
    (folder / "settings.toml").write_text("\n".join(lines) + "\n", encoding="utf-8")


TOML_TABLES = ("listen", "bounds")


def _make_upstreams(soak: RunState, rng: random.Random) -> None:
    host = f"{soak.network}.90"
    names = [f"engine{number}" for number in range(soak.settings.engines)]
    names += [f"server{number}" for number in range(soak.settings.servers)]
    ports = _find_free_ports(2 * len(names))
    for number, name in enumerate(names):
        service = "llm" if name.startswith("engine") else "app"
        port, proxy_port = ports[2 * number : 2 * number + 2]
        soak.upstreams[name] = Upstream(
            name,
            service,
            ZONES[number % len(ZONES)],
            host,
            port,
            FaultyProxy(host, proxy_port, port),
            soak.findings,
            soak.tracker,
            random.Random(rng.random()),
        )


async def _start_all(soak: RunState, rng: random.Random) -> None:
    for node in soak.nodes.values():
        await node.proxy.start()
        node.process.start()
    for upstream in soak.upstreams.values():
        await upstream.start()
        soak.start_task(_send_heartbeats(soak, upstream, random.Random(rng.random())))
    cores = [node for node in soak.nodes.values() if node.role == "core"]
    addresses = [(core.host, soak.ports[1]) for core in cores]
    soak.operator = Operator(addresses, soak.findings, random.Random(rng.random()))
    soak.tracker.sent.add("probe")
    async with asyncio.timeout(START_TIMEOUT_S):
        while not soak.operator.acknowledged_version:
            await soak.operator.change_routes()
    for core in cores:
        settings = soak.settings.folder / core.name / "settings.toml"
        text = settings.read_text(encoding="utf-8")
        settings.write_text(text.replace("bootstrap = true", "bootstrap = false"), encoding="utf-8")
    await asyncio.sleep(2.5)


async def _send_heartbeats(soak: RunState, upstream: Upstream, rng: random.Random) -> None:
    """Send heartbeats at intervals, each to up to two random cores until one acknowledges it."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        if upstream.mode in ("down", "left"):
            continue
        state = upstream.state
        body = json.dumps(upstream.make_heartbeat()).encode()
        path = f"/laburnumrock/instances/{upstream.upstream_id}"
        for host, port in rng.sample(soak.operator.cores, 2):
            try:
                status, _ = await call_core(host, port, "PUT", path, body)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
            if status == 200:
                if state == "draining" and upstream.drain_acknowledged_s == float("inf"):
                    upstream.drain_acknowledged_s = time.monotonic()
                break


def start_callers(soak: RunState, rng: random.Random, until_s: float) -> list[Caller]:
    """Start the callers of a run, which send requests until a time of the monotonic clock."""
    entries = [node for node in soak.nodes.values() if node.role == "entry"]
    addresses = [(entry.host, soak.ports[0]) for entry in entries]
    callers = []
    for number in range(soak.settings.callers):
        caller_rng = random.Random(rng.random())
        caller = Caller(
            number,
            addresses,
            soak.findings,
            soak.tracker,
            caller_rng,
            soak.rejected_ids,
            soak.stopping,
        )
        callers.append(caller)
        soak.start_task(caller.run(until_s))
    return callers


async def _run_schedule(soak: RunState, rng: random.Random) -> list[Caller]:
    settings = soak.settings
    started_s = time.monotonic()
    until_s = started_s + settings.length_s + FINAL_FAULT_FREE_S
    callers = start_callers(soak, rng, until_s)
    soak.start_task(_monitor(soak, until_s))
    for step in make_schedule(settings.seed, settings.length_s):
        await asyncio.sleep(max(0.0, started_s + step.at_s - time.monotonic()))
        soak.start_task(apply_step(soak, step))
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))
    return callers


async def _monitor(soak: RunState, until_s: float) -> None:
    """Check the route configuration, and restart processes that exit unexpectedly."""
    while time.monotonic() < until_s:
        await soak.operator.check_routes()
        for node in soak.nodes.values():
            expected = node.killed or node.graceful_stop
            if not node.process.is_running and not expected:
                status = node.process.process.returncode
                soak.findings.report("no unexpected exits", f"{node.name} exited with {status}")
                node.process.start()
        await asyncio.sleep(0.3)


async def _check_final_state(soak: RunState, callers: list[Caller]) -> None:
    for caller in callers:
        caller.close()
    version = await soak.operator.check_routes()
    if version is None:
        await asyncio.sleep(1.0)
        version = await soak.operator.check_routes()
    if version is None or version < soak.operator.acknowledged_version:
        detail = f"{version}, acknowledged {soak.operator.acknowledged_version}"
        soak.findings.report("acknowledged versions are not lost", detail)
    await asyncio.sleep(RELEASE_WAIT_S)
    for upstream in soak.upstreams.values():
        for name in upstream.list_active_reservations():
            soak.findings.report("reservations are released", f"{name} on {upstream.name}")
    check_runs(soak)


def check_runs(soak: RunState) -> None:
    """Check that requests ran as often as they may, and not after they were rejected."""
    runs = soak.tracker.runs
    for name in sorted(soak.rejected_ids):
        if runs.get(name, 0):
            soak.findings.report("rejected requests do not run", f"{name} was rejected and has run")
    for name in sorted(soak.tracker.once):
        if runs.get(name, 0) > 1:
            soak.findings.report("at most once", f"{name} ran {runs[name]} times")
    if not soak.findings.counts["stream 200"] or not soak.findings.counts["once 200"]:
        soak.findings.report("service", "no stream request or no non-idempotent request succeeded")


def _claim_network(soak: RunState) -> socket.socket:
    """Claim a loopback network for a run, and return the bound socket that holds the claim.

    Notes
    -----
    All nodes serve metrics on the same port, so concurrent runs of one seed need different
    addresses.
    """
    for number in range(NETWORKS):
        soak.network = f"127.{1 + (soak.settings.seed + number) % NETWORKS}.0"
        claim = socket.socket()
        try:
            claim.bind((f"{soak.network}.1", CLAIM_PORT))
        except OSError:
            claim.close()
        else:
            return claim
    raise OSError("all loopback networks are in use by other runs")


def _find_free_ports(count: int) -> list[int]:
    """Return port numbers that are free on all loopback addresses; cases of reviews use it too."""
    return find_free_ports(count, "")
