"""Compare round-robin placement with the default policy in real processes under the same load.

Run with ``python benchmarks/load_processes.py [--out FOLDER] [--seed N]``. One deployment per
policy runs on loopback: 2 failure domains with 2 instances, 3 emulated engines and 1 application
engine each, and a load balancer. Every load point sends the same seeded calls with the load
generator. Capacity is the ideal rate at which prefills alone keep all engines busy. The slowdown of
a request is the ratio of its total time to its modelled time on an idle engine, divided by the
median of this ratio in an unloaded run. The results depend on the machine, whose load average is
recorded.
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
    compute_median_ratio,
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
# Also raises the slow-start limits of the pools, which begin with one permit per engine.
WARM_UP_S = 8.0
WARM_UP_LOAD = 0.4
UNLOADED_RATE = 2.0
DRAIN_AT_S = 4.0
RESTORE_AT_S = 10.0
# A drained failure domain gets no new requests after this time; its running ones end within it.
DRAIN_SETTLING_TIME_S = 4.0
# Permits and reservations of ended requests are released within this time.
RELEASE_WAIT_S = 3.0
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
MIXED_PROFILE = LoadProfile(
    accounts=ACCOUNTS, classes=CLASSES, services=[ORDERS], service_share=0.05, resend_share=0.3
)
SHORT_PROFILE = LoadProfile(accounts=ACCOUNTS, classes=[SHORT])


def compute_rate(load: float, seed: int) -> float:
    """Return the calls per second that use the fraction `load` of the ideal capacity."""
    sample = plan_calls(MIXED_PROFILE, 1_000.0, 20.0, seed)
    mean_s = sum(call.prompt_tokens for call in sample) / len(sample) / PREFILL_TOKENS_PER_S
    return load * ENGINES_PER_DOMAIN * len(DOMAINS) / mean_s


def declare(group: ProcessGroup, request_id: str, changes: list[dict[str, object]]) -> float:
    """Submit changes; returns the seconds until they were in force on every instance."""
    deployment = group.deployment
    revision = deployment.call_operator_api("declarations").json()["revision"]
    body = {"request_id": request_id, "base_revision": revision, "changes": changes}
    response = deployment.call_operator_api("changes", body)
    if response.status != 200:
        raise RuntimeError(
            f"change {request_id} failed with HTTP status {response.status}: {response.body!r}"
        )
    revision = response.json()["revision"]

    def is_in_force() -> bool:
        response = deployment.call_operator_api(f"in-force?revision={revision}")
        return response.status == 200 and response.json()["in_force"]

    return group.wait_for(is_in_force, IN_FORCE_TIMEOUT_S, f"revision {revision} in force")


def declare_templates(group: ProcessGroup) -> None:
    """Declare accounts with limits too high to be reached, and the orders service."""
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
    changes = [{"action": "put", "declaration": declaration} for declaration in declarations]
    declare(group, "templates", changes)


def set_domain_state(group: ProcessGroup, state: str) -> float:
    """Drain or restore the failure domain; returns the seconds until this is in force."""
    declaration = {
        "type": "service_state",
        "kind": "failure_domain",
        "name": DRAINED_DOMAIN,
        "state": state,
    }
    return declare(group, f"{state}-1", [{"action": "put", "declaration": declaration}])


def read_engine_loads(group: ProcessGroup, failure_domain: str | None = None) -> list[dict]:
    """Return the current load reports of the engines."""
    upstreams = group.deployment.upstreams.values()
    return [
        request_json(f"{upstream.url}/v1/load").json()
        for upstream in upstreams
        if upstream.is_engine and failure_domain in (None, upstream.failure_domain)
    ]


def count_generated_tokens(group: ProcessGroup) -> int:
    """Return the number of tokens that the engines of the drained domain have generated."""
    return sum(engine["generated_tokens"] for engine in read_engine_loads(group, DRAINED_DOMAIN))


async def drain_and_restore(group: ProcessGroup) -> dict[str, object]:
    """Take a failure domain out of service and back while the load runs."""
    await asyncio.sleep(DRAIN_AT_S)
    drained_s = await asyncio.to_thread(set_domain_state, group, "drained")
    await asyncio.sleep(DRAIN_SETTLING_TIME_S)
    before = await asyncio.to_thread(count_generated_tokens, group)
    await asyncio.sleep(max(0.0, RESTORE_AT_S - DRAIN_AT_S - DRAIN_SETTLING_TIME_S - drained_s))
    added = await asyncio.to_thread(count_generated_tokens, group) - before
    restored_s = await asyncio.to_thread(set_domain_state, group, "in_service")
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
    record_file: Path,
    outage: bool = False,
) -> dict[str, object]:
    """Send calls at one rate; returns the measurements of the outage if there is one."""
    deployment = group.deployment
    outage_task = asyncio.create_task(drain_and_restore(group)) if outage else None
    with record_file.open("w", encoding="utf-8") as output:
        urls = deployment.application_urls
        await run_load(deployment.url, profile, rate, duration_s, seed, output, urls)
    return await outage_task if outage_task is not None else {}


def run_point(
    group: ProcessGroup,
    load: float,
    seed: int,
    record_file: Path,
    unloaded_ratio: float,
    outage: bool = False,
) -> dict[str, object]:
    """Run one load point and return its measurements."""
    overloads_before = sum(engine["cold_overload_events"] for engine in read_engine_loads(group))
    load_average = os.getloadavg()[0]
    rate = compute_rate(load, seed)
    started_s = time.monotonic()
    outage_metrics = asyncio.run(
        send(group, MIXED_PROFILE, rate, POINT_S, seed, record_file, outage)
    )
    elapsed_s = time.monotonic() - started_s
    time.sleep(RELEASE_WAIT_S)
    engines = read_engine_loads(group)
    return {
        "scenario": "outage" if outage else "steady",
        "load": load,
        "rate_per_s": round(rate, 2),
        "elapsed_s": round(elapsed_s, 1),
        "load_average": [round(load_average, 1), round(os.getloadavg()[0], 1)],
        "kv_left_tokens": sum(hold["tokens"] for engine in engines for hold in engine["holdings"]),
        "cold_overloads": sum(engine["cold_overload_events"] for engine in engines)
        - overloads_before,
        **outage_metrics,
        **summarize_point(record_file, unloaded_ratio),
    }


def run_policy(
    policy: str, seed: int, loads: list[float], output_folder: Path
) -> list[dict[str, object]]:
    """Run all load points of one policy in one deployment."""
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
        record_file = output_folder / f"{policy}-warm-up.jsonl"
        rate = compute_rate(WARM_UP_LOAD, seed)
        asyncio.run(send(group, MIXED_PROFILE, rate, WARM_UP_S, seed + 1_000, record_file))
        record_file = output_folder / f"{policy}-unloaded.jsonl"
        asyncio.run(send(group, SHORT_PROFILE, UNLOADED_RATE, POINT_S, seed + 2_000, record_file))
        unloaded_ratio = compute_median_ratio(read_records(record_file))
        print(
            f"{policy}: unloaded short requests take {unloaded_ratio:.2f} times the model time",
            flush=True,
        )
        for load in loads:
            points.append(
                run_point(
                    group, load, seed, output_folder / f"{policy}-{load}.jsonl", unloaded_ratio
                )
            )
            print_points(policy, points[-1:])
        record_file = output_folder / f"{policy}-outage.jsonl"
        points.append(
            run_point(group, OUTAGE_LOAD, seed + 1, record_file, unloaded_ratio, outage=True)
        )
        print_points(policy, points[-1:])
    return [
        {"policy": policy, "seed": seed, "unloaded_ratio": unloaded_ratio, **point}
        for point in points
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--loads", nargs="*", type=float, default=list(LOADS))
    arguments = parser.parse_args()
    results: list[dict[str, object]] = []
    with tempfile.TemporaryDirectory() as output_folder:
        for policy in arguments.policies:
            results += run_policy(policy, arguments.seed, arguments.loads, Path(output_folder))
    if arguments.out:
        arguments.out.mkdir(parents=True, exist_ok=True)
        model = {"prefill_tokens_per_s": PREFILL_TOKENS_PER_S, "decode_step_s": MODEL_DECODE_STEP_S}
        document = {"model": model, "points": results}
        (arguments.out / "processes.json").write_text(json.dumps(document, indent=1) + "\n")
        plot_points(results, arguments.out / "processes.svg")


if __name__ == "__main__":
    main()
