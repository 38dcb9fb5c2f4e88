"""Fault-injecting loopback TCP proxy: delays, pauses, one-way pauses and connection resets."""

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

BLOCK_BYTES = 64 * 1024


@dataclass(slots=True)
class FaultyProxy:
    """Forwards connections from one local port to another, with injected faults.

    Parameters
    ----------
    host : str
        IP address of both ports.
    port, target_port : int
        Listening port, and port to which connections are forwarded.
    delay_s : float
        Delay before every block of bytes, in seconds.
    inbound_open, outbound_open : asyncio.Event
        Cleared while data towards the target, or from it, is held back.
    """

    host: str
    port: int
    target_port: int
    delay_s: float = 0.0
    inbound_open: asyncio.Event = field(default_factory=asyncio.Event)
    outbound_open: asyncio.Event = field(default_factory=asyncio.Event)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Open the port."""
        self.inbound_open.set()
        self.outbound_open.set()
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def pause_forwarding(self, one_way: bool) -> None:
        """Hold data back in both directions, or only towards the target if `one_way`."""
        self.inbound_open.clear()
        if not one_way:
            self.outbound_open.clear()

    def heal(self) -> None:
        """Remove the delay and resume forwarding."""
        self.delay_s = 0.0
        self.inbound_open.set()
        self.outbound_open.set()

    def abandon(self) -> None:
        """Stop forwarding on open connections permanently; new ones work normally."""
        self.inbound_open.clear()
        self.outbound_open.clear()
        self.inbound_open, self.outbound_open = asyncio.Event(), asyncio.Event()
        self.heal()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self.writers):
            # Without this option, a connection that is closed with nothing unread ends in order.
            option = struct.pack("ii", 1, 0)
            with contextlib.suppress(OSError):
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
            writer.transport.abort()

    def close(self) -> None:
        """Close the port and all connections, as the kernel does for a process that ended."""
        for writer in list(self.writers):
            writer.transport.abort()
        if self.server is not None:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # asyncio in Python 3.11 logs a traceback when the connection callback of a server is
        # cancelled, which happens when a run ends while connections are open.
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward(reader, writer)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        opened = [writer]
        self.writers.add(writer)
        try:
            await self.inbound_open.wait()
            target_reader, target = await asyncio.open_connection(self.host, self.target_port)
            opened.append(target)
            self.writers.add(target)
            await asyncio.gather(
                self._pump(reader, target, self.inbound_open),
                self._pump(target_reader, writer, self.outbound_open),
            )
        except OSError:
            # The target is not listening: the client sees a broken connection, as without a proxy.
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
