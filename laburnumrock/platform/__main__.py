"""Program that the platform starts: ``python3 -m laburnumrock.platform entry|core``."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import click
from eliot import FileDestination, add_destinations, log_message

from laburnumrock.nodes import CoreNode, EntryNode, NodeSettings
from laburnumrock.platform._control import listen_control
from laburnumrock.platform._readiness import listen_readiness
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform._settings import SETTINGS_VARIABLE, load_settings
from laburnumrock.platform._wire import PlatformWire

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_LOG_FAILED = 4
PEER_KEY = b"laburnumrock"
"""The platform gives its processes no secret; only the system's own nodes reach their ports."""


@click.command()
@click.argument("role", type=click.Choice(["entry", "core"]))
def main(role: str) -> None:
    """Run one process until SIGTERM.

    Exit status: 0 after a planned stop, 2 for invalid settings, 3 when the process cannot start,
    4 when its replicated log failed while it ran.
    """
    loaded = load_settings(Path(os.environ.get(SETTINGS_VARIABLE, "")))
    if loaded.is_err():
        click.echo(f"laburnumrock: {loaded.unwrap_err()}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = loaded.unwrap()
    add_destinations(FileDestination(sys.stdout))
    run = _run_core if role == "core" else _run_entry
    sys.exit(asyncio.run(run(settings)))


async def _run_entry(settings: NodeSettings) -> int:
    node = EntryNode(settings, PEER_KEY, decode_routes, PlatformWire())
    stop = _watch_signals()
    await node.start()
    if settings.readiness is not None:
        listen_readiness(node, *settings.readiness)
    await stop.wait()
    await node.stop()
    return 0


async def _run_core(settings: NodeSettings) -> int:
    node = CoreNode(settings, PEER_KEY, decode_routes)
    stop = _watch_signals()
    started = await node.start()
    if started.is_err():
        click.echo(f"laburnumrock: {started.unwrap_err()}", err=True)
        return EXIT_CANNOT_START
    listen_control(node, settings.listen.host, settings.listen.caller_port)
    failed = asyncio.create_task(node.log.wait_failed())
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait((failed, stopped), return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        return EXIT_LOG_FAILED
    await node.stop()
    return 0


def _watch_signals() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: log_message("settings_changed"))
    return stop


if __name__ == "__main__":
    main()
