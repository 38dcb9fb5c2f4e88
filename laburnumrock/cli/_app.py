"""Top-level command group with the global options and the registered subcommands."""

import getpass
import importlib
from pathlib import Path

import click

from laburnumrock.cli._client import OperatorClient
from laburnumrock.cli._exit import describe_exit_codes
from laburnumrock.cli._registry import COMMANDS

# Modules that register subcommands on import. Add new ones here.
COMMAND_MODULES = (
    "laburnumrock.cli._declarations",
    "laburnumrock.cli._service_states",
    "laburnumrock.cli._control",
    "laburnumrock.cli._request",
    "laburnumrock.cli._orders",
    "laburnumrock.cli._trace",
    "laburnumrock.standins._load",
)
# Exceeds the 5 s after which an instance reports that the log cannot accept a change; a shorter
# timeout would hide the reason.
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
    name = operator or _get_user_name()
    context.obj = OperatorClient(list(server), operator_key_file, timeout, name)


def build_program() -> click.Group:
    """Return the top-level command group with all registered subcommands."""
    for module in COMMAND_MODULES:
        importlib.import_module(module)
    options = [
        click.Option(
            ["--server"],
            multiple=True,
            envvar="LABURNUMROCK_SERVER",
            metavar="URL",
            help="Base URL of an instance; repeat to add others, which are tried in order.",
        ),
        click.Option(
            ["--operator-key-file"],
            type=click.Path(path_type=Path, dir_okay=False),
            envvar="LABURNUMROCK_OPERATOR_KEY_FILE",
            help="File with the operator key.",
        ),
        click.Option(
            ["--operator"], help="Name recorded in the history; the login name by default."
        ),
        click.Option(
            ["--timeout"],
            type=click.FloatRange(min=0.1),
            default=DEFAULT_TIMEOUT_S,
            show_default=True,
            help="Maximum time to wait for one response, in seconds.",
        ),
    ]
    program = click.Group("laburnumrock", callback=_store_client, params=options, help=_HELP)
    for command in COMMANDS.values():
        program.add_command(command)
    return program


def _get_user_name() -> str:
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "operator"
