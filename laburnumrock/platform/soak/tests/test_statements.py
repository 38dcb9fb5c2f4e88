"""Tests of upstreams that state in their responses that they want no new requests."""

import asyncio
import random
import time

import pytest

from laburnumrock.platform.soak._run import open_deployment, start_callers
from laburnumrock.platform.soak._state import RunState, SoakSettings
from laburnumrock.platform.soak._statements import REFUSAL_GRACE_S, StatedDecline
from laburnumrock.platform.soak._upstreams import DRAIN_LIMIT_S
from laburnumrock.platform.soak.tests.core_faults import (
    freeze_all_cores,
    freeze_cores_in_turn,
    keep_cores,
)

DECLINED_S = 8.0
MAX_LATE_REFUSED = 2
"""Requests of one entry that may reach an upstream while it refuses them for a time."""
RETURN_S = 2.0
"""Time after the end of a refusal within which the upstreams serve again."""


async def play_decline(soak: RunState, prefix: str, count: int, leaving: bool, during) -> None:
    """Let upstreams decline requests for a while, and check that entries obey and then return."""
    rng = random.Random(soak.settings.seed)
    async with open_deployment(soak, rng):
        callers = start_callers(soak, rng, time.monotonic() + 60.0)
        upstreams = [one for name, one in soak.upstreams.items() if name.startswith(prefix)]
        await asyncio.sleep(2.0)
        declines = []
        for upstream in upstreams[:count]:
            upstream.decline = StatedDecline(None if leaving else time.monotonic() + DECLINED_S)
            declines.append(upstream.decline)
        ended_s = time.monotonic() + DECLINED_S
        await during(soak)
        await asyncio.sleep(ended_s - time.monotonic())
        assert all(one.informed_s for one in declines), "no entry was informed"
        for one in declines:
            late = one.count_late(DRAIN_LIMIT_S if leaving else REFUSAL_GRACE_S)
            assert max(late.values(), default=0) <= (0 if leaving else MAX_LATE_REFUSED), late
        if not leaving:
            await asyncio.sleep(RETURN_S)
            arrived_s = [arrived_s for one in declines for arrived_s, _ in one.arrivals]
            assert sum(one_s > ended_s for one_s in arrived_s) > 0
        for caller in callers:
            caller.close()
    assert soak.findings.broken == []


DURING = pytest.mark.parametrize("during", [keep_cores, freeze_cores_in_turn, freeze_all_cores])


@pytest.mark.processes
class TestDeclines:
    @DURING
    def test_leaving(self, during, tmp_path):
        """Guards against requests to an engine that says only in its responses that it leaves."""
        soak = RunState(SoakSettings(31, DECLINED_S, tmp_path / "run", callers=32, entries=6))
        asyncio.run(play_decline(soak, "engine", 1, True, during))

    @DURING
    def test_all_servers_refuse(self, during, tmp_path):
        """Guards against requests to upstreams that all want none for a time."""
        soak = RunState(SoakSettings(32, DECLINED_S, tmp_path / "run", callers=32, entries=6))
        asyncio.run(play_decline(soak, "server", 2, False, during))
