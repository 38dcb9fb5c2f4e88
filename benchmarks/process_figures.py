"""Metrics, tables and plots of the load points of `load_processes.py`."""

import json
from dataclasses import asdict
from pathlib import Path

from laburnumrock.standins import CallRecord, EngineParameters, read_report

PREFILL_TOKENS_PER_S = EngineParameters().prefill_tokens_per_s
MODEL_DECODE_STEP_S = EngineParameters().decode_step_s
TIMELY_REFUSAL_S = 1.0


def read_records(path: Path) -> list[CallRecord]:
    """Return the calls that the load generator recorded."""
    records = []
    for line in path.read_text(encoding="utf-8").splitlines():
        entry = json.loads(line)
        if entry.pop("type") == "call":
            records.append(CallRecord(**entry))
    return records


def read_summary_line(path: Path) -> dict[str, object]:
    """Return the summary that the load generator writes as its last line."""
    return json.loads(path.read_text(encoding="utf-8").splitlines()[-1])


def compute_model_ratio(record: CallRecord) -> float:
    """Return the ratio of a completion's total time to its modelled time on an idle engine."""
    decode_s = record.tokens * MODEL_DECODE_STEP_S
    return record.total_s / (record.prompt_tokens / PREFILL_TOKENS_PER_S + decode_s)


def compute_median_ratio(records: list[CallRecord]) -> float:
    """Return the median of `compute_model_ratio` over completed requests with output tokens."""
    ratios = [
        compute_model_ratio(record)
        for record in records
        if record.result == "completed" and record.tokens
    ]
    return quantile(ratios, 0.5)


def quantile(values: list[float], fraction: float) -> float | None:
    """Return a quantile of unsorted values, or None if there are none."""
    if not values:
        return None
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 3)


def quantiles(values: list[float]) -> dict[str, float | None]:
    """Return p50, p95 and p99."""
    return {f"p{int(fraction * 100)}": quantile(values, fraction) for fraction in (0.5, 0.95, 0.99)}


def summarize_point(path: Path, unloaded_ratio: float) -> dict[str, object]:
    """Return the metrics of one load point by length class, and violations of the guarantees."""
    records = read_records(path)
    report = read_report(path)
    classes: dict[str, dict[str, object]] = {}
    for name, class_metrics in report.classes.items():
        class_records = [record for record in records if record.length_class == name]
        completed = [record for record in class_records if record.result == "completed"]
        refused = [record.total_s for record in class_records if record.result == "refused"]
        slowdown = [
            compute_model_ratio(record) / unloaded_ratio for record in completed if record.tokens
        ]
        classes[name] = {
            **asdict(class_metrics),
            "slowdown": quantiles(slowdown),
            "refusal_delay_s": quantiles(refused),
            "refused_after_1_s": sum(delay_s > TIMELY_REFUSAL_S for delay_s in refused),
            "in_time": sum(record.total_s <= record.timeout_s for record in completed),
        }
    return {
        "classes": classes,
        "run_twice": len(report.run_twice),
        "lost": len(report.lost),
        "wrong_not_run": len(report.wrong_refusals),
        "executions_read": report.has_executions,
        "largest_lag_s": read_summary_line(path)["largest_lag_s"],
    }


def print_points(policy: str, points: list[dict]) -> None:
    """Print a summary of every load point and one line per length class."""
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
        for name, metrics in sorted(point["classes"].items()):
            ttft = "/".join(_format(value) for value in metrics["first_token_s"].values())
            slowdown = "/".join(_format(value) for value in metrics["slowdown"].values())
            print(
                f"  {name:8} calls {metrics['calls']:4} in time {metrics['in_time']:4} refused"
                f" {metrics['refused']} failed {metrics['failed']} broken {metrics['broken']} late"
                f" {metrics['deadline_misses']} faults {metrics['faults']} ttft {ttft}"
                f" slowdown {slowdown} refusal p99 {_format(metrics['refusal_delay_s']['p99'])}",
                flush=True,
            )


def plot_points(results: list[dict], path: Path) -> None:
    """Plot slowdown and time to first token of short requests by load."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(1, 2, figsize=(9, 3.5))
    for policy in dict.fromkeys(result["policy"] for result in results):
        steady = [r for r in results if r["policy"] == policy and r["scenario"] == "steady"]
        loads = [result["load"] for result in steady]
        short = [result["classes"]["short"] for result in steady]
        axes[0].plot(
            loads, [metrics["slowdown"]["p95"] for metrics in short], marker="o", label=policy
        )
        axes[1].plot(loads, [metrics["first_token_s"]["p95"] for metrics in short], marker="o")
    axes[0].set_ylabel("short requests: p95 slowdown")
    axes[1].set_ylabel("short requests: p95 TTFT (s)")
    for axis in axes:
        axis.set_xlabel("load / ideal capacity")
        axis.set_yscale("log")
    axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)


def _format(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"
