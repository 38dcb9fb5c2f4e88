"""Subcommands ``trace`` and ``metrics`` for the analysis of requests."""

import json
import urllib.request
from collections.abc import Iterable, Iterator
from pathlib import Path

import click

from laburnumrock.cli._exit import ExitCode
from laburnumrock.cli._registry import register_command

HIDDEN_FIELDS = frozenset({"at", "event", "instance", "failure_domain", "request_id"})
METRICS_TIMEOUT_S = 5.0


@register_command
@click.command()
@click.argument("request_id")
@click.argument(
    "files", nargs=-1, required=True, type=click.Path(path_type=Path, exists=True, dir_okay=False)
)
@click.pass_context
def trace(context: click.Context, request_id: str, files: tuple[Path, ...]) -> None:
    """Show the log lines in FILES about REQUEST_ID, sorted by time.

    Clocks of different machines may disagree; lines of one process keep their order.
    """
    lines = find_lines(request_id, read_lines(files))
    if not lines:
        click.echo(f"no line in {len(files)} files is about request {request_id}", err=True)
        context.exit(ExitCode.NOT_FOUND)
    for line in lines:
        click.echo(describe_line(line))


@register_command
@click.command()
@click.argument("url")
@click.option(
    "--name", default="laburnumrock_", show_default=True, help="Prefix of the metric names to show."
)
@click.pass_context
def metrics(context: click.Context, url: str, name: str) -> None:
    """Show the metrics that a process serves at URL."""
    try:
        with urllib.request.urlopen(url, timeout=METRICS_TIMEOUT_S) as response:
            text = response.read().decode()
    except OSError as error:
        click.echo(f"{url}: {error}", err=True)
        context.exit(ExitCode.UNAVAILABLE)
    for line in text.splitlines():
        if line.startswith(name):
            click.echo(line)


def read_lines(files: Iterable[Path]) -> Iterator[dict]:
    """Yield the log lines of files, without text that a log collector put before them."""
    for path in files:
        with path.open(encoding="utf-8", errors="replace") as file:
            for text in file:
                start = text.find("{")
                if start < 0:
                    continue
                try:
                    line = json.loads(text[start:])
                except ValueError:
                    continue
                if isinstance(line, dict) and "event" in line:
                    yield line


def find_lines(request_id: str, lines: Iterable[dict]) -> list[dict]:
    """Return the lines about a request, sorted by time.

    Notes
    -----
    Lines about reservations match by name, which is the request id with the number of the send.
    """
    found = [
        line
        for line in lines
        if line.get("request_id") == request_id
        or str(line.get("name", "")).startswith(f"{request_id}-")
    ]
    return sorted(found, key=lambda line: line.get("at", 0.0))


def describe_line(line: dict) -> str:
    """Format a log line for display."""
    values = [
        f"{name}={json.dumps(value)}" for name, value in line.items() if name not in HIDDEN_FIELDS
    ]
    origin = f"{line.get('instance', '?')} ({line.get('failure_domain', '?')})"
    return f"{line.get('at', 0.0):.4f}  {origin:28}  {line['event']:20}  {' '.join(values)}"
