"""Tests of limits that upstreams state in their responses."""

import asyncio

import pytest

from laburnumrock.dispatch import LimitReport, SendOutcome
from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    answer,
    open_frontend,
    stream,
)

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


class TestReports:
    @pytest.mark.parametrize(
        "path, script, reports, unlimited",
        [
            ("/once/x", answer(200, **LIMIT), 1, False),
            ("/once/x", answer(503, Not_Executed="1", **LIMIT), 1, False),
            ("/once/x", answer(421, **LIMIT), 0, False),
            ("/once/x", answer(500), 0, False),
            ("/once/x", answer(200, Server_Limit="soon"), 0, False),
            ("/once/x", answer(200), 0, True),
            ("/s/x", stream(1, 4), 0, True),
            ("/s/x", stream(1, 4, Server_Limit="2.5"), 1, False),
        ],
    )
    def test_response(self, path, script, reports, unlimited):
        """Guards against a stated limit that does not reach the dispatcher, or ends too early."""

        async def run():
            async with open_frontend(ScriptedUpstream(script)) as frontend:
                await frontend.request(path)
            dispatcher = frontend.dispatcher
            assert dispatcher.limits[:1] == [LimitReport("u1", 2.5)] * reports
            assert dispatcher.ended[-1].is_unlimited is unlimited

        asyncio.run(run())

    def test_success_before_a_failure(self):
        """Guards against a retry that is taken for as successful as an earlier send."""

        async def run():
            upstreams = [
                ScriptedUpstream(stream(1, 2, cut=b"id: 3")),
                ScriptedUpstream(answer(500)),
            ]
            async with open_frontend(*upstreams) as frontend:
                await frontend.request("/s/x")
            assert not any(ended.is_unlimited for ended in frontend.dispatcher.ended)

        asyncio.run(run())


class TestMisdirectedSends:
    def test_outcome(self):
        """Guards against an address that goes on being used for an upstream which has ended."""

        async def run():
            upstreams = [ScriptedUpstream(answer(421)), ScriptedUpstream(answer(200))]
            async with open_frontend(*upstreams) as frontend:
                response = await frontend.request("/r/x")
            assert response.status == 200
            assert frontend.dispatcher.outcomes == [SendOutcome.MISDIRECTED, SendOutcome.DONE]

        asyncio.run(run())
