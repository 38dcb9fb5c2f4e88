"""Tests of callers that close their sending side after a whole request and read on."""

import asyncio
import contextlib
import json
import socket
import struct

import pytest

from laburnumrock.declarations.tests._builders import plain_template, put
from laburnumrock.gateway import operator_routes
from laburnumrock.gateway.tests._operator_fakes import KEY as OPERATOR_KEY
from laburnumrock.gateway.tests._operator_fakes import make_services
from laburnumrock.gateway.tests.fakes import (
    FULL_TEXT,
    ScriptedEngine,
    run_gateway,
    write_chunk,
)
from laburnumrock.gateway.tests.raw_calls import make_request, parse
from laburnumrock.placement import PermitOutcome

TIME_LIMIT_S = 4.0
"""Less than the deadline of the template, so that no answer comes from the deadline."""
MAX_NOTICE_S = 0.5
"""Time in which the work for a caller that has left must end."""


class SlowService(ScriptedEngine):
    """Application engine that answers after 0.4 s."""

    def __init__(self):
        super().__init__(0, "open")

    async def stream(self, writer, body):
        await asyncio.sleep(0.4)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswered")


def make_completion(stream):
    return make_request("/v1/completions", {"prompt": "a b", "max_tokens": 4, "stream": stream})


def make_call(path):
    return make_request(f"/v1/services/orders/{path}", {"plain": 1}, Idempotency_Key="k")


@contextlib.asynccontextmanager
async def connect(gateway):
    port = gateway.services.settings.listen.caller_port
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield reader, writer
    finally:
        writer.close()


async def read_to_end(reader):
    async with asyncio.timeout(TIME_LIMIT_S):
        return await reader.read()


async def ask_and_half_close(gateway, request, wait=None):
    """Send a request, await `wait` if it is given, close the sending side and read to the end."""
    async with connect(gateway) as (reader, writer):
        writer.write(request)
        await writer.drain()
        if wait is not None:
            await wait
        writer.write_eof()
        return await read_to_end(reader)


class SlowClient:
    """Permit or quota client that answers after 0.5 s."""

    def __init__(self, client):
        self.client = client
        self.asked = asyncio.Event()
        self.cancelled = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.client, name)

    async def acquire(self, *arguments):
        self.asked.set()
        try:
            await asyncio.sleep(0.5)
        except asyncio.CancelledError:
            self.cancelled.set()
            raise
        return await self.client.acquire(*arguments)


def slow_down(gateway, name):
    client = SlowClient(getattr(gateway, name))
    object.__setattr__(gateway.services, name, client)
    return client


class SilentEngine(ScriptedEngine):
    """Engine that sends two tokens, falls silent for 0.8 s, and sends the others."""

    async def stream(self, writer, body):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for index in range(4):
            if index == 2:
                await writer.drain()
                await asyncio.sleep(0.8)
            token = {"request_id": body["request_id"], "attempt": body["attempt"]}
            token |= {"index": index, "text": f"t{index} "}
            token["finish_reason"] = "length" if index == 3 else None
            write_chunk(writer, f"data: {json.dumps(token)}\n\n")
        write_chunk(writer, "data: [DONE]\n\n")
        writer.write(b"0\r\n\r\n")


async def wait_for_body(engine):
    async with asyncio.timeout(TIME_LIMIT_S):
        while not engine.bodies:
            await asyncio.sleep(0.01)


def check_completion(data, stream):
    status, _, body = parse(data)
    assert status == 200
    if stream:
        lines = [line[6:] for line in body.decode().splitlines() if line.startswith("data: {")]
        assert "".join(json.loads(line)["choices"][0]["text"] for line in lines) == FULL_TEXT
        assert body.endswith(b"data: [DONE]\n\n")
    else:
        assert json.loads(body)["choices"][0]["text"] == FULL_TEXT


class TestCompletions:
    @pytest.mark.parametrize("stream", [True, False])
    @pytest.mark.parametrize("name", ["permits", "quotas"])
    def test_waiting_request_is_answered(self, name, stream):
        """Guards against a whole request that gets neither an answer nor a refusal."""

        async def run():
            async with run_gateway(ScriptedEngine(4, "done")) as gateway:
                client = slow_down(gateway, name)
                request = make_completion(stream)
                check_completion(
                    await ask_and_half_close(gateway, request, client.asked.wait()), stream
                )

        asyncio.run(run())

    def test_refusal_is_written(self):
        """Guards against a refusal that is lost because its caller has closed its sending side."""

        async def run():
            async with run_gateway() as gateway:
                client = slow_down(gateway, "permits")
                request = make_completion(False)
                data = await ask_and_half_close(gateway, request, client.asked.wait())
                status, headers, body = parse(data)
                assert (status, json.loads(body)["outcome"]) == (503, "not_run")
                assert headers["retry-after"] == "3"

        asyncio.run(run())

    @pytest.mark.parametrize("stream", [True, False])
    def test_sent_request_is_answered(self, stream):
        """Guards against a closed connection while an engine is at work or silent."""

        async def run():
            engine = SilentEngine(4, "done")
            async with run_gateway(engine) as gateway:
                request = make_completion(stream)
                data = await ask_and_half_close(gateway, request, wait_for_body(engine))
                check_completion(data, stream)
                assert gateway.permits.releases == [PermitOutcome.FINISHED]

        asyncio.run(run())

    def test_begun_stream_is_completed(self):
        """Guards against a stream that is cut while its engine is silent."""

        async def run():
            async with (
                run_gateway(SilentEngine(4, "done")) as gateway,
                connect(gateway) as (reader, writer),
            ):
                writer.write(make_completion(True))
                head = await reader.readuntil(b"t1 ")
                writer.write_eof()
                check_completion(head + await read_to_end(reader), True)

        asyncio.run(run())

    @pytest.mark.parametrize("leave_s", [0.0, 0.3])
    @pytest.mark.parametrize("phase", ["waiting", "sent", "streaming"])
    def test_caller_that_leaves_is_noticed(self, phase, leave_s):
        """Guards against work for a caller that has closed the whole connection."""

        async def run():
            engine = ScriptedEngine(2 if phase == "streaming" else 0, "hang")
            async with run_gateway(engine) as gateway:
                client = slow_down(gateway, "permits") if phase == "waiting" else None
                async with connect(gateway) as (reader, writer):
                    writer.write(make_completion(True))
                    if phase == "waiting":
                        await client.asked.wait()
                    elif phase == "sent":
                        await wait_for_body(engine)
                    else:
                        await reader.readuntil(b"t1 ")
                    if leave_s:
                        writer.write_eof()
                        await asyncio.sleep(leave_s)
                async with asyncio.timeout(MAX_NOTICE_S):
                    await (client or engine).cancelled.wait()
                await gateway.wait_for_cleanup()
                assert gateway.quotas.held == 0

        asyncio.run(run())

    def test_end_beside_the_request(self):
        """Guards against a lost request whose end of stream arrives together with it."""

        async def run():
            async with run_gateway(ScriptedEngine(4, "done")) as gateway:
                check_completion(await ask_and_half_close(gateway, make_completion(False)), False)

        asyncio.run(run())

    def test_invalid_request_is_answered(self):
        """Guards against a refusal that is lost, although it needs no upstream."""

        async def run():
            async with run_gateway() as gateway:
                request = make_request("/v1/completions", {"max_tokens": 4})
                status, _, body = parse(await ask_and_half_close(gateway, request))
                assert (status, json.loads(body)["outcome"]) == (400, "not_run")

        asyncio.run(run())

    def test_reset_still_cancels(self):
        """Guards against work that goes on for a caller that has reset its connection."""

        async def run():
            engine = ScriptedEngine(2, "hang")
            async with run_gateway(engine) as gateway:
                async with connect(gateway) as (_, writer):
                    writer.write(make_completion(True))
                    await wait_for_body(engine)
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger
                    )
                    writer.transport.abort()
                async with asyncio.timeout(TIME_LIMIT_S):
                    await engine.cancelled.wait()
                await gateway.wait_for_cleanup()
                assert gateway.permits.releases == [PermitOutcome.CANCELLED]

        asyncio.run(run())

    def test_incomplete_request_is_closed(self):
        """Guards against an open connection, or work, for a request that never arrives whole."""

        async def run():
            engine = ScriptedEngine(4, "done")
            async with run_gateway(engine) as gateway:
                data = await ask_and_half_close(gateway, make_completion(False)[:-3])
                assert data == b""
                assert gateway.permits.requests == []

        asyncio.run(run())


class TestServices:
    @pytest.mark.parametrize("path", ["stock", "place"])
    def test_call_is_answered(self, path):
        """Guards against the lost answer of a call that goes on, which ran at the upstream."""

        async def run():
            service = SlowService()
            async with run_gateway(service) as gateway:
                data = await ask_and_half_close(gateway, make_call(path), wait_for_body(service))
                status, _, body = parse(data)
                assert (status, body) == (200, b"answered")
                assert len(service.bodies) == 1
                assert gateway.permits.releases == [PermitOutcome.FINISHED]
                assert gateway.quotas.held == 0

        asyncio.run(run())

    def test_large_answer_is_written_whole(self):
        """Guards against an answer that is cut where the write buffer of the socket ends."""

        class LargeService(SlowService):
            async def stream(self, writer, body):
                await asyncio.sleep(0.2)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 8000000\r\n\r\n")
                writer.write(b"x" * 8_000_000)

        async def run():
            service = LargeService()
            async with run_gateway(service) as gateway:
                data = await ask_and_half_close(gateway, make_call("place"), wait_for_body(service))
                status, _, body = parse(data)
                assert (status, len(body)) == (200, 8_000_000)

        asyncio.run(run())

    def test_caller_that_reads_slowly_gets_the_whole_answer(self):
        """Guards against an answer that is cut as it has begun and no new part is written."""

        class LargeService(SlowService):
            async def stream(self, writer, body):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 16000000\r\n\r\n")
                writer.write(b"x" * 16_000_000)

        async def run():
            async with (
                run_gateway(LargeService()) as gateway,
                connect(gateway) as (reader, writer),
            ):
                writer.write(make_call("place"))
                head = await reader.readuntil(b"\r\n\r\n")
                writer.write_eof()
                await asyncio.sleep(1.0)
                status, _, body = parse(head + await read_to_end(reader))
                assert (status, len(body)) == (200, 16_000_000)

        asyncio.run(run())


class TestOperators:
    @pytest.mark.parametrize("wait_s", [0.0, 0.2])
    def test_change_is_answered(self, wait_s):
        """Guards against a change that is committed and whose operator gets no answer."""

        async def run():
            services = make_services()
            submit = services.declarations.submit

            async def submit_later(command):
                await asyncio.sleep(0.4)
                return await submit(command)

            services.declarations.submit = submit_later
            async with run_gateway(routes=operator_routes(services)) as gateway:
                changes = [put(plain_template())]
                body = {"request_id": "r1", "base_revision": 0, "changes": changes}
                request = make_request("/operator/v1/changes", body, key=OPERATOR_KEY.decode())
                data = await ask_and_half_close(gateway, request, asyncio.sleep(wait_s))
                status, _, body = parse(data)
                answer = json.loads(body)
                assert (status, answer) == (
                    200,
                    {"request_id": "r1", "revision": 1, "applied": True},
                )
                assert len(services.declarations.commands) == 1

        asyncio.run(run())


class TestConnections:
    def test_connection_is_closed_after_the_answer(self):
        """Guards against connections of half-closed callers that stay open, up to the limit."""

        async def run():
            async with run_gateway() as gateway:
                for path in ("/health", "/absent"):
                    request = make_request(path, {}, "GET")
                    status, _, _ = parse(await ask_and_half_close(gateway, request))
                    assert status in (200, 404)
                async with asyncio.timeout(TIME_LIMIT_S):
                    while gateway.http._connections:
                        await asyncio.sleep(0.01)
                assert gateway.http.holders == {}

        asyncio.run(run())

    def test_second_request_before_the_end(self):
        """Guards against a lost request that was sent on a used connection before its end."""

        async def run():
            async with run_gateway(SlowService(), SlowService()) as gateway:
                async with connect(gateway) as (reader, writer):
                    writer.write(make_call("stock") + make_call("stock"))
                    writer.write_eof()
                    data = await read_to_end(reader)
                assert data.count(b"HTTP/1.1 200 OK") == 2
                assert data.endswith(b"answered")

        asyncio.run(run())
