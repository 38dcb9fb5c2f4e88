"""Measure the CPU time of one scheduling decision by number of upstreams.

Run with ``python benchmarks/decision_cost.py [--json FILE] [--decisions N]``. A decision is the
arrival of a request, including its grant, queueing or refusal, or the release of a permit,
including the grants that follow. The pool is kept nearly full, so that the queue is in use.
"""

import argparse
import json
import random
import time
from pathlib import Path

from laburnumrock.placement import (
    POLICIES,
    PermitGrant,
    PermitOutcome,
    PermitRelease,
    PermitRequest,
    PoolScheduler,
    PoolSettings,
)
from laburnumrock.upstreams import UpstreamAnnouncement, UpstreamKind

SIZES = (30, 100, 300, 1_000)
PERMITS_PER_UPSTREAM = 64


def make_scheduler(policy: str, size: int, seed: int) -> PoolScheduler:
    """Return a scheduler with `size` warm upstreams."""
    settings = PoolSettings("a/m", policy=policy, permit_ttl_s=1e9)
    scheduler = PoolScheduler(settings, random.Random(seed), 0.0)
    for index in range(size):
        announcement = UpstreamAnnouncement(
            upstream_id=f"engine-{index:04}",
            kind=UpstreamKind.MODEL_ENGINE,
            failure_domain="a",
            incarnation=1,
            base_url=f"http://127.0.0.1:{index}",
            models=["m"],
            kv_capacity_tokens=450_000,
            prefill_tokens_per_s=60_000.0,
            decode_step_s=0.015,
        )
        scheduler.observe_upstream(announcement, 0.0)
        scheduler.table.ledgers[announcement.upstream_id].slow_start.limit = PERMITS_PER_UPSTREAM
    scheduler.tick(0.0)
    return scheduler


def make_request(number: int, rng: random.Random) -> PermitRequest:
    """Return a request of random length, one in fifty of them long."""
    draw = rng.random()
    if draw < 0.9:
        prompt_tokens = rng.randrange(1_000, 8_000)
    elif draw < 0.98:
        prompt_tokens = rng.randrange(8_000, 100_000)
    else:
        prompt_tokens = rng.randrange(100_000, 1_000_000)
    return PermitRequest(
        request_id=f"r{number}",
        attempt=1,
        client_account=f"account-{rng.randrange(10)}",
        caller=f"caller-{rng.randrange(200)}",
        model="m",
        prompt_tokens=prompt_tokens,
        max_output_tokens=300,
        remaining_s=rng.choice((30.0, 120.0, 600.0)),
        prefix_hashes=[f"p{rng.randrange(100)}"],
    )


def measure(policy: str, size: int, decisions: int, seed: int) -> dict[str, float]:
    """Return CPU microseconds per decision with the pool nearly full."""
    rng = random.Random(seed)
    scheduler = make_scheduler(policy, size, seed)
    held: list[PermitGrant] = []
    now_s = 0.0
    number = 0
    # A request of the mix needs about 0.15 s of engine time; the rate gives a load of 0.95.
    gap_s = 0.15 / (0.95 * size)
    target = size * 24
    spent_ns: list[int] = []
    warm_up = target + 200
    next_tick_s = 0.0
    while len(spent_ns) < warm_up + decisions:
        number += 1
        now_s += gap_s
        request = make_request(number, rng)
        effects = []
        if now_s >= next_tick_s:
            effects += scheduler.tick(now_s)
            next_tick_s = now_s + 0.1
        start_ns = time.process_time_ns()
        effects += scheduler.receive("entry", request, now_s)
        spent_ns.append(time.process_time_ns() - start_ns)
        if len(held) >= target:
            index = rng.randrange(len(held))
            held[index], held[-1] = held[-1], held[index]
            message = PermitRelease(held.pop().permit_id, PermitOutcome.FINISHED, 0.2, 300)
            start_ns = time.process_time_ns()
            effects += scheduler.receive("entry", message, now_s)
            spent_ns.append(time.process_time_ns() - start_ns)
        held += [e.message for e in effects if isinstance(e.message, PermitGrant)]
    measured = sorted(spent_ns[warm_up:])
    return {
        "mean_us": sum(measured) / len(measured) / 1e3,
        "p50_us": measured[len(measured) // 2] / 1e3,
        "p99_us": measured[len(measured) * 99 // 100] / 1e3,
        "queued": len(scheduler.queue),
        "held": len(held),
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--decisions", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=Path)
    arguments = parser.parse_args()
    results = {}
    print(
        f"{'policy':15} {'upstreams':>9} {'mean us':>8} {'p50 us':>8} {'p99 us':>8} {'queued':>7}"
    )
    for policy in sorted(POLICIES):
        for size in SIZES:
            figures = measure(policy, size, arguments.decisions, arguments.seed)
            results[f"{policy}/{size}"] = figures
            print(
                f"{policy:15} {size:9} {figures['mean_us']:8.1f} {figures['p50_us']:8.1f} "
                f"{figures['p99_us']:8.1f} {figures['queued']:7}"
            )
    if arguments.json:
        arguments.json.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
