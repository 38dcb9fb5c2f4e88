"""Measure the control-plane cost of idle instances in real processes.

Starts a deployment without callers. At the start and the end of a measurement window, reads the CPU
time and memory of every instance from ``/proc`` and its message counts from the status endpoint.

Run it as ``python benchmarks/control_cost.py --seconds 20 --json control_cost.json``.
"""

import json
import os
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from statistics import mean

import click

from laburnumrock.scenarios import DeploymentPlan, ProcessGroup, run_deployment

CPU_BUDGET_PERCENT = 1.0
MEMORY_BUDGET_MB = 256.0
TRAFFIC_BUDGET_KB_PER_S = 3.0
SETTLING_TIME_S = 6.0
MB = 1_000_000
KB = 1_000
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass(slots=True)
class InstanceCost:
    """Resource usage of one instance over the measurement window."""

    instance: str
    cpu_percent: float
    memory_mb: float
    sent_kb_per_s: float
    received_kb_per_s: float
    voter: bool
    log_leader: bool
    coordinator: bool
    pools: int


@dataclass(slots=True)
class _Sample:
    time_s: float
    cpu_s: float
    status: dict


def read_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text(encoding="ascii").rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return the resident set size of a process in megabytes."""
    return int(Path(f"/proc/{pid}/statm").read_text(encoding="ascii").split()[1]) * PAGE_BYTES / MB


def sample_instance(group: ProcessGroup, name: str) -> _Sample:
    """Sample the CPU time and the status counters of one instance."""
    response = group.deployment.call_operator_api("status", instance=name)
    if response.status != 200:
        raise RuntimeError(
            f"status request to instance {name} failed with HTTP status {response.status}"
        )
    pid = group.processes[name].process.pid
    return _Sample(time.monotonic(), read_cpu_s(pid), json.loads(response.body))


def subtract_traffic(before: dict, after: dict, direction: str) -> dict[str, list[int]]:
    """Return the messages and bytes by message type between two samples."""
    counts_before = before["traffic"][direction]
    return {
        name: [
            now - then for now, then in zip(counts, counts_before.get(name, [0, 0]), strict=True)
        ]
        for name, counts in after["traffic"][direction].items()
    }


def compute_cost(name: str, before: _Sample, after: _Sample, memory_mb: float) -> InstanceCost:
    """Return the resource usage of one instance between two samples."""
    elapsed_s = after.time_s - before.time_s
    rates = {
        direction: sum(
            count[1] for count in subtract_traffic(before.status, after.status, direction).values()
        )
        / elapsed_s
        / KB
        for direction in ("sent", "received")
    }
    status = after.status
    return InstanceCost(
        name,
        100 * (after.cpu_s - before.cpu_s) / elapsed_s,
        memory_mb,
        rates["sent"],
        rates["received"],
        status["voters"] is not None,
        status["log_leader"],
        status["coordinator"] == name,
        len(status["owned_pools"]),
    )


def sum_types(before: dict[str, _Sample], after: dict[str, _Sample]) -> dict[str, list[float]]:
    """Return messages and bytes per second by message type, as a mean over the instances."""
    totals: dict[str, list[float]] = {}
    for name, sample in before.items():
        elapsed_s = after[name].time_s - sample.time_s
        sent = subtract_traffic(sample.status, after[name].status, "sent")
        for message_type, counts in sent.items():
            total = totals.setdefault(message_type, [0.0, 0.0])
            for index, count in enumerate(counts):
                total[index] += count / elapsed_s / len(before)
    return dict(sorted(totals.items(), key=lambda item: -item[1][1]))


def measure(plan: DeploymentPlan, window_s: float) -> dict:
    """Run a deployment and measure its idle instances for `window_s` seconds."""
    with run_deployment(plan, ready_timeout_s=60.0) as group:
        time.sleep(SETTLING_TIME_S)
        names = list(group.deployment.instances)
        before = {name: sample_instance(group, name) for name in names}
        load_before = os.getloadavg()[0]
        time.sleep(window_s)
        after = {name: sample_instance(group, name) for name in names}
        costs = [
            compute_cost(
                name,
                before[name],
                after[name],
                read_memory_mb(group.processes[name].process.pid),
            )
            for name in names
        ]
        return {
            "window_s": window_s,
            "load_average": [load_before, os.getloadavg()[0]],
            "cores": os.cpu_count(),
            "instances": [asdict(cost) for cost in costs],
            "sent_per_instance_by_type": sum_types(before, after),
        }


def print_report(report: dict) -> None:
    """Print the usage by instance, a summary against the budgets, and the message types."""
    load = ", ".join(f"{value:.1f}" for value in report["load_average"])
    print(f"window {report['window_s']} s, load average {load} on {report['cores']} cores")
    costs = [InstanceCost(**cost) for cost in report["instances"]]
    print(f"{'instance':<9}{'cpu %':>7}{'MB':>7}{'sent KB/s':>11}{'recv KB/s':>11}  roles")
    for cost in costs:
        roles = [
            role
            for role, has_role in (
                ("voter", cost.voter),
                ("leader", cost.log_leader),
                ("coordinator", cost.coordinator),
                (f"{cost.pools} pools", cost.pools > 0),
            )
            if has_role
        ]
        print(
            f"{cost.instance:<9}{cost.cpu_percent:>7.2f}{cost.memory_mb:>7.1f}"
            f"{cost.sent_kb_per_s:>11.2f}{cost.received_kb_per_s:>11.2f}  {', '.join(roles)}"
        )
    for label, values, budget in (
        ("cpu %", [cost.cpu_percent for cost in costs], CPU_BUDGET_PERCENT),
        ("memory MB", [cost.memory_mb for cost in costs], MEMORY_BUDGET_MB),
        ("sent KB/s", [cost.sent_kb_per_s for cost in costs], TRAFFIC_BUDGET_KB_PER_S),
    ):
        within_budget = "yes" if max(values) <= budget else "no"
        print(
            f"{label:<10} min {min(values):.2f} mean {mean(values):.2f} max {max(values):.2f}"
            f"  budget {budget:g}: {within_budget}"
        )
    for name, (messages, sent_bytes) in report["sent_per_instance_by_type"].items():
        print(f"  {name:<24}{messages:>8.2f} msg/s{sent_bytes:>10.1f} B/s")


@click.command()
@click.option(
    "--seconds", default=20.0, show_default=True, help="Length of the measurement window."
)
@click.option("--domains", default=3, show_default=True, help="Number of failure domains.")
@click.option("--instances", default=5, show_default=True, help="Instances per failure domain.")
@click.option("--engines", default=7, show_default=True, help="Engines per failure domain.")
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Also write JSON.")
def main(
    seconds: float, domains: int, instances: int, engines: int, json_path: Path | None
) -> None:
    """Measure the control-plane cost of idle instances."""
    names = tuple("abcdefghij"[:domains])
    plan = DeploymentPlan(names, instances=instances, engines=engines, has_balancer=False)
    report = measure(plan, seconds)
    print_report(report)
    if json_path is not None:
        json_path.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
