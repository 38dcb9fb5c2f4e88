"""Tests of requests whose run raises an exception that nothing expects."""

import asyncio
import json

import pytest

from laburnumrock.gateway import _completion_run
from laburnumrock.gateway.tests.fakes import (
    FULL_TEXT,
    ScriptedEngine,
    extract_text,
    run_gateway,
    write_chunk,
)
from laburnumrock.placement import PermitOutcome


class NestedEvent(ScriptedEngine):
    """Engine that sends one token and then an event with deeply nested JSON."""

    async def stream(self, writer, body):
        await super().stream(writer, body)
        write_chunk(writer, f"data: {'[' * 200_000}\n\n")
        await writer.drain()
        await asyncio.sleep(30)


def fail_after(calls):
    """Return a replacement of `HistogramRegistry.record` that fails after some calls."""
    left = iter(range(calls))

    def record(*arguments):
        if next(left, None) is None:
            raise RuntimeError("unexpected")

    return record


class TestCompletions:
    @pytest.mark.parametrize("stream", [True, False])
    def test_request_gets_a_final_answer(self, stream):
        """Guards against a stream that ends without an error event, and a permit held for ever."""

        async def run():
            engine = ScriptedEngine(4, "hang")
            async with run_gateway(engine) as gateway:
                # One record for the wait, one for each token.
                gateway.services.histograms.record = fail_after(3)
                response = await gateway.complete(stream=stream)
                assert b"[DONE]" not in response.body
                if stream:
                    assert extract_text(response) == "t0 t1 "
                    text = response.body.decode().split("event: error\ndata: ")[1]
                    problem = json.loads(text)
                else:
                    assert response.code == 500
                    problem = json.loads(response.body)
                assert (problem["kind"], problem["outcome"]) == ("internal", "unknown")
                await gateway.wait_for_cleanup()
                assert engine.cancelled.is_set()
                assert gateway.permits.releases == [PermitOutcome.FAILED]
                assert gateway.quotas.held == 0

        asyncio.run(run())

    def test_permit_is_released(self, monkeypatch):
        """Guards against a permit that is renewed for ever after an error in the attempt."""

        async def fail(*arguments):
            raise RuntimeError("unexpected")

        async def run():
            engine = ScriptedEngine(4, "done")
            async with run_gateway(engine) as gateway:
                monkeypatch.setattr(_completion_run, "stream_completion", fail)
                response = await gateway.complete()
                assert json.loads(response.body)["kind"] == "internal"
                await gateway.wait_for_cleanup()
                assert gateway.permits.releases == [PermitOutcome.FAILED]

        asyncio.run(run())

    def test_nested_event_is_an_upstream_failure(self):
        """Guards against an engine's invalid event that ends the request instead of the attempt."""

        async def run():
            engines = NestedEvent(2, "open"), ScriptedEngine(4, "done")
            async with run_gateway(*engines) as gateway:
                response = await gateway.complete()
                assert extract_text(response) == FULL_TEXT
                assert response.body.endswith(b"data: [DONE]\n\n")

        asyncio.run(run())


class TestServices:
    def test_call_gets_a_problem_document(self):
        """Guards against a closed connection, and a permit or quota that stays held."""

        async def run():
            async with run_gateway(ScriptedEngine(0, "done")) as gateway:

                def fail(change):
                    raise RuntimeError("unexpected")

                gateway.services.retries.record_first_attempt = fail
                response = await gateway.post("/v1/services/orders/stock", {})
                problem = json.loads(response.body)
                assert (response.code, problem["kind"]) == (500, "internal")
                assert gateway.quotas.held == 0

        asyncio.run(run())
