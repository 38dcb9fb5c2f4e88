"""Command that the platform runs: ``python3 -m laburnumrock.platform entry|core``."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import TYPE_CHECKING

from laburnumrock.signals import deliver_signals, hold_signals

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
"""Signals that the event loop handles; without its handlers each of them ends the process."""

if __name__ == "__main__":
    # The imports below take most of the start; a SIGHUP would end the process meanwhile.
    hold_signals(HANDLED_SIGNALS)

import click  # noqa: E402
from eliot import log_message  # noqa: E402

from laburnumrock.metrics import LogLimits, open_log_writer  # noqa: E402
from laburnumrock.nodes import NodeSettings  # noqa: E402
from laburnumrock.platform._routes import decode_routes  # noqa: E402
from laburnumrock.platform._settings import SETTINGS_VARIABLE, load_settings  # noqa: E402
from laburnumrock.platform._status import listen_metrics, listen_readiness  # noqa: E402

if TYPE_CHECKING:
    from laburnumrock.nodes import CoreNode, EntryNode

EXIT_INVALID_SETTINGS = 2
EXIT_CANNOT_START = 3
EXIT_LOG_FAILED = 4
SETTINGS_CHECK_S = 2.0
"""Interval at which the settings file is checked for a change that came without SIGHUP.

Operators allow more time than this for a change to take effect.
"""
_WATCH_TASKS: set[asyncio.Task] = set()
PEER_KEY = b"laburnumrock"
"""Key with which nodes authenticate each other.

It is not secret, since the platform provides no secrets to its processes; the peer ports are
reachable only from nodes of the system.
"""


@click.command()
@click.argument("role", type=click.Choice(["entry", "core"]))
def main(role: str) -> None:
    """Run one process until SIGTERM.

    Exit status: 0 after a graceful shutdown, 2 for invalid settings, 3 if the process cannot start,
    4 if its replicated log fails while it runs. A full disk is no failure of the log.
    """
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    loaded = load_settings(path)
    if loaded.is_err():
        click.echo(f"laburnumrock: {loaded.unwrap_err()}", err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    settings = loaded.unwrap()
    common_fields = {"instance": settings.instance_id, "failure_domain": settings.failure_domain}
    run = _run_core if role == "core" else _run_entry
    with open_log_writer(common_fields, LogLimits()):
        status = asyncio.run(_run_and_hold_signals(run(settings, path)))
    sys.exit(status)


async def _run_and_hold_signals(run: Coroutine[None, None, int]) -> int:
    """Run a node, and hold signals before the event loop removes their handlers."""
    try:
        return await run
    finally:
        hold_signals(HANDLED_SIGNALS)


async def _run_entry(settings: NodeSettings, path: Path) -> int:
    # Each role imports only its own modules, because every import lengthens each restart.
    from laburnumrock.nodes import EntryNode
    from laburnumrock.platform._wire import PlatformWire

    node = EntryNode(settings, PEER_KEY, decode_routes, PlatformWire())
    stop = _handle_signals(node, path)
    await node.start()
    if settings.readiness is not None:
        listen_readiness(node, *settings.readiness)
    listen_metrics(node.metrics, settings.instance_id)
    await stop.wait()
    await node.stop()
    return 0


async def _run_core(settings: NodeSettings, path: Path) -> int:
    from laburnumrock.nodes import CoreNode
    from laburnumrock.platform._control import listen_control

    node = CoreNode(settings, PEER_KEY, decode_routes)
    stop = _handle_signals(node, path)
    started = await node.start()
    if started.is_err():
        click.echo(f"laburnumrock: {started.unwrap_err()}", err=True)
        return EXIT_CANNOT_START
    listen_control(node, settings.listen.host, settings.listen.caller_port)
    listen_metrics(node.metrics, settings.instance_id)
    failed = asyncio.create_task(node.log.wait_until_failed())
    stopped = asyncio.create_task(stop.wait())
    await asyncio.wait((failed, stopped), return_when=asyncio.FIRST_COMPLETED)
    if failed.done():
        return EXIT_LOG_FAILED
    await node.stop()
    return 0


def _handle_signals(node: EntryNode | CoreNode, path: Path) -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reload_settings(node, path))
    deliver_signals(HANDLED_SIGNALS)
    watch_task = asyncio.create_task(_watch_settings_file(node, path))
    # The event loop keeps only weak references to tasks.
    _WATCH_TASKS.add(watch_task)
    return stop


async def _watch_settings_file(node: EntryNode | CoreNode, path: Path) -> None:
    """Reload the settings file whenever its modification time changes."""
    last_mtime_ns = _read_mtime_ns(path)
    while True:
        await asyncio.sleep(SETTINGS_CHECK_S)
        mtime_ns = _read_mtime_ns(path)
        if mtime_ns != last_mtime_ns:
            last_mtime_ns = mtime_ns
            _reload_settings(node, path)


def _read_mtime_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError:
        # The file is being replaced; the next check finds the new one.
        return 0


def _reload_settings(node: EntryNode | CoreNode, path: Path) -> None:
    loaded = load_settings(path)
    if loaded.is_err():
        log_message("settings_invalid", failure=str(loaded.unwrap_err()))
        return
    node.reload(loaded.unwrap())


if __name__ == "__main__":
    main()
