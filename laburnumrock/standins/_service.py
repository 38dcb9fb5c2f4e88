"""Process life cycle of the emulators: ports, signals and shutdown."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import click
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from laburnumrock.standins._application import ApplicationEngine

PORT_POLL_INTERVAL_S = 0.02


class Upstream(Protocol):
    """An emulated upstream."""

    async def start(self) -> None:
        """Start the background tasks."""

    async def stop(self) -> None:
        """Stop at once."""

    async def leave(self) -> None:
        """Announce ``leaving`` and wait until running work has ended."""


def listen(
    application: Application, host: str, port: int, max_body_bytes: int | None = None
) -> HTTPServer:
    """Open the HTTP port of an emulator."""
    server = HTTPServer(application, max_buffer_size=max_body_bytes, max_body_size=max_body_bytes)
    server.add_sockets(bind_sockets(port, host))
    return server


def run_until_signal(serve: Callable[[asyncio.Event], Awaitable[None]]) -> None:
    """Run a coroutine with an event that SIGTERM and SIGINT set.

    Parameters
    ----------
    serve : callable
        Coroutine function that returns once the event is set.
    """

    async def main() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        await serve(stopping)

    asyncio.run(main())


async def serve_upstreams(upstreams: list[Upstream], stopping: asyncio.Event) -> None:
    """Run upstreams until a stop signal, then shut them down gracefully.

    The ports of the upstreams must already be open.

    Parameters
    ----------
    upstreams : list of Upstream
        Upstreams of this process.
    stopping : asyncio.Event
        Event that the stop signal sets.
    """
    for upstream in upstreams:
        await upstream.start()
    click.echo(f"serving {len(upstreams)} upstreams")
    await stopping.wait()
    await asyncio.gather(*(upstream.leave() for upstream in upstreams))
    for upstream in upstreams:
        await upstream.stop()


async def sync_port_with_faults(engine: ApplicationEngine, application: Application) -> None:
    """Close the port of an application engine while `refuses_connections` is set."""
    options = engine.options
    server: HTTPServer | None = listen(application, options.host, options.port)
    while True:
        if engine.faults.refuses_connections and server is not None:
            server.stop()
            await server.close_all_connections()
            server = None
        elif not engine.faults.refuses_connections and server is None:
            server = listen(application, options.host, options.port)
        await asyncio.sleep(PORT_POLL_INTERVAL_S)
