"""Tests of memory reservations on engines."""

import asyncio
import json
import time

from laburnumrock.dispatch import Helper, UpstreamStatement
from laburnumrock.forwarding import ConnectionPool, ConnectionPoolSettings, Reservations
from laburnumrock.forwarding._reservations import LEASE_S
from laburnumrock.forwarding.tests.scripted import HOST, ScriptedUpstream, hang
from laburnumrock.platform._wire import PlatformWire


def respond(status: int, headers: str = ""):
    async def run(reader, writer, received) -> None:
        head = f"HTTP/1.1 {status} Reason\r\nContent-Length: 2\r\n{headers}\r\n"
        writer.write(f"{head}{{}}".encode())
        await writer.drain()

    return run


def orders(upstream: ScriptedUpstream) -> list[str]:
    return [json.loads(received.body)["op"] for received in upstream.received]


class TestHold:
    def hold(self, *engines: ScriptedUpstream, used_s: float = 0.0, wire=None) -> object:
        async def run():
            for engine in engines:
                await engine.start()
            pool = ConnectionPool(ConnectionPoolSettings())
            self.statements = []
            reservations = Reservations(pool, wire or PlatformWire(), self.statements.append)
            helpers = [
                Helper(f"u{number}", HOST, engine.port, 1000)
                for number, engine in enumerate(engines)
            ]
            async with reservations.hold("t1", helpers) as reserved:
                await asyncio.sleep(used_s)
                result = reserved
            await reservations.finish(5.0)
            pool.close()
            for engine in engines:
                engine.server.close()
            return result

        return asyncio.run(run())

    def test_all_reservations_are_released(self):
        """Guards against memory that stays reserved after its request."""
        engines = [ScriptedUpstream(respond(200)) for _ in range(2)]
        reserved = self.hold(*engines)
        assert [reservation for _, _, reservation in reserved.unwrap()] == ["t1", "t1"]
        assert [orders(engine) for engine in engines] == [["reserve", "release"]] * 2

    def test_all_or_none(self):
        """Guards against a deadlock of two long prompts that each hold half of the engines."""
        full, free = ScriptedUpstream(respond(409)), ScriptedUpstream(respond(200))
        reserved = self.hold(full, free)
        assert reserved.unwrap_err() == []
        assert orders(free) == ["reserve", "release"]

    def test_unresponsive_engine_is_reported(self):
        """Guards against repeated placements on an unresponsive engine."""
        dead, free = ScriptedUpstream(hang()), ScriptedUpstream(respond(200))
        assert self.hold(dead, free).unwrap_err() == ["u0"]
        assert orders(free) == ["reserve", "release"]

    def test_statements_of_helpers_are_recorded(self):
        """Guards against further requests to a helper that has declined them."""
        refusing = ScriptedUpstream(respond(503, "Retry-After: 4\r\n"), respond(200))
        leaving = ScriptedUpstream(respond(200, "Server-Leaving: 1\r\n"), respond(200))
        self.hold(refusing, leaving)
        assert sorted(self.statements, key=str) == [
            UpstreamStatement("u0", refusal_s=4.0),
            UpstreamStatement("u1", is_leaving=True),
        ]

    def test_release_is_retried(self):
        """Guards against leaking memory when the response to a release is lost."""
        engine = ScriptedUpstream(respond(200), respond(500), respond(500), respond(200))
        self.hold(engine)
        assert orders(engine) == ["reserve", "release", "release", "release"]

    def test_lease_is_renewed(self):
        """Guards against a lease that expires during its request."""
        engine = ScriptedUpstream(respond(200))
        self.hold(engine, used_s=1.2)
        assert orders(engine) == ["reserve", "reserve", "release"]

    def test_lease_outlasts_a_silent_engine(self):
        """Guards against a lease that expires under its request since two renewals were lost."""
        renewed_s = []

        async def renew(reader, writer, received) -> None:
            if json.loads(received.body)["op"] == "reserve":
                renewed_s.append(time.monotonic())
            await respond(200)(reader, writer, received)

        engine = ScriptedUpstream(renew, hang(), hang(), renew)
        self.hold(engine, used_s=LEASE_S)
        assert len(renewed_s) >= 2
        assert renewed_s[1] - renewed_s[0] < LEASE_S

    def test_renewal_survives_an_error(self):
        """Guards against a lease that expires since one of its renewals raised an error."""

        class FailingWire(PlatformWire):
            encoded = 0

            def encode_reservation(self, name, token_count, lease_s):
                self.encoded += 1
                if self.encoded == 2:
                    raise ValueError("cannot be encoded")
                return super().encode_reservation(name, token_count, lease_s)

        engine = ScriptedUpstream(respond(200))
        self.hold(engine, used_s=2.5, wire=FailingWire())
        assert orders(engine).count("reserve") >= 2
