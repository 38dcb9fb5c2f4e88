"""Relaying of bytes between two TCP connections."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

COPY_BYTES = 65_536
BeforeWrite = Callable[[], Awaitable[None]]


async def open_backend(
    host: str, port: int, timeout_s: float
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
    """Connect to an address; return ``None`` on failure or time-out."""
    try:
        async with asyncio.timeout(timeout_s):
            return await asyncio.open_connection(host, port)
    except (OSError, TimeoutError):
        return None


async def copy_bytes(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    before_write: BeforeWrite | None = None,
) -> None:
    """Copy bytes until EOF, then send EOF to the output.

    Parameters
    ----------
    reader, writer : asyncio streams
        Source and destination.
    before_write : coroutine function, optional
        Awaited before each block and the EOF are written.
    """
    with contextlib.suppress(OSError):
        while data := await reader.read(COPY_BYTES):
            if before_write is not None:
                await before_write()
            writer.write(data)
            await writer.drain()
        if before_write is not None:
            await before_write()
        if writer.can_write_eof():
            writer.write_eof()
        return
    # After an error on one side, the other is aborted too, or its peer would wait forever.
    writer.transport.abort()


async def relay_streams(
    client: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    backend: tuple[asyncio.StreamReader, asyncio.StreamWriter],
    before_write: BeforeWrite | None = None,
) -> None:
    """Relay data in both directions until both have reached EOF, then close."""
    directions = [
        asyncio.ensure_future(copy_bytes(client[0], backend[1], before_write)),
        asyncio.ensure_future(copy_bytes(backend[0], client[1], before_write)),
    ]
    try:
        await asyncio.gather(*directions)
    finally:
        for direction in directions:
            direction.cancel()
        client[1].close()
        backend[1].close()
