"""Command ``python -m laburnumrock.platform.soak``."""

import shutil
import sys
import tempfile
from pathlib import Path

import click

from laburnumrock.platform.soak._run import SoakSettings, run_soak
from laburnumrock.platform.soak._schedule import make_schedule


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--runs", default=1, show_default=True, help="Number of consecutive seeds to run.")
@click.option("--seconds", default=20.0, show_default=True, help="Period in which faults start.")
@click.option("--callers", default=8, show_default=True, help="Number of concurrent callers.")
@click.option(
    "--logs",
    type=click.Path(path_type=Path),
    help="Folder in which to keep the files of failed seeds.",
)
@click.option("--show", is_flag=True, help="Print the schedule without running it.")
def main(seed: int, runs: int, seconds: float, callers: int, logs: Path | None, show: bool) -> None:
    """Run processes under random faults; exit with 1 if a guarantee was violated."""
    failed = []
    for number in range(seed, seed + runs):
        if show:
            for step in make_schedule(number, seconds):
                click.echo(
                    f"{step.at_s:6.2f}  {step.action:16} {step.target} {step.duration_s:.2f}"
                )
            continue
        folder = Path(tempfile.mkdtemp(prefix="laburnumrock-soak-"))
        findings = run_soak(SoakSettings(number, seconds, folder, callers))
        counts = ", ".join(f"{name} {count}" for name, count in sorted(findings.counts.items()))
        click.echo(f"seed {number}: {len(findings.broken)} violations; {counts}")
        for line in findings.broken:
            click.echo(f"  {line}")
        if findings.broken:
            failed.append(number)
            if logs is not None:
                shutil.copytree(folder, logs / f"seed-{number}", dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    if failed:
        click.echo(f"failed seeds: {failed}")
        sys.exit(1)


if __name__ == "__main__":
    main()
