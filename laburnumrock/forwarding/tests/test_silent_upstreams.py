"""Sound upstreams that fall silent for a moment and go on."""

import asyncio
import time

import pytest

from laburnumrock.dispatch import DispatchAnswer, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding.tests.scripted import (
    CallerResponse,
    FrontendHarness,
    ScriptedDispatcher,
    ScriptedUpstream,
    answer,
    hang,
    make_event,
    make_head,
    make_request,
    make_routes,
    open_frontend,
    read_response,
    respond_raw,
    stream,
    write_chunk,
)

SILENCE_S = 0.7
"""Longer than the time limits below, shorter than the time limit of the routes."""
LIMITS = {"gap_timeout_s": 0.15, "gap_timeout_factor": 1.0, "first_event_timeout_s": 0.15}
REFUSAL = DispatchAnswer(refusal=ErrorKind.NO_UPSTREAM.value, retry_after_s=1.0)
PIECES = [make_event(number) for number in range(1, 5)]
EVENTS = b"".join(PIECES)

STREAM_PAUSES = {
    "before the head": lambda head, pieces: 0,
    "in the head": lambda head, pieces: len(head) // 2,
    "after the head": lambda head, pieces: len(head),
    "between events": lambda head, pieces: len(head) + len(pieces[0]),
    "in an event": lambda head, pieces: len(head) + len(pieces[0]) + len(pieces[1]) // 2,
    "before the end": lambda head, pieces: len(head) + sum(map(len, pieces)),
}
"""Number of bytes of a stream that are sent before its upstream falls silent."""


def pause_stream(place: str):
    """Send the events 1 to 4 with a silence at a place of the response."""

    async def run(reader, writer, received) -> None:
        head = make_head(200, received, True, None, {"Content-Type": "text/event-stream"})
        chunks = [f"{len(piece):x}\r\n".encode() + piece + b"\r\n" for piece in PIECES]
        data = head + b"".join(chunks) + b"0\r\n\r\n"
        await write_with_pause(writer, data, STREAM_PAUSES[place](head, chunks))

    return run


def pause_plain(place: str):
    """Send a response with a length and a silence at a place of it."""

    async def run(reader, writer, received) -> None:
        head = make_head(200, received, True, 4, {})
        size = {"before the head": 0, "in the head": len(head) // 2, "in the body": len(head) + 2}
        await write_with_pause(writer, head + b"done", size[place])

    return run


async def write_with_pause(writer: asyncio.StreamWriter, data: bytes, size: int) -> None:
    writer.write(data[:size])
    await writer.drain()
    await asyncio.sleep(SILENCE_S)
    writer.write(data[size:])
    await writer.drain()


def run_request(
    *upstreams: ScriptedUpstream, path: str, refused: tuple[int, ...] = (), **limits: float
) -> tuple[CallerResponse, FrontendHarness]:
    """Send one request; the dispatcher refuses the placements with the given numbers."""

    async def play() -> tuple[CallerResponse, FrontendHarness]:
        async with open_frontend(*upstreams, **(LIMITS | limits)) as frontend:
            frontend.dispatcher.refused = dict.fromkeys(refused, REFUSAL)
            response = await frontend.request(path)
            return response, frontend

    return asyncio.run(play())


ALL_PLACEMENTS = tuple(range(2, 20))


class TestNoOtherUpstream:
    """The dispatcher finds no other upstream while the only one is silent."""

    @pytest.mark.parametrize("place", STREAM_PAUSES)
    def test_stream_goes_on(self, place):
        """Guards against closing a stream without an end while its upstream is silent."""
        upstream = ScriptedUpstream(pause_stream(place))
        response, frontend = run_request(upstream, path="/s/x", refused=ALL_PLACEMENTS)
        assert (response.status, response.body, response.complete) == (200, EVENTS, True)
        assert len(upstream.received) == 1
        assert frontend.dispatcher.outcomes == [SendOutcome.DONE]

    @pytest.mark.parametrize("place", ["before the head", "in the head", "in the body"])
    def test_plain_request_is_answered(self, place):
        """Guards against a 502 for a request that its upstream is still answering."""
        upstream = ScriptedUpstream(pause_plain(place))
        response, frontend = run_request(upstream, path="/r/x", refused=ALL_PLACEMENTS)
        assert (response.status, response.body) == (200, b"done")
        assert frontend.dispatcher.outcomes == [SendOutcome.DONE]

    def test_stream_goes_on_against_advice(self):
        """Guards against closing a stream of an upstream whose reports are late."""

        async def run() -> CallerResponse:
            upstream = ScriptedUpstream(pause_stream("in an event"))
            limits = {"gap_timeout_s": 5.0, "stall_report_delay_s": 0.05}
            async with open_frontend(upstream, **limits) as frontend:
                frontend.dispatcher.advises_to_give_up = True
                frontend.dispatcher.refused = dict.fromkeys(ALL_PLACEMENTS, REFUSAL)
                return await frontend.request("/s/x")

        response = asyncio.run(run())
        assert (response.body, response.complete) == (EVENTS, True)

    def test_other_upstream_is_found_later(self):
        """Guards against a stream that waits for a dead upstream after one refused placement."""
        dead = ScriptedUpstream(stream_then_hang(2))
        other = ScriptedUpstream(stream(3, 4))
        response, frontend = run_request(
            dead, dead, other, path="/s/x", refused=(2,), placement_retry_s=0.1
        )
        assert (response.body, response.complete) == (EVENTS, True)
        assert sorted(frontend.dispatcher.outcomes) == [SendOutcome.DONE, SendOutcome.SILENT]

    def test_deadline_ends_the_wait(self):
        """Guards against a request that waits for a silent upstream past its time limit."""
        upstream = ScriptedUpstream(hang())
        response, _ = run_request(upstream, path="/r/x", refused=ALL_PLACEMENTS)
        assert response.status == 504


def stream_then_hang(last: int):
    """Send the events up to `last` and nothing more."""

    async def run(reader, writer, received) -> None:
        head = make_head(200, received, True, None, {"Content-Type": "text/event-stream"})
        writer.write(head)
        for piece in PIECES[:last]:
            writer.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
        await writer.drain()
        await reader.read()
        writer.close()

    return run


class TestOtherUpstream:
    """Another upstream is asked while the first one is silent; the first to make progress wins."""

    def test_first_upstream_goes_on_first(self):
        """Guards against events that come twice when both upstreams send them."""
        first = ScriptedUpstream(pause_stream("in an event"))
        other = ScriptedUpstream(stream(2, 4, delay_s=2.0))
        response, frontend = run_request(first, other, path="/s/x")
        assert (response.body, response.complete) == (EVENTS, True)
        assert other.received[0].headers["Last-Event-Id"] == "1"
        assert sorted(frontend.dispatcher.outcomes) == [SendOutcome.CANCELLED, SendOutcome.DONE]

    def test_other_upstream_goes_on_first(self):
        """Guards against events of an upstream that goes on after another one has taken over."""
        first = ScriptedUpstream(pause_stream("in an event"))
        other = ScriptedUpstream(stream(2, 4, pause_s=0.3))
        response, frontend = run_request(first, other, path="/s/x", gap_timeout_s=0.4)
        assert (response.body, response.complete) == (EVENTS, True)
        assert sorted(frontend.dispatcher.outcomes) == [SendOutcome.DONE, SendOutcome.SILENT]

    @pytest.mark.parametrize(
        "failure",
        [
            answer(503, b"", Not_Executed="1"),
            answer(500, b"broken"),
            respond_raw(b""),
            respond_raw(b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 9\r\n\r\nx"),
        ],
        ids=["refusal", "error", "close", "truncated"],
    )
    @pytest.mark.parametrize("path", ["/s/x", "/r/x"])
    def test_failure_of_the_other_upstream(self, failure, path):
        """Guards against a failure of the second upstream that ends the answer of the first one."""
        pause = pause_stream("in an event") if path == "/s/x" else pause_plain("in the body")
        first, other = ScriptedUpstream(pause), ScriptedUpstream(failure)
        response, _ = run_request(first, other, path=path)
        assert response.complete
        assert response.body == (EVENTS if path == "/s/x" else b"done")

    @pytest.mark.parametrize("path", ["/s/x", "/r/x"])
    def test_unexpected_error_of_the_other_attempt(self, path, monkeypatch):
        """Guards against an error in the second attempt that ends the answer of the first one."""
        place = ScriptedDispatcher.place

        async def fail_later(dispatcher, call):
            answer = await place(dispatcher, call)
            if call.attempt > 1:
                raise ZeroDivisionError("broken dispatcher")
            return answer

        monkeypatch.setattr(ScriptedDispatcher, "place", fail_later)
        pause = pause_stream("in an event") if path == "/s/x" else pause_plain("in the body")
        response, frontend = run_request(ScriptedUpstream(pause), path=path)
        assert response.complete
        assert response.body == (EVENTS if path == "/s/x" else b"done")
        assert len(frontend.dispatcher.calls) == 2

    def test_replaced_upstream_is_not_chosen_again(self):
        """Guards against a third attempt on the upstream that was silent under the first one."""

        async def run() -> FrontendHarness:
            first = ScriptedUpstream(pause_stream("in an event"))
            other = ScriptedUpstream(stream(2, 2, cut=b"id: 3\nda", pause_s=0.05))
            last = ScriptedUpstream(stream(3, 4))
            async with open_frontend(first, other, last, **LIMITS) as frontend:
                frontend.context.route_table = make_routes(max_attempts=3)
                response = await frontend.request("/s/x")
                assert (response.body, response.complete) == (EVENTS, True)
                return frontend

        assert asyncio.run(run()).dispatcher.calls[2].excluded == ["u1", "u2"]

    def test_both_upstreams_fail(self):
        """Guards against a request without a response if the first upstream breaks at last."""
        first = ScriptedUpstream(break_after_silence)
        other = ScriptedUpstream(answer(503, b"", Not_Executed="1"))
        response, _ = run_request(first, other, path="/r/x")
        assert response.status == 502

    def test_plain_request_gets_one_response(self):
        """Guards against a second response on the connection of the caller."""

        async def run() -> tuple[CallerResponse, bytes]:
            first = ScriptedUpstream(pause_plain("before the head"))
            other = ScriptedUpstream(delay_answer(SILENCE_S - 0.3))
            async with open_frontend(first, other, **LIMITS) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                response = await read_response(reader)
                await asyncio.sleep(SILENCE_S)
                writer.write_eof()
                return response, await reader.read()

        response, rest = asyncio.run(run())
        assert (response.status, rest) == (200, b"")

    def test_disconnect_of_the_caller_ends_both_sends(self):
        """Guards against upstreams that work for callers that have disconnected."""

        async def run() -> list[list[float]]:
            upstreams = [ScriptedUpstream(hang()), ScriptedUpstream(hang())]
            async with open_frontend(*upstreams, **LIMITS) as frontend:
                _, writer = await frontend.connect()
                writer.write(make_request("/s/x", "POST", b"{}", {}))
                await asyncio.sleep(0.4)
                assert all(upstream.received for upstream in upstreams)
                writer.close()
                await asyncio.sleep(0.2)
                return [upstream.closed_s for upstream in upstreams]

        assert all(asyncio.run(run()))

    def test_withdrawn_placement_is_not_used(self):
        """Guards against a send whose placement arrives while another attempt takes over."""

        async def run() -> FrontendHarness:
            upstreams = [ScriptedUpstream(pause_plain("before the head")), ScriptedUpstream(hang())]
            async with open_frontend(*upstreams, **LIMITS) as frontend:
                frontend.dispatcher.refused = dict.fromkeys(range(3, 20), REFUSAL)
                decision = asyncio.get_running_loop().create_future()
                place = frontend.dispatcher.place

                async def place_later(call):
                    answer = await place(call)
                    if call.attempt > 1:
                        # Returns the decision even if it is cancelled once the future is done.
                        await asyncio.wait_for(decision, 5.0)
                    return answer

                frontend.dispatcher.place = place_later
                reader, writer = await frontend.connect()
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                async with asyncio.timeout(SILENCE_S):
                    while len(frontend.dispatcher.calls) < 2:
                        await asyncio.sleep(0.01)
                    forwarder = next(iter(frontend.server.tasks.values()))
                decision.set_result(None)
                forwarder._take_over(forwarder.attempts[0])
                assert (await read_response(reader)).status == 200
                assert upstreams[1].received == []
                return frontend

        outcomes = asyncio.run(run()).dispatcher.outcomes
        assert outcomes == [SendOutcome.CANCELLED, SendOutcome.DONE]

    def test_request_that_runs_once_is_not_sent_again(self):
        """Guards against a second run of a request while its upstream is silent."""
        first = ScriptedUpstream(pause_plain("before the head"))
        other = ScriptedUpstream(answer())
        response, frontend = run_request(first, other, path="/once/x")
        assert (response.status, other.received) == (200, [])
        assert len(frontend.dispatcher.calls) == 1


async def break_after_silence(reader, writer, received) -> None:
    await asyncio.sleep(SILENCE_S)
    writer.close()


def delay_answer(delay_s: float):
    """Send a response after a delay."""

    async def run(reader, writer, received) -> None:
        await asyncio.sleep(delay_s)
        await answer()(reader, writer, received)

    return run


class TestBusyEntry:
    """The event loop of the entry stands still for longer than the time limits."""

    def test_events_that_have_arrived_are_read_first(self):
        """Guards against an entry that takes sound upstreams for silent, seeks others and lets the
        leader avoid them, since it did not run for a moment and their events are still unread.
        """
        stalls = []

        async def send(reader, writer, received) -> None:
            writer.write(
                make_head(200, received, True, None, {"Content-Type": "text/event-stream"})
            )
            for number in range(1, 5):
                write_chunk(writer, make_event(number))
                # The event is in the socket, and the entry shares this event loop.
                time.sleep(SILENCE_S / 2)
                await asyncio.sleep(0.05)
            writer.write(b"0\r\n\r\n")

        async def run() -> tuple[CallerResponse, FrontendHarness]:
            upstreams = ScriptedUpstream(send), ScriptedUpstream(stream(1, 4))
            async with open_frontend(*upstreams, **LIMITS, stall_report_delay_s=0.05) as frontend:
                report_stall = frontend.dispatcher.report_stall
                frontend.dispatcher.report_stall = lambda message: (
                    stalls.append(message) or report_stall(message)
                )
                return await frontend.request("/s/x"), frontend

        response, frontend = asyncio.run(run())
        assert (response.body, response.complete) == (EVENTS, True)
        assert (len(frontend.dispatcher.calls), stalls) == (1, [])
