"""Requests through a front server to scripted upstreams."""

import asyncio
import os
import socket
import time

from tornado.httputil import HTTPHeaders, RequestStartLine
from tornado.iostream import StreamClosedError

from laburnumrock.dispatch import DispatchAnswer, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding import ForwardRun
from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    answer,
    answer_raw,
    hang,
    make_event,
    make_request,
    open_front,
    read_reply,
    stream,
)
from laburnumrock.platform._wire import PlatformWire

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


class TestPlainRequests:
    def test_request_and_answer_pass_unchanged(self):
        """Guards against changed methods, paths, bodies and headers."""

        async def run():
            upstream = ScriptedUpstream(answer(201, b"body", X_Own="1"))
            async with open_front(upstream) as front:
                reply = await front.request("/r/x?q=%2F", "PUT", b"\x00\xff", X_Other="2")
            [received] = upstream.received
            assert received.line == "PUT /r/x?q=%2F HTTP/1.1"
            assert received.body == b"\x00\xff"
            assert received.headers["Request-Id"] == "r1"
            assert received.headers["X-Other"] == "2"
            assert (reply.status, reply.body) == (201, b"body")
            assert reply.headers["Server-Signature"] == "proof"
            assert reply.headers["X-Own"] == "1"

        asyncio.run(run())

    def test_key_stays_and_account_is_named(self):
        """Guards against a key that reaches an upstream, and an account that the caller chose."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as front:
                await front.request(Tenant="forged", Expect_Instance="forged")
            headers = upstream.received[0].headers
            assert "Authorization" not in headers
            assert headers["Tenant"] == "tenant-one"
            assert headers["Expect-Instance"] == "u1"

        asyncio.run(run())

    def test_time_left_is_passed_on(self):
        """Guards against upstreams that work on after the caller has left."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as front:
                await front.request(Deadline_Ms="700")
            assert 500 < int(upstream.received[0].headers["Deadline-Ms"]) <= 700

        asyncio.run(run())

    def test_kept_connections_are_used_again(self):
        """Guards against a new connection for each request, which is priced and limited."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as front:
                for _ in range(3):
                    assert (await front.request()).status == 200
            assert upstream.connections == 1

        asyncio.run(run())

    def test_connection_with_unread_bytes_is_not_used_again(self):
        """Guards against bytes after an answer that are taken for the next answer."""

        async def run():
            extra = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
            whole = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            whole += b"Content-Length: 2\r\n\r\nok"
            upstream = ScriptedUpstream(answer_raw(whole + extra, close=False), answer())
            async with open_front(upstream) as front:
                assert (await front.request()).body == b"ok"
                await asyncio.sleep(0.05)
                assert (await front.request(Request_Id="r2")).body == b"done"
            assert upstream.connections == 2

        asyncio.run(run())

    def test_late_answer_to_another_request_is_skipped(self):
        """Guards against the answer to another request."""

        async def run():
            foreign = b"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nServer-Signature: p\r\n"
            foreign += b"Content-Length: 4\r\n\r\nevil"
            own = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            own += b"Content-Length: 2\r\n\r\nok"
            upstream = ScriptedUpstream(answer_raw(foreign + own, close=False))
            async with open_front(upstream) as front:
                reply = await front.request("/once/x")
            assert (reply.status, reply.body) == (200, b"ok")

        asyncio.run(run())


class TestRepeats:
    def test_error_of_a_repeatable_request_goes_elsewhere(self):
        """Guards against a failure that another upstream would not have had."""

        async def run():
            first, second = ScriptedUpstream(answer(500)), ScriptedUpstream(answer())
            async with open_front(first, second) as front:
                reply = await front.request()
                assert front.placer.outcomes == [SendOutcome.ERROR, SendOutcome.DONE]
                assert front.placer.calls[1].excluded == ["u1"]
            assert reply.status == 200

        asyncio.run(run())

    def test_no_more_sends_than_attempts(self):
        """Guards against a request that runs on more upstreams than its route allows."""

        async def run():
            first, second = ScriptedUpstream(answer(500)), ScriptedUpstream(answer(500, b"bad"))
            async with open_front(first, second) as front:
                reply = await front.request()
            assert (reply.status, reply.body) == (500, b"bad")
            assert reply.headers["Server-Signature"] == "proof"
            assert len(first.received) + len(second.received) == 2

        asyncio.run(run())

    def test_broken_connection_runs_once_only(self):
        """Guards against a second run of a request that must run once at most."""

        async def run():
            first = ScriptedUpstream(answer_raw(b"HTTP/1.1 200 OK\r\nContent-Le"))
            second = ScriptedUpstream(answer())
            async with open_front(first, second) as front:
                reply = await front.request("/once/x")
            assert reply.status == 502
            assert second.received == []

        asyncio.run(run())

    def test_truncated_answer_is_not_passed_on(self):
        """Guards against half a body that looks complete."""

        async def run():
            cut = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            cut += b"Content-Length: 100\r\n\r\nhalf"
            first, second = ScriptedUpstream(answer_raw(cut)), ScriptedUpstream(answer())
            async with open_front(first, second) as front:
                reply = await front.request()
            assert (reply.status, reply.body) == (200, b"done")

        asyncio.run(run())

    def test_answer_without_proof_is_no_success(self):
        """Guards against a success that no upstream vouches for."""

        async def run():
            first, second = ScriptedUpstream(answer(signed=False)), ScriptedUpstream(answer())
            async with open_front(first, second) as front:
                assert (await front.request()).headers["Server-Signature"] == "proof"
            assert len(second.received) == 1

        asyncio.run(run())

    def test_silent_upstream_is_left(self):
        """Guards against a request that waits for a dead upstream until its deadline."""

        async def run():
            first, second = ScriptedUpstream(hang()), ScriptedUpstream(answer())
            async with open_front(first, second, patience_s=0.1) as front:
                reply = await front.request()
                assert front.placer.outcomes[0] is SendOutcome.SILENT
            assert reply.status == 200

        asyncio.run(run())

    def test_long_prompt_is_not_read_twice_without_need(self):
        """Guards against prompts that are read again and again while engines are only slow."""

        async def run():
            first, second = ScriptedUpstream(stream(1, 4, delay_s=0.5)), ScriptedUpstream(hang())
            limits = {"patience_s": 0.1, "stall_notice_s": 0.05, "stall_interval_s": 0.05}
            async with open_front(first, second, **limits) as front:
                reply = await front.request("/s/x", Token_Usage="200000,800")
            assert reply.complete
            assert second.received == []

        asyncio.run(run())

    def test_long_prompt_leaves_a_dead_engine(self):
        """Guards against long prompts that wait for an engine that the dispatcher knows is dead."""

        async def run():
            first, second = ScriptedUpstream(hang()), ScriptedUpstream(stream(1, 4))
            async with open_front(first, second, stall_notice_s=0.05) as front:
                front.placer.advises_to_give_up = True
                reply = await asyncio.wait_for(front.request("/s/x", Token_Usage="200000,800"), 1.0)
                assert front.placer.outcomes[0] is SendOutcome.SILENT
            assert reply.complete

        asyncio.run(run())

    def test_unreachable_upstream_costs_no_attempt(self):
        """Guards against attempts that are used up before a byte was sent."""

        async def run():
            gone = ScriptedUpstream(answer())
            second, third = ScriptedUpstream(answer(500)), ScriptedUpstream(answer())
            async with open_front(gone, second, third) as front:
                gone.server.close()
                await gone.server.wait_closed()
                reply = await front.request()
            assert reply.status == 200

        asyncio.run(run())


class TestRefusals:
    def test_not_executed_is_passed_on_as_a_promise(self):
        """Guards against an unknown outcome where the upstream proves that nothing ran."""

        async def run():
            upstream = ScriptedUpstream(answer(503, Not_Executed="1", signed=False))
            async with open_front(upstream) as front:
                reply = await front.request("/once/x")
            assert reply.status == 503
            assert float(reply.headers["Retry-After"]) > 0

        asyncio.run(run())

    def test_refusal_without_proof_is_no_promise(self):
        """Guards against a 503 for a request that has run."""

        async def run():
            upstream = ScriptedUpstream(answer(503))
            async with open_front(upstream) as front:
                reply = await front.request("/once/x")
            assert reply.status == 502
            assert "Server-Signature" not in reply.headers

        asyncio.run(run())

    def test_two_proofs_are_a_promise(self):
        """Guards against an unknown outcome where both upstreams prove that nothing ran."""

        async def run():
            refusing = [answer(503, Not_Executed="1", signed=False) for _ in range(2)]
            first, second = (ScriptedUpstream(script) for script in refusing)
            async with open_front(first, second) as front:
                reply = await front.request()
            assert reply.status == 503

        asyncio.run(run())

    def test_refusal_after_a_run_is_no_promise(self):
        """Guards against 503 when the first of two sends may have run."""

        async def run():
            first = ScriptedUpstream(answer_raw(b"HTTP/1.1 200"))
            second = ScriptedUpstream(answer(503, Not_Executed="1", signed=False))
            async with open_front(first, second) as front:
                reply = await front.request()
            assert reply.status == 502

        asyncio.run(run())

    def test_dispatcher_refuses(self):
        """Guards against a refusal without the time to come back."""

        async def run():
            async with open_front() as front:
                kind = ErrorKind.CONCURRENCY_LIMITED.value
                front.placer.refusal = DispatchAnswer(refusal=kind, retry_after_s=1.25)
                reply = await front.request()
            assert reply.status == 429
            assert reply.headers["Retry-After"] == "1.25"

        asyncio.run(run())

    def test_own_answers_of_routing(self):
        """Guards against wrong statuses for unknown routes, keys and versions."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as front:
                assert (await front.request("/none/x")).status == 404
                assert (await front.request(Authorization="Token k2")).status == 401
                assert (await front.request("/open/x", Authorization="Token k2")).status == 200
                front.context.table = None
                assert (await front.request()).status == 503

        asyncio.run(run())

    def test_time_limit_of_the_route(self):
        """Guards against a caller that is held past the time limit of its route."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_front(upstream) as front:
                loop = asyncio.get_running_loop()
                began_s = loop.time()
                reply = await front.request("/once/x", Deadline_Ms="300")
                assert loop.time() - began_s < 0.5
            assert reply.status == 504

        asyncio.run(run())

    def test_malformed_request(self):
        """Guards against a fault in one request that ends the process or hangs its caller."""

        async def run():
            async with open_front(ScriptedUpstream(answer())) as front:
                assert (await front.request(Token_Usage="many")).status == 400
                assert (await front.request()).status == 200

        asyncio.run(run())


class TestStreams:
    def test_events_pass_as_they_arrive(self):
        """Guards against events that are buffered until the stream ends."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 4, pause_s=0.1))
            async with open_front(upstream) as front:
                reader, writer = await front.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.wait_for(reader.readuntil(b"piece 1\n\n"), 0.1)
                await asyncio.wait_for(reader.readuntil(b"piece 4\n\n"), 1.0)

        asyncio.run(run())

    def test_stream_goes_on_elsewhere(self):
        """Guards against missing or repeated pieces after an upstream broke in an event."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\ndata: pie"))
            second = ScriptedUpstream(stream(3, 4))
            async with open_front(first, second) as front:
                reply = await front.request("/s/x")
            assert (reply.body, reply.complete) == (WHOLE_STREAM, True)
            assert second.received[0].headers["Last-Event-Id"] == "2"

        asyncio.run(run())

    def test_broken_stream_does_not_look_complete(self):
        """Guards against a cut stream that ends like a whole one."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3"))
            second = ScriptedUpstream(stream(3, 3, cut=b"id: 4"))
            async with open_front(first, second) as front:
                reply = await front.request("/s/x")
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
            async with open_front(first, second, gap_patience_s=0.15) as front:
                reply = await asyncio.wait_for(front.request("/s/x"), 2.0)
            assert (reply.body, reply.complete) == (WHOLE_STREAM, True)

        asyncio.run(run())

    def test_caller_that_leaves_ends_the_work(self):
        """Guards against upstreams that work for callers that have left."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_front(upstream) as front:
                _, writer = await front.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                assert len(upstream.received) == 1
                left_s = asyncio.get_running_loop().time()
                writer.close()
                await asyncio.sleep(0.2)
                assert upstream.closed_s and upstream.closed_s[0] - left_s < 0.2
                assert front.placer.outcomes == [SendOutcome.CANCELLED]

        asyncio.run(run())

    def test_failed_write_is_no_fault_of_the_upstream(self):
        """Guards against a second send for a caller that left while an event was written."""

        async def run():
            first, second = ScriptedUpstream(stream(1, 4)), ScriptedUpstream(stream(1, 4))
            async with open_front(first, second) as front:
                request = PlatformWire().decode_request(
                    "POST", "/s/x", HTTPHeaders({"Host": "a.example", "Authorization": "Token k1"})
                )
                request.arrived_s = time.monotonic()
                await ForwardRun(front.context, ClosedConnection(), request).run()
                assert front.placer.outcomes == [SendOutcome.CANCELLED]
            assert second.received == []

        asyncio.run(run())


class ClosedConnection:
    """Connection of a caller that has left."""

    def __init__(self) -> None:
        self.stream = self

    def closed(self) -> bool:
        return True

    def write_headers(self, start_line, headers, chunk=None) -> None:
        pass

    async def write(self, chunk: bytes) -> None:
        raise StreamClosedError

    def close(self) -> None:
        pass


class TestPlannedStop:
    def test_idle_connections_close_and_running_ones_finish(self):
        """Guards against a planned stop that cuts a request."""

        async def run():
            upstream = ScriptedUpstream(answer(), stream(1, 4, pause_s=0.1))
            async with open_front(upstream) as front:
                idle_reader, idle_writer = await front.connect()
                idle_writer.write(make_request("/r/x", "POST", b"{}", {}))
                await read_reply(idle_reader)
                busy_reader, busy_writer = await front.connect()
                busy_writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.1)
                front.context.stopping = True
                front.server.stop_listening()
                await front.server.close_idle()
                assert await idle_reader.read() == b""
                reply = await read_reply(busy_reader)
                assert (reply.body, reply.complete) == (WHOLE_STREAM, True)

        asyncio.run(run())

    def test_request_that_has_just_arrived_is_answered(self):
        """Guards against a stop that closes a connection on which a request already waits."""

        async def run():
            async def answer_later(reader, writer, received):
                await asyncio.sleep(0.1)
                await answer()(reader, writer, received)

            async with open_front(ScriptedUpstream(answer(), answer_later)) as front:
                reader, writer = await front.connect()
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                await read_reply(reader)
                front.context.stopping = True
                # Written past the event loop, which has no chance to read it before the close.
                descriptor = os.dup(writer.get_extra_info("socket").fileno())
                with socket.socket(fileno=descriptor) as connection:
                    connection.send(make_request("/r/x", "POST", b"{}", {"Request_Id": "r2"}))
                await front.server.close_idle()
                assert (await read_reply(reader)).status == 200

        asyncio.run(run())

    def test_request_that_crosses_the_close_is_not_sent(self):
        """Guards against an upstream that runs a request whose connection was just closed."""

        async def run():
            async with open_front(ScriptedUpstream(answer())) as front:
                reader = front.server.start_request(object(), ClosedConnection())
                line = RequestStartLine("POST", "/r/x", "HTTP/1.1")
                reader.headers_received(line, HTTPHeaders({"Host": "a.example"}))
                reader.finish()
                assert not front.server.runs
                front.server.connections.clear()

        asyncio.run(run())

    def test_answers_of_a_stopping_instance_close(self):
        """Guards against callers that keep connections to an instance that stops."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as front:
                front.context.stopping = True
                assert (await front.request()).headers["Connection"] == "close"

        asyncio.run(run())


class _Unfinished:
    """Writer that leaves out the end of a chunked body."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.writer = writer

    def write(self, data: bytes) -> None:
        if data != b"0\r\n\r\n":
            self.writer.write(data)

    async def drain(self) -> None:
        await self.writer.drain()
