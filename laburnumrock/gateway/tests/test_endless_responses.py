"""Tests of upstreams that send bytes without end to the client of the own interface."""

import asyncio
import time

import pytest

from laburnumrock.errors import ErrorKind
from laburnumrock.gateway import _upstream_http
from laburnumrock.gateway._upstream_http import UpstreamCall, exchange

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_SENT_BYTES = 256 * 1024 * 1024
FLOODS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 4096),
    "header lines": (OK, b"X-Name: value\r\n" * 300),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "chunk size": (CHUNKED, b"0" * 4096),
    "chunk extension": (CHUNKED, b"1;" + b"x" * 4096),
    "body without length": (OK + b"\r\n", b"x" * 65536),
    "large chunks": (CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "small chunks": (CHUNKED, b"1\r\nx\r\n" * 4096),
    "no HTTP": (b"", b"\x00\xff" * 2048),
}


class Flood:
    """Upstream that repeats some bytes after a prefix until the connection is closed."""

    def __init__(self, prefix: bytes, repeated: bytes) -> None:
        self.prefix = prefix
        self.repeated = repeated
        self.sent_bytes = 0

    async def handle(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self.prefix)
        while self.sent_bytes < MAX_SENT_BYTES and not writer.is_closing():
            writer.write(self.repeated)
            self.sent_bytes += len(self.repeated)
            await writer.drain()
        writer.close()

    async def call(self, on_data=None):
        server = await asyncio.start_server(self.handle, "127.0.0.1", 0)
        async with server:
            base_url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
            async with asyncio.timeout(8.0):
                return await exchange(UpstreamCall(base_url, "POST", "/x"), on_data)


class TestEndlessResponses:
    @pytest.mark.parametrize("name", FLOODS)
    def test_flood_is_bounded(self, name):
        """Guards against an upstream that fills the memory of the process, or is read for ever."""
        flood = Flood(*FLOODS[name])
        failure = asyncio.run(flood.call()).unwrap_err()
        assert failure.kind is ErrorKind.UPSTREAM_FAILED
        assert flood.sent_bytes < _upstream_http.MAX_RESPONSE_BYTES + 16 * 1024 * 1024
        assert _upstream_http.HELD_BYTES.size == 0

    def test_body_without_length_ends_at_once(self):
        """Guards against a body that is held until the end of its connection, though it can never
        count as complete.
        """
        flood = Flood(*FLOODS["body without length"])
        asyncio.run(flood.call())
        assert flood.sent_bytes < 16 * 1024 * 1024

    def test_relayed_small_chunks_end(self):
        """Guards against a stream of chunks of one byte that takes all CPU time of the process."""
        flood = Flood(*FLOODS["small chunks"])
        relayed = []

        async def relay(chunk: bytes) -> None:
            relayed.append(chunk)

        began_s = time.monotonic()
        assert asyncio.run(flood.call(relay)).is_err()
        assert time.monotonic() - began_s < 4.0
        assert len(relayed) < 100_000

    def test_many_floods_share_a_memory_limit(self, monkeypatch):
        """Guards against responses that are each within their limit but exceed the memory of the
        process together.
        """
        limit = 4 * 1024 * 1024
        monkeypatch.setattr(_upstream_http.HELD_BYTES, "limit", limit)
        largest = 0

        async def run():
            nonlocal largest
            floods = [Flood(*FLOODS["large chunks"]) for _ in range(4)]
            calls = [asyncio.create_task(flood.call()) for flood in floods]
            while not all(call.done() for call in calls):
                largest = max(largest, _upstream_http.HELD_BYTES.size)
                await asyncio.sleep(0.001)
            assert all(call.result().is_err() for call in calls)

        asyncio.run(run())
        assert largest <= limit + 4 * 128 * 1024
        assert _upstream_http.HELD_BYTES.size == 0
