"""Program ``python -m laburnumrock.platform.soak``."""

import shutil
import sys
import tempfile
from pathlib import Path

import click

from laburnumrock.platform.soak._run import SoakSettings, run_soak
from laburnumrock.platform.soak._schedule import make_schedule


@click.command()
@click.option("--seed", default=1, show_default=True, help="First seed.")
@click.option("--runs", default=1, show_default=True, help="Number of seeds, one after the other.")
@click.option("--seconds", default=20.0, show_default=True, help="Time in which faults begin.")
@click.option("--callers", default=8, show_default=True, help="Callers at once.")
@click.option("--logs", type=click.Path(path_type=Path), help="Keeps the files of failed seeds.")
@click.option("--show", is_flag=True, help="Only print the schedule.")
def main(seed: int, runs: int, seconds: float, callers: int, logs: Path | None, show: bool) -> None:
    """Run processes under random faults; exit status 1 if a promise was broken."""
    failed = []
    for number in range(seed, seed + runs):
        if show:
            for step in make_schedule(number, seconds):
                click.echo(f"{step.at_s:6.2f}  {step.action:16} {step.target} {step.lasts_s:.2f}")
            continue
        folder = Path(tempfile.mkdtemp(prefix="laburnumrock-soak-"))
        findings = run_soak(SoakSettings(number, seconds, folder, callers))
        counts = ", ".join(f"{name} {count}" for name, count in sorted(findings.counts.items()))
        click.echo(f"seed {number}: {len(findings.broken)} broken promises; {counts}")
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
