"""The program: global options and registered subcommands."""

import getpass
import importlib
from pathlib import Path

import click

from laburnumrock.cli._client import OperatorClient
from laburnumrock.cli._exit import describe_exit_codes
from laburnumrock.cli._registry import COMMANDS

# Modules that register subcommands when they are imported. Add new ones here.
COMMAND_MODULES = (
    "laburnumrock.cli._declarations",
    "laburnumrock.cli._service_states",
    "laburnumrock.cli._control",
    "laburnumrock.cli._request",
    "laburnumrock.cli._orders",
    "laburnumrock.cli._trace",
    "laburnumrock.standins._load",
)
# An instance answers after 5 s that the log cannot take a change; a shorter wait loses its reason.
DEFAULT_TIMEOUT_S = 8.0

_HELP = f"""Operate laburnumrock and send requests to it.

\b
Exit codes:
{describe_exit_codes()}
"""


@click.pass_context
def _store_client(
    context: click.Context,
    server: tuple[str, ...],
    operator_key_file: Path | None,
    operator: str | None,
    timeout: float,
) -> None:
    name = operator or _find_user()
    context.obj = OperatorClient(list(server), operator_key_file, timeout, name)


def build_program() -> click.Group:
    """Return the program with all registered subcommands."""
    for module in COMMAND_MODULES:
        importlib.import_module(module)
    options = [
        click.Option(
            ["--server"],
            multiple=True,
            envvar="LABURNUMROCK_SERVER",
            metavar="URL",
            help="Base URL of an instance; repeat to name others that are tried in turn.",
        ),
        click.Option(
            ["--operator-key-file"],
            type=click.Path(path_type=Path, dir_okay=False),
            envvar="LABURNUMROCK_OPERATOR_KEY_FILE",
            help="File with the operator key.",
        ),
        click.Option(["--operator"], help="Name for the history; the user's name by default."),
        click.Option(
            ["--timeout"],
            type=click.FloatRange(min=0.1),
            default=DEFAULT_TIMEOUT_S,
            show_default=True,
            help="Longest wait for one answer, in seconds.",
        ),
    ]
    program = click.Group("laburnumrock", callback=_store_client, params=options, help=_HELP)
    for command in COMMANDS.values():
        program.add_command(command)
    return program


def _find_user() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "operator"
