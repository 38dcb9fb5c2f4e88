"""Tests of idle connections of callers, and of the other limits that routes declare for them."""

import asyncio

import pytest

from laburnumrock.forwarding import ForwardingSettings
from laburnumrock.forwarding.tests.scripted import (
    FrontendHarness,
    ScriptedUpstream,
    answer,
    make_request,
    open_frontend,
    read_response,
)
from laburnumrock.routing import RouteLimits

REUSE_SHARE = 0.8
"""Share of the declared idle timeout up to which callers reuse connections."""


def declare(frontend: FrontendHarness, **limits) -> None:
    """Let the routes in force declare limits."""
    frontend.context.route_table.limits = RouteLimits(**limits)
    frontend.server.update_limits()


def let_pass(frontend: FrontendHarness, duration_s: float) -> None:
    """Let idle connections become older, and close those that are expired."""
    for reader in frontend.server.connections.values():
        reader.waiting_since_s -= duration_s
        if reader.head_since_s is not None:
            reader.head_since_s -= duration_s
    frontend.server.idle_limits.former = [
        (until_s - duration_s, idle_s) for until_s, idle_s in frontend.server.idle_limits.former
    ]
    frontend.server.close_expired()


async def reuse(frontend: FrontendHarness, idle_s: float) -> bool:
    """Open a connection, let it be idle, and return whether it still serves a request."""
    reader, writer = await frontend.connect()
    writer.write(make_request("/r/x", "POST", b"{}", {}))
    await read_response(reader)
    await asyncio.sleep(0.02)
    let_pass(frontend, idle_s)
    writer.write(make_request("/r/x", "POST", b"{}", {"Request_Id": "r2"}))
    try:
        return (await read_response(reader)).status == 200
    except (asyncio.IncompleteReadError, ConnectionError):
        return False


class TestIdleTimeout:
    @pytest.mark.parametrize("declared_s", [5.0, 15.0, 30.0, 120.0])
    def test_declared_value_rules(self, declared_s):
        """Guards against a close that crosses the request of a caller that reuses a connection."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                declare(frontend, idle_timeout_s=declared_s)
                assert await reuse(frontend, REUSE_SHARE * declared_s)
                assert not await reuse(frontend, declared_s + 20.0)

        asyncio.run(run())

    def test_connection_that_is_already_idle(self):
        """Guards against a longer timeout that holds only for later connections."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                reader, writer = await frontend.connect()
                await asyncio.sleep(0.02)
                let_pass(frontend, 10.0)
                declare(frontend, idle_timeout_s=60.0)
                let_pass(frontend, 30.0)
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                assert (await read_response(reader)).status == 200

        asyncio.run(run())

    def test_shorter_timeout_comes_into_force_later(self):
        """Guards against a change that closes connections on whose timeout callers still rely."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                declare(frontend, idle_timeout_s=60.0)
                declare(frontend, idle_timeout_s=5.0)
                assert await reuse(frontend, 48.0)
                let_pass(frontend, 100.0)
                assert not await reuse(frontend, 48.0)

        asyncio.run(run())

    def test_before_the_first_routes(self):
        """Guards against closing connections while the declared timeout is unknown."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                assert await reuse(frontend, 15.0)

        asyncio.run(run())

    def test_huge_timeout_is_bounded_and_announced(self):
        """Guards against connections that are kept for ever, or closed without notice."""

        async def run():
            upstream = ScriptedUpstream(answer())
            async with open_frontend(upstream, max_idle_timeout_s=100.0) as frontend:
                declare(frontend, idle_timeout_s=1e12)
                response = await frontend.request("/r/x")
                assert response.headers["Keep-Alive"] == "timeout=100"
                assert await reuse(frontend, 99.0)
                assert not await reuse(frontend, 120.0)

        asyncio.run(run())

    @pytest.mark.parametrize("bound_s", [0.0, -1.0, float("inf"), float("nan")])
    def test_bound_is_checked(self, bound_s):
        """Guards against a setting with which connections are never or always closed."""
        with pytest.raises(ValueError, match="max_idle_timeout_s"):
            ForwardingSettings(max_idle_timeout_s=bound_s)

    def test_request_that_has_arrived_is_answered(self):
        """Guards against closing a connection on which an unread request has arrived."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                reader, writer = await frontend.connect()
                await asyncio.sleep(0.02)
                writer.write(make_request("/r/x", "POST", b"{}", {}))
                let_pass(frontend, 60.0)
                assert (await read_response(reader)).status == 200

        asyncio.run(run())

    def test_close_is_logged(self, monkeypatch):
        """Guards against idle closes that the logs do not show, or show for closes of callers."""
        lines = []

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                monkeypatch.setattr(
                    "laburnumrock.forwarding._server.log_message",
                    lambda event, **fields: lines.append((event, fields)),
                )
                await frontend.connect()
                _, left = await frontend.connect()
                await asyncio.sleep(0.02)
                for reader in frontend.server.connections.values():
                    reader.waiting_since_s -= 40.0
                left.close()
                await asyncio.sleep(0.05)
                frontend.server.close_expired()

        asyncio.run(run())
        assert [event for event, _ in lines] == ["caller_connection_idle"]
        assert lines[0][1]["idle_s"] >= 40.0


class TestOtherLimits:
    def test_slow_head(self):
        """Guards against heads that arrive for ever, and a declared time that is cut short."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                declare(frontend, header_timeout_s=30.0)
                reader, writer = await frontend.connect()
                writer.write(b"POST /r/x HTTP/1.1\r\n")
                await asyncio.sleep(0.02)
                frontend.server.close_expired()
                let_pass(frontend, 29.0)
                assert frontend.server.connections
                let_pass(frontend, 40.0)
                assert await reader.read() == b""

        asyncio.run(run())

    @pytest.mark.parametrize("size", [60_000, 200_000])
    def test_large_head(self, size):
        """Guards against a closed connection for a head within a declared limit."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                declare(frontend, max_header_bytes=size)
                assert (await frontend.request(X_Long="x" * (size - 1_000))).status == 200

        asyncio.run(run())

    def test_large_body(self):
        """Guards against a refusal of a body within a declared limit."""

        async def run():
            async with open_frontend(ScriptedUpstream(answer())) as frontend:
                declare(frontend, max_body_bytes=12_000_000)
                assert (await frontend.request(body=b"x" * 11_000_000)).status == 200

        asyncio.run(run())
