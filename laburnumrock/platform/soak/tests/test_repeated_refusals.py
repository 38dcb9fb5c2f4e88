"""Tests of upstreams that write refusals a second time on connections in use again."""

import asyncio
import random
import time

import pytest

from laburnumrock.platform.soak._run import check_runs, open_deployment, start_callers
from laburnumrock.platform.soak._state import RunState, SoakSettings

TROUBLE_S = 8.0


async def play_repeated_refusals(soak: RunState) -> None:
    """Send requests while all upstreams write their refusals twice."""
    rng = random.Random(soak.settings.seed)
    async with open_deployment(soak, rng):
        ended_s = time.monotonic() + TROUBLE_S
        callers = start_callers(soak, rng, ended_s)
        await asyncio.sleep(1.0)
        for upstream in soak.upstreams.values():
            upstream.mode = "engine_repeats_refusals"
            # A second refusal in a stream breaks it off, which excuses the close of its connection.
            soak.findings.record_fault_at(upstream.name, TROUBLE_S)
        await asyncio.sleep(ended_s - time.monotonic() + 1.0)
        for caller in callers:
            caller.close()
    check_runs(soak)
    assert soak.findings.counts["once 503"] > 0
    assert soak.findings.broken == []


@pytest.mark.processes
class TestRepeatedRefusals:
    def test_refused_requests_have_not_run(self, tmp_path):
        """Guards against "not run" for a request that runs behind a copy of an earlier refusal."""
        settings = SoakSettings(41, TROUBLE_S, tmp_path / "run", callers=24, entries=2)
        asyncio.run(play_repeated_refusals(RunState(settings)))
