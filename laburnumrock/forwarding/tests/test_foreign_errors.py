"""Tests of errors of other connections than the caller's."""

import asyncio

import pytest
from tornado.iostream import StreamClosedError

from laburnumrock.forwarding.tests.scripted import ScriptedUpstream, answer, open_frontend, stream


class TestForeignErrors:
    """Guards against callers without an answer, as the error of another connection was taken for
    the close of theirs."""

    @pytest.mark.parametrize("path", ["/r/x", "/once/x", "/s/x"])
    def test_closed_stream_of_the_dispatcher(self, path):
        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:

                async def place(call):
                    raise StreamClosedError

                frontend.dispatcher.place = place
                async with asyncio.timeout(1.0):
                    response = await frontend.request(path)
            assert (response.status, response.complete) == (503, True)

        asyncio.run(run())

    def test_closed_stream_of_the_second_placement(self):
        """Guards against a stream that stays open without an end."""

        async def run():
            first = ScriptedUpstream(stream(1, 2, cut=b"id: 3"))
            async with open_frontend(first) as frontend:
                place = frontend.dispatcher.place

                async def place_once(call):
                    if frontend.dispatcher.calls:
                        raise StreamClosedError
                    return await place(call)

                frontend.dispatcher.place = place_once
                async with asyncio.timeout(1.0):
                    response = await frontend.request("/s/x")
            assert not response.complete

        asyncio.run(run())
