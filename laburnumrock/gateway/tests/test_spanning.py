"""Tests of prompts that span several engines, of which one falls silent and goes on."""

import asyncio
import time

import pytest
from result import Ok

from laburnumrock.gateway import _engine
from laburnumrock.gateway.tests.fakes import (
    FULL_TEXT,
    ScriptedEngine,
    extract_text,
    run_gateway,
)
from laburnumrock.placement import PermitGrant, PermitOutcome, Placement

SILENCE_S = 0.6


class SpanningEngine(ScriptedEngine):
    """Engine with the KV interface that is silent for `SILENCE_S` before one of its responses.

    Parameters
    ----------
    silent_path : str
        Path of the response that is late; empty for none.
    """

    def __init__(self, silent_path="", cancel_status=200):
        super().__init__(4, "done")
        self.silent_path = silent_path
        self.cancel_status = cancel_status
        self.paths = []

    async def serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
        path = head.split()[1]
        body = await reader.readexactly(length)
        if path == self.silent_path:
            await asyncio.sleep(SILENCE_S)
        self.paths.append(path)
        if path == "/v1/completions":
            forwarded = asyncio.StreamReader()
            forwarded.feed_data(head.encode() + body)
            await super().serve(forwarded, writer)
            return
        status = self.cancel_status if path in ("/v1/cancel", "/v1/kv/release") else 200
        writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: 14\r\n\r\n".encode())
        writer.write(b'{"handle":"h"}')
        await writer.drain()
        writer.close()


def grant_span(gateway, engines):
    """Make the fake permit client grant one permit on all engines."""

    async def acquire(request):
        gateway.permits.requests.append(request)
        placements = [
            Placement(f"u{index}", engine.base_url, 2, 2 * index)
            for index, engine in enumerate(engines)
        ]
        return Ok(PermitGrant("p1", request.request_id, request.attempt, 1, placements, 2.0))

    gateway.permits.acquire = acquire


class TestSilentEngine:
    @pytest.mark.parametrize(
        "path", ["/v1/kv/reserve", "/v1/kv/prefill", "/v1/kv/export", "/v1/completions"]
    )
    def test_completion_goes_on(self, path):
        """Guards against an attempt that is given up while its engine is silent."""

        async def run():
            engines = SpanningEngine("" if path == "/v1/completions" else path), SpanningEngine(
                path
            )
            async with run_gateway(*engines) as gateway:
                grant_span(gateway, engines)
                response = await gateway.complete()
                assert extract_text(response) == FULL_TEXT
                assert len(gateway.permits.requests) == 1
                await gateway.wait_for_cleanup()
                assert gateway.permits.releases == [PermitOutcome.FINISHED]

        asyncio.run(run())

    def test_finished_completion_is_answered_at_once(self):
        """Guards against a whole completion whose end waits for the release of its segments."""

        async def run():
            engines = SpanningEngine("/v1/kv/release"), SpanningEngine()
            async with run_gateway(*engines) as gateway:
                grant_span(gateway, engines)
                started_s = time.monotonic()
                response = await gateway.complete()
                assert time.monotonic() - started_s < SILENCE_S
                assert response.body.endswith(b"data: [DONE]\n\n")
                # The memory is granted again only after the engine has freed it.
                assert gateway.permits.releases == []
                await gateway.wait_for_cleanup()
                assert gateway.permits.releases == [PermitOutcome.FINISHED]
                assert engines[0].paths[-1] == "/v1/kv/release"

        asyncio.run(run())


class TestUnconfirmedRelease:
    @pytest.mark.parametrize("end", ["done", "break"])
    def test_memory_stays_allocated(self, end, monkeypatch):
        """Guards against memory that is granted again while the engine still holds it."""
        monkeypatch.setattr(_engine, "CANCEL_RETRY_S", 0.01)

        async def run():
            engines = SpanningEngine(cancel_status=500), SpanningEngine(cancel_status=500)
            engines[1].end = end
            async with run_gateway(*engines) as gateway:
                grant_span(gateway, engines)
                gateway.services.retries.try_retry = lambda now_s: False
                await gateway.complete(max_tokens=4 if end == "done" else 8)
                await gateway.wait_for_cleanup()
                assert gateway.permits.releases == []
                assert gateway.permits.abandoned == ["p1"]

        asyncio.run(run())
