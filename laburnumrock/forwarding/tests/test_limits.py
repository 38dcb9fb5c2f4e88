"""Tests of limits that upstreams state in their responses."""

import asyncio

import pytest

from laburnumrock.forwarding.tests.scripted import ScriptedUpstream, answer, open_frontend

LIMIT = {"Server_Limit": "2.5"}


class TestLogs:
    @pytest.mark.parametrize(
        "status, headers, logged", [(200, LIMIT, 1), (500, LIMIT, 1), (421, LIMIT, 0), (200, {}, 0)]
    )
    def test_stated_limit(self, status, headers, logged, monkeypatch):
        """Guards against logs that do not show which upstream stated a limit, and which one."""
        lines = []

        async def run():
            async with open_frontend(ScriptedUpstream(answer(status, **headers))) as frontend:
                monkeypatch.setattr(
                    "laburnumrock.forwarding._http_response.log_message",
                    lambda event, **fields: lines.append((event, fields)),
                )
                await frontend.request("/once/x")

        asyncio.run(run())
        limits = [fields for event, fields in lines if event == "upstream_limited"]
        assert [(one["upstream"], one["requests_per_s"]) for one in limits] == [
            ("u1", 2.5)
        ] * logged
