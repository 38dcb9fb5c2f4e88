"""Run seeded fault schedules against the replicated log of operations or of engine orders.

Usage: ``python -m benchmarks.fuzz_log --seeds 1000``.
"""

import time
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import click

from laburnumrock.scenarios import LogCluster, OrderCluster

CLUSTERS = {"log": LogCluster, "orders": OrderCluster}


def run_seed(cluster: str, seed: int):
    try:
        return seed, CLUSTERS[cluster](seed).run(), None
    except Exception as error:
        return seed, None, f"{type(error).__name__}: {error}"


@click.command()
@click.option("--cluster", type=click.Choice(list(CLUSTERS)), default="log", show_default=True)
@click.option("--seeds", default=1000, show_default=True, help="Number of fault schedules.")
@click.option("--first", default=0, show_default=True, help="First seed.")
@click.option("--workers", default=4, show_default=True, help="Number of worker processes.")
def main(cluster: str, seeds: int, first: int, workers: int) -> None:
    """Print totals and up to 20 failed seeds; exit with status 1 if a seed failed."""
    started_s = time.monotonic()
    with ProcessPoolExecutor(workers) as pool:
        outcomes = list(
            pool.map(partial(run_seed, cluster), range(first, first + seeds), chunksize=4)
        )
    reports = [report for _, report, _ in outcomes if report is not None]
    failures = [(seed, error) for seed, _, error in outcomes if error is not None]
    click.echo(f"schedules        {seeds}")
    click.echo(f"failed           {len(failures)}")
    for name in ("faults", "elections", "commits", "dispatches", "disks_lost"):
        click.echo(f"{name:<16} {sum(getattr(report, name) for report in reports)}")
    click.echo(f"duration         {time.monotonic() - started_s:.1f} s")
    for seed, error in failures[:20]:
        click.echo(f"seed {seed}: {error}")
    raise SystemExit(1 if failures else 0)


if __name__ == "__main__":
    main()
