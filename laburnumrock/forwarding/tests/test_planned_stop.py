"""Tests of callers' connections during a planned shutdown."""

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
    open_frontend,
    read_response,
    stream,
)

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


class TestPlannedStop:
    def test_idle_connections_close_and_requests_finish(self):
        """Guards against a planned shutdown that aborts a request in progress."""

        async def run():
            upstream = ScriptedUpstream(answer(), stream(1, 4, pause_s=0.1))
            async with open_frontend(upstream) as frontend:
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
                response = await read_response(busy_reader)
                assert (response.body, response.complete) == (WHOLE_STREAM, True)

        asyncio.run(run())

    def test_unread_request_is_answered(self):
        """Guards against closing a connection on which an unread request has arrived."""

        async def run():
            async def answer_later(reader, writer, received):
                await asyncio.sleep(0.1)
                await answer()(reader, writer, received)

            async with open_frontend(ScriptedUpstream(answer(), answer_later)) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                await read_response(reader)
                frontend.context.stopping = True
                # Bypasses the event loop, which cannot read the request before the close.
                descriptor = os.dup(writer.get_extra_info("socket").fileno())
                with socket.socket(fileno=descriptor) as connection:
                    connection.send(make_request("/r/x", "POST", b"{}", {"Request_Id": "r2"}))
                await frontend.server.close_idle()
                assert (await read_response(reader)).status == 200

        asyncio.run(run())

    def test_request_on_a_closed_connection_is_not_forwarded(self):
        """Guards against forwarding a request whose connection was just closed."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                reader = frontend.server.start_request(ClosedConnection(), ClosedConnection())
                line = RequestStartLine("POST", "/r/x", "HTTP/1.1")
                reader.headers_received(line, HTTPHeaders({"Host": "a.example"}))
                reader.finish()
                assert not frontend.server.tasks
                frontend.server.connections.clear()

        asyncio.run(run())

    def test_connection_closes_after_a_stream_that_began_earlier(self):
        """Guards against an open connection that accepts a request too late to answer it."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.05))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                frontend.context.stopping = True
                response = await read_response(reader)
                assert (response.body, response.complete) == (WHOLE_STREAM, True)
                assert "Connection" not in response.headers
                async with asyncio.timeout(0.5):
                    assert await reader.read() == b""

        asyncio.run(run())

    def test_pipelined_request_is_answered(self):
        """Guards against closing a connection on which the next request has already arrived."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.05), answer())
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                frontend.context.stopping = True
                writer.write(make_request("/r/x", "POST", b"{}", {"Request_Id": "r2"}))
                assert (await read_response(reader)).complete
                response = await read_response(reader)
                assert (response.status, response.headers["Connection"]) == (200, "close")

        asyncio.run(run())

    def test_request_that_arrives_behind_a_blocked_response_is_answered(self):
        """Guards against closing a connection whose next request was read during the last write."""

        async def run():
            body = b"x" * 6_000_000
            upstream = ScriptedUpstream(answer(body=body), answer(body=b"next"))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}))
                await asyncio.sleep(0.3)
                writer.write(make_request("/once/x", "POST", b"{}", {"Request_Id": "r2"}))
                await asyncio.sleep(0.1)
                frontend.context.stopping = True
                assert (await read_response(reader)).body == body
                assert (await read_response(reader)).body == b"next"

        asyncio.run(run())

    @pytest.mark.parametrize(("left_s", "status"), [(0.5, 503), (5.0, 200)])
    def test_request_that_cannot_finish_is_refused(self, left_s, status):
        """Guards against forwarding a request that the end of the process would abort."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                frontend.context.stopping = True
                frontend.context.stop_deadline_s = time.monotonic() + left_s
                response = await frontend.request(Deadline_Ms="1000")
                assert (response.status, response.headers["Connection"]) == (status, "close")
                assert len(upstream.received) == (status == 200)

        asyncio.run(run())

    def test_responses_during_shutdown_close_the_connection(self):
        """Guards against callers that reuse connections to an instance that is shutting down."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                frontend.context.stopping = True
                assert (await frontend.request()).headers["Connection"] == "close"

        asyncio.run(run())
