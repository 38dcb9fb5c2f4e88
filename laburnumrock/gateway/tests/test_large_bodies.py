"""Tests of the memory that request bodies take together."""

import asyncio
import json

import pytest

from laburnumrock.gateway._operator import operator_routes
from laburnumrock.gateway._server import HELD_BODIES
from laburnumrock.gateway.tests._operator_fakes import make_services
from laburnumrock.gateway.tests.fakes import FakeLifecycle, run_gateway

BODY_BYTES = 200 * 1024
OPERATOR_PATH = "/operator/v1/orders"


class CountingLifecycle(FakeLifecycle):
    """Lifecycle that counts the requests in progress."""

    def __init__(self):
        super().__init__()
        self.running = 0

    def adjust_request_count(self, change):
        self.running += change


def make_head(path, length):
    return (
        f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n"
        "X-Client-Account: merchant\r\nAuthorization: Bearer none\r\n\r\n"
    ).encode()


async def start_body(gateway, path):
    """Send all of a large body but its last byte; returns the streams of the connection."""
    listen = gateway.services.settings.listen
    reader, writer = await asyncio.open_connection(listen.host, listen.caller_port)
    writer.write(make_head(path, BODY_BYTES) + b" " * (BODY_BYTES - 1))
    await writer.drain()
    return reader, writer


def open_gateway(lifecycle, routes=()):
    return run_gateway(lifecycle=lifecycle, routes=routes, max_body_bytes=BODY_BYTES)


async def wait_until(condition):
    async with asyncio.timeout(2.0):
        while not condition():
            await asyncio.sleep(0.01)


class TestLargeBodies:
    @pytest.mark.parametrize("path", ["/v1/completions", OPERATOR_PATH])
    def test_bodies_in_progress_share_a_memory_limit(self, path, monkeypatch):
        """Guards against bodies that are each allowed and exceed the memory of the process
        together, and against small requests that are refused because of them.
        """
        monkeypatch.setattr(HELD_BODIES, "limit", int(2.5 * BODY_BYTES))

        async def run():
            lifecycle = CountingLifecycle()
            async with open_gateway(lifecycle, operator_routes(make_services())) as gateway:
                held = [await start_body(gateway, path) for _ in range(2)]
                await wait_until(lambda: HELD_BODIES.size >= 2 * (BODY_BYTES - 1))
                reader, writer = await start_body(gateway, path)
                writer.write(b" ")
                head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
                assert b" 429 " in head.partition(b"\r\n")[0]
                assert b"Retry-After: 1" in head
                small = await gateway.post("/v1/completions", b"{}")
                assert small.code == 400
                # The refused connection serves its next request.
                length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                document = json.loads(await reader.readexactly(length))
                assert (document["outcome"], document["kind"]) == ("not_run", "concurrency_limited")
                writer.write(make_head(path, 0))
                assert await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
                for _, other in [*held, (reader, writer)]:
                    other.close()
                await wait_until(lambda: HELD_BODIES.size == 0)
                await wait_until(lambda: lifecycle.running == 0)

        asyncio.run(run())

    def test_answered_requests_release_their_bodies(self):
        """Guards against bodies that count for as long as their connections are open."""

        async def run():
            async with open_gateway(CountingLifecycle()) as gateway:
                reader, writer = await start_body(gateway, "/v1/completions")
                writer.write(b" ")
                await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 2.0)
                await wait_until(lambda: HELD_BODIES.size == 0)
                writer.close()

        asyncio.run(run())
