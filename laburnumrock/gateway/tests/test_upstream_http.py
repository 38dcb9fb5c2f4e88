"""Tests of the HTTP client for upstreams."""

import asyncio
import contextlib
import time

import pytest

from laburnumrock.errors import ErrorKind
from laburnumrock.gateway._upstream_http import UpstreamCall, exchange

FULL_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


@contextlib.asynccontextmanager
async def _serve(answer, received):
    async def handle_connection(reader, writer):
        received.append(await reader.readuntil(b"\r\n\r\n"))
        writer.write(answer)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(handle_connection, "127.0.0.1", 0)
    async with server:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def _exchange(answer, received, **options):
    async with _serve(answer, received) as base_url:
        return await exchange(UpstreamCall(base_url, "POST", "/x", body=b"{}", **options))


class TestExchange:
    def test_whole_answer(self):
        """Guards against a complete response that is reported as a failure."""
        result = asyncio.run(_exchange(FULL_RESPONSE, []))
        assert result.unwrap().body == b"hello"

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
            b"HTTP/1.1 200 OK\r\n\r\nhello",
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"garbage\r\n\r\n",
        ],
        ids=["nothing", "short body", "open chunks", "no framing", "only 100", "garbage"],
    )
    def test_incomplete_answer_proves_nothing(self, answer):
        """Guards against a partial response that is taken as complete, or as proof of "not run"."""
        failure = asyncio.run(_exchange(answer, [])).unwrap_err()
        assert failure.kind is ErrorKind.UPSTREAM_FAILED

    def test_head_that_ends_early(self):
        """Guards against a success made of an answer whose upstream stopped in its head."""

        async def run():
            head = FULL_RESPONSE[:-5]
            for cut in range(1, len(head) - 1):
                failure = (await _exchange(head[:cut], [])).unwrap_err()
                assert failure.kind is ErrorKind.UPSTREAM_FAILED, head[:cut]

        asyncio.run(run())

    def test_refused_connection_proves_not_run(self):
        """Guards against an unknown outcome when nothing can have been sent."""

        async def run():
            async with _serve(FULL_RESPONSE, []) as base_url:
                pass
            return await exchange(UpstreamCall(base_url, "GET", "/"))

        assert asyncio.run(run()).unwrap_err().kind is ErrorKind.CONNECTION_FAILED

    def test_nothing_is_sent_after_the_dispatch_window(self):
        """Guards against a request sent after its deadline, when it may be settled as not run.

        This happens when a process is frozen before sending and resumes later.
        """
        received = []
        result = asyncio.run(
            _exchange(FULL_RESPONSE, received, send_deadline_s=time.monotonic() - 1)
        )
        assert result.unwrap_err().kind is ErrorKind.CONNECTION_FAILED
        assert received == []
