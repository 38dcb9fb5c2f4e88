"""Tests of the memory that bodies of requests in progress take."""

import asyncio

from laburnumrock.forwarding._server import HELD_BODIES
from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    answer,
    hang,
    make_request,
    open_frontend,
)

LARGE = b"x" * 400 * 1024


class TestLargeBodies:
    def test_bodies_in_progress_share_a_memory_limit(self, monkeypatch):
        """Guards against large bodies that are each allowed but exceed the memory of the process
        together, and against small requests that are refused because of them.
        """
        monkeypatch.setattr(HELD_BODIES, "limit", 1024 * 1024)

        async def run():
            upstreams = (
                ScriptedUpstream(hang()),
                ScriptedUpstream(hang()),
                ScriptedUpstream(answer()),
            )
            async with open_frontend(*upstreams) as frontend:
                running = [
                    asyncio.create_task(frontend.request("/once/x", body=LARGE, Deadline_Ms="900"))
                    for _ in range(2)
                ]
                async with asyncio.timeout(0.8):
                    while len(frontend.dispatcher.calls) < 2:
                        await asyncio.sleep(0.01)
                refused = await frontend.request("/once/x", body=LARGE)
                assert refused.status == 429
                assert float(refused.headers["Retry-After"]) > 0
                assert len(frontend.dispatcher.calls) == 2
                assert (await frontend.request("/once/x", body=b"{}")).status == 200
                for task in running:
                    assert (await task).status in (502, 504)
                assert HELD_BODIES.size == 0
                assert (await frontend.request("/once/x", body=LARGE)).status == 200
            assert HELD_BODIES.size == 0

        asyncio.run(run())

    def test_callers_that_leave_release_their_bodies(self):
        """Guards against bodies that count for ever after their callers have gone."""

        async def run():
            async with open_frontend(ScriptedUpstream(hang())) as frontend:
                for length in (1000, len(LARGE) + 1000):
                    reader, writer = await frontend.connect()
                    writer.write(make_request("/once/x", "POST", LARGE, {})[:-length])
                    await writer.drain()
                    async with asyncio.timeout(1.0):
                        while length == 1000 and not HELD_BODIES.size:
                            await asyncio.sleep(0.01)
                    writer.close()
                async with asyncio.timeout(1.0):
                    while HELD_BODIES.size:
                        await asyncio.sleep(0.01)
                assert not frontend.dispatcher.calls

        asyncio.run(run())
