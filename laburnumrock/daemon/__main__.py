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
from laburnumrock.signals import deliver_signals, hold_signals

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_LOG_FAILED = 4
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path, dir_okay=False),
    required=True,
    help="JSON file with the settings of this instance.",
)
@click.pass_obj
def main(holds_signals: bool | None, settings_path: Path) -> None:
    """Run one instance of laburnumrock until SIGTERM or SIGINT.

    Exit status: 0 after a graceful shutdown, 2 for invalid settings, 3 when the instance cannot
    start, 4 when its replicated log failed at run time. After status 4 a restart reloads the log
    from disk and continues if it is intact.
    """
    settings = _unwrap(load_settings(settings_path))
    keys = _unwrap(read_keys(settings))
    with open_log(settings), open_counters(settings) as counters:
        result, has_started = asyncio.run(_run(settings, keys, counters, bool(holds_signals)))
    if result.is_err():
        click.echo(f"laburnumrockd: {result.unwrap_err()}", err=True)
        sys.exit(EXIT_LOG_FAILED if has_started else EXIT_CANNOT_START)


def _unwrap(result: Result):
    if result.is_err():
        click.echo(f"laburnumrockd: {result.unwrap_err()}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    return result.unwrap()


async def _run(
    settings: InstanceSettings,
    keys: InstanceKeys,
    counters: Counters,
    holds_signals: bool,
) -> tuple[Result[None, Failure], bool]:
    instance = Instance(settings, keys, counters)
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, instance.request_stop)
    if holds_signals:
        deliver_signals(STOP_SIGNALS)
    try:
        return await instance.run(), instance.has_started
    except OSError as error:
        if instance.has_started:
            raise
        detail = f"cannot listen: {error.strerror}"
        return Err(Failure(ErrorKind.INVALID_SETTINGS, detail)), False
    finally:
        if holds_signals:
            hold_signals(STOP_SIGNALS)


def run_process() -> None:
    """Run one instance as a process of its own.

    Notes
    -----
    The end of the event loop restores the default action of the stop signals. A signal that a
    supervisor repeats then would end the stopped process with a failure status, so the signals are
    held from there to the exit. They are held at the start too, since a thread that is started
    while they are not would still get them at the end.
    """
    hold_signals(STOP_SIGNALS)
    main(obj=True)


if __name__ == "__main__":
    run_process()
