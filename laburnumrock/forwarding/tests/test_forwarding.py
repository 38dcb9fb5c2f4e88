"""Requests through a front server to scripted upstreams."""

import asyncio
import time

import pytest

from laburnumrock.dispatch import DispatchAnswer, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    answer,
    hang,
    make_event,
    open_front,
    respond_raw,
    stream,
)

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


class TestPlainRequests:
    def test_request_and_answer_pass_unchanged(self):
        """Guards against changed methods, paths, bodies and headers."""

        async def run():
            upstream = ScriptedUpstream(answer(201, b"body", X_Own="1"))
            async with open_front(upstream) as frontend:
                reply = await frontend.request("/r/x?q=%2F", "PUT", b"\x00\xff", X_Other="2")
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
            async with open_front(upstream) as frontend:
                await frontend.request(Tenant="forged", Expect_Instance="forged")
            headers = upstream.received[0].headers
            assert "Authorization" not in headers
            assert headers["Tenant"] == "tenant-one"
            assert headers["Expect-Instance"] == "u1"

        asyncio.run(run())

    def test_time_left_is_passed_on(self):
        """Guards against upstreams that work on after the caller has left."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as frontend:
                await frontend.request(Deadline_Ms="700")
            assert 500 < int(upstream.received[0].headers["Deadline-Ms"]) <= 700

        asyncio.run(run())

    def test_kept_connections_are_used_again(self):
        """Guards against a new connection for each request, which is priced and limited."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as frontend:
                for _ in range(3):
                    assert (await frontend.request()).status == 200
            assert upstream.connections == 1

        asyncio.run(run())

    def test_connection_with_unread_bytes_is_not_used_again(self):
        """Guards against bytes after an answer that are taken for the next answer."""

        async def run():
            extra = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
            whole = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            whole += b"Content-Length: 2\r\n\r\nok"
            upstream = ScriptedUpstream(respond_raw(whole + extra, close=False), answer())
            async with open_front(upstream) as frontend:
                assert (await frontend.request()).body == b"ok"
                await asyncio.sleep(0.05)
                assert (await frontend.request(Request_Id="r2")).body == b"done"
            assert upstream.connections == 2

        asyncio.run(run())

    def test_late_answer_to_another_request_is_skipped(self):
        """Guards against the answer to another request."""

        async def run():
            foreign = b"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nServer-Signature: p\r\n"
            foreign += b"Content-Length: 4\r\n\r\nevil"
            own = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            own += b"Content-Length: 2\r\n\r\nok"
            upstream = ScriptedUpstream(respond_raw(foreign + own, close=False))
            async with open_front(upstream) as frontend:
                reply = await frontend.request("/once/x")
            assert (reply.status, reply.body) == (200, b"ok")

        asyncio.run(run())


class TestRepeats:
    def test_error_of_a_repeatable_request_goes_elsewhere(self):
        """Guards against a failure that another upstream would not have had."""

        async def run():
            first, second = ScriptedUpstream(answer(500)), ScriptedUpstream(answer())
            async with open_front(first, second) as frontend:
                reply = await frontend.request()
                assert frontend.placer.outcomes == [SendOutcome.ERROR, SendOutcome.DONE]
                assert frontend.placer.calls[1].excluded == ["u1"]
            assert reply.status == 200

        asyncio.run(run())

    def test_no_more_sends_than_attempts(self):
        """Guards against a request that runs on more upstreams than its route allows."""

        async def run():
            first, second = ScriptedUpstream(answer(500)), ScriptedUpstream(answer(500, b"bad"))
            async with open_front(first, second) as frontend:
                reply = await frontend.request()
            assert (reply.status, reply.body) == (500, b"bad")
            assert reply.headers["Server-Signature"] == "proof"
            assert len(first.received) + len(second.received) == 2

        asyncio.run(run())

    def test_broken_connection_runs_once_only(self):
        """Guards against a second run of a request that must run once at most."""

        async def run():
            first = ScriptedUpstream(respond_raw(b"HTTP/1.1 200 OK\r\nContent-Le"))
            second = ScriptedUpstream(answer())
            async with open_front(first, second) as frontend:
                reply = await frontend.request("/once/x")
            assert reply.status == 502
            assert second.received == []

        asyncio.run(run())

    def test_truncated_answer_is_not_passed_on(self):
        """Guards against half a body that looks complete."""

        async def run():
            cut = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            cut += b"Content-Length: 100\r\n\r\nhalf"
            first, second = ScriptedUpstream(respond_raw(cut)), ScriptedUpstream(answer())
            async with open_front(first, second) as frontend:
                reply = await frontend.request()
            assert (reply.status, reply.body) == (200, b"done")

        asyncio.run(run())

    def test_answer_without_proof_is_no_success(self):
        """Guards against a success that no upstream vouches for."""

        async def run():
            first, second = ScriptedUpstream(answer(signed=False)), ScriptedUpstream(answer())
            async with open_front(first, second) as frontend:
                assert (await frontend.request()).headers["Server-Signature"] == "proof"
            assert len(second.received) == 1

        asyncio.run(run())

    def test_silent_upstream_is_left(self):
        """Guards against a request that waits for a dead upstream until its deadline."""

        async def run():
            first, second = ScriptedUpstream(hang()), ScriptedUpstream(answer())
            async with open_front(first, second, patience_s=0.1) as frontend:
                reply = await frontend.request()
                assert frontend.placer.outcomes[0] is SendOutcome.SILENT
            assert reply.status == 200

        asyncio.run(run())

    def test_long_prompt_is_not_read_twice_without_need(self):
        """Guards against prompts that are read again and again while engines are only slow."""

        async def run():
            first, second = ScriptedUpstream(stream(1, 4, delay_s=0.5)), ScriptedUpstream(hang())
            limits = {"patience_s": 0.1, "stall_notice_s": 0.05, "stall_interval_s": 0.05}
            async with open_front(first, second, **limits) as frontend:
                reply = await frontend.request("/s/x", Token_Usage="200000,800")
            assert reply.complete
            assert second.received == []

        asyncio.run(run())

    def test_long_prompt_leaves_a_dead_engine(self):
        """Guards against long prompts that wait for an engine that the dispatcher knows is dead."""

        async def run():
            first, second = ScriptedUpstream(hang()), ScriptedUpstream(stream(1, 4))
            async with open_front(first, second, stall_notice_s=0.05) as frontend:
                frontend.placer.advises_to_give_up = True
                reply = await asyncio.wait_for(
                    frontend.request("/s/x", Token_Usage="200000,800"), 1.0
                )
                assert frontend.placer.outcomes[0] is SendOutcome.SILENT
            assert reply.complete

        asyncio.run(run())

    def test_unreachable_upstream_costs_no_attempt(self):
        """Guards against attempts that are used up before a byte was sent."""

        async def run():
            gone = ScriptedUpstream(answer())
            second, third = ScriptedUpstream(answer(500)), ScriptedUpstream(answer())
            async with open_front(gone, second, third) as frontend:
                gone.server.close()
                await gone.server.wait_closed()
                reply = await frontend.request()
            assert reply.status == 200

        asyncio.run(run())


class TestRefusals:
    def test_not_executed_is_passed_on_as_a_promise(self):
        """Guards against an unknown outcome where the upstream proves that nothing ran."""

        async def run():
            upstream = ScriptedUpstream(answer(503, Not_Executed="1", signed=False))
            async with open_front(upstream) as frontend:
                reply = await frontend.request("/once/x")
            assert reply.status == 503
            assert float(reply.headers["Retry-After"]) > 0

        asyncio.run(run())

    def test_refusal_without_proof_is_no_promise(self):
        """Guards against a 503 for a request that has run."""

        async def run():
            upstream = ScriptedUpstream(answer(503))
            async with open_front(upstream) as frontend:
                reply = await frontend.request("/once/x")
            assert reply.status == 502
            assert "Server-Signature" not in reply.headers

        asyncio.run(run())

    def test_two_proofs_are_a_promise(self):
        """Guards against an unknown outcome where both upstreams prove that nothing ran."""

        async def run():
            refusing = [answer(503, Not_Executed="1", signed=False) for _ in range(2)]
            first, second = (ScriptedUpstream(script) for script in refusing)
            async with open_front(first, second) as frontend:
                reply = await frontend.request()
            assert reply.status == 503

        asyncio.run(run())

    def test_refusal_after_a_run_is_no_promise(self):
        """Guards against 503 when the first of two sends may have run."""

        async def run():
            first = ScriptedUpstream(respond_raw(b"HTTP/1.1 200"))
            second = ScriptedUpstream(answer(503, Not_Executed="1", signed=False))
            async with open_front(first, second) as frontend:
                reply = await frontend.request()
            assert reply.status == 502

        asyncio.run(run())

    def test_dispatcher_refuses(self):
        """Guards against a refusal without the time to come back."""

        async def run():
            async with open_front() as frontend:
                kind = ErrorKind.CONCURRENCY_LIMITED.value
                frontend.placer.refusal = DispatchAnswer(refusal=kind, retry_after_s=1.25)
                reply = await frontend.request()
            assert reply.status == 429
            assert reply.headers["Retry-After"] == "1.25"

        asyncio.run(run())

    def test_own_answers_of_routing(self):
        """Guards against wrong statuses for unknown routes, keys and versions."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as frontend:
                assert (await frontend.request("/none/x")).status == 404
                assert (await frontend.request(Authorization="Token k2")).status == 401
                assert (await frontend.request("/open/x", Authorization="Token k2")).status == 200
                frontend.context.route_table = None
                assert (await frontend.request()).status == 503

        asyncio.run(run())

    @pytest.mark.parametrize(
        ("learns_after_s", "deadline_ms", "status"),
        [(0.15, "3000", 200), (0.15, "400", 503), (None, "3000", 503)],
        ids=["in time", "too late for the caller", "never"],
    )
    def test_request_at_the_start_waits_for_the_routes(self, learns_after_s, deadline_ms, status):
        """Guards against refusals between the start of an instance and its first routes."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_front(upstream) as frontend:
                loop = asyncio.get_running_loop()
                route_table, frontend.context.route_table = frontend.context.route_table, None
                frontend.context.ready_deadline_s = time.monotonic() + 0.3

                def learn_routes():
                    frontend.context.route_table = route_table
                    frontend.context.ready.set()

                if learns_after_s is not None:
                    loop.call_later(learns_after_s, learn_routes)
                began_s = loop.time()
                reply = await frontend.request(Deadline_Ms=deadline_ms)
                assert (reply.status, loop.time() - began_s < 0.5) == (status, True)
                assert len(upstream.received) == (status == 200)

        asyncio.run(run())

    def test_time_limit_of_the_route(self):
        """Guards against a caller that is held past the time limit of its route."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_front(upstream) as frontend:
                loop = asyncio.get_running_loop()
                began_s = loop.time()
                reply = await frontend.request("/once/x", Deadline_Ms="300")
                assert loop.time() - began_s < 0.5
            assert reply.status == 504

        asyncio.run(run())

    def test_malformed_request(self):
        """Guards against a fault in one request that ends the process or hangs its caller."""

        async def run():
            async with open_front(ScriptedUpstream(answer())) as frontend:
                assert (await frontend.request(Token_Usage="many")).status == 400
                assert (await frontend.request()).status == 200

        asyncio.run(run())
