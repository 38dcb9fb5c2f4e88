"""Measure the marginal costs given in docs/CAPACITY.md, with their standard errors.

Run it as ``python benchmarks/capacity_slopes.py [--json FILE] [--group NAME]``. Every cost is
the slope of a least-squares line through four or more sizes; the error is the standard error of
the slope.
"""

import json
import os
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path

import click
from slope_admission import measure_admission
from slope_control import measure_decision_costs, measure_memory_by_state, measure_messages
from slope_fit import Slope
from slope_log import measure_log, measure_propagation
from slope_relay import measure_http, measure_relay

GROUPS: dict[str, Callable[[], list[Slope]]] = {
    "messages": measure_messages,
    "memory": measure_memory_by_state,
    "decisions": measure_decision_costs,
    "admission": measure_admission,
    "log": measure_log,
    "declarations": measure_propagation,
    "http": measure_http,
    "relay": measure_relay,
}


def print_group(name: str, slopes: list[Slope], load: float) -> None:
    """Print the fitted slopes of one group as a table."""
    click.echo(f"\n{name} (load average {load:.1f} on {os.cpu_count()} cores)")
    click.echo(f"{'cost':<36}{'slope':>12}{'error':>10}{'at 0':>12}  unit")
    for fit in slopes:
        click.echo(
            f"{fit.name:<36}{fit.slope:>12.3f}{fit.error:>10.3f}{fit.intercept:>12.1f}  {fit.unit}"
        )


@click.command()
@click.option("--json", "json_path", type=click.Path(path_type=Path), help="Also write JSON.")
@click.option("--group", "names", multiple=True, type=click.Choice(list(GROUPS)))
def main(json_path: Path | None, names: tuple[str, ...]) -> None:
    """Measure the marginal costs of the selected groups."""
    report = {}
    for name, measure in GROUPS.items():
        if names and name not in names:
            continue
        slopes = measure()
        load = os.getloadavg()[0]
        print_group(name, slopes, load)
        report[name] = {"load_average": load, "slopes": [asdict(fit) for fit in slopes]}
    if json_path is not None:
        json_path.write_text(json.dumps(report, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
