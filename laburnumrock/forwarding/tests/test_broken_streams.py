"""Tests of what callers get when upstreams end in the middle of a stream or of a head."""

import asyncio
import time

import pytest

from laburnumrock.dispatch import DispatchAnswer
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding._attempt import MAX_RESUMPTION_IDLE_S
from laburnumrock.forwarding._forwarder import MAX_UNSENT_RESUMPTIONS
from laburnumrock.forwarding._http_response import ResponseWriter
from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    answer,
    make_event,
    open_frontend,
    respond_raw,
    stream,
)

WHOLE_STREAM = b"".join(make_event(number) for number in range(1, 5))
SIGNED = b"Request-Id: {id}\r\nServer-Signature: proof\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"
JSON = b"Content-Type: application/json\r\n"
ERROR_TEXT = b'{"error": "engine lost"}\n\n'
ERRORS = {
    "signed 500": answer(500, ERROR_TEXT),
    "unsigned 500": answer(500, ERROR_TEXT, signed=False),
    "signed 404": answer(404, ERROR_TEXT),
    "not executed": answer(503, ERROR_TEXT, signed=False, Not_Executed="1"),
    "unframed 500": respond_raw(b"HTTP/1.1 500 Error\r\n" + SIGNED + b"\r\n" + ERROR_TEXT),
    "signed 200 with an error text": answer(200, ERROR_TEXT, Content_Type="application/json"),
    "signed 200 without a body": answer(200, b"", Content_Type="application/json"),
    "unsigned 200": answer(200, make_event(3), signed=False, Content_Type="text/event-stream"),
    "error text amid events": respond_raw(
        b"HTTP/1.1 200 OK\r\n" + SIGNED + EVENT_STREAM + b"\r\n" + make_event(3) + ERROR_TEXT
    ),
    "head amid events": respond_raw(
        b"HTTP/1.1 200 OK\r\n"
        + SIGNED
        + EVENT_STREAM
        + b"\r\n"
        + make_event(3)
        + b"HTTP/1.1 500 Error\r\n"
        + SIGNED
        + b"\r\n"
        + ERROR_TEXT
    ),
    "part of a head": respond_raw(b"HTTP/1.1 200 OK\r\n" + SIGNED + EVENT_STREAM),
}
HEAD = b"HTTP/1.1 200 OK\r\n" + SIGNED + b"Content-Length: 4\r\n\r\n"
STREAM_HEAD = b"HTTP/1.1 200 OK\r\n" + EVENT_STREAM + SIGNED + b"\r\n"


class TestErrorsInTheMiddleOfStreams:
    """A stream has begun and broke off, and the next upstream answers with an error."""

    @pytest.mark.parametrize("error", ERRORS)
    def test_error_is_not_part_of_the_stream(self, error):
        """Guards against error texts or heads amid events, and a cut stream that looks whole."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\nda"))
            second = ScriptedUpstream(ERRORS[error])
            async with open_frontend(first, second) as frontend:
                response = await frontend.request("/s/x")
            assert WHOLE_STREAM.startswith(response.body)
            assert (response.status, response.complete) == (200, False)
            assert len(second.received) == 1

        asyncio.run(run())


class TestUnreachableUpstreams:
    """A stream has begun and broke off, and several upstreams cannot be reached."""

    def test_stream_is_resumed(self):
        """Guards against a stream without an end while a reachable upstream could resume it."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\nda"))
            unreachable = [ScriptedUpstream(answer()) for _ in range(4)]
            last = ScriptedUpstream(stream(3, 4))
            async with open_frontend(first, *unreachable, last) as frontend:
                for upstream in unreachable:
                    upstream.server.close()
                    await upstream.server.wait_closed()
                response = await frontend.request("/s/x")
            assert (response.status, response.complete) == (200, True)
            assert response.body == WHOLE_STREAM
            assert last.received[0].headers["Last-Event-Id"] == "2"

        asyncio.run(run())

    def test_idle_connection_is_not_used(self):
        """Guards against a last send on an idle connection whose upstream cannot be reached."""

        async def run():
            stale = ScriptedUpstream(answer(), respond_raw(b""))
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\nda"))
            last = ScriptedUpstream(stream(3, 4))
            async with open_frontend(stale, first, last) as frontend:
                frontend.dispatcher.upstreams = [stale, first, stale, last]
                assert (await frontend.request("/r/x")).status == 200
                stale.server.close()
                await asyncio.sleep(1.2 * MAX_RESUMPTION_IDLE_S)
                response = await frontend.request("/s/x")
            assert (response.body, response.complete) == (WHOLE_STREAM, True)
            assert len(stale.received) == 1

        asyncio.run(run())

    def test_placements_are_bounded(self):
        """Guards against a stream that is placed without end while nothing can be reached."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\nda"))
            unreachable = ScriptedUpstream(answer())
            async with open_frontend(first, unreachable) as frontend:
                unreachable.server.close()
                await unreachable.server.wait_closed()
                response = await frontend.request("/s/x")
                assert len(frontend.dispatcher.calls) == 1 + MAX_UNSENT_RESUMPTIONS
            assert not response.complete

        asyncio.run(run())


class TestRefusedResumptions:
    """A stream has begun and broke off, and no upstream is free for the rest of it."""

    @staticmethod
    def make_refusal(retry_after_s: float) -> DispatchAnswer:
        kind = ErrorKind.CONCURRENCY_LIMITED.value
        return DispatchAnswer(refusal=kind, retry_after_s=retry_after_s)

    def test_stream_is_resumed_once_an_upstream_is_free(self):
        """Guards against a stream without an end while there is time to wait for an upstream."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\nda"))
            refused = ScriptedUpstream(answer())
            last = ScriptedUpstream(stream(3, 4))
            upstreams = (first, refused, refused, last)
            async with open_frontend(*upstreams, placement_retry_s=0.1) as frontend:
                refusal = self.make_refusal(0.2)
                frontend.dispatcher.refused = {2: refusal, 3: refusal}
                response = await frontend.request("/s/x")
            assert (response.body, response.complete) == (WHOLE_STREAM, True)

        asyncio.run(run())

    @pytest.mark.parametrize("retry_after_s, earliest_s, latest_s", [(0.2, 1.7, 2.3), (5, 0, 0.5)])
    def test_stream_ends_if_none_can_take_it(self, retry_after_s, earliest_s, latest_s):
        """Guards against a stream that is held although nothing can take it before its deadline."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3\nda"))
            async with open_frontend(first, placement_retry_s=0.1) as frontend:
                refusal = self.make_refusal(retry_after_s)
                frontend.dispatcher.refused = dict.fromkeys(range(2, 100), refusal)
                began_s = time.monotonic()
                response = await frontend.request("/s/x")
                elapsed_s = time.monotonic() - began_s
            assert not response.complete
            assert earliest_s <= elapsed_s < latest_s

        asyncio.run(run())


class TestTruncatedHeads:
    """An upstream stops in the middle of the head of its answer and closes the connection."""

    @pytest.mark.parametrize("interim", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
    @pytest.mark.parametrize("path", ["/r/x", "/once/x", "/s/x"])
    def test_no_success_is_made_of_it(self, path, interim):
        """Guards against a 200 with an empty or short body that is framed as whole."""

        async def run(data: bytes):
            async with open_frontend(ScriptedUpstream(respond_raw(interim + data))) as frontend:
                response = await frontend.request(path)
            assert response.status == 502, data

        async def run_all():
            head = STREAM_HEAD if path == "/s/x" else HEAD
            cuts = range(1, len(head) - 1)
            for first in range(0, len(cuts), 20):
                await asyncio.gather(*(run(head[:cut]) for cut in cuts[first : first + 20]))

        asyncio.run(run_all())


class TestReasons:
    """The log tells why a send was given up."""

    @pytest.mark.parametrize(
        "path, script, detail",
        [
            ("/s/x", ERRORS["head amid events"], "text in the stream that is none of its events"),
            (
                "/r/x",
                respond_raw(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"),
                "response 503 without the id of its request",
            ),
        ],
    )
    def test_reason_is_logged(self, path, script, detail, monkeypatch):
        """Guards against responses that are discarded without a line that says why."""
        lines = []
        monkeypatch.setattr(
            ResponseWriter, "log", lambda self, event, **values: lines.append((event, values))
        )

        async def run():
            async with open_frontend(ScriptedUpstream(answer(), script)) as frontend:
                await frontend.request("/r/x")
                await frontend.request(path)

        asyncio.run(run())
        assert detail in [values["detail"] for event, values in lines if event == "upstream_broke"]
