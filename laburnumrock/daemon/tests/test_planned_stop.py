"""Tests of the planned stop beside requests in progress."""

import asyncio
import json
import time

import pytest
from result import Err, Ok

from laburnumrock.daemon._lifecycle import Lifecycle, finish_requests
from laburnumrock.daemon._operations import OperationClient
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway import operator_routes
from laburnumrock.gateway.tests._operator_fakes import KEY as OPERATOR_KEY
from laburnumrock.gateway.tests._operator_fakes import make_services
from laburnumrock.gateway.tests.fakes import KEY, ScriptedEngine, run_gateway
from laburnumrock.journal import JournalPart, OperationState, SettleOperation
from laburnumrock.settings import TimingSettings

TIMING = TimingSettings(balancer_grace_s=0.1, drain_timeout_s=0.3)
MAX_STOP_S = 2.5
"""Grace, drain and the time for final responses."""
BODY_BYTES = 24 * 1024 * 1024
STATE = {"type": "service_state", "kind": "upstream", "name": "e1", "state": "drained"}
CHANGES = [{"action": "put", "declaration": STATE}]
SERVICE_BODY = {"resume_from": 0, "max_tokens": 1}


class FakeLog:
    """Journal without replication; `is_silent` leaves settlements without an answer."""

    def __init__(self, is_silent=False):
        self.journal = JournalPart()
        self.is_silent = is_silent

    async def propose(self, command, timeout_s=1.0):
        if self.is_silent and isinstance(command, SettleOperation):
            await asyncio.sleep(timeout_s)
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))
        return Ok(self.journal.apply(command, 1))

    async def read_part(self, part, question, timeout_s=1.0):
        return Ok(self.journal.query(question))


class LargeResponse(ScriptedEngine):
    """Application engine whose response exceeds the buffers of a connection."""

    async def stream(self, writer, body):
        writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n".encode())
        writer.write(bytes(BODY_BYTES))


async def wait_for_permit(request):
    """Replaces `PermitClient.acquire`: the request stays queued."""
    await asyncio.sleep(30)


def make_request_head():
    """Return a call of a repeatable service path, with its body."""
    head = "POST /v1/services/orders/stock HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
    return head + f"X-Client-Account: merchant\r\nAuthorization: Bearer {KEY}\r\n\r\n{{}}"


def make_ready_lifecycle():
    lifecycle = Lifecycle("a1", lambda: True)
    lifecycle.fire("started")
    return lifecycle


async def stop_beside(gateway, request):
    """Begin a planned stop while a request is in progress, and return its response."""
    task = asyncio.create_task(request)
    await asyncio.sleep(0.1)
    started_s = time.monotonic()
    await finish_requests(gateway.lifecycle, gateway.http, TIMING)
    assert time.monotonic() - started_s < MAX_STOP_S
    return await asyncio.wait_for(task, 1.0)


def run_stop(engine, make_request, prepare=lambda gateway: None):
    async def run():
        async with run_gateway(engine, lifecycle=make_ready_lifecycle()) as gateway:
            prepare(gateway)
            return await stop_beside(gateway, make_request(gateway))

    return asyncio.run(run())


def queue_all(gateway):
    gateway.permits.acquire = wait_for_permit


class TestEndOfDrain:
    def test_stream_ends_with_an_error_event(self):
        """Guards against a stream that the end of a planned stop cuts without a final answer."""
        response = run_stop(ScriptedEngine(2, "hang"), lambda gateway: gateway.complete())
        assert response.code == 200
        assert b"[DONE]" not in response.body
        problem = json.loads(response.body.decode().split("event: error\ndata: ")[1])
        assert (problem["kind"], problem["outcome"]) == ("upstream_failed", "unknown")

    def test_completion_is_answered(self):
        """Guards against a closed connection in place of an answer."""
        response = run_stop(
            ScriptedEngine(2, "hang"), lambda gateway: gateway.complete(stream=False)
        )
        assert (response.code, json.loads(response.body)["outcome"]) == (502, "unknown")

    @pytest.mark.parametrize("stream", [True, False])
    def test_queued_completion_is_refused(self, stream):
        """Guards against a closed connection for a request that provably has not run."""
        response = run_stop(
            ScriptedEngine(2, "hang"), lambda gateway: gateway.complete(stream=stream), queue_all
        )
        document = json.loads(response.body)
        assert (response.code, document["kind"]) == (503, "stopping")
        assert document["outcome"] == "not_run"

    @pytest.mark.parametrize("is_queued", [True, False])
    def test_repeatable_call_is_answered(self, is_queued):
        """Guards against a closed connection, and "not run" for a call that was sent."""
        response = run_stop(
            ScriptedEngine(0, "hang"),
            lambda gateway: gateway.post("/v1/services/orders/stock", SERVICE_BODY),
            queue_all if is_queued else lambda gateway: None,
        )
        expected = (503, "not_run") if is_queued else (502, "unknown")
        assert (response.code, json.loads(response.body)["outcome"]) == expected

    @pytest.mark.parametrize("is_silent", [False, True])
    @pytest.mark.parametrize("is_queued", [True, False])
    def test_operation_is_answered_and_settled(self, is_queued, is_silent):
        """Guards against "not run" for an operation that may have run, and open claims."""
        log = FakeLog(is_silent)

        def prepare(gateway):
            client = OperationClient(gateway.services.settings, log)
            operations = gateway.services.operations
            operations.run, operations.find = client.run, client.find
            if is_queued:
                queue_all(gateway)

        response = run_stop(
            ScriptedEngine(0, "hang"),
            lambda gateway: gateway.post(
                "/v1/services/orders/place", SERVICE_BODY, Idempotency_Key="k"
            ),
            prepare,
        )
        kind = json.loads(response.body)["kind"]
        state = log.journal.operations["merchant", "k"].state
        if not is_queued:
            assert (response.code, kind) == (502, "outcome_unknown")
        elif not is_silent:
            assert (response.code, kind) == (503, "stopping")
        else:
            # The call was not sent, but the journal does not prove it yet.
            assert (response.code, kind) == (503, "journal_unavailable")
        if is_silent:
            assert state is OperationState.DISPATCHED
        else:
            assert state is (OperationState.NOT_RUN if is_queued else OperationState.UNKNOWN)


class TestOperators:
    def test_change_is_answered(self):
        """Guards against a change of the declarations that a planned stop leaves unanswered."""

        async def run():
            lifecycle = make_ready_lifecycle()
            services = make_services(lifecycle)
            submit = services.declarations.submit

            async def submit_slowly(command):
                await asyncio.sleep(0.4)
                return await submit(command)

            services.declarations.submit = submit_slowly
            routes = operator_routes(services)
            async with run_gateway(lifecycle=lifecycle, routes=routes) as gateway:
                body = {"request_id": "c1", "base_revision": 0, "changes": CHANGES}
                timing = TIMING.model_copy(update={"drain_timeout_s": 2.0})
                key = f"Bearer {OPERATOR_KEY.decode()}"
                change = asyncio.create_task(
                    gateway.post("/operator/v1/changes", body, Authorization=key)
                )
                await asyncio.sleep(0.1)
                await finish_requests(lifecycle, gateway.http, timing)
                response = await change
                assert (response.code, json.loads(response.body)["applied"]) == (200, True)
                assert response.headers["Connection"] == "close"
                assert lifecycle.running_requests == 0

        asyncio.run(run())


class TestConnections:
    def test_response_is_written_whole(self):
        """Guards against a stop that closes a connection while its response is being written."""

        async def run():
            engine = LargeResponse(0, "done")
            async with run_gateway(engine, lifecycle=make_ready_lifecycle()) as gateway:
                port = gateway.services.settings.listen.caller_port
                reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**16)
                writer.write(make_request_head().encode())
                await reader.readuntil(b"\r\n\r\n")
                timing = TIMING.model_copy(update={"drain_timeout_s": 5.0})
                stop = asyncio.create_task(finish_requests(gateway.lifecycle, gateway.http, timing))
                await asyncio.sleep(0.5)
                body = await reader.readexactly(BODY_BYTES)
                assert len(body) == BODY_BYTES
                await stop
                writer.close()

        asyncio.run(run())

    def test_kept_connection_is_announced_to_close(self):
        """Guards against requests that callers send on connections which the stop closes."""

        async def run():
            async with run_gateway(lifecycle=make_ready_lifecycle()) as gateway:
                port = gateway.services.settings.listen.caller_port
                reader, writer = await asyncio.open_connection("127.0.0.1", port)

                async def read_head():
                    writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
                    await reader.readexactly(length)
                    return head

                before = await read_head()
                stop = asyncio.create_task(finish_requests(gateway.lifecycle, gateway.http, TIMING))
                await asyncio.sleep(0.02)
                assert b"Connection: close" in await read_head()
                assert b"Connection: close" not in before
                await stop
                writer.close()

        asyncio.run(run())

    @pytest.mark.parametrize("leaves", [False, True])
    def test_request_whose_body_arrives_late(self, leaves):
        """Guards against a stop that closes a connection while the body of a request arrives."""

        async def run():
            async with run_gateway(lifecycle=make_ready_lifecycle()) as gateway:
                port = gateway.services.settings.listen.caller_port
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                head, _, body = make_request_head().partition("{")
                writer.write(head.encode())
                timing = TIMING.model_copy(update={"drain_timeout_s": 2.0})
                started_s = time.monotonic()
                stop = asyncio.create_task(finish_requests(gateway.lifecycle, gateway.http, timing))
                await asyncio.sleep(0.3)
                if not leaves:
                    writer.write(b"{" + body.encode())
                    response = await reader.readuntil(b"\r\n\r\n")
                    assert response.startswith(b"HTTP/1.1 503")
                    assert b"Connection: close" in response
                writer.close()
                await stop
                assert time.monotonic() - started_s < 1.5
                assert gateway.lifecycle.running_requests == 0

        asyncio.run(run())

    def test_caller_that_leaves_is_not_waited_for(self):
        """Guards against a request that counts as running after its caller left the response."""

        async def run():
            engine = LargeResponse(0, "done")
            async with run_gateway(engine, lifecycle=make_ready_lifecycle()) as gateway:
                port = gateway.services.settings.listen.caller_port
                reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=2**16)
                writer.write(make_request_head().encode())
                await reader.readuntil(b"\r\n\r\n")
                assert gateway.lifecycle.running_requests == 1
                writer.close()
                assert await gateway.lifecycle.wait_for_requests(1.0)

        asyncio.run(run())
