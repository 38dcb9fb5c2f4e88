"""Connections of callers during a planned stop."""

import asyncio
import os
import socket
import time

import pytest
from tornado.httputil import HTTPHeaders, RequestStartLine

from laburnumrock.forwarding.tests.scripted import (
    ClosedConnection,
    ScriptedUpstream,
    answer,
    make_event,
    make_request,
    open_front,
    read_response,
    stream,
)

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


class TestPlannedStop:
    def test_idle_connections_close_and_running_ones_finish(self):
        """Guards against a planned stop that cuts a request."""

        async def run():
            upstream = ScriptedUpstream(answer(), stream(1, 4, pause_s=0.1))
            async with open_front(upstream) as frontend:
                idle_reader, idle_writer = await frontend.connect()
                idle_writer.write(make_request("/r/x", "POST", b"{}", {}))
                await read_response(idle_reader)
                busy_reader, busy_writer = await frontend.connect()
                busy_writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                frontend.context.stopping = True
                frontend.server.stop_listening()
                await frontend.server.close_idle()
                assert await idle_reader.read() == b""
                reply = await read_response(busy_reader)
                assert (reply.body, reply.complete) == (WHOLE_STREAM, True)

        asyncio.run(run())

    def test_request_that_has_just_arrived_is_answered(self):
        """Guards against a stop that closes a connection on which a request already waits."""

        async def run():
            async def answer_later(reader, writer, received):
                await asyncio.sleep(0.1)
                await answer()(reader, writer, received)

            async with open_front(ScriptedUpstream(answer(), answer_later)) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                await read_response(reader)
                frontend.context.stopping = True
                # Written past the event loop, which has no chance to read it before the close.
                descriptor = os.dup(writer.get_extra_info("socket").fileno())
                with socket.socket(fileno=descriptor) as connection:
                    connection.send(make_request("/r/x", "POST", b"{}", {"Request_Id": "r2"}))
                await frontend.server.close_idle()
                assert (await read_response(reader)).status == 200

        asyncio.run(run())

    def test_request_that_crosses_the_close_is_not_sent(self):
        """Guards against an upstream that runs a request whose connection was just closed."""

        async def run():
            async with open_front(ScriptedUpstream(answer())) as frontend:
                reader = frontend.server.start_request(ClosedConnection(), ClosedConnection())
                line = RequestStartLine("POST", "/r/x", "HTTP/1.1")
                reader.headers_received(line, HTTPHeaders({"Host": "a.example"}))
                reader.finish()
                assert not frontend.server.runs
                frontend.server.connections.clear()

        asyncio.run(run())

    def test_stream_that_began_before_the_stop_ends_with_its_connection(self):
        """Guards against a connection that takes a request when there is no time to answer it."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.05))
            async with open_front(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                frontend.context.stopping = True
                reply = await read_response(reader)
                assert (reply.body, reply.complete) == (WHOLE_STREAM, True)
                assert "Connection" not in reply.headers
                async with asyncio.timeout(0.5):
                    assert await reader.read() == b""

        asyncio.run(run())

    def test_request_that_waits_behind_a_stream_is_answered(self):
        """Guards against a close that drops a request which has already arrived."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.05), answer())
            async with open_front(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                frontend.context.stopping = True
                writer.write(make_request("/r/x", "POST", b"{}", {"Request_Id": "r2"}))
                assert (await read_response(reader)).complete
                reply = await read_response(reader)
                assert (reply.status, reply.headers["Connection"]) == (200, "close")

        asyncio.run(run())

    @pytest.mark.parametrize(("left_s", "status"), [(0.5, 503), (5.0, 200)])
    def test_request_that_the_stop_would_cut_is_refused(self, left_s, status):
        """Guards against a request that is sent on and cut when the process ends."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as frontend:
                frontend.context.stopping = True
                frontend.context.stop_deadline_s = time.monotonic() + left_s
                reply = await frontend.request(Deadline_Ms="1000")
                assert (reply.status, reply.headers["Connection"]) == (status, "close")
                assert len(upstream.received) == (status == 200)

        asyncio.run(run())

    def test_answers_of_a_stopping_instance_close(self):
        """Guards against callers that keep connections to an instance that stops."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as frontend:
                frontend.context.stopping = True
                assert (await frontend.request()).headers["Connection"] == "close"

        asyncio.run(run())
