"""Loopback proxy before one port: connections that are delayed, silenced, cut one way or reset."""

import asyncio
import contextlib
from dataclasses import dataclass, field

BLOCK_BYTES = 64 * 1024


@dataclass(slots=True)
class FaultyProxy:
    """Forwards a port to another one.

    Parameters
    ----------
    host : str
        IP number of both ports.
    port, target_port : int
        Where connections arrive and go.
    """

    host: str
    port: int
    target_port: int
    delay_s: float = 0.0
    inbound: asyncio.Event = field(default_factory=asyncio.Event)
    outbound: asyncio.Event = field(default_factory=asyncio.Event)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the port."""
        self.inbound.set()
        self.outbound.set()
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def pause_forwarding(self, one_way: bool) -> None:
        """Hold back everything, or everything that goes towards the target."""
        self.inbound.clear()
        if not one_way:
            self.outbound.clear()

    def heal(self) -> None:
        """Forward again."""
        self.delay_s = 0.0
        self.inbound.set()
        self.outbound.set()

    def abandon(self) -> None:
        """Leave open connections silent for good; new ones work."""
        self.inbound.clear()
        self.outbound.clear()
        self.inbound, self.outbound = asyncio.Event(), asyncio.Event()
        self.heal()

    def reset(self) -> None:
        """Break all connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    def close(self) -> None:
        """Close the port and all connections."""
        self.reset()
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # asyncio of Python 3.11 prints a traceback for a cancelled callback of a server, and the
        # run may end while connections are open.
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward(reader, writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened = [writer]
        self.writers.add(writer)
        try:
            await self.inbound.wait()
            target_reader, target = await asyncio.open_connection(self.host, self.target_port)
            opened.append(target)
            self.writers.add(target)
            await asyncio.gather(
                self._pump(reader, target, self.inbound),
                self._pump(target_reader, writer, self.outbound),
            )
        except OSError:
            # The target does not listen: the caller sees a broken connection, as without a proxy.
            return
        finally:
            for one in opened:
                self.writers.discard(one)
                one.transport.abort()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, is_open: asyncio.Event
    ) -> None:
        with contextlib.suppress(OSError, RuntimeError):
            while data := await reader.read(BLOCK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await is_open.wait()
                writer.write(data)
                await writer.drain()
            writer.write_eof()
