"""Command-line entry point: ``python -m laburnumrock.scenarios FILE...``."""

import sys
from pathlib import Path

import click

from laburnumrock.scenarios._interpreter import run_script
from laburnumrock.scenarios._script import ScenarioError, read_script

EXIT_FAILED = 1
EXIT_INVALID = 2


@click.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True, path_type=Path))
@click.option(
    "--log-folder",
    type=click.Path(path_type=Path),
    help="Copy the log files of the processes to this folder.",
)
def main(files: tuple[Path, ...], log_folder: Path | None) -> None:
    """Run scenario files on real processes and print a report for each.

    Exit status: 0 if all scenarios passed, 1 if one failed, 2 if a file is invalid.
    """
    try:
        scripts = [read_script(file) for file in files]
    except ScenarioError as error:
        click.echo(error, err=True)
        sys.exit(EXIT_INVALID)
    failed = 0
    for script in scripts:
        folder = log_folder / script.file.stem if log_folder else None
        report = run_script(script, folder)
        failed += not report.passed
        click.echo(report.format())
    click.echo(f"{len(scripts) - failed} of {len(scripts)} scenarios passed")
    sys.exit(EXIT_FAILED if failed else 0)


if __name__ == "__main__":
    main()
