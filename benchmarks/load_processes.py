"""Compare the naive policy with the default one through real processes under the same load.

Run with ``python benchmarks/load_processes.py [--out FOLDER] [--seed N]``. One deployment per
policy runs on loopback: 2 failure domains with 2 instances, 3 emulated engines and 1 application
engine each, and a balancer. Every point sends the same seeded calls with the load tool. Capacity is
the ideal rate at which prefills alone keep all engines busy. The slowdown of a request is its total
time over the model time of an idle engine, divided by the median of this ratio in an unloaded run.
The figures depend on the machine, whose load average is recorded.
"""

import argparse
import asyncio
import json
import os
import tempfile
import time
from pathlib import Path

from process_figures import (
    MODEL_DECODE_STEP_S,
    PREFILL_TOKENS_PER_S,
    median_ratio,
    plot_points,
    print_points,
    read_records,
    summarize_point,
)

from laburnumrock.scenarios import DeploymentPlan, ProcessGroup, request_json, run_deployment
from laburnumrock.standins import (
    AccountProfile,
    ClassProfile,
    LoadProfile,
    ServiceProfile,
    plan_calls,
    run_load,
)

POLICIES = ("round_robin", "length_aware")
LOADS = (0.5, 0.8, 0.95, 1.2)
OUTAGE_LOAD = 0.5
ENGINES_PER_DOMAIN = 3
DOMAINS = ("a", "b")
DRAINED_DOMAIN = "b"
POINT_S = 15.0
# Also opens the cold-start gates of the pools, which start with one permit per engine.
WARM_UP_S = 8.0
WARM_UP_LOAD = 0.4
UNLOADED_RATE = 2.0
DRAIN_AT_S = 4.0
RESTORE_AT_S = 10.0
# A drained failure domain gets no new work after this time; its running requests end within it.
SETTLE_S = 4.0
# Permits and reservations of ended requests are given back within this time.
RELEASE_S = 3.0
READY_TIMEOUT_S = 30.0
IN_FORCE_TIMEOUT_S = 10.0

ACCOUNTS = [
    AccountProfile(name="skylight", callers=50, weight=3.0),
    AccountProfile(name="archives", callers=50, weight=1.0),
]
SHORT = ClassProfile(
    name="short", min_tokens=1_000, max_tokens=8_000, timeout_s=6.0, weight=88.0, max_output=48
)
CLASSES = [
    SHORT,
    ClassProfile(
        name="medium",
        min_tokens=8_001,
        max_tokens=100_000,
        timeout_s=15.0,
        weight=10.0,
        max_output=48,
    ),
    ClassProfile(
        name="long",
        min_tokens=100_001,
        max_tokens=300_000,
        timeout_s=40.0,
        weight=2.0,
        max_output=48,
    ),
]
ORDERS = ServiceProfile(service="orders", path="place")
MIX = LoadProfile(
    accounts=ACCOUNTS, classes=CLASSES, services=[ORDERS], service_share=0.05, resend_share=0.3
)
SHORT_ONLY = LoadProfile(accounts=ACCOUNTS, classes=[SHORT])


def find_rate(load: float, seed: int) -> float:
    """Return the calls per second that use `load` of the ideal capacity."""
    sample = plan_calls(MIX, 1_000.0, 20.0, seed)
    mean_s = sum(call.prompt_tokens for call in sample) / len(sample) / PREFILL_TOKENS_PER_S
    return load * ENGINES_PER_DOMAIN * len(DOMAINS) / mean_s


def declare(group: ProcessGroup, request_id: str, changes: list[dict[str, object]]) -> float:
    """Submit changes and return after how many seconds they were in force everywhere."""
    deployment = group.deployment
    revision = deployment.call_operator_api("declarations").json()["revision"]
    body = {"request_id": request_id, "base_revision": revision, "changes": changes}
    answer = deployment.call_operator_api("changes", body)
    if answer.status != 200:
        raise RuntimeError(f"{request_id}: status {answer.status} {answer.body!r}")
    revision = answer.json()["revision"]

    def is_in_force() -> bool:
        answer = deployment.call_operator_api(f"in-force?revision={revision}")
        return answer.status == 200 and answer.json()["in_force"]

    return group.wait_for(is_in_force, IN_FORCE_TIMEOUT_S, f"revision {revision} in force")


def declare_templates(group: ProcessGroup) -> None:
    """Declare the accounts without limits that bind, and the orders service."""
    limits = {"requests_per_s": 1e4, "tokens_per_s": 1e9, "concurrency": 10_000}
    deadlines = {"short_s": 60.0, "medium_s": 60.0, "long_s": 60.0}
    declarations = [
        {
            "type": "template",
            "client_account": account.name,
            "model": "quote",
            "limits": limits,
            "deadlines": deadlines,
            "max_output_tokens": 1_000,
        }
        for account in ACCOUNTS
    ]
    path = {"path": ORDERS.path, "repeatable": False}
    declarations.append(
        {"type": "service", "name": ORDERS.service, "paths": [path], "timeout_s": 10.0}
    )
    changes = [{"action": "put", "declaration": one} for one in declarations]
    declare(group, "templates", changes)


def set_domain(group: ProcessGroup, state: str) -> float:
    """Drain or restore the failure domain; returns the time until it is in force."""
    declaration = {
        "type": "service_state",
        "kind": "failure_domain",
        "name": DRAINED_DOMAIN,
        "state": state,
    }
    return declare(group, f"{state}-1", [{"action": "put", "declaration": declaration}])


def read_engines(group: ProcessGroup, failure_domain: str | None = None) -> list[dict]:
    """Return the present load of the engines."""
    upstreams = group.deployment.upstreams.values()
    return [
        request_json(f"{one.url}/v1/load").json()
        for one in upstreams
        if one.is_engine and failure_domain in (None, one.failure_domain)
    ]


def count_generated(group: ProcessGroup) -> int:
    """Return the tokens that the engines of the drained domain generated."""
    return sum(engine["generated_tokens"] for engine in read_engines(group, DRAINED_DOMAIN))


async def drain_and_restore(group: ProcessGroup) -> dict[str, object]:
    """Take a failure domain out of service and back while the load runs."""
    await asyncio.sleep(DRAIN_AT_S)
    drained_s = await asyncio.to_thread(set_domain, group, "drained")
    await asyncio.sleep(SETTLE_S)
    before = await asyncio.to_thread(count_generated, group)
    await asyncio.sleep(max(0.0, RESTORE_AT_S - DRAIN_AT_S - SETTLE_S - drained_s))
    added = await asyncio.to_thread(count_generated, group) - before
    restored_s = await asyncio.to_thread(set_domain, group, "in_service")
    return {
        "drain_in_force_s": drained_s,
        "restore_in_force_s": restored_s,
        "tokens_while_drained": added,
    }


async def send(
    group: ProcessGroup,
    profile: LoadProfile,
    rate: float,
    duration_s: float,
    seed: int,
    file: Path,
    outage: bool = False,
) -> dict[str, object]:
    """Send one load; returns the figures of the outage, if there is one."""
    deployment = group.deployment
    faults = asyncio.create_task(drain_and_restore(group)) if outage else None
    with file.open("w", encoding="utf-8") as output:
        urls = deployment.application_urls
        await run_load(deployment.url, profile, rate, duration_s, seed, output, urls)
    return await faults if faults is not None else {}


def run_point(
    group: ProcessGroup, load: float, seed: int, file: Path, ratio: float, outage: bool = False
) -> dict[str, object]:
    """Run one load point and return its figures."""
    overloads_before = sum(engine["cold_overload_events"] for engine in read_engines(group))
    load_average = os.getloadavg()[0]
    rate = find_rate(load, seed)
    started_s = time.monotonic()
    outage_figures = asyncio.run(send(group, MIX, rate, POINT_S, seed, file, outage))
    elapsed_s = time.monotonic() - started_s
    time.sleep(RELEASE_S)
    engines = read_engines(group)
    return {
        "scenario": "outage" if outage else "steady",
        "load": load,
        "rate_per_s": round(rate, 2),
        "elapsed_s": round(elapsed_s, 1),
        "load_average": [round(load_average, 1), round(os.getloadavg()[0], 1)],
        "kv_left_tokens": sum(held["tokens"] for one in engines for held in one["holdings"]),
        "cold_overloads": sum(one["cold_overload_events"] for one in engines) - overloads_before,
        **outage_figures,
        **summarize_point(file, ratio),
    }


def run_policy(policy: str, seed: int, loads: list[float], folder: Path) -> list[dict[str, object]]:
    """Run all points of one policy in one deployment."""
    plan = DeploymentPlan(
        failure_domains=DOMAINS,
        instances=2,
        voters=3,
        engines=ENGINES_PER_DOMAIN,
        placement_policy=policy,
        seed=seed,
    )
    points = []
    with run_deployment(plan, READY_TIMEOUT_S) as group:
        declare_templates(group)
        file = folder / f"{policy}-warm-up.jsonl"
        rate = find_rate(WARM_UP_LOAD, seed)
        asyncio.run(send(group, MIX, rate, WARM_UP_S, seed + 1_000, file))
        file = folder / f"{policy}-unloaded.jsonl"
        asyncio.run(send(group, SHORT_ONLY, UNLOADED_RATE, POINT_S, seed + 2_000, file))
        ratio = median_ratio(read_records(file))
        print(
            f"{policy}: unloaded short requests take {ratio:.2f} times the model time", flush=True
        )
        for load in loads:
            points.append(run_point(group, load, seed, folder / f"{policy}-{load}.jsonl", ratio))
            print_points(policy, points[-1:])
        file = folder / f"{policy}-outage.jsonl"
        points.append(run_point(group, OUTAGE_LOAD, seed + 1, file, ratio, outage=True))
        print_points(policy, points[-1:])
    return [{"policy": policy, "seed": seed, "unloaded_ratio": ratio, **one} for one in points]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--loads", nargs="*", type=float, default=list(LOADS))
    arguments = parser.parse_args()
    results: list[dict[str, object]] = []
    with tempfile.TemporaryDirectory() as folder:
        for policy in arguments.policies:
            results += run_policy(policy, arguments.seed, arguments.loads, Path(folder))
    if arguments.out:
        arguments.out.mkdir(parents=True, exist_ok=True)
        model = {"prefill_tokens_per_s": PREFILL_TOKENS_PER_S, "decode_step_s": MODEL_DECODE_STEP_S}
        document = {"model": model, "points": results}
        (arguments.out / "processes.json").write_text(json.dumps(document, indent=1) + "\n")
        plot_points(results, arguments.out / "processes.svg")


if __name__ == "__main__":
    main()
