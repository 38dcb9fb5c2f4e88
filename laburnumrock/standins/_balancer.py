"""Load balancer emulator: spreads TCP connections over the entry instances that are ready."""

import asyncio
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.web import Application, RequestHandler

from laburnumrock.standins._streams import join_streams, open_backend

POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5


@dataclass(slots=True)
class Backend:
    """One entry instance.

    Parameters
    ----------
    host, port : str, int
        Caller address.
    is_ready : bool
        Whether the last poll of ``GET /ready`` was answered with 200.
    connections : int
        Connections relayed so far.
    """

    host: str
    port: int
    is_ready: bool = False
    connections: int = 0

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> tuple[str, int]:
    """Split ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Balancer:
    """Round robin over ready instances; a connection that fails to open goes to the next one.

    Parameters
    ----------
    addresses : list of str
        Entry instances as ``host:port``.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.backends = [Backend(*parse_address(address)) for address in addresses]
        self.next_index = 0
        self.client = AsyncHTTPClient(force_instance=True, max_clients=len(addresses) + 1)
        self.server: asyncio.Server | None = None
        self.tasks: list[asyncio.Task] = []

    async def start(self, host: str, port: int) -> None:
        """Open the client-side port and begin to poll."""
        await asyncio.gather(*(self._poll(backend) for backend in self.backends))
        self.tasks = [asyncio.create_task(self._poll_often(each)) for each in self.backends]
        self.server = await asyncio.start_server(self._relay, host, port, backlog=1_024)

    async def stop(self) -> None:
        """Stop at once."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.server is not None:
            self.server.close()
        self.client.close()

    def choose(self) -> list[Backend]:
        """Return the ready instances, the next one in turn first."""
        ready = [backend for backend in self.backends if backend.is_ready]
        if not ready:
            return []
        first = self.next_index % len(ready)
        self.next_index += 1
        return ready[first:] + ready[:first]

    async def _poll_often(self, backend: Backend) -> None:
        while True:
            await self._poll(backend)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self, backend: Backend) -> None:
        try:
            url = f"http://{backend.address}/ready"
            answer = await self.client.fetch(
                url, connect_timeout=POLL_TIMEOUT_S, request_timeout=POLL_TIMEOUT_S
            )
            backend.is_ready = answer.code == 200
        except (HTTPError, OSError):
            backend.is_ready = False

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for backend in self.choose():
            opened = await open_backend(backend.host, backend.port, CONNECT_TIMEOUT_S)
            if opened is not None:
                backend.connections += 1
                await join_streams((reader, writer), opened)
                return
        writer.transport.abort()


class BackendsHandler(RequestHandler):
    """``GET /backends``: readiness and connections of each instance."""

    def initialize(self, balancer: Balancer) -> None:
        """Store the balancer."""
        self.balancer = balancer

    def get(self) -> None:
        """Report the instances."""
        backends = [
            {"address": one.address, "ready": one.is_ready, "connections": one.connections}
            for one in self.balancer.backends
        ]
        self.finish({"backends": backends})


def make_balancer_application(balancer: Balancer) -> Application:
    """Build the control endpoint of a balancer."""
    return Application(
        [(r"/backends", BackendsHandler, {"balancer": balancer})],
        log_function=lambda handler: None,
    )
