"""Life cycle shared by the emulator programs."""

import asyncio
import signal
from collections.abc import Awaitable, Callable
from typing import Protocol

import click
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from laburnumrock.standins._application import ApplicationEngine

REFUSAL_POLL_S = 0.02


class Upstream(Protocol):
    """An emulated upstream."""

    async def start(self) -> None:
        """Start tasks."""

    async def stop(self) -> None:
        """Stop at once."""

    async def leave(self) -> None:
        """Finish what runs."""


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
        Coroutine function that returns after the event was set.
    """

    async def main() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        await serve(stopping)

    asyncio.run(main())


async def serve_upstreams(upstreams: list[Upstream], stopping: asyncio.Event) -> None:
    """Run upstreams whose ports are open until a signal, then let them leave.

    Parameters
    ----------
    upstreams : list of Upstream
        What this process hosts.
    stopping : asyncio.Event
        Set by the signal to stop.
    """
    for upstream in upstreams:
        await upstream.start()
    click.echo(f"serving {len(upstreams)} upstreams")
    await stopping.wait()
    await asyncio.gather(*(upstream.leave() for upstream in upstreams))
    for upstream in upstreams:
        await upstream.stop()


async def follow_refusals(engine: ApplicationEngine, application: Application) -> None:
    """Close and open the port of an application engine as its faults say."""
    options = engine.options
    server: HTTPServer | None = listen(application, options.host, options.port)
    while True:
        if engine.faults.refuses_connections and server is not None:
            server.stop()
            await server.close_all_connections()
            server = None
        elif not engine.faults.refuses_connections and server is None:
            server = listen(application, options.host, options.port)
        await asyncio.sleep(REFUSAL_POLL_S)
