"""Tests of sound engines and application engines that fall silent and go on."""

import asyncio
import json

import pytest

from laburnumrock.gateway.tests.fakes import FULL_TEXT, ScriptedEngine, extract_text, run_gateway
from laburnumrock.placement import PermitOutcome

SILENCE_S = 1.2
"""Longer than the connection timeout, which is the shortest time limit of a call (1 s)."""
HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PLAIN = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswered"


class SilentEngine(ScriptedEngine):
    """Engine that falls silent after a given number of bytes of its response.

    Parameters
    ----------
    find_place : callable
        Returns the number of bytes that precede the silence, from the whole response.
    """

    def __init__(self, find_place):
        super().__init__(4, "done")
        self.find_place = find_place

    async def stream(self, writer, body):
        data = PLAIN if "plain" in body else HEAD + "".join(self.make_chunks(body))
        place = self.find_place(data)
        writer.write(data[:place].encode())
        await writer.drain()
        await asyncio.sleep(SILENCE_S)
        writer.write(data[place:].encode())

    def make_chunks(self, body):
        for index in range(body["max_tokens"]):
            token = {"request_id": body["request_id"], "attempt": body["attempt"], "index": index}
            token["text"] = f"t{index} "
            token["finish_reason"] = "length" if index == body["max_tokens"] - 1 else None
            text = f"data: {json.dumps(token)}\n\n"
            yield f"{len(text):x}\r\n{text}\r\n"
        text = "data: [DONE]\n\n"
        yield f"{len(text):x}\r\n{text}\r\n0\r\n\r\n"


STREAM_PLACES = {
    "before the head": lambda data: 0,
    "in the head": lambda data: 20,
    "after the head": lambda data: data.index("\r\n\r\n") + 4,
    "in an event": lambda data: data.index("t1"),
    "between events": lambda data: data.index("\n\n") + 4,
    "before the end": lambda data: data.index("[DONE]") - 10,
    "in the end": lambda data: data.index("[DONE]") + 3,
}
PLAIN_PLACES = {
    "before the head": lambda data: 0,
    "in the head": lambda data: 20,
    "in the body": lambda data: len(data) - 3,
}


class TestCompletions:
    @pytest.mark.parametrize("stream", [True, False])
    def test_completion_goes_on(self, stream):
        """Guards against an attempt that is given up while its engine is silent."""

        async def run():
            engines = [SilentEngine(find_place) for find_place in STREAM_PLACES.values()]
            async with run_gateway(*engines) as gateway:
                answers = await asyncio.gather(*(gateway.complete(stream=stream) for _ in engines))
                for response in answers:
                    if stream:
                        assert extract_text(response) == FULL_TEXT
                        assert response.body.endswith(b"data: [DONE]\n\n")
                    else:
                        assert json.loads(response.body)["choices"][0]["text"] == FULL_TEXT
                assert len(gateway.permits.requests) == len(engines)
                assert set(gateway.permits.releases) == {PermitOutcome.FINISHED}

        asyncio.run(run())


class TestServices:
    @pytest.mark.parametrize("path", ["stock", "place"])
    def test_call_goes_on(self, path):
        """Guards against a call that is given up while its application engine is silent."""

        async def run():
            engines = [SilentEngine(find_place) for find_place in PLAIN_PLACES.values()]
            async with run_gateway(*engines) as gateway:
                url = f"/v1/services/orders/{path}"
                answers = await asyncio.gather(
                    *(
                        gateway.post(url, {"plain": number}, Idempotency_Key=f"k{number}")
                        for number, _ in enumerate(engines)
                    )
                )
                assert [response.body for response in answers] == [b"answered"] * len(engines)
                assert [len(engine.bodies) for engine in engines] == [1] * len(engines)

        asyncio.run(run())


class TestDeclarations:
    def test_change_beside_requests_in_progress(self):
        """Guards against requests that a change of their template or service breaks off."""

        async def run():
            engines = [SilentEngine(STREAM_PLACES["between events"])]
            engines.append(SilentEngine(PLAIN_PLACES["in the body"]))
            async with run_gateway(*engines) as gateway:
                view = gateway.services.declarations
                completion = asyncio.create_task(gateway.complete())
                await asyncio.sleep(0.2)
                call = asyncio.create_task(gateway.post("/v1/services/orders/stock", {"plain": 1}))
                await asyncio.sleep(0.2)
                view.replace(type(view.current)(), 2)
                refused = await gateway.complete()
                assert json.loads(refused.body)["outcome"] == "not_run"
                assert extract_text(await completion) == FULL_TEXT
                assert (await call).body == b"answered"

        asyncio.run(run())
