"""Figures, tables and plots of the load points of `load_processes.py`."""

import json
from dataclasses import asdict
from pathlib import Path

from laburnumrock.standins import CallRecord, EngineParameters, read_report

PREFILL_TOKENS_PER_S = EngineParameters().prefill_tokens_per_s
MODEL_DECODE_STEP_S = EngineParameters().decode_step_s
TIMELY_REFUSAL_S = 1.0


def read_records(file: Path) -> list[CallRecord]:
    """Return the calls that the load tool recorded."""
    records = []
    for line in file.read_text(encoding="utf-8").splitlines():
        entry = json.loads(line)
        if entry.pop("type") == "call":
            records.append(CallRecord(**entry))
    return records


def read_end(file: Path) -> dict[str, object]:
    """Return the closing line of the load tool."""
    return json.loads(file.read_text(encoding="utf-8").splitlines()[-1])


def model_ratio(record: CallRecord) -> float:
    """Return the total time of a completion over the model time of an idle engine."""
    decode_s = record.tokens * MODEL_DECODE_STEP_S
    return record.total_s / (record.prompt_tokens / PREFILL_TOKENS_PER_S + decode_s)


def median_ratio(records: list[CallRecord]) -> float:
    """Return the median of `model_ratio` over completed short requests."""
    ratios = [model_ratio(one) for one in records if one.result == "completed" and one.tokens]
    return quantile(ratios, 0.5)


def quantile(values: list[float], share: float) -> float | None:
    """Return a quantile of unsorted values, or None if there are none."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 3)


def quantiles(values: list[float]) -> dict[str, float | None]:
    """Return p50, p95 and p99."""
    return {f"p{int(share * 100)}": quantile(values, share) for share in (0.5, 0.95, 0.99)}


def summarize_point(file: Path, unloaded_ratio: float) -> dict[str, object]:
    """Return the figures of one load by class, and those of the guarantees."""
    records = read_records(file)
    report = read_report(file)
    classes: dict[str, dict[str, object]] = {}
    for name, figures in report.classes.items():
        own = [one for one in records if one.length_class == name]
        done = [one for one in own if one.result == "completed"]
        refused = [one.total_s for one in own if one.result == "refused"]
        slowdown = [model_ratio(one) / unloaded_ratio for one in done if one.tokens]
        classes[name] = {
            **asdict(figures),
            "slowdown": quantiles(slowdown),
            "refusal_delay_s": quantiles(refused),
            "refused_after_1_s": sum(delay_s > TIMELY_REFUSAL_S for delay_s in refused),
            "in_time": sum(one.total_s <= one.timeout_s for one in done),
        }
    return {
        "classes": classes,
        "run_twice": len(report.run_twice),
        "lost": len(report.lost),
        "wrong_not_run": len(report.wrong_refusals),
        "executions_read": report.has_executions,
        "largest_lag_s": read_end(file)["largest_lag_s"],
    }


def print_points(policy: str, points: list[dict]) -> None:
    """Print one line per class of every point."""
    for point in points:
        print(
            f"{policy} {point['scenario']} load {point['load']} ({point['rate_per_s']}/s,"
            f" {point['elapsed_s']} s, load average {point['load_average']}): KV left"
            f" {point['kv_left_tokens']}, cold overloads {point['cold_overloads']}, run twice"
            f" {point['run_twice']}, lost {point['lost']}, wrong not_run"
            f" {point['wrong_not_run']}, lag {point['largest_lag_s']} s"
        )
        if point["scenario"] == "outage":
            print(
                f"  drain in force {point['drain_in_force_s']:.2f} s, restore"
                f" {point['restore_in_force_s']:.2f} s, tokens while drained"
                f" {point['tokens_while_drained']}"
            )
        for name, one in sorted(point["classes"].items()):
            ttft = "/".join(_format(value) for value in one["first_token_s"].values())
            slow = "/".join(_format(value) for value in one["slowdown"].values())
            print(
                f"  {name:8} calls {one['calls']:4} in time {one['in_time']:4} refused"
                f" {one['refused']} failed {one['failed']} broken {one['broken']} late"
                f" {one['deadline_misses']} faults {one['faults']} ttft {ttft} slowdown {slow}"
                f" refusal p99 {_format(one['refusal_delay_s']['p99'])}",
                flush=True,
            )


def plot_points(results: list[dict], file: Path) -> None:
    """Plot slowdown and time to first token of short requests by load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    for policy in dict.fromkeys(result["policy"] for result in results):
        steady = [r for r in results if r["policy"] == policy and r["scenario"] == "steady"]
        loads = [result["load"] for result in steady]
        short = [result["classes"]["short"] for result in steady]
        axes[0].plot(loads, [one["slowdown"]["p95"] for one in short], marker="o", label=policy)
        axes[1].plot(loads, [one["first_token_s"]["p95"] for one in short], marker="o")
    axes[0].set_ylabel("short requests: p95 slowdown")
    axes[1].set_ylabel("short requests: p95 TTFT (s)")
    for axis in axes:
        axis.set_xlabel("load / ideal capacity")
        axis.set_yscale("log")
    axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file)


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
