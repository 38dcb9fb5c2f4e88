"""Tests of requests that a frontend server forwards to scripted upstreams."""

import asyncio
import time

import pytest

from laburnumrock.dispatch import DispatchAnswer, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding.tests.scripted import (
    ScriptedDispatcher,
    ScriptedUpstream,
    answer,
    hang,
    make_event,
    open_frontend,
    respond_raw,
    stream,
)

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))


class TestPlainRequests:
    def test_request_and_response_are_forwarded_unchanged(self):
        """Guards against modified methods, paths, bodies and headers."""

        async def run():
            upstream = ScriptedUpstream(answer(201, b"body", X_Own="1"))
            async with open_frontend(upstream) as frontend:
                response = await frontend.request("/r/x?q=%2F", "PUT", b"\x00\xff", X_Other="2")
            [received] = upstream.received
            assert received.line == "PUT /r/x?q=%2F HTTP/1.1"
            assert received.body == b"\x00\xff"
            assert received.headers["Request-Id"] == "r1"
            assert received.headers["X-Other"] == "2"
            assert (response.status, response.body) == (201, b"body")
            assert response.headers["Server-Signature"] == "proof"
            assert response.headers["X-Own"] == "1"

        asyncio.run(run())

    def test_api_key_is_removed_and_account_is_set(self):
        """Guards against forwarding an API key, and trusting an account header of a caller."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                await frontend.request(Tenant="forged", Expect_Instance="forged")
            headers = upstream.received[0].headers
            assert "Authorization" not in headers
            assert headers["Tenant"] == "tenant-one"
            assert headers["Expect-Instance"] == "u1"

        asyncio.run(run())

    def test_remaining_time_is_forwarded(self):
        """Guards against upstreams that continue work past the deadline of the caller."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                await frontend.request(Deadline_Ms="700")
            assert 500 < int(upstream.received[0].headers["Deadline-Ms"]) <= 700

        asyncio.run(run())

    def test_connections_are_reused(self):
        """Guards against a new connection per request; connections cost money and are limited."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                for _ in range(3):
                    assert (await frontend.request()).status == 200
            assert upstream.connections == 1

        asyncio.run(run())

    def test_connection_with_unread_bytes_is_not_reused(self):
        """Guards against taking surplus bytes after a response for the next response."""

        async def run():
            extra = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"
            whole = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            whole += b"Content-Length: 2\r\n\r\nok"
            upstream = ScriptedUpstream(respond_raw(whole + extra, close=False), answer())
            async with open_frontend(upstream) as frontend:
                assert (await frontend.request()).body == b"ok"
                await asyncio.sleep(0.05)
                assert (await frontend.request(Request_Id="r2")).body == b"done"
            assert upstream.connections == 2

        asyncio.run(run())

    def test_late_response_to_another_request_is_skipped(self):
        """Guards against returning the response to another request."""

        async def run():
            foreign = b"HTTP/1.1 200 OK\r\nRequest-Id: old\r\nServer-Signature: p\r\n"
            foreign += b"Content-Length: 4\r\n\r\nevil"
            own = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            own += b"Content-Length: 2\r\n\r\nok"
            upstream = ScriptedUpstream(respond_raw(foreign + own, close=False))
            async with open_frontend(upstream) as frontend:
                response = await frontend.request("/once/x")
            assert (response.status, response.body) == (200, b"ok")

        asyncio.run(run())


class TestRetries:
    def test_idempotent_request_is_retried_on_another_upstream(self):
        """Guards against reporting an error that a retry on another upstream avoids."""

        async def run():
            first, second = ScriptedUpstream(answer(500)), ScriptedUpstream(answer())
            async with open_frontend(first, second) as frontend:
                response = await frontend.request()
                assert frontend.dispatcher.outcomes == [SendOutcome.ERROR, SendOutcome.DONE]
                assert frontend.dispatcher.calls[1].excluded == ["u1"]
            assert response.status == 200

        asyncio.run(run())

    def test_sends_do_not_exceed_max_attempts(self):
        """Guards against sending a request to more upstreams than its route allows."""

        async def run():
            first, second = ScriptedUpstream(answer(500)), ScriptedUpstream(answer(500, b"bad"))
            async with open_frontend(first, second) as frontend:
                response = await frontend.request()
            assert (response.status, response.body) == (500, b"bad")
            assert response.headers["Server-Signature"] == "proof"
            assert len(first.received) + len(second.received) == 2

        asyncio.run(run())

    def test_non_idempotent_request_is_not_retried(self):
        """Guards against retrying a non-idempotent request after its connection broke."""

        async def run():
            first = ScriptedUpstream(respond_raw(b"HTTP/1.1 200 OK\r\nContent-Le"))
            second = ScriptedUpstream(answer())
            async with open_frontend(first, second) as frontend:
                response = await frontend.request("/once/x")
            assert response.status == 502
            assert second.received == []

        asyncio.run(run())

    def test_truncated_response_is_not_forwarded(self):
        """Guards against forwarding a truncated body as a complete one."""

        async def run():
            cut = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Signature: p\r\n"
            cut += b"Content-Length: 100\r\n\r\nhalf"
            first, second = ScriptedUpstream(respond_raw(cut)), ScriptedUpstream(answer())
            async with open_frontend(first, second) as frontend:
                response = await frontend.request()
            assert (response.status, response.body) == (200, b"done")

        asyncio.run(run())

    def test_unsigned_response_is_no_success(self):
        """Guards against forwarding a success without the signature of an upstream."""

        async def run():
            first, second = ScriptedUpstream(answer(signed=False)), ScriptedUpstream(answer())
            async with open_frontend(first, second) as frontend:
                assert (await frontend.request()).headers["Server-Signature"] == "proof"
            assert len(second.received) == 1

        asyncio.run(run())

    def test_silent_upstream_times_out(self):
        """Guards against waiting for a dead upstream until the deadline of the request."""

        async def run():
            first, second = ScriptedUpstream(hang()), ScriptedUpstream(answer())
            async with open_frontend(first, second, first_event_timeout_s=0.1) as frontend:
                response = await frontend.request()
            outcomes = sorted(frontend.dispatcher.outcomes)
            assert outcomes == [SendOutcome.DONE, SendOutcome.SILENT]
            assert response.status == 200

        asyncio.run(run())

    def test_long_prompt_is_not_retried_without_advice(self):
        """Guards against repeated prefill of long prompts while engines are merely slow."""

        async def run():
            first, second = ScriptedUpstream(stream(1, 4, delay_s=0.5)), ScriptedUpstream(hang())
            limits = {
                "first_event_timeout_s": 0.1,
                "stall_report_delay_s": 0.05,
                "stall_report_interval_s": 0.05,
            }
            async with open_frontend(first, second, **limits) as frontend:
                response = await frontend.request("/s/x", Token_Usage="200000,800")
            assert response.complete
            assert second.received == []

        asyncio.run(run())

    def test_long_prompt_is_retried_on_advice(self):
        """Guards against waiting for an engine that the dispatcher knows to be dead."""

        async def run():
            first, second = ScriptedUpstream(hang()), ScriptedUpstream(stream(1, 4))
            async with open_frontend(first, second, stall_report_delay_s=0.05) as frontend:
                frontend.dispatcher.advises_to_give_up = True
                response = await asyncio.wait_for(
                    frontend.request("/s/x", Token_Usage="200000,800"), 1.0
                )
                assert frontend.dispatcher.outcomes[0] is SendOutcome.SILENT
            assert response.complete

        asyncio.run(run())

    def test_unreachable_upstream_does_not_count_as_attempt(self):
        """Guards against counting a failed connection, before a byte is sent, as an attempt."""

        async def run():
            unreachable = ScriptedUpstream(answer())
            second, third = ScriptedUpstream(answer(500)), ScriptedUpstream(answer())
            async with open_frontend(unreachable, second, third) as frontend:
                unreachable.server.close()
                await unreachable.server.wait_closed()
                response = await frontend.request()
            assert response.status == 200

        asyncio.run(run())


class TestRefusals:
    def test_not_executed_yields_status_503(self):
        """Guards against reporting an unknown outcome although the upstream ran nothing."""

        async def run():
            upstream = ScriptedUpstream(answer(503, Not_Executed="1", signed=False))
            async with open_frontend(upstream) as frontend:
                response = await frontend.request("/once/x")
            assert response.status == 503
            assert float(response.headers["Retry-After"]) > 0

        asyncio.run(run())

    def test_refusal_without_not_executed_yields_status_502(self):
        """Guards against status 503 for a request that may have run."""

        async def run():
            upstream = ScriptedUpstream(answer(503))
            async with open_frontend(upstream) as frontend:
                response = await frontend.request("/once/x")
            assert response.status == 502
            assert "Server-Signature" not in response.headers

        asyncio.run(run())

    def test_two_refusals_with_not_executed_yield_status_503(self):
        """Guards against reporting an unknown outcome although both upstreams ran nothing."""

        async def run():
            refusing = [answer(503, Not_Executed="1", signed=False) for _ in range(2)]
            first, second = (ScriptedUpstream(script) for script in refusing)
            async with open_frontend(first, second) as frontend:
                response = await frontend.request()
            assert response.status == 503

        asyncio.run(run())

    def test_refusal_after_a_possible_run_yields_status_502(self):
        """Guards against status 503 although the first of two sends may have run."""

        async def run():
            first = ScriptedUpstream(respond_raw(b"HTTP/1.1 200"))
            second = ScriptedUpstream(answer(503, Not_Executed="1", signed=False))
            async with open_frontend(first, second) as frontend:
                response = await frontend.request()
            assert response.status == 502

        asyncio.run(run())

    def test_refusal_of_the_dispatcher_is_reported(self):
        """Guards against a refusal without its Retry-After header."""

        async def run():
            async with open_frontend() as frontend:
                kind = ErrorKind.CONCURRENCY_LIMITED.value
                frontend.dispatcher.refusal = DispatchAnswer(refusal=kind, retry_after_s=1.25)
                response = await frontend.request()
            assert response.status == 429
            assert response.headers["Retry-After"] == "1.25"

        asyncio.run(run())

    def test_status_codes_of_routing(self):
        """Guards against wrong status codes for unknown routes, unknown keys and missing routes."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
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
    def test_request_during_startup_waits_for_routes(self, learns_after_s, deadline_ms, status):
        """Guards against refusing requests that arrive before an instance has its first routes."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                loop = asyncio.get_running_loop()
                route_table, frontend.context.route_table = frontend.context.route_table, None
                frontend.context.ready_deadline_s = time.monotonic() + 0.3

                def learn_routes():
                    frontend.context.route_table = route_table
                    frontend.context.ready.set()

                if learns_after_s is not None:
                    loop.call_later(learns_after_s, learn_routes)
                began_s = loop.time()
                response = await frontend.request(Deadline_Ms=deadline_ms)
                assert (response.status, loop.time() - began_s < 0.5) == (status, True)
                assert len(upstream.received) == (status == 200)

        asyncio.run(run())

    def test_deadline_of_the_caller_is_enforced(self):
        """Guards against keeping a caller waiting past the time limit of its request."""

        async def run():
            upstream = ScriptedUpstream(hang())
            async with open_frontend(upstream) as frontend:
                loop = asyncio.get_running_loop()
                began_s = loop.time()
                response = await frontend.request("/once/x", Deadline_Ms="300")
                assert loop.time() - began_s < 0.5
            assert response.status == 504

        asyncio.run(run())

    def test_malformed_request(self):
        """Guards against a malformed request that stops the process or hangs its caller."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                assert (await frontend.request(Token_Usage="many")).status == 400
                assert (await frontend.request()).status == 200

        asyncio.run(run())


class TestUnexpectedErrors:
    """An error in the run of a request that no other rule covers."""

    @staticmethod
    def fail_after(count: int):
        """Return a `place` of a dispatcher that fails after a number of calls."""

        async def place(dispatcher, call):
            if len(dispatcher.calls) >= count:
                raise ZeroDivisionError("broken dispatcher")
            return await place_normally(dispatcher, call)

        place_normally = ScriptedDispatcher.place
        return place

    @pytest.mark.parametrize(("count", "status"), [(0, 503), (1, 500)])
    def test_caller_gets_an_error_response(self, count, status, monkeypatch):
        """Guards against a connection that closes without a response."""
        monkeypatch.setattr(ScriptedDispatcher, "place", self.fail_after(count))

        async def run():
            upstream = ScriptedUpstream(answer(500))
            async with open_frontend(upstream) as frontend:
                return await frontend.request("/r/x")

        response = asyncio.run(run())
        assert response.status == status
        assert response.headers["Content-Type"] == "application/problem+json"

    def test_stream_does_not_look_complete(self, monkeypatch):
        """Guards against an error response inside a stream that has begun."""
        monkeypatch.setattr(ScriptedDispatcher, "place", self.fail_after(1))

        async def run():
            upstream = ScriptedUpstream(stream(1, 2, cut=b"id: 3\nda"))
            async with open_frontend(upstream) as frontend:
                return await frontend.request("/s/x")

        response = asyncio.run(run())
        assert (response.status, response.complete) == (200, False)
        assert response.body == make_event(1) + make_event(2)
