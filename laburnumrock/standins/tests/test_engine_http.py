"""Tests of the HTTP API of the model engine emulator."""

import asyncio
import json

import pytest
from tornado.web import Application, RequestHandler

from laburnumrock.standins import hash_prompt
from laburnumrock.standins._announcer import ANNOUNCEMENT_PATH
from laburnumrock.standins.tests._servers import HOST, call, find_port, serve, start_engine
from laburnumrock.upstreams import UpstreamAnnouncement


def complete(engine, prompt, **fields):
    body = {"request_id": "r", "attempt": 1, "model": "quote", "max_tokens": 4, **fields}
    return call(f"{engine.options.base_url}/v1/completions", {**body, "prompt": prompt})


def texts(body):
    lines = [line[6:] for line in body.splitlines() if line.startswith("data: {")]
    return "".join(json.loads(line)["text"] for line in lines)


class TestCompletions:
    def test_stream_follows_protocol(self):
        """Guards against stream text that callers cannot verify, and accepted invalid requests."""

        async def scenario():
            engine = await start_engine()
            digest = hash_prompt("a b")
            status, body = await complete(engine, "a b", resume_from=2)
            assert (status, texts(body)) == (200, f"{digest}-2 {digest}-3 ")
            assert body.endswith("data: [DONE]\n\n")
            assert (await complete(engine, "a b", model="other"))[0] == 404
            assert (await complete(engine, "a b", max_tokens="4"))[0] == 400
            await engine.stop()

        asyncio.run(scenario())

    def test_cancelled_stream_has_no_done_and_frees_memory(self):
        """Guards against a cancelled stream that looks complete."""

        async def scenario():
            engine = await start_engine(time_factor=1.0)
            running = asyncio.create_task(complete(engine, "a b", max_tokens=500))
            await asyncio.sleep(0.2)
            url = engine.options.base_url
            assert json.loads((await call(f"{url}/v1/load"))[1])["holdings"][0]["tokens"] == 502
            assert "true" in (await call(f"{url}/v1/cancel", {"request_id": "r"}))[1]
            body = (await running)[1]
            assert "event: error" in body
            assert "[DONE]" not in body
            assert json.loads((await call(f"{url}/v1/load"))[1])["kv_used_tokens"] == 0
            await engine.stop()

        asyncio.run(scenario())

    def test_leaving_finishes_running_and_refuses_new(self):
        """Guards against a planned engine shutdown that breaks running streams."""

        async def scenario():
            engine = await start_engine(time_factor=1.0)
            running = asyncio.create_task(complete(engine, "a b", max_tokens=30))
            await asyncio.sleep(0.1)
            leaving = asyncio.create_task(engine.leave())
            await asyncio.sleep(0)
            status, body = await complete(engine, "a b", request_id="late")
            assert (status, json.loads(body)) == (503, {"reason": "leaving"})
            assert (await running)[1].endswith("[DONE]\n\n")
            await asyncio.wait_for(leaving, 1.0)
            await engine.stop()

        asyncio.run(scenario())


class TestSpanningPrompt:
    def test_prompt_over_twice_the_memory_runs_on_three_engines(self):
        """Guards against one engine that accepts a prompt larger than its memory."""

        async def scenario():
            engines = [await start_engine(time_factor=200.0) for _ in range(3)]
            prompt = "w " * 1_000_000
            assert (await complete(engines[0], prompt))[0] == 503
            bounds = [(0, 400_000), (400_000, 800_000), (800_000, 1_000_000)]
            handles = []
            for engine, (start, end) in zip(engines, bounds, strict=True):
                url = f"{engine.options.base_url}/v1/kv"
                tokens = end - start + 10
                await call(f"{url}/reserve", {"request_id": "r", "tokens": tokens, "ttl_s": 5})
                segment = {"request_id": "r", "prompt": prompt, "start": start, "end": end}
                assert (await call(f"{url}/prefill", segment))[0] == 200
                exported = await call(f"{url}/export", {"request_id": "r"})
                handle = json.loads(exported[1])["handle"]
                handles.append({"source": engine.options.base_url, "handle": handle})
            for segment in handles[:2]:
                body = {"request_id": "r", **segment}
                url = engines[2].options.base_url
                assert (await call(f"{url}/v1/kv/import", body))[0] == 200
            status, body = await complete(engines[2], prompt, kv_segments=handles)
            assert (status, texts(body).split()[-1]) == (200, f"{hash_prompt(prompt)}-3")
            for engine in engines:
                await call(f"{engine.options.base_url}/v1/kv/release", {"request_id": "r"})
                assert engine.model.memory.used_tokens == 0
            assert engines[2].segments.imported == {}
            lost = {**handles[0], "handle": "kv-gone"}
            status, body = await complete(engines[2], prompt, kv_segments=[lost])
            assert (status, json.loads(body)) == (409, {"reason": "segment_lost"})
            for engine in engines:
                await engine.stop()

        asyncio.run(scenario())

    def test_completion_ends_when_a_remote_segment_is_lost(self):
        """Guards against output computed from freed remote memory, and leaks of local memory."""

        async def scenario():
            holder, runner = [await start_engine(time_factor=1.0) for _ in range(2)]
            url = holder.options.base_url
            reservation = {"request_id": "r", "tokens": 500, "ttl_s": 5}
            await call(f"{url}/v1/kv/reserve", reservation)
            leaving = asyncio.create_task(holder.leave())
            await asyncio.sleep(0)
            assert (await call(f"{url}/v1/kv/reserve", reservation))[0] == 200
            assert (await call(f"{url}/v1/kv/reserve", {**reservation, "request_id": "s"}))[
                0
            ] == 503
            segment = {"request_id": "r", "prompt": "w " * 500, "start": 0, "end": 500}
            assert (await call(f"{url}/v1/kv/prefill", segment))[0] == 200
            await call(f"{url}/v1/kv/export", {"request_id": "r"})
            handles = [{"source": url, "handle": "kv-r"}]
            running = asyncio.create_task(
                complete(runner, "w " * 600, kv_segments=handles, max_tokens=2_000)
            )
            await asyncio.sleep(0.2)
            assert runner.model.memory.used_tokens == 2_100
            assert not leaving.done()
            await call(f"{url}/v1/kv/release", {"request_id": "r"})
            body = (await asyncio.wait_for(running, 2.0))[1]
            assert "segment_lost" in body
            assert "[DONE]" not in body
            assert runner.model.memory.used_tokens == 0
            await asyncio.wait_for(leaving, 1.0)
            await asyncio.gather(holder.stop(), runner.stop())

        asyncio.run(scenario())


class AnnouncementHandler(RequestHandler):
    """Entry instance stub that records announcements."""

    def initialize(self, received):
        self.received = received

    def post(self):
        self.received.append(json.loads(self.request.body))


class TestAnnouncements:
    def test_rotates_to_a_live_entry_and_reports_late_load(self):
        """Guards against upstreams lost with one entry instance, and load metrics without delay."""

        async def scenario():
            received, port = [], find_port()
            serve(
                Application([(ANNOUNCEMENT_PATH, AnnouncementHandler, {"received": received})]),
                port,
            )
            addresses = (f"{HOST}:{find_port()}", f"{HOST}:{port}")
            engine = await start_engine(announce_to=addresses, report_lag_s=0.5, time_factor=1.0)
            running = asyncio.create_task(complete(engine, "a b", max_tokens=80))
            await asyncio.sleep(1.2)
            engine.turn_cold(hide_s=0.6)
            await asyncio.sleep(1.3)
            leaving = asyncio.create_task(engine.leave())
            await running
            await leaving
            await engine.stop()
            return received

        received = asyncio.run(scenario())
        assert 5 <= len(received) <= 7
        assert received[0]["running"] == 0
        assert received[2]["running"] == 1
        assert all(one["measured_age_s"] >= 0.5 for one in received[2:])
        states = [one["state"] for one in received]
        assert states[:3] == ["ready"] * 3
        assert "cold" in states
        assert states[-1] == "leaving"
        fields = {**received[0], "cache_events": []}
        assert UpstreamAnnouncement(**fields).upstream_id == "e"


class TestOrders:
    @pytest.mark.parametrize(("enforces_fencing", "expected"), [(True, 409), (False, 202)])
    def test_fencing_key_and_load(self, enforces_fencing, expected):
        """Guards against accepted orders of a superseded controller or without the order key."""

        async def scenario():
            engine = await start_engine(enforces_fencing=enforces_fencing, order_key="k" * 16)
            url = f"{engine.options.base_url}/v1/orders"
            key = {"Authorization": "Bearer " + "k" * 16}
            order = {"order_id": "1", "fencing_number": 5, "kind": "load_adapter"}
            order["arguments"] = {"adapter": "glazing"}
            assert (await call(url, order))[0] == 401
            assert (await call(url, order, key))[0] == 202
            older = {**order, "order_id": "2", "fencing_number": 4}
            assert (await call(url, older, key))[0] == expected
            await asyncio.sleep(0.1)
            described = json.loads((await call(url))[1])
            assert described["adapters"] == ["glazing"]
            assert described["highest_fencing_number"] == 5
            await engine.stop()

        asyncio.run(scenario())
