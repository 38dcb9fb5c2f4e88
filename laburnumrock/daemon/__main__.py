"""Command-line entry point of ``laburnumrockd``."""

import asyncio
import signal
import sys
from pathlib import Path

import click
from result import Err, Result

from laburnumrock.daemon._instance import Instance
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.metrics import Counters, open_counters, open_log
from laburnumrock.settings import InstanceKeys, InstanceSettings, load_settings, read_keys

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_LOG_FAILED = 4


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    help="JSON file with the settings of this instance.",
)
def main(settings_path: Path) -> None:
    """Run one instance of laburnumrock until SIGTERM or SIGINT.

    Exit status: 0 after a graceful shutdown, 2 for invalid settings, 3 when the instance cannot
    start, 4 when its replicated log failed at run time. After status 4 a restart reloads the log
    from disk and continues if it is intact.
    """
    settings = _unwrap(load_settings(settings_path))
    keys = _unwrap(read_keys(settings))
    with open_log(settings), open_counters(settings) as counters:
        result, has_started = asyncio.run(_run(settings, keys, counters))
    if result.is_err():
        click.echo(f"laburnumrockd: {result.unwrap_err()}", err=True)
        sys.exit(EXIT_LOG_FAILED if has_started else EXIT_CANNOT_START)


def _unwrap(result: Result):
    if result.is_err():
        click.echo(f"laburnumrockd: {result.unwrap_err()}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    return result.unwrap()


async def _run(
    settings: InstanceSettings, keys: InstanceKeys, counters: Counters
) -> tuple[Result[None, Failure], bool]:
    instance = Instance(settings, keys, counters)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, instance.request_stop)
    try:
        return await instance.run(), instance.has_started
    except OSError as error:
        if instance.has_started:
            raise
        detail = f"cannot listen: {error.strerror}"
        return Err(Failure(ErrorKind.INVALID_SETTINGS, detail)), False


if __name__ == "__main__":
    main()
