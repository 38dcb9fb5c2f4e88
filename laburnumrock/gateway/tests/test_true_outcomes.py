"""Tests of the final answers to requests whose attempts end in different ways."""

import asyncio
import json

import pytest
from result import Err, Ok

from laburnumrock.daemon._operations import OperationClient
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway.tests.fakes import ScriptedEngine, run_gateway
from laburnumrock.journal import JournalPart, OperationState
from laburnumrock.scenarios import find_free_ports

STOCK, PLACE = "/v1/services/orders/stock", "/v1/services/orders/place"


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


class MemoryLog:
    """Log that applies each command at once."""

    def __init__(self):
        self.journal = JournalPart()

    async def propose(self, command, timeout_s=5.0):
        await asyncio.sleep(0)
        return Ok(self.journal.apply(command, 1))

    async def read_part(self, part, question, timeout_s=2.0):
        return Ok(self.journal.query(question))


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


class TestWaitForPermit:
    def test_call_that_waits_to_its_deadline_did_not_run(self):
        """Guards against an unknown outcome, which an operator must settle, for an unsent call."""

        async def run():
            async with run_gateway() as gateway:
                log = MemoryLog()
                operations = OperationClient(gateway.services.settings, log)
                object.__setattr__(gateway.services, "operations", operations)
                [service] = gateway.services.declarations.current.services.values()
                object.__setattr__(service, "timeout_s", 0.5)

                async def wait(request):
                    # As `PermitClient` does, which looks at its deadline every 50 ms.
                    await asyncio.sleep(request.remaining_s + 0.03)
                    return Err(Failure(ErrorKind.DEADLINE_UNREACHABLE, retry_after_s=1.0))

                gateway.permits.acquire = wait
                response = await gateway.post(PLACE, {}, Idempotency_Key="k")
                problem = json.loads(response.body)
                assert (response.code, problem["outcome"]) == (503, "not_run")
                assert log.journal.operations["merchant", "k"].state is OperationState.NOT_RUN

        asyncio.run(run())
