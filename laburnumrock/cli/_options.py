"""Options and helper functions that several subcommands share."""

import uuid
from collections.abc import Callable
from pathlib import Path
from typing import Any, TypeVar

import click
from result import Result

from laburnumrock.cli._client import OperatorClient
from laburnumrock.cli._exit import ExitCode, ReportedFailure, exit_with_failure, print_json
from laburnumrock.errors import Failure

Value = TypeVar("Value")

folder_argument = click.argument("folder", type=click.Path(path_type=Path))
json_option = click.option("--json", "as_json", is_flag=True, help="Write JSON.")


def wait_options(command: Callable) -> Callable:
    """Add the options ``--wait`` and ``--wait-timeout`` to a command."""
    timeout = click.option(
        "--wait-timeout",
        type=click.FloatRange(min=0),
        default=15.0,
        show_default=True,
        help="Maximum time to wait, in seconds.",
    )
    wait = click.option(
        "--wait", is_flag=True, help="Return once in force everywhere; list instances that lag."
    )
    return wait(timeout(command))


def unwrap_or_exit(result: Result[Value, Failure], request_id: str | None = None) -> Value:
    """Return the value of a result, or exit with its failure."""
    if result.is_err():
        exit_with_failure(ReportedFailure(result.unwrap_err(), request_id))
    return result.unwrap()


def make_request_id() -> str:
    """Return a new request id."""
    return uuid.uuid4().hex


def show(value: object, as_json: bool, lines: list[str]) -> None:
    """Write a value as JSON, or as the given lines."""
    if as_json:
        print_json(value)
        return
    for line in lines:
        click.echo(line)


def wait_if_requested(client: OperatorClient, wait: bool, timeout_s: float, **query: Any) -> None:
    """Wait until a revision or hold is in force, if `wait` is set.

    After the timeout, list the lagging instances and exit.
    """
    if not wait:
        return
    lagging = client.wait_in_force(timeout_s, **query)
    if lagging == []:
        click.echo("in force everywhere")
        return
    names = "no server answered" if lagging is None else f"lagging: {', '.join(lagging)}"
    click.echo(f"not in force within {timeout_s:g} s; {names}", err=True)
    raise SystemExit(ExitCode.NOT_IN_FORCE)
