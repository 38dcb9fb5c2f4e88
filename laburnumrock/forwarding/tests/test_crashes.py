"""Tests of broken sends, and of how a crashed upstream is told from a broken connection."""

import asyncio
from contextlib import suppress
from dataclasses import replace

import pytest

from laburnumrock.dispatch import DispatchAnswer, Helper, SendEnded, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding.tests.scripted import (
    HOST,
    Script,
    ScriptedUpstream,
    answer,
    make_event,
    make_head,
    open_frontend,
    stream,
    write_chunk,
)
from laburnumrock.quarantine import is_request

PREFIX = {"Prefix_Hash": "a1:40,dead:300,91bd3f06:4000"}
PARTS = ["a1", "dead"]


def crash(upstreams: list[ScriptedUpstream]) -> Script:
    """Send a part of a stream, then stop listening and close the connection."""

    async def run(reader, writer, received) -> None:
        writer.write(make_head(200, received, True, None, {"Content-Type": "text/event-stream"}))
        write_chunk(writer, make_event(1))
        await writer.drain()
        # A reset discards bytes that the other side has not read yet.
        await asyncio.sleep(0.05)
        upstreams[0].server.close()
        writer.transport.abort()

    return run


def record_ended(frontend) -> list[SendEnded]:
    """Record the messages about sends that ended."""
    messages = []
    frontend.dispatcher.record_ended = messages.append
    return messages


class TestCrashes:
    def test_crash_is_reported_with_the_parts(self):
        """Guards against crashes that are counted without what their requests have in common."""

        async def run():
            upstreams = []
            upstreams += [ScriptedUpstream(crash(upstreams)), ScriptedUpstream(stream(2, 4))]
            async with open_frontend(*upstreams) as frontend:
                messages = record_ended(frontend)
                response = await frontend.request("/s/x", **PREFIX)
            assert response.complete
            *parts, request = frontend.dispatcher.calls[0].parts
            assert (parts, is_request(request)) == (PARTS, True)
            outcomes = [(message.outcome, message.parts) for message in messages]
            names = [*PARTS, request]
            assert outcomes == [(SendOutcome.CRASHED, names), (SendOutcome.DONE, names)]

        asyncio.run(run())

    @pytest.mark.parametrize("path", ["/r/x", "/once/x"])
    def test_crash_under_a_plain_request(self, path):
        """Guards against crashes that are not counted since their requests have no prompt."""

        async def run():
            upstreams = []
            upstreams += [ScriptedUpstream(crash(upstreams)), ScriptedUpstream(answer())]
            async with open_frontend(*upstreams) as frontend:
                messages = record_ended(frontend)
                await frontend.request(path)
            assert messages[0].outcome is SendOutcome.CRASHED
            (request,) = messages[0].parts
            assert is_request(request)

        asyncio.run(run())

    @pytest.mark.parametrize("cut", [b"id: 3", None])
    def test_crash_of_a_helper(self, cut):
        """Guards against a long prompt that crashes one helper after the other, and against a
        whole answer that counts as broken since a helper has ended since.
        """

        async def run():
            upstream, ended = ScriptedUpstream(stream(1, 2, cut=cut)), ScriptedUpstream()
            await ended.start()
            ended.server.close()
            async with open_frontend(upstream) as frontend:
                messages = record_ended(frontend)
                place = frontend.dispatcher.place

                async def place_with_helper(call):
                    helper = Helper("u9", HOST, ended.port)
                    return replace(await place(call), helpers=[helper])

                frontend.dispatcher.place = place_with_helper
                await frontend.request("/s/x")
            crashed = cut is not None
            assert (messages[0].outcome is SendOutcome.CRASHED) == crashed
            assert (messages[0].outcome is SendOutcome.DONE) != crashed

        asyncio.run(run())

    def test_repeats_have_the_same_name(self):
        """Guards against a repeat that is not recognized, or that passes for another request."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                await frontend.request("/r/x")
                await frontend.request("/r/x", Request_Id="r2", Deadline_Ms="900", X_Other="1")
                await frontend.request("/r/x", body=b"{ }")
                await frontend.request("/r/x?y")
                await frontend.request("/r/x", method="PUT")
                await frontend.request("/open/x")
                await frontend.request("/open/x", body=b"{ }")
            first, *others = [call.parts[-1] for call in frontend.dispatcher.calls]
            assert others[0] == first
            assert len({first, *others}) == 6

        asyncio.run(run())

    @pytest.mark.parametrize("script", [answer(status=422), stream(5, 4)])
    def test_end_without_output_is_no_success(self, script):
        """Guards against a harmful part that is cleared by a send which wrote no answer."""

        async def run():
            async with open_frontend(ScriptedUpstream(script)) as frontend:
                messages = record_ended(frontend)
                await frontend.request("/s/x", **PREFIX)
            assert [(one.outcome, one.parts) for one in messages] == [(SendOutcome.DONE, [])]

        asyncio.run(run())

    @pytest.mark.parametrize("prefix", [PREFIX, {}])
    def test_broken_connection_is_no_crash(self, prefix):
        """Guards against a sound part in quarantine because connections are reset."""

        async def run():
            upstreams = [ScriptedUpstream(stream(1, 2, cut=b"id: 3")), ScriptedUpstream()]
            upstreams[1].scripts.append(stream(3, 4))
            async with open_frontend(*upstreams) as frontend:
                messages = record_ended(frontend)
                assert (await frontend.request("/s/x", **prefix)).complete
            assert [message.outcome for message in messages] == [
                SendOutcome.BROKEN,
                SendOutcome.DONE,
            ]
            assert messages[0].parts == []

        asyncio.run(run())

    def test_connection_that_shows_no_crash_is_used_again(self):
        """Guards against connections that are opened and closed without carrying a request."""

        async def run():
            upstream = ScriptedUpstream(stream(1, 2, cut=b"id: 3"), stream(3, 4))
            async with open_frontend(upstream) as frontend:
                assert (await frontend.request("/s/x", **PREFIX)).complete
            assert upstream.connections == 2

        asyncio.run(run())


class TestRefusals:
    def test_quarantined_prompt(self):
        """Guards against an answer that does not say that the request has not run."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                refusal = ErrorKind.PROMPT_QUARANTINED.value
                frontend.dispatcher.refusal = DispatchAnswer(refusal=refusal, retry_after_s=90.0)
                response = await frontend.request("/s/x", **PREFIX)
            assert (response.status, response.headers["Retry-After"]) == (503, "90.00")
            assert b"prompt_quarantined" in response.body
            assert upstream.received == []

        asyncio.run(run())

    def test_prompt_quarantined_after_its_first_send(self):
        """Guards against a stream that looks complete, or unrun, when its resumption is refused."""

        async def run():
            upstreams = []
            upstreams.append(ScriptedUpstream(crash(upstreams)))
            async with open_frontend(*upstreams) as frontend:
                dispatcher = frontend.dispatcher
                record = dispatcher.record_ended

                def refuse_from_now(message: SendEnded) -> None:
                    record(message)
                    dispatcher.refusal = DispatchAnswer(refusal=ErrorKind.PROMPT_QUARANTINED.value)

                dispatcher.record_ended = refuse_from_now
                with suppress(ConnectionError):
                    response = await frontend.request("/s/x", **PREFIX)
            assert (response.status, response.complete) == (200, False)
            assert response.body == make_event(1)
            assert len(upstreams[0].received) == 1

        asyncio.run(run())
