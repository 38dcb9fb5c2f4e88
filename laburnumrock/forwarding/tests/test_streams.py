"""Streams through a front server to scripted upstreams."""

import asyncio
import socket
import time

from tornado.httputil import HTTPHeaders

from laburnumrock.dispatch import SendOutcome
from laburnumrock.forwarding import ForwardRun
from laburnumrock.forwarding.tests.scripted import (
    ClosedConnection,
    ScriptedUpstream,
    hang,
    make_event,
    make_request,
    open_front,
    stream,
)
from laburnumrock.platform._wire import PlatformWire

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


class _Unfinished:
    """Writer that leaves out the end of a chunked body."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def write(self, data: bytes) -> None:
        if data != b"0\r\n\r\n":
            self.writer.write(data)

    async def drain(self) -> None:
        await self.writer.drain()


class TestStreams:
    def test_events_pass_as_they_arrive(self):
        """Guards against events that are buffered until the stream ends."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.1))
            async with open_front(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.wait_for(reader.readuntil(b"piece 1\n\n"), 0.1)
                await asyncio.wait_for(reader.readuntil(b"piece 4\n\n"), 1.0)

        asyncio.run(run())

    def test_events_are_not_collected_on_a_kept_connection(self):
        """Guards against small events that wait for acknowledgements from the second stream on."""

        async def run():
            async with open_front(ScriptedUpstream(stream(1, 4, pause_s=0.05))) as frontend:
                reader, writer = await frontend.connect()
                for _ in range(2):
                    writer.write(make_request("/s/x", "POST", b"{}", {}))
                    await reader.readuntil(b"piece 1")
                    (connection,) = frontend.server.connections
                    options = connection.stream.socket
                    assert options.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
                    await reader.readuntil(b"0\r\n\r\n")

        asyncio.run(run())

    def test_stream_goes_on_elsewhere(self):
        """Guards against missing or repeated pieces after an upstream broke in an event."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\ndata: pie"))
            second = ScriptedUpstream(stream(3, 4))
            async with open_front(first, second) as frontend:
                reply = await frontend.request("/s/x")
            assert (reply.body, reply.complete) == (WHOLE_STREAM, True)
            assert second.received[0].headers["Last-Event-Id"] == "2"

        asyncio.run(run())

    def test_broken_stream_does_not_look_complete(self):
        """Guards against a cut stream that ends like a whole one."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3"))
            second = ScriptedUpstream(stream(3, 3, cut=b"id: 4"))
            async with open_front(first, second) as frontend:
                reply = await frontend.request("/s/x")
            assert not reply.complete
            assert reply.body.startswith(make_event(1) + make_event(2))
            assert WHOLE_STREAM.startswith(reply.body)

        asyncio.run(run())

    def test_silent_stream_is_resumed(self):
        """Guards against a caller that leaves because its stream stands still."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, pause_s=0.02, cut=b""), hang())

            async def pause(reader, writer, received):
                await stream(1, 2, cut=None)(reader, _Unfinished(writer), received)
                await asyncio.sleep(5)

            first.scripts = [pause]
            second = ScriptedUpstream(stream(3, 4))
            async with open_front(first, second, gap_patience_s=0.15) as frontend:
                reply = await asyncio.wait_for(frontend.request("/s/x"), 2.0)
            assert (reply.body, reply.complete) == (WHOLE_STREAM, True)

        asyncio.run(run())

    def test_caller_that_leaves_ends_the_work(self):
        """Guards against upstreams that work for callers that have left."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_front(upstream) as frontend:
                _, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                assert len(upstream.received) == 1
                left_s = asyncio.get_running_loop().time()
                writer.close()
                await asyncio.sleep(0.2)
                assert upstream.closed_s and upstream.closed_s[0] - left_s < 0.2
                assert frontend.placer.outcomes == [SendOutcome.CANCELLED]

        asyncio.run(run())

    def test_failed_write_is_no_fault_of_the_upstream(self):
        """Guards against a second send for a caller that left while an event was written."""

        async def run():
            first, second = ScriptedUpstream(stream(1, 4)), ScriptedUpstream(stream(1, 4))
            async with open_front(first, second) as frontend:
                request = PlatformWire().decode_request(
                    "POST", "/s/x", HTTPHeaders({"Host": "a.example", "Authorization": "Token k1"})
                )
                request.arrived_s = time.monotonic()
                await ForwardRun(frontend.context, ClosedConnection(), request).run()
                assert frontend.placer.outcomes == [SendOutcome.CANCELLED]
            assert second.received == []

        asyncio.run(run())
