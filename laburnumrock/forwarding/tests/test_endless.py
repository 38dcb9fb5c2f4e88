"""Upstreams that send bytes without end, and streams that are slow but sound."""

import asyncio
import socket
import time

import pytest

from laburnumrock.dispatch import SendOutcome
from laburnumrock.forwarding._exchange import HELD_BYTES, MAX_RESPONSE_BYTES
from laburnumrock.forwarding.tests.scripted import (
    HOST,
    ScriptedUpstream,
    answer,
    make_event,
    make_head,
    make_request,
    open_frontend,
    read_response,
    stream,
    write_chunk,
)

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))
MAX_SENT_BYTES = 64 * 1024 * 1024
STREAM_HEADERS = {"Content-Type": "text/event-stream"}


class Flood:
    """Script that repeats some bytes after a prefix until the connection is closed."""

    def __init__(self, prefix, repeated: bytes, pause_s: float = 0.0) -> None:
        self.prefix = prefix
        self.repeated = repeated
        self.pause_s = pause_s
        self.sent_bytes = 0

    async def __call__(self, reader, writer, received) -> None:
        writer.write(self.prefix(received) if callable(self.prefix) else self.prefix)
        while self.sent_bytes < MAX_SENT_BYTES and not writer.is_closing():
            writer.write(self.repeated)
            self.sent_bytes += len(self.repeated)
            await writer.drain()
            if self.pause_s:
                await asyncio.sleep(self.pause_s)
        writer.close()


def head(length: int | None = None, **headers: str):
    return lambda received: make_head(200, received, True, length, headers)


def head_without_length(received) -> bytes:
    framing = b"Transfer-Encoding: chunked\r\n"
    return make_head(200, received, True, None, {}).replace(framing, b"")


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


FLOODS = {
    "status line": (b"HTTP/1.1 200 ", b"x" * 4096),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-Name: value\r\n" * 300),
    "one header": (b"HTTP/1.1 200 OK\r\nX-Name: ", b"x" * 4096),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    "chunk size": (head(), b"0" * 4096),
    "chunk extension": (head(), b"1;" + b"x" * 4096),
    "body without length": (head_without_length, b"x" * 65536),
    "large chunks": (head(), chunk(b"x" * 65536)),
    "small chunks": (head(), chunk(b"x") * 4096),
    "no HTTP": (b"", b"\x00\xff" * 2048),
}


class TestEndlessResponses:
    @pytest.mark.parametrize("name", FLOODS)
    def test_flood_is_bounded_and_the_request_counts_as_run(self, name):
        """Guards against an upstream that fills the memory of the process or holds a request until
        its deadline, and against a retry of a request that may have run.
        """

        async def run():
            flood = Flood(*FLOODS[name])
            async with open_frontend(
                ScriptedUpstream(flood), ScriptedUpstream(answer())
            ) as frontend:
                response = await asyncio.wait_for(frontend.request("/once/x"), 3.0)
                assert response.status == 502
                assert frontend.dispatcher.outcomes == [SendOutcome.BROKEN]
                # The loopback sockets buffer a few MB beyond what the frontend reads.
                assert flood.sent_bytes < MAX_RESPONSE_BYTES + 16 * 1024 * 1024
                assert HELD_BYTES.size == 0

        asyncio.run(run())

    def test_idempotent_request_is_answered_by_another_upstream(self):
        """Guards against a flood that fails requests which another upstream can answer."""

        async def run():
            flood = Flood(*FLOODS["body without length"])
            async with open_frontend(
                ScriptedUpstream(flood), ScriptedUpstream(answer())
            ) as frontend:
                response = await asyncio.wait_for(frontend.request("/r/x"), 2.0)
                assert (response.status, response.body) == (200, b"done")

        asyncio.run(run())

    def test_many_floods_share_a_memory_limit(self, monkeypatch):
        """Guards against responses that are each within their limit but exceed the memory of the
        process together.
        """
        monkeypatch.setattr(HELD_BYTES, "limit", 1024 * 1024)

        async def run():
            upstreams = [
                ScriptedUpstream(Flood(head(8_000_000), b"x" * 1000, 0.01)) for _ in range(3)
            ]
            filler = ScriptedUpstream(Flood(head(8_000_000), b"x" * 65536))
            async with open_frontend(filler, *upstreams) as frontend:
                responses = await asyncio.gather(
                    *(asyncio.wait_for(frontend.request("/once/x"), 3.0) for _ in range(4))
                )
                assert {response.status for response in responses} <= {502, 504}
                assert HELD_BYTES.size == 0

        asyncio.run(run())

    def test_small_response_while_others_use_up_the_memory_limit(self, monkeypatch):
        """Guards against floods at which the sound responses of other callers fail."""
        monkeypatch.setattr(HELD_BYTES, "limit", 1024 * 1024)

        async def hang_in_body(reader, writer, received) -> None:
            writer.write(head(8_000_000)(received) + b"x" * 1020 * 1024)
            await asyncio.sleep(2.0)
            writer.close()

        async def run():
            upstreams = ScriptedUpstream(hang_in_body), ScriptedUpstream(
                answer(200, b"y" * 32 * 1024)
            )
            async with open_frontend(*upstreams) as frontend:
                flooded = asyncio.create_task(frontend.request("/once/x", Deadline_Ms="1500"))
                async with asyncio.timeout(1.0):
                    while HELD_BYTES.size < 1020 * 1024:
                        await asyncio.sleep(0.01)
                response = await asyncio.wait_for(frontend.request("/once/x"), 1.0)
                assert (response.status, len(response.body)) == (200, 32 * 1024)
                assert (await flooded).status in (502, 504)
                assert HELD_BYTES.size == 0

        asyncio.run(run())


class TestStalledStreams:
    @pytest.mark.parametrize("repeated", [b"x", b":\n\n", b"\n\n", b": comment\n"])
    def test_bytes_without_events_are_no_progress(self, repeated):
        """Guards against a stalled stream that never ends because a byte, a comment or a blank line
        arrives now and then.
        """

        async def stall(reader, writer, received) -> None:
            writer.write(make_head(200, received, True, None, STREAM_HEADERS))
            write_chunk(writer, make_event(1))
            while not writer.is_closing():
                write_chunk(writer, repeated)
                await writer.drain()
                await asyncio.sleep(0.05)

        async def run():
            upstreams = ScriptedUpstream(stall), ScriptedUpstream(stream(2, 4))
            async with open_frontend(*upstreams, gap_timeout_s=0.4) as frontend:
                began_s = time.monotonic()
                response = await asyncio.wait_for(frontend.request("/s/x"), 2.0)
                assert response.complete
                assert time.monotonic() - began_s < 1.5
                assert response.body.replace(repeated, b"").count(b"piece") == 4
                assert frontend.dispatcher.outcomes[0] is SendOutcome.SILENT

        asyncio.run(run())

    def test_event_without_end_is_bounded(self):
        """Guards against an event that grows in memory until the deadline of its request."""

        async def run():
            flood = Flood(head(**STREAM_HEADERS), chunk(b"data: " + b"x" * 4096))
            async with open_frontend(
                ScriptedUpstream(flood), ScriptedUpstream(stream(1, 4))
            ) as frontend:
                response = await asyncio.wait_for(frontend.request("/s/x"), 2.0)
                assert response.body == WHOLE_STREAM
                assert flood.sent_bytes < 16 * 1024 * 1024

        asyncio.run(run())

    def test_slow_stream_runs_to_its_end(self):
        """Guards against the cut of a stream whose pauses are just within the limit."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.36))
            async with open_frontend(upstream, gap_timeout_s=0.4) as frontend:
                response = await asyncio.wait_for(frontend.request("/s/x"), 3.0)
                assert (response.body, response.complete) == (WHOLE_STREAM, True)
                assert frontend.dispatcher.outcomes == [SendOutcome.DONE]

        asyncio.run(run())

    def test_caller_that_reads_slowly_does_not_end_the_stream(self):
        """Guards against an upstream that is taken for silent while the caller does not read."""
        large_event = b"id: %d\ndata: " + b"x" * 60_000 + b"\n\n"

        async def send(reader, writer, received) -> None:
            writer.write(make_head(200, received, True, None, STREAM_HEADERS))
            for number in range(1, 111):
                write_chunk(writer, large_event % number)
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()

        async def run():
            upstreams = ScriptedUpstream(send), ScriptedUpstream(stream(1, 4))
            async with open_frontend(*upstreams, gap_timeout_s=0.2) as frontend:
                with socket.socket() as caller:
                    # A small buffer, so that the kernel does not take the stream for the caller.
                    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    caller.connect((HOST, frontend.port))
                    reader, writer = await asyncio.open_connection(sock=caller.dup())
                frontend.writers.append(writer)
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.6)
                response = await asyncio.wait_for(read_response(reader), 5.0)
                assert response.complete
                assert response.body.count(b"data: ") == 110
                assert frontend.dispatcher.outcomes == [SendOutcome.DONE]

        asyncio.run(run())
