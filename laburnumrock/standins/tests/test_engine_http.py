"""Tests of the HTTP surface of the emulators, in this process."""

import asyncio
import json
import socket

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from laburnumrock.standins import hash_prompt
from laburnumrock.standins._application import (
    ApplicationEngine,
    ApplicationOptions,
    make_application_engine_application,
)
from laburnumrock.standins._balancer import Balancer
from laburnumrock.standins._engine import EngineOptions, ModelEngine
from laburnumrock.standins._engine_http import MAX_BODY_BYTES, make_engine_application
from laburnumrock.standins._relay import Link, Relay

HOST = "127.0.0.1"


def find_port():
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


def serve(application, port):
    server = HTTPServer(application, max_buffer_size=MAX_BODY_BYTES, max_body_size=MAX_BODY_BYTES)
    server.add_sockets(bind_sockets(port, HOST))
    return server


async def start_engine(**options):
    options = {"port": find_port(), "time_factor": 20.0, **options}
    engine = ModelEngine(EngineOptions("e", "a", HOST, **options))
    serve(make_engine_application(engine), engine.options.port)
    await engine.start()
    return engine


async def call(url, body=None, headers=None):
    method = "GET" if body is None else "POST"
    data = None if body is None else json.dumps(body)
    try:
        answer = await AsyncHTTPClient().fetch(
            url, method=method, body=data, headers=headers, raise_error=False, request_timeout=20
        )
    except HTTPError as error:
        return error.code, ""
    return answer.code, answer.body.decode() if answer.body else ""


def complete(engine, prompt, **fields):
    body = {"request_id": "r", "attempt": 1, "model": "quote", "max_tokens": 4, **fields}
    return call(f"{engine.options.base_url}/v1/completions", {**body, "prompt": prompt})


def texts(body):
    lines = [line[6:] for line in body.splitlines() if line.startswith("data: {")]
    return "".join(json.loads(line)["text"] for line in lines)


class TestCompletions:
    def test_stream_follows_protocol(self):
        """Guards against a stream whose text a caller cannot verify."""

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
        """Guards against a broken answer that looks whole."""

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
        """Guards against a planned stop of an engine that breaks streams."""

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
        """Guards against spanning prompts that one engine claims to hold alone."""

        async def scenario():
            engines = [await start_engine(time_factor=200.0) for _ in range(3)]
            prompt = "w " * 1_000_000
            assert (await complete(engines[0], prompt))[0] == 503
            bounds = [(0, 400_000), (400_000, 800_000), (800_000, 1_000_000)]
            handles = []
            for engine, (start, end) in zip(engines, bounds, strict=True):
                url = f"{engine.options.base_url}/v1/kv"
                room = end - start + 10
                await call(f"{url}/reserve", {"request_id": "r", "tokens": room, "ttl_s": 5})
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
            lost = {**handles[0], "handle": "kv-gone"}
            status, body = await complete(engines[2], prompt, kv_segments=[lost])
            assert (status, json.loads(body)) == (409, {"reason": "segment_lost"})
            for engine in engines:
                await engine.stop()

        asyncio.run(scenario())


class TestOrders:
    @pytest.mark.parametrize(("obeys", "expected"), [(True, 409), (False, 202)])
    def test_fencing_key_and_load(self, obeys, expected):
        """Guards against orders of an old controller or a stranger on engines that check."""

        async def scenario():
            engine = await start_engine(obeys_fencing=obeys, order_key="k" * 16)
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


class TestApplicationEngine:
    def test_counts_and_faults(self):
        """Guards against an emulator that hides a second execution or a lost answer."""

        async def scenario():
            engine = ApplicationEngine(ApplicationOptions("ap", "a", HOST, find_port()))
            serve(make_application_engine_application(engine), engine.options.port)
            url = engine.options.base_url
            key = {"Idempotency-Key": "op-1"}
            await call(f"{url}/control/faults", {"drop_answers": 1, "fail_after": 1})
            statuses = [(await call(f"{url}/place", {}, key))[0] for _ in range(3)]
            assert statuses == [599, 500, 200]
            counted = json.loads((await call(f"{url}/executions"))[1])
            assert counted["executions"] == {"op-1": 3}

        asyncio.run(scenario())


class TestLinks:
    def test_balancer_uses_only_ready_instances(self):
        """Guards against new connections to an instance that is stopping."""

        async def scenario():
            engines = [
                ApplicationEngine(ApplicationOptions(n, "a", HOST, find_port())) for n in "xy"
            ]
            for engine in engines:
                serve(make_application_engine_application(engine), engine.options.port)
            balancer = Balancer([f"{HOST}:{engine.options.port}" for engine in engines])
            port = find_port()
            await balancer.start(HOST, port)
            for _ in range(4):
                await call(f"http://{HOST}:{port}/call")
            assert [backend.connections for backend in balancer.backends] == [2, 2]
            engines[0].faults.fail_after = -1
            await asyncio.sleep(0.5)
            for _ in range(4):
                assert (await call(f"http://{HOST}:{port}/call"))[0] == 200
            assert [backend.connections for backend in balancer.backends] == [2, 6]
            await balancer.stop()

        asyncio.run(scenario())

    def test_cut_link_is_silent_and_heals(self):
        """Guards against a cut that resets connections, which real partitions do not do."""

        async def scenario():
            engine = ApplicationEngine(ApplicationOptions("x", "a", HOST, find_port()))
            serve(make_application_engine_application(engine), engine.options.port)
            link = Link("l", find_port(), HOST, engine.options.port)
            link.is_open.set()
            relay = Relay([link])
            await relay.start(HOST)
            url = f"http://{HOST}:{link.port}/call"
            assert (await call(url))[0] == 200
            relay.change(["l"], is_open=False)
            pending = asyncio.create_task(call(url))
            await asyncio.sleep(0.3)
            assert not pending.done()
            relay.change(["l"], is_open=True)
            assert (await pending)[0] == 200
            await relay.stop()

        asyncio.run(scenario())
