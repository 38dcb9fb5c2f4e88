"""Tests of calls that are cancelled although the caller has not left."""

import asyncio
import json

import pytest

from laburnumrock.gateway import _engine
from laburnumrock.gateway.tests.fakes import ScriptedEngine, extract_text, run_gateway
from laburnumrock.placement import PermitOutcome

STOCK, PLACE = "/v1/services/orders/stock", "/v1/services/orders/place"


class TestCancelledCalls:
    """A call that is cancelled on the side of the instance is not a caller that has left."""

    @pytest.mark.parametrize("stream", [True, False])
    @pytest.mark.parametrize("name", ["permits", "quotas"])
    def test_waiting_completion_is_answered(self, name, stream):
        """Guards against an empty response with status 200 for a request that did not run."""

        async def run():
            async with run_gateway() as gateway:

                async def fail(*arguments):
                    raise asyncio.CancelledError

                getattr(gateway, name).acquire = fail
                response = await gateway.complete(stream=stream)
                assert (response.code, json.loads(response.body)["kind"]) == (500, "internal")

        asyncio.run(run())

    @pytest.mark.parametrize("stream", [True, False])
    def test_sent_completion_is_answered(self, stream, monkeypatch):
        """Guards against a stream that ends without an error event, or an empty response."""

        async def cancelled_exchange(call, on_data=None):
            if on_data is None:
                return await original(call)
            task = asyncio.create_task(original(call, on_data))
            await asyncio.sleep(0.2)
            task.cancel()
            return await task

        original = _engine.exchange
        monkeypatch.setattr(_engine, "exchange", cancelled_exchange)

        async def run():
            engine = ScriptedEngine(2, "hang")
            async with run_gateway(engine) as gateway:
                response = await gateway.complete(stream=stream)
                if stream:
                    assert extract_text(response) == "t0 t1 "
                    problem = json.loads(response.body.decode().split("event: error\ndata: ")[1])
                else:
                    problem = json.loads(response.body)
                assert problem["outcome"] == "unknown"
                await gateway.wait_for_cleanup()
                assert gateway.permits.releases == [PermitOutcome.CANCELLED]

        asyncio.run(run())

    @pytest.mark.parametrize("path", [STOCK, PLACE])
    def test_service_call_is_answered(self, path):
        """Guards against a connection that stays open without an answer."""

        async def run():
            async with run_gateway() as gateway:

                async def fail(*arguments):
                    raise asyncio.CancelledError

                gateway.permits.acquire = fail
                response = await gateway.post(path, {}, Idempotency_Key="k")
                assert json.loads(response.body)["outcome"] == "unknown"
                assert gateway.quotas.held == 0

        asyncio.run(run())
