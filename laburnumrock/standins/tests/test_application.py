"""Tests of the application engine, balancer and relay emulators."""

import asyncio
import json

from laburnumrock.standins._application import (
    ApplicationEngine,
    ApplicationOptions,
    make_application_engine_application,
)
from laburnumrock.standins._balancer import Balancer
from laburnumrock.standins._relay import Link, Relay
from laburnumrock.standins.tests._servers import HOST, call, find_port, serve


class TestApplicationEngine:
    def test_counts_and_faults(self):
        """Guards against uncounted executions whose response is dropped or an error."""

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
        """Guards against new connections to an instance that is no longer ready."""

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
        """Guards against a cut link that resets connections, unlike a network partition."""

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
