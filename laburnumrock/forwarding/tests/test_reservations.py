"""Memory reserved on engines."""

import asyncio
import json

from laburnumrock.dispatch import Helper
from laburnumrock.forwarding import ConnectionPool, ConnectionPoolSettings, Reservations
from laburnumrock.forwarding.tests.scripted import HOST, ScriptedUpstream, hang
from laburnumrock.platform._wire import PlatformWire


def reply(status: int):
    async def run(reader, writer, received) -> None:
        writer.write(f"HTTP/1.1 {status} Reason\r\nContent-Length: 2\r\n\r\n{{}}".encode())
        await writer.drain()

    return run


def orders(upstream: ScriptedUpstream) -> list[str]:
    return [json.loads(received.body)["op"] for received in upstream.received]


class TestHold:
    def hold(self, *engines: ScriptedUpstream, used_s: float = 0.0) -> object:
        async def run():
            for engine in engines:
                await engine.start()
            pool = ConnectionPool(ConnectionPoolSettings())
            reservations = Reservations(pool, PlatformWire())
            helpers = [
                Helper(f"u{number}", HOST, engine.port, 1000)
                for number, engine in enumerate(engines)
            ]
            async with reservations.hold("t1", helpers) as held:
                await asyncio.sleep(used_s)
                result = held
            await reservations.finish(5.0)
            pool.close()
            for engine in engines:
                engine.server.close()
            return result

        return asyncio.run(run())

    def test_all_are_released(self):
        """Guards against memory that stays set aside after its request."""
        engines = [ScriptedUpstream(reply(200)) for _ in range(2)]
        held = self.hold(*engines)
        assert [ticket for _, _, ticket in held.unwrap()] == ["t1", "t1"]
        assert [orders(engine) for engine in engines] == [["reserve", "release"]] * 2

    def test_all_or_none(self):
        """Guards against two long prompts that hold half of the engines each for ever."""
        full, free = ScriptedUpstream(reply(409)), ScriptedUpstream(reply(200))
        held = self.hold(full, free)
        assert held.unwrap_err() == []
        assert orders(free) == ["reserve", "release"]

    def test_silent_engine_is_named(self):
        """Guards against placements that choose a dead engine again and again."""
        dead, free = ScriptedUpstream(hang()), ScriptedUpstream(reply(200))
        assert self.hold(dead, free).unwrap_err() == ["u0"]
        assert orders(free) == ["reserve", "release"]

    def test_release_is_repeated(self):
        """Guards against memory that leaks when the answer to a release is lost."""
        engine = ScriptedUpstream(reply(200), reply(500), reply(500), reply(200))
        self.hold(engine)
        assert orders(engine) == ["reserve", "release", "release", "release"]

    def test_lease_is_renewed(self):
        """Guards against a request that is cut off when its memory expires."""
        engine = ScriptedUpstream(reply(200))
        self.hold(engine, used_s=1.2)
        assert orders(engine) == ["reserve", "reserve", "release"]
