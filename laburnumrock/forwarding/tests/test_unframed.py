"""Tests of responses with neither a length nor chunks, which end with their connection."""

import asyncio
import socket
import struct

import pytest

from laburnumrock.dispatch import SendOutcome
from laburnumrock.forwarding._connections import PortState
from laburnumrock.forwarding.tests.scripted import (
    Script,
    ScriptedUpstream,
    answer,
    make_event,
    make_head,
    make_request,
    open_frontend,
    stream,
)

EVENTS = {"Content-Type": "text/event-stream"}
WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


def send_unframed(
    *parts: bytes, headers: dict[str, str] | None = None, pause_s: float = 0.0, reset: bool = False
) -> Script:
    """Send a body without framing, and end it by closing or resetting the connection."""

    async def run(reader, writer, received) -> None:
        head = make_head(200, received, True, None, headers or {})
        writer.write(head.replace(b"Transfer-Encoding: chunked\r\n", b""))
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        if reset:
            await asyncio.sleep(0.05)
            linger = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.close()

    return run


def send_stream(first: int, last: int, cut: bytes = b"", **values) -> Script:
    events = [make_event(number) for number in range(first, last + 1)]
    parts = [*events, cut] if cut else events
    return send_unframed(*parts, headers=EVENTS, **values)


def exit_after(upstreams: list[ScriptedUpstream], script: Script) -> Script:
    """Stop listening before the last response ends, as a process that crashes does."""

    async def run(reader, writer, received) -> None:
        upstreams[0].server.close()
        await script(reader, writer, received)

    return run


class TestStreams:
    def test_events_are_relayed_as_they_arrive(self):
        """Guards against a stream that is held back until its connection ends."""

        async def run():
            upstream = ScriptedUpstream(send_stream(1, 4, pause_s=0.15))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                for number in range(1, 5):
                    event = f"piece {number}\n\n".encode()
                    await asyncio.wait_for(reader.readuntil(event), 0.3)
                assert await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 0.5)
                await asyncio.sleep(0.05)
                assert frontend.dispatcher.outcomes == [SendOutcome.DONE]

        asyncio.run(run())

    def test_slow_stream_is_sent_once(self):
        """Guards against a second engine that runs a stream which the first one is writing."""

        async def run():
            upstreams = [ScriptedUpstream(send_stream(1, 4, pause_s=0.3)) for _ in range(2)]
            async with open_frontend(*upstreams, gap_timeout_s=0.5) as frontend:
                response = await frontend.request("/s/x")
            assert (response.body, response.complete) == (WHOLE_STREAM, True)
            assert upstreams[1].received == []

        asyncio.run(run())

    @pytest.mark.parametrize(
        "cut, reset", [(b"id: 3\nda", False), (b"id: 3\nda", True), (b"", True)]
    )
    def test_broken_stream_is_resumed(self, cut, reset):
        """Guards against a stream that was broken off and looks complete."""

        async def run():
            first = ScriptedUpstream(send_stream(1, 2, cut, reset=reset))
            second = ScriptedUpstream(stream(3, 4))
            async with open_frontend(first, second) as frontend:
                response = await frontend.request("/s/x")
            assert (response.body, response.complete) == (WHOLE_STREAM, True)
            assert second.received[0].headers["Last-Event-Id"] == "2"

        asyncio.run(run())

    def test_end_between_events_of_an_engine_that_crashed(self):
        """Guards against a stream that looks complete although its engine ended while writing."""

        async def run():
            upstreams = []
            upstreams.append(ScriptedUpstream(exit_after(upstreams, send_stream(1, 2))))
            upstreams.append(ScriptedUpstream(send_stream(3, 4)))
            async with open_frontend(*upstreams) as frontend:
                response = await frontend.request("/s/x", Prefix_Hash="a1:40,b2:4000")
                assert (response.body, response.complete) == (WHOLE_STREAM, True)
                outcomes = frontend.dispatcher.outcomes
                assert outcomes == [SendOutcome.CRASHED, SendOutcome.DONE]

        asyncio.run(run())

    def test_second_broken_stream_closes_the_connection(self):
        """Guards against an incomplete stream that ends like a complete one."""

        async def run():
            upstreams = [
                ScriptedUpstream(send_stream(1, 2, b"id: 3")),
                ScriptedUpstream(send_stream(3, 3, b"id: 4")),
            ]
            async with open_frontend(*upstreams) as frontend:
                response = await frontend.request("/s/x")
            assert not response.complete
            assert response.body == WHOLE_STREAM[: response.body.rindex(b"\n\n") + 2]

        asyncio.run(run())

    def test_caller_connection_is_used_again(self):
        """Guards against a caller's connection that ends with that of the upstream."""

        async def run():
            async with open_frontend(ScriptedUpstream(send_stream(1, 4))) as frontend:
                reader, writer = await frontend.connect()
                for _ in range(2):
                    writer.write(make_request("/s/x", "POST", b"{}", {}))
                    await asyncio.wait_for(reader.readuntil(b"0\r\n\r\n"), 1.0)

        asyncio.run(run())

    def test_stream_without_end_is_limited(self, monkeypatch):
        """Guards against a stream without framing that is relayed for ever."""

        async def run():
            monkeypatch.setattr("laburnumrock.forwarding._exchange.MAX_STREAM_BYTES", 10_000)
            upstream = ScriptedUpstream(send_stream(1, 2_000))
            async with open_frontend(upstream) as frontend:
                response = await frontend.request("/s/x")
            assert not response.complete
            assert len(response.body) < 40_000

        asyncio.run(run())


class TestPlainResponses:
    @pytest.mark.parametrize("size", [0, 10, 900_000])
    def test_body_is_whole(self, size):
        """Guards against a body that is cut, or refused for its size."""

        async def run():
            body = b"x" * size
            upstream = ScriptedUpstream(send_unframed(body[: size // 2], body[size // 2 :]))
            async with open_frontend(upstream) as frontend:
                response = await frontend.request()
            assert (response.status, response.body) == (200, body)
            assert response.headers["Content-Length"] == str(size)

        asyncio.run(run())

    def test_reset_body_is_no_answer(self):
        """Guards against a part of a body that is passed on as a whole one."""

        async def run():
            upstreams = [ScriptedUpstream(send_unframed(b"do", reset=True))]
            upstreams.append(ScriptedUpstream(answer(body=b"done")))
            async with open_frontend(*upstreams) as frontend:
                response = await frontend.request()
            assert (response.status, response.body) == (200, b"done")

        asyncio.run(run())

    def test_end_of_an_upstream_that_crashed(self):
        """Guards against a part of a body that is passed on because its upstream ended."""

        async def run():
            upstreams = []
            upstreams.append(ScriptedUpstream(exit_after(upstreams, send_unframed(b"do"))))
            upstreams.append(ScriptedUpstream(answer(body=b"done")))
            async with open_frontend(*upstreams) as frontend:
                response = await frontend.request()
                assert (response.status, response.body) == (200, b"done")
            upstreams[0] = ScriptedUpstream(exit_after(upstreams, send_unframed(b"do")))
            async with open_frontend(upstreams[0]) as frontend:
                assert (await frontend.request("/once/x")).status == 502

        asyncio.run(run())


class TestUnprovenEnds:
    @pytest.mark.parametrize("path, status", [("/once/x", 502), ("/r/x", 200)])
    def test_end_that_is_read_after_a_pause_of_the_process(self, path, status):
        """Guards against half a response that counts as whole, as its upstream has crashed and
        started again while this process was frozen.
        """

        async def run():
            upstreams = [
                ScriptedUpstream(send_unframed(b"half", pause_s=0.2)),
                ScriptedUpstream(answer(200, b"whole")),
            ]
            async with open_frontend(*upstreams) as frontend:
                stalls = frontend.context.stalls
                stalls.record_tick()
                request = asyncio.create_task(frontend.request(path))
                await asyncio.sleep(0.1)
                stalls.last_tick_s -= 3.0
                stalls.record_tick()
                response = await asyncio.wait_for(request, 2.0)
                assert response.status == status
                assert response.body == b"whole" or status == 502
                assert frontend.dispatcher.outcomes[0] is SendOutcome.BROKEN

        asyncio.run(run())

    def test_end_of_an_upstream_that_does_not_answer_the_check(self, monkeypatch):
        """Guards against half a response that counts as whole because a packet of the check of its
        upstream was lost.
        """

        async def probe(host, port, timeout_s):
            return PortState.UNKNOWN

        async def run():
            async with open_frontend(ScriptedUpstream(send_unframed(b"half"))) as frontend:
                monkeypatch.setattr(frontend.context.pool, "probe", probe)
                response = await asyncio.wait_for(frontend.request("/once/x"), 2.0)
                assert response.status == 502

        asyncio.run(run())
