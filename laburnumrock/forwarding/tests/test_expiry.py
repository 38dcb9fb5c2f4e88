"""Placements and deadlines that expire while the process is paused."""

import asyncio
import time

import pytest

from laburnumrock.dispatch import SendOutcome
from laburnumrock.forwarding._attempt import MAX_PLACEMENT_AGE_S
from laburnumrock.forwarding.tests.scripted import ScriptedUpstream, answer, open_frontend


def pause_during_open(pool, pause_s: float) -> None:
    """Block the event loop during the first call of `pool.open`, as a paused process does."""
    open_connection = pool.open
    pauses = iter([pause_s])

    async def open_after_pause(*arguments):
        opened = await open_connection(*arguments)
        for pause in pauses:
            time.sleep(pause)
        return opened

    pool.open = open_after_pause


class TestExpiredPlacements:
    @pytest.mark.parametrize("path", ["/once/x", "/r/x"])
    def test_request_is_placed_again_after_a_pause(self, path):
        """Guards against a request that is sent to an upstream that has left during a pause."""

        async def run():
            upstreams = ScriptedUpstream(answer(body=b"left")), ScriptedUpstream(answer())
            async with open_frontend(*upstreams) as frontend:
                pause_during_open(frontend.context.pool, MAX_PLACEMENT_AGE_S + 0.1)
                response = await frontend.request(path)
                assert (response.status, response.body) == (200, b"done")
                assert upstreams[0].received == []
                outcomes = [SendOutcome.CANCELLED, SendOutcome.DONE]
                assert frontend.dispatcher.outcomes == outcomes
                # The upstream of the expired placement is not at fault and stays eligible.
                assert frontend.dispatcher.calls[1].excluded == []

        asyncio.run(run())

    def test_nothing_is_sent_after_the_deadline(self):
        """Guards against work that is started for a caller whose time ran out during a pause."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream) as frontend:
                pause_during_open(frontend.context.pool, 0.5)
                response = await frontend.request("/once/x", Deadline_Ms="300")
                # Nothing was sent, so that the refusal says truly that the request has not run.
                assert response.status == 503
                assert upstream.received == []

        asyncio.run(run())
