"""Test of a caller that closes its sending side and reads a long response slowly."""

import asyncio

from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    answer,
    make_request,
    open_frontend,
)

BODY_BYTES = 8_000_000
"""More than the socket buffers of both sides take."""


class TestSlowHalfClosedCallers:
    def test_response_is_written_whole(self):
        """Guards against a response that is cut as it has begun and no new part is written."""

        async def run():
            upstream = ScriptedUpstream(answer(body=b"x" * BODY_BYTES))
            async with open_frontend(upstream) as frontend:
                reader, writer = await frontend.connect()
                writer.write(make_request("/once/x", "POST", b"{}", {}))
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200"), head
                writer.write_eof()
                await asyncio.sleep(1.0)
                async with asyncio.timeout(5.0):
                    assert len(await reader.read()) == BODY_BYTES
                writer.close()

        asyncio.run(run())
