"""Network emulator: relayed TCP links that can be cut, restored and delayed."""

import asyncio
import json
from dataclasses import dataclass, field

from tornado.web import Application, RequestHandler

from laburnumrock.standins._balancer import parse_address
from laburnumrock.standins._streams import open_backend, relay_streams

CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Link:
    """Relay of TCP connections from a local port to a target address.

    Parameters
    ----------
    name : str
        Name in the control endpoint.
    port : int
        Local port.
    target_host, target_port : str, int
        Address to which connections are relayed.
    delay_s : float
        Delay before every block of bytes, in seconds.
    is_open : asyncio.Event
        Cleared while the link is cut.
    connections : set of asyncio.Task
        Tasks of the open connections.
    """

    name: str
    port: int
    target_host: str
    target_port: int
    delay_s: float = 0.0
    is_open: asyncio.Event = field(default_factory=asyncio.Event)
    connections: set[asyncio.Task] = field(default_factory=set)

    async def hold(self) -> None:
        """Wait for the delay of the link and, if the link is cut, until it is restored."""
        if self.delay_s > 0:
            await asyncio.sleep(self.delay_s)
        await self.is_open.wait()

    async def relay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection."""
        task = asyncio.current_task()
        self.connections.add(task)
        try:
            await self.hold()
            opened = await open_backend(self.target_host, self.target_port, CONNECT_TIMEOUT_S)
            if opened is not None:
                await relay_streams((reader, writer), opened, self.hold)
        except asyncio.CancelledError:
            pass
        finally:
            self.connections.discard(task)
            writer.transport.abort()


def parse_link(text: str, host: str) -> Link:
    """Parse ``NAME=PORT:TARGET_HOST:TARGET_PORT``."""
    name, _, rest = text.partition("=")
    port, _, target = rest.partition(":")
    target_host, target_port = parse_address(target)
    link = Link(name, int(port), target_host or host, target_port)
    link.is_open.set()
    return link


class Relay:
    """Set of named links.

    A cut link behaves like a network partition: open connections stay open and new ones are
    accepted, but no data is transferred. `reset` also closes the open connections.

    Parameters
    ----------
    links : list of Link
        Links to serve.
    """

    def __init__(self, links: list[Link]) -> None:
        self.links = {link.name: link for link in links}
        self.servers: list[asyncio.Server] = []

    async def start(self, host: str) -> None:
        """Open the port of every link."""
        for link in self.links.values():
            server = await asyncio.start_server(link.relay, host, link.port)
            self.servers.append(server)

    async def stop(self) -> None:
        """Close all ports and connections."""
        for server in self.servers:
            server.close()
        for link in self.links.values():
            self._reset(link)

    def change(
        self,
        names: list[str],
        is_open: bool | None = None,
        delay_s: float | None = None,
        reset: bool = False,
    ) -> None:
        """Cut, restore, delay or reset links.

        Parameters
        ----------
        names : list of str
            Links to change.
        is_open : bool, optional
            ``False`` cuts the links and ``True`` restores them.
        delay_s : float, optional
            New delay in seconds.
        reset : bool
            Whether to close open connections.
        """
        for name in names:
            link = self.links[name]
            if is_open is not None:
                (link.is_open.set if is_open else link.is_open.clear)()
            if delay_s is not None:
                link.delay_s = delay_s
            if reset:
                self._reset(link)

    def _reset(self, link: Link) -> None:
        for connection in list(link.connections):
            connection.cancel()


class LinksHandler(RequestHandler):
    """``GET|POST /links``: returns or changes the state of the links."""

    def initialize(self, relay: Relay) -> None:
        """Store the relay."""
        self.relay = relay

    def get(self) -> None:
        """Return the state of the links."""
        links = [
            {
                "name": link.name,
                "open": link.is_open.is_set(),
                "delay_s": link.delay_s,
                "connections": len(link.connections),
            }
            for link in self.relay.links.values()
        ]
        self.finish({"links": links})

    def post(self) -> None:
        """Change links: ``{names, open?, delay_s?, reset?}``."""
        body = json.loads(self.request.body)
        unknown = [name for name in body["names"] if name not in self.relay.links]
        if unknown:
            self.set_status(404)
            self.finish({"unknown": unknown})
            return
        self.relay.change(
            body["names"], body.get("open"), body.get("delay_s"), bool(body.get("reset"))
        )
        self.finish({"changed": len(body["names"])})


def make_relay_application(relay: Relay) -> Application:
    """Build the tornado application of the control endpoint."""
    return Application(
        [(r"/links", LinksHandler, {"relay": relay})], log_function=lambda handler: None
    )
