"""Tests of streams that a frontend server relays from scripted upstreams."""

import asyncio
import socket
import time

from tornado.httputil import HTTPHeaders

from laburnumrock.dispatch import SendOutcome
from laburnumrock.forwarding import RequestForwarder
from laburnumrock.forwarding.tests.scripted import (
    ClosedConnection,
    ScriptedUpstream,
    hang,
    make_event,
    make_request,
    open_frontend,
    stream,
)
from laburnumrock.platform._wire import PlatformWire

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


class _UnterminatedWriter:
    """Writer that omits the last chunk of a chunked body."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def write(self, data: bytes) -> None:
        if data != b"0\r\n\r\n":
            self.writer.write(data)

    async def drain(self) -> None:
        await self.writer.drain()


class TestStreams:
    def test_events_are_relayed_immediately(self):
        """Guards against buffering events until the stream ends."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.1))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.wait_for(reader.readuntil(b"piece 1\n\n"), 0.1)
                await asyncio.wait_for(reader.readuntil(b"piece 4\n\n"), 1.0)

        asyncio.run(run())

    def test_no_delay_is_set_on_a_reused_connection(self):
        """Guards against Nagle's algorithm being re-enabled from the second stream on."""

        async def run():
            async with open_frontend(ScriptedUpstream(stream(1, 4, pause_s=0.05))) as frontend:
                reader, writer = await frontend.connect()
                for _ in range(2):
                    writer.write(make_request("/s/x", "POST", b"{}", {}))
                    await reader.readuntil(b"piece 1")
                    (connection,) = frontend.server.connections
                    options = connection.stream.socket
                    assert options.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    await reader.readuntil(b"0\r\n\r\n")

        asyncio.run(run())

    def test_stream_is_resumed_on_another_upstream(self):
        """Guards against missing or duplicate events after an upstream failed within an event."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\ndata: pie"))
            second = ScriptedUpstream(stream(3, 4))
            async with open_frontend(first, second) as frontend:
                response = await frontend.request("/s/x")
            assert (response.body, response.complete) == (WHOLE_STREAM, True)
            assert second.received[0].headers["Last-Event-Id"] == "2"

        asyncio.run(run())

    def test_broken_stream_does_not_look_complete(self):
        """Guards against a truncated stream that ends like a complete one."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3"))
            second = ScriptedUpstream(stream(3, 3, cut=b"id: 4"))
            async with open_frontend(first, second) as frontend:
                response = await frontend.request("/s/x")
            assert not response.complete
            assert response.body.startswith(make_event(1) + make_event(2))
            assert WHOLE_STREAM.startswith(response.body)

        asyncio.run(run())

    def test_stalled_stream_is_resumed(self):
        """Guards against a stalled stream that makes the caller disconnect."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, pause_s=0.02, cut=b""), hang())

            async def pause(reader, writer, received):
                await stream(1, 2, cut=None)(reader, _UnterminatedWriter(writer), received)
                await asyncio.sleep(5)

            first.scripts = [pause]
            second = ScriptedUpstream(stream(3, 4))
            async with open_frontend(first, second, gap_timeout_s=0.15) as frontend:
                response = await asyncio.wait_for(frontend.request("/s/x"), 2.0)
            assert (response.body, response.complete) == (WHOLE_STREAM, True)

        asyncio.run(run())

    def test_disconnect_of_the_caller_cancels_the_send(self):
        """Guards against upstreams that work for callers that have disconnected."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_frontend(upstream) as frontend:
                _, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                assert len(upstream.received) == 1
                disconnected_s = asyncio.get_running_loop().time()
                writer.close()
                await asyncio.sleep(0.2)
                assert upstream.closed_s and upstream.closed_s[0] - disconnected_s < 0.2
                assert frontend.dispatcher.outcomes == [SendOutcome.CANCELLED]

        asyncio.run(run())

    def test_failed_write_is_not_retried(self):
        """Guards against a retry for a caller that disconnected while an event was written."""

        async def run():
            first, second = ScriptedUpstream(stream(1, 4)), ScriptedUpstream(stream(1, 4))
            async with open_frontend(first, second) as frontend:
                request = PlatformWire().decode_request(
                    "POST", "/s/x", HTTPHeaders({"Host": "a.example", "Authorization": "Token k1"})
                )
                request.arrived_s = time.monotonic()
                await RequestForwarder(frontend.context, ClosedConnection(), request).run()
                assert frontend.dispatcher.outcomes == [SendOutcome.CANCELLED]
            assert second.received == []

        asyncio.run(run())
