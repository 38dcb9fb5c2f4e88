"""Load balancer emulator: distributes TCP connections over the ready entry instances."""

import asyncio
from dataclasses import dataclass

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.web import Application, RequestHandler

from laburnumrock.standins._streams import open_backend, relay_streams

POLL_INTERVAL_S = 0.2
POLL_TIMEOUT_S = 0.5
CONNECT_TIMEOUT_S = 0.5


@dataclass(slots=True)
class Backend:
    """Entry instance that receives connections.

    Parameters
    ----------
    host, port : str, int
        Address for client connections.
    is_ready : bool
        Whether the last ``GET /ready`` health check returned 200.
    connections : int
        Number of connections relayed so far.
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
    """Parse ``host:port``."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Balancer:
    """Round-robin load balancer over the ready instances.

    If a connection to an instance cannot be opened, the next ready instance is tried.

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
        """Run the first health checks, then open the client port and check periodically."""
        await asyncio.gather(*(self._poll(backend) for backend in self.backends))
        self.tasks = [
            asyncio.create_task(self._poll_periodically(backend)) for backend in self.backends
        ]
        self.server = await asyncio.start_server(self._relay, host, port, backlog=1_024)

    async def stop(self) -> None:
        """Stop immediately; open connections are not drained."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.server is not None:
            self.server.close()
        self.client.close()

    def list_candidates(self) -> list[Backend]:
        """Return the ready instances in round-robin order."""
        ready = [backend for backend in self.backends if backend.is_ready]
        if not ready:
            return []
        offset = self.next_index % len(ready)
        self.next_index += 1
        return ready[offset:] + ready[:offset]

    async def _poll_periodically(self, backend: Backend) -> None:
        while True:
            await self._poll(backend)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _poll(self, backend: Backend) -> None:
        try:
            url = f"http://{backend.address}/ready"
            response = await self.client.fetch(
                url, connect_timeout=POLL_TIMEOUT_S, request_timeout=POLL_TIMEOUT_S
            )
            backend.is_ready = response.code == 200
        except (HTTPError, OSError):
            backend.is_ready = False

    async def _relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for backend in self.list_candidates():
            opened = await open_backend(backend.host, backend.port, CONNECT_TIMEOUT_S)
            if opened is not None:
                backend.connections += 1
                await relay_streams((reader, writer), opened)
                return
        writer.transport.abort()


class BackendsHandler(RequestHandler):
    """``GET /backends``: readiness and connection count of each instance."""

    def initialize(self, balancer: Balancer) -> None:
        """Store the balancer."""
        self.balancer = balancer

    def get(self) -> None:
        """Return the state of the instances."""
        backends = [
            {
                "address": backend.address,
                "ready": backend.is_ready,
                "connections": backend.connections,
            }
            for backend in self.balancer.backends
        ]
        self.finish({"backends": backends})


def make_balancer_application(balancer: Balancer) -> Application:
    """Build the tornado application of the control endpoint."""
    return Application(
        [(r"/backends", BackendsHandler, {"balancer": balancer})],
        log_function=lambda handler: None,
    )
