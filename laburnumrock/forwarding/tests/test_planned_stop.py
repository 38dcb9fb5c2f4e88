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
    hang,
    make_event,
    make_request,
    open_frontend,
    read_response,
    stream,
)

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))
LEFT_S = 0.4
"""Time from the stop command to the end of the requests in progress in these tests."""


def answer_after(delay_s: float):
    """Send a response after a delay."""

    async def run(reader, writer, received):
        await asyncio.sleep(delay_s)
        await answer()(reader, writer, received)

    return run


async def wait_until(condition) -> None:
    async with asyncio.timeout(5.0):
        while not condition():
            await asyncio.sleep(0.01)


def is_writing(frontend) -> bool:
    """Return whether a response waits for its caller."""
    return any(connection.stream.writing() for connection in frontend.server.connections)


def stop_soon(frontend, balancer_grace_s: float = LEFT_S) -> None:
    """Begin a planned stop, in which the load balancer still sends connections for a while."""
    frontend.context.begin_stop(balancer_grace_s, LEFT_S)


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


class TestEndOfAStop:
    """What is still in progress at the end of a planned stop."""

    def test_request_that_may_have_run_gets_an_answer(self):
        """Guards against a connection that closes without an answer to a request that was sent."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                frontend.context.stopping = True
                await frontend.server.end_requests()
                response = await read_response(reader)
                assert (response.status, response.complete) == (502, True)
                assert response.headers["Connection"] == "close"
                assert await reader.read() == b""
                await asyncio.sleep(0.05)
                assert len(upstream.received) == len(upstream.closed_s) == 1
                assert len(frontend.dispatcher.ended) == 1

        asyncio.run(run())

    def test_request_that_was_not_sent_is_refused(self):
        """Guards against a closed connection, or an unclear answer, for a request that waits."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                frontend.dispatcher.place = lambda call: asyncio.sleep(10.0)
                reader, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                frontend.context.stopping = True
                await frontend.server.end_requests()
                response = await read_response(reader)
                assert (response.status, response.headers["Connection"]) == (503, "close")
                assert float(response.headers["Retry-After"]) < 1.0

        asyncio.run(run())

    def test_stream_that_has_begun_does_not_look_complete(self):
        """Guards against a stream that is cut by a stop and ends like a whole one."""

        async def run():
            async with open_frontend(ScriptedUpstream(stream(1, 50, pause_s=0.05))) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.2)
                frontend.context.stopping = True
                await frontend.server.end_requests()
                response = await read_response(reader)
                assert (response.status, response.complete) == (200, False)
                assert response.body.startswith(make_event(1))

        asyncio.run(run())

    def test_response_is_written_before_its_connection_closes(self):
        """Guards against the end of a process that cuts a response which the caller still reads."""

        async def run():
            body = b"x" * 6_000_000
            async with open_frontend(ScriptedUpstream(answer(body=body))) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}))
                await asyncio.sleep(0.3)
                frontend.context.stopping = True
                ending = asyncio.create_task(frontend.server.close_all(2.0))
                response = await read_response(reader)
                await ending
                assert (response.complete, len(response.body)) == (True, len(body))
                assert not frontend.server.connections

        asyncio.run(run())

    def test_response_that_the_caller_does_not_read(self):
        """Guards against an error that leaves the other requests without an answer."""

        async def run():
            upstream = ScriptedUpstream(answer(body=b"x" * 6_000_000), hang())
            async with open_frontend(upstream) as frontend:
                frontend.context.stopping = True
                _, blocked = await frontend.connect()
                blocked.write(make_request("/once/x", "POST", b"{}", {}))
                await wait_until(lambda: is_writing(frontend))
                reader, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {"Request_Id": "r2"}))
                await wait_until(lambda: len(upstream.received) == 2)
                assert len(frontend.server.tasks) == 2
                await frontend.server.end_requests()
                assert (await read_response(reader)).status == 502
                blocked.transport.abort()

        asyncio.run(run())

    def test_request_that_arrives_last_is_refused(self):
        """Guards against a request that is read after the end and gets no answer."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                await read_response(reader)
                frontend.context.begin_stop(0.0, 0.0)
                # Bypasses the event loop, which cannot read the request before the close.
                descriptor = os.dup(writer.get_extra_info("socket").fileno())
                with socket.socket(fileno=descriptor) as connection:
                    connection.send(make_request("/once/x", "POST", b"{}", {"Request_Id": "r2"}))
                await frontend.server.close_all(1.0)
                response = await read_response(reader)
                assert (response.status, response.headers["Connection"]) == (503, "close")
                assert len(upstream.received) == 1

        asyncio.run(run())


class TestAdmissionDuringAStop:
    """Requests that arrive while the load balancer still sends connections."""

    def test_request_is_taken_until_the_end_of_the_stop(self):
        """Guards against an upstream that works on a request beyond the end of the stop."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                stop_soon(frontend)
                assert (await frontend.request("/once/x")).status == 200
                assert int(upstream.received[0].headers["Deadline-Ms"]) <= 1000 * LEFT_S

        asyncio.run(run())

    def test_request_that_takes_longer_than_the_stop_ends_with_an_answer(self):
        """Guards against a connection that closes without an answer at the end of a stop."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_frontend(upstream) as frontend:
                stop_soon(frontend)
                began_s = time.monotonic()
                response = await frontend.request("/once/x")
                assert (response.status, response.headers["Connection"]) == (502, "close")
                assert LEFT_S - 0.1 < time.monotonic() - began_s < LEFT_S + 0.5

        asyncio.run(run())

    def test_route_whose_requests_take_longer_is_refused(self):
        """Guards against requests that are sent although the end of the stop will cut them."""

        async def run():
            upstream = ScriptedUpstream(answer_after(LEFT_S + 0.2), answer())
            async with open_frontend(upstream) as frontend:
                assert (await frontend.request("/once/x")).status == 200
                stop_soon(frontend)
                response = await frontend.request("/once/x", Request_Id="r2")
                assert response.status == 503
                assert float(response.headers["Retry-After"]) < 1.0
                assert (await frontend.request("/r/x", Request_Id="r3")).status == 200
                assert len(upstream.received) == 2

        asyncio.run(run())

    def test_request_after_the_grace_of_the_balancer_is_refused(self):
        """Guards against requests that the end could cut, once other instances take them."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                stop_soon(frontend, 0.0)
                assert (await frontend.request("/once/x")).status == 503
                assert (await frontend.request("/once/x", Deadline_Ms="200")).status == 200
                assert len(upstream.received) == 1

        asyncio.run(run())


class TestEndOfListening:
    """Connections that arrive while the port closes."""

    def test_connection_in_the_backlog_is_served(self):
        """Guards against a reset of connections that the kernel has accepted and we have not."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                with socket.create_connection(("127.0.0.1", frontend.port)) as connection:
                    connection.send(make_request("/r/x", "POST", b"{}", {}))
                    frontend.server.stop_listening()
                    connection.setblocking(False)
                    loop = asyncio.get_running_loop()
                    received = await loop.sock_recv(connection, 1000)
                    assert received.startswith(b"HTTP/1.1 200")

        asyncio.run(run())

    def test_new_connection_may_still_send_its_request(self):
        """Guards against a close that crosses the first request of a new connection."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                reader, writer = await frontend.connect()
                await asyncio.sleep(0.05)
                frontend.context.stopping = True
                frontend.server.stop_listening()
                await frontend.server.close_idle()
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                assert (await read_response(reader)).status == 200

        asyncio.run(run())
