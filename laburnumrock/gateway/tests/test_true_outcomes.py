"""Tests of the final answers to requests whose attempts end in different ways."""

import asyncio
import json

import pytest

from laburnumrock.gateway.tests.fakes import ScriptedEngine, run_gateway
from laburnumrock.scenarios import find_free_ports

STOCK = "/v1/services/orders/stock"


def make_refused_urls(count):
    """Return URLs at which nothing listens."""
    return [f"http://127.0.0.1:{port}" for port in find_free_ports(count)]


class InvalidRequest(ScriptedEngine):
    """Engine that refuses a request for a reason that proves nothing about its work."""

    def __init__(self):
        super().__init__(0, "refuse")

    async def serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 400 Bad\r\nContent-Length: 2\r\n\r\n{}")
        await writer.drain()
        writer.close()


class BrokenService(ScriptedEngine):
    """Application engine that closes the connection instead of an answer."""

    def __init__(self):
        super().__init__(0, "open")

    async def stream(self, writer, body):
        pass


class TestEarlierAttempts:
    """The last attempt of a request must not speak for the earlier ones."""

    @pytest.mark.parametrize("refused", [1, 2, 3])
    def test_completion_that_may_have_run(self, refused):
        """Guards against "not run" after an engine broke off and the others cannot be reached."""

        async def run():
            async with run_gateway(ScriptedEngine(0, "break")) as gateway:
                gateway.permits.base_urls += make_refused_urls(refused)
                problem = json.loads((await gateway.complete()).body)
                assert problem["outcome"] == "unknown"
                assert problem["retry_after_s"] > 0

        asyncio.run(run())

    def test_completion_that_was_refused_at_last(self):
        """Guards against "rejected" after an earlier engine broke off."""

        async def run():
            engines = [ScriptedEngine(0, "break"), *(InvalidRequest() for _ in range(3))]
            async with run_gateway(*engines) as gateway:
                assert json.loads((await gateway.complete()).body)["outcome"] == "unknown"

        asyncio.run(run())

    def test_completion_that_was_never_sent(self):
        """Guards against "unknown" although no engine accepted a connection."""

        async def run():
            async with run_gateway() as gateway:
                gateway.permits.base_urls += make_refused_urls(4)
                assert json.loads((await gateway.complete()).body)["outcome"] == "not_run"

        asyncio.run(run())

    def test_completion_that_was_only_refused(self):
        """Guards against "unknown" although each engine refused the request."""

        async def run():
            async with run_gateway(*(InvalidRequest() for _ in range(4))) as gateway:
                assert json.loads((await gateway.complete()).body)["outcome"] == "rejected"

        asyncio.run(run())

    @pytest.mark.parametrize("refused", [1, 2])
    def test_repeatable_call_that_may_have_run(self, refused):
        """Guards against "not run" for a call that an application engine broke off."""

        async def run():
            async with run_gateway(BrokenService()) as gateway:
                gateway.permits.base_urls += make_refused_urls(refused)
                problem = json.loads((await gateway.post(STOCK, {})).body)
                assert problem["outcome"] == "unknown"

        asyncio.run(run())

    def test_repeatable_call_that_was_never_sent(self):
        """Guards against "unknown" although no application engine accepted a connection."""

        async def run():
            async with run_gateway() as gateway:
                gateway.permits.base_urls += make_refused_urls(3)
                problem = json.loads((await gateway.post(STOCK, {})).body)
                assert problem["outcome"] == "not_run"

        asyncio.run(run())
