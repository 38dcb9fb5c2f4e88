"""Copying of bytes between two TCP connections."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

COPY_BYTES = 65_536
Hold = Callable[[], Awaitable[None]]


async def open_backend(
    host: str, port: int, timeout_s: float
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Connect to an address; ``None`` if it cannot be reached in time."""
    try:
        return await asyncio.wait_for(asyncio.open_connection(host, port), timeout_s)
    except (OSError, TimeoutError):
        return None


async def copy_bytes(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, hold: Hold | None = None
) -> None:
    """Copy until the end of the input, and pass the end on.

    Parameters
    ----------
    reader, writer : asyncio streams
        Input and output.
    hold : coroutine function, optional
        Awaited before each block is written.
    """
    with contextlib.suppress(OSError):
        while data := await reader.read(COPY_BYTES):
            if hold is not None:
                await hold()
            writer.write(data)
            await writer.drain()
        if hold is not None:
            await hold()
        if writer.can_write_eof():
            writer.write_eof()
        return
    # A broken side must break the other one too, or the peer would wait for it in vain.
    writer.transport.abort()


async def join_streams(
    client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    backend: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    hold: Hold | None = None,
) -> None:
    """Relay both directions of a connection until both have ended."""
    directions = [
        asyncio.ensure_future(copy_bytes(client[0], backend[1], hold)),
        asyncio.ensure_future(copy_bytes(backend[0], client[1], hold)),
    ]
    try:
        await asyncio.gather(*directions)
    finally:
        for direction in directions:
            direction.cancel()
        client[1].close()
        backend[1].close()
