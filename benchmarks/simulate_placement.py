"""Compare placement policies in a simulated fleet under the same seeded load.

Run with ``python benchmarks/simulate_placement.py [--out FOLDER] [--duration S] [--seeds N ...]
[--jobs N]``. It prints tables and writes ``simulation.json`` and plots; ``wait50`` and ``wait99``
are the times from arrival to refusal in seconds, ``over1s`` counts the refusals after more than a
second. ``naive`` sends requests directly to the engines in round-robin order, whose own queues are
first in, first out; the other policies run in one scheduler per failure domain. Permit renewals
are not simulated: permits last for the whole run. A refusal counts as wrong if some engine had the
KV memory and could have finished the request in time, including memory reserved for short prompts.
"""

import argparse
import json
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from cluster_model import CallState, Cluster
from workload import CLASSES, make_calls

DOMAINS = 3
ENGINES_PER_DOMAIN = 7
LOADS = (0.5, 0.8, 0.95, 1.2)
OUTAGE_LOAD = 0.5
POLICIES = ("naive", "round_robin", "shortest_wait", "length_aware")
WARM_UP_S = 60.0
# Exceeds the longest deadline in the request mix, so that every request ends within the run.
COMPLETION_WAIT_S = 620.0


def quantile(values: list[float], fraction: float) -> float | None:
    """Return a quantile of unsorted values, or None if there are none."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 4)


def summarize_class(call_states: list[CallState]) -> dict[str, object]:
    """Return the metrics of one length class."""
    completed = [call_state for call_state in call_states if call_state.finished_s is not None]
    in_time = [
        call_state
        for call_state in completed
        if call_state.finished_s <= call_state.call.deadline_s
    ]
    first_token_delays_s = [
        call_state.first_s - call_state.call.arrival_s for call_state in completed
    ]
    slowdown = [(e.finished_s - e.call.arrival_s) / e.call.unloaded_s for e in completed]
    refused = [call_state for call_state in call_states if call_state.refused_s is not None]
    refusal_delays_s = [call_state.refused_s - call_state.call.arrival_s for call_state in refused]
    return {
        "offered": len(call_states),
        "completed": len(completed),
        "in_time": len(in_time),
        "late": len(completed) - len(in_time),
        "refused": len(refused),
        "wrong_refusals": sum(call_state.wrongly_refused for call_state in refused),
        "failed": sum(call_state.failed for call_state in call_states),
        "lost": sum(
            call_state.finished_s is None and call_state.refused_s is None and not call_state.failed
            for call_state in call_states
        ),
        "goodput_tokens": sum(e.call.prompt_tokens + e.call.output_tokens for e in in_time),
        "ttft_s": {
            f"p{int(q * 100)}": quantile(first_token_delays_s, q) for q in (0.5, 0.95, 0.99)
        },
        "slowdown": {f"p{int(q * 100)}": quantile(slowdown, q) for q in (0.5, 0.95, 0.99)},
        "refusal_delay_s": {f"p{int(q * 100)}": quantile(refusal_delays_s, q) for q in (0.5, 0.99)},
        "refused_after_1_s": sum(delay_s > 1.0 for delay_s in refusal_delays_s),
    }


def run_case(case: tuple[str, float, int, float, str]) -> dict[str, object]:
    """Run one policy at one load; the last item of the case names the scenario."""
    policy, load, seed, duration_s, scenario = case
    cluster = Cluster(policy, DOMAINS, ENGINES_PER_DOMAIN, seed)
    engines = DOMAINS * ENGINES_PER_DOMAIN
    calls = make_calls(load, engines, duration_s, seed)
    actions = []
    if scenario == "outage":
        actions = [
            (duration_s * 0.3, "drain", "c"),
            (duration_s * 0.3 + 60.0, "power_off", "c"),
            (duration_s * 0.6, "power_on", "c"),
            (duration_s * 0.8, "turn_cold", "a0"),
        ]
    cluster.run(calls, actions, duration_s + COMPLETION_WAIT_S)
    measured = [
        call_state for call_state in cluster.call_states if call_state.call.arrival_s >= WARM_UP_S
    ]
    classes = {
        name: summarize_class(
            [call_state for call_state in measured if call_state.call.length_class == name]
        )
        for name in CLASSES
    }
    ledgers = [
        ledger
        for scheduler in cluster.schedulers.values()
        for ledger in scheduler.table.ledgers.values()
    ]
    engines = cluster.engines.values()
    return {
        "policy": policy,
        "load": load,
        "seed": seed,
        "scenario": scenario,
        "classes": classes,
        "kv_left_in_ledger": sum(ledger.kv_used for ledger in ledgers),
        "kv_left_in_engines": sum(engine.kv_used for engine in engines),
        "cold_overloads": sum(engine.overloads for engine in engines),
        "cold_refusals": sum(engine.refusals for engine in engines),
        "granted_twice": cluster.granted_twice,
        "run_twice": cluster.run_twice,
        "timeline": (
            make_timeline(cluster.call_states, duration_s) if scenario == "outage" else None
        ),
    }


def make_timeline(call_states: list[CallState], duration_s: float) -> list[tuple[float, float]]:
    """Return the fraction of short requests that finished in time, per 10 s of arrival time."""
    width_s = 10.0
    offered = [0] * (int(duration_s / width_s) + 1)
    in_time_counts = [0] * len(offered)
    for call_state in call_states:
        if call_state.call.length_class != "short":
            continue
        index = int(call_state.call.arrival_s / width_s)
        offered[index] += 1
        in_time_counts[index] += (
            call_state.finished_s is not None
            and call_state.finished_s <= call_state.call.deadline_s
        )
    return [
        (i * width_s, in_time_counts[i] / offered[i]) for i in range(len(offered)) if offered[i]
    ]


def print_results(results: list[dict]) -> None:
    """Print one line per policy, load and class."""
    print(
        f"{'scenario':8} {'seed':>4} {'load':>4} {'policy':14} {'class':8}"
        f" {'offer':>6} {'intime':>6}"
        f" {'late':>5} {'refus':>6} {'wrong':>5} {'fail':>5}"
        f" {'ttft50':>7} {'ttft95':>7} {'ttft99':>7} {'slow50':>6} {'slow95':>6} {'slow99':>6}"
        f" {'wait50':>6} {'wait99':>6} {'over1s':>6}"
    )
    for result in results:
        for name, metrics in result["classes"].items():
            ttft = [_format(value) for value in metrics["ttft_s"].values()]
            slow = [_format(value) for value in metrics["slowdown"].values()]
            print(
                f"{result['scenario']:8} {result['seed']:4} {result['load']:4}"
                f" {result['policy']:14} {name:8}"
                f" {metrics['offered']:6} {metrics['in_time']:6} {metrics['late']:5}"
                f" {metrics['refused']:6} {metrics['wrong_refusals']:5} {metrics['failed']:5}"
                f" {ttft[0]:>7} {ttft[1]:>7} {ttft[2]:>7} {slow[0]:>6} {slow[1]:>6} {slow[2]:>6}"
                f" {_format(metrics['refusal_delay_s']['p50']):>6}"
                f" {_format(metrics['refusal_delay_s']['p99']):>6} {metrics['refused_after_1_s']:6}"
            )
        lost = sum(metrics["lost"] for metrics in result["classes"].values())
        print(
            f"{'':14}{result['policy']:14} KV left: ledger {result['kv_left_in_ledger']}, engines"
            f" {result['kv_left_in_engines']}; cold overloads {result['cold_overloads']}, cold"
            f" refusals {result['cold_refusals']}; lost {lost}; granted twice"
            f" {result['granted_twice']}, run twice {result['run_twice']}"
        )


def plot_results(results: list[dict], folder: Path) -> None:
    """Plot the latency of short requests by load, and their success rate during the outage."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    for policy in POLICIES:
        steady = [r for r in results if r["policy"] == policy and r["scenario"] == "steady"]
        steady = [r for r in steady if r["seed"] == results[0]["seed"]]
        loads = [result["load"] for result in steady]
        slow = [result["classes"]["short"]["slowdown"]["p95"] for result in steady]
        ttft = [result["classes"]["short"]["ttft_s"]["p95"] for result in steady]
        axes[0].plot(loads, slow, marker="o", label=policy)
        axes[1].plot(loads, ttft, marker="o", label=policy)
    axes[0].set_ylabel("short requests: p95 slowdown")
    axes[1].set_ylabel("short requests: p95 TTFT (s)")
    for axis in axes:
        axis.set_xlabel("load / capacity")
        axis.set_yscale("log")
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(folder / "slowdown.svg")
    figure, axis = pyplot.subplots(figsize=(9, 3.5))
    for result in results:
        if result["scenario"] == "outage":
            axis.plot(*zip(*result["timeline"], strict=True), label=result["policy"])
    axis.set_xlabel("time of arrival (s)")
    axis.set_ylabel("short requests finished in time")
    axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(folder / "outage.svg")


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--duration", type=float, default=300.0)
    parser.add_argument("--seeds", nargs="*", type=int, default=[1])
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--policies", nargs="*", default=list(POLICIES))
    parser.add_argument("--loads", nargs="*", type=float, default=list(LOADS))
    parser.add_argument("--no-outage", action="store_true")
    arguments = parser.parse_args()
    duration_s = arguments.duration
    cases = [
        (policy, load, seed, duration_s, "steady")
        for seed in arguments.seeds
        for load in arguments.loads
        for policy in arguments.policies
    ]
    if not arguments.no_outage:
        cases += [
            (policy, OUTAGE_LOAD, arguments.seeds[0], duration_s, "outage")
            for policy in arguments.policies
        ]
    with ProcessPoolExecutor(arguments.jobs) as executor:
        results = list(executor.map(run_case, cases))
    print_results(results)
    if arguments.out:
        arguments.out.mkdir(parents=True, exist_ok=True)
        (arguments.out / "simulation.json").write_text(json.dumps(results, indent=1) + "\n")
        plot_results(results, arguments.out)


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


if __name__ == "__main__":
    main()
