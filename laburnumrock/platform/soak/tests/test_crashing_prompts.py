"""Tests of prompts with a part that crashes each engine which begins to answer them."""

import asyncio
import random
import time

import pytest

from laburnumrock.platform.soak._prompts import CONTACT_S, MAX_ARRIVALS
from laburnumrock.platform.soak._run import open_deployment, start_callers
from laburnumrock.platform.soak._state import RunState, SoakSettings
from laburnumrock.platform.soak.tests.core_faults import freeze_cores_in_turn, list_cores

CALM_S = 3.0
TROUBLE_S = 12.0
MIN_STREAMS = 20
MIN_SERVICE_RATIO = 0.5
"""Minimum share of the other streams that run at the first attempt, relative to calm times."""


def measure_service(soak: RunState, since_s: float, until_s: float) -> float:
    """Return the share of the streams without a crashing part that have run."""
    tracker = soak.tracker
    sent = [name for name, sent_s in tracker.streams_sent_s.items() if since_s <= sent_s < until_s]
    assert len(sent) >= MIN_STREAMS
    return sum(name in tracker.runs for name in sent) / len(sent)


async def play_crashing_prompt(soak: RunState, during=None) -> None:
    """Send sound streams for a while, then also streams with a part that crashes engines.

    Checks that the part is kept from the engines while the other streams are served.
    """
    rng = random.Random(soak.settings.seed)
    prompts = soak.tracker.prompts
    async with open_deployment(soak, rng):
        started_s = time.monotonic()
        trouble_s = started_s + CALM_S
        ended_s = trouble_s + TROUBLE_S
        callers = start_callers(soak, rng, ended_s)
        await asyncio.sleep(CALM_S)
        prompts.start("dead")
        if during is not None:
            await during(soak)
        await asyncio.sleep(ended_s - time.monotonic())
        for caller in callers:
            caller.close()
    record = prompts.record
    assert record.crashes_s, "no request with the part has reached an engine"
    late = record.list_late_arrivals()
    crashes = len(record.crashes_s)
    assert len(late) <= MAX_ARRIVALS, f"{len(late)} late arrivals, {crashes} crashes"
    known_s = record.crashes_s[: record.counted_crashes][-1] + 2 * CONTACT_S
    calm = measure_service(soak, started_s, trouble_s)
    assert measure_service(soak, known_s, ended_s - 1.0) >= MIN_SERVICE_RATIO * calm
    assert soak.findings.broken == []


async def kill_all_cores(soak: RunState) -> None:
    """Kill all cores once the part must be known, and start them again."""
    await asyncio.sleep(TROUBLE_S / 3)
    cores = list_cores(soak)
    for core in cores:
        core.killed = True
        core.process.kill()
    await asyncio.sleep(0.5)
    for core in cores:
        core.process.start()
        core.killed = False


@pytest.mark.processes
class TestCrashingPrompts:
    @pytest.mark.parametrize("during", [kill_all_cores, freeze_cores_in_turn])
    def test_part_stays_known_while_cores_fail(self, during, tmp_path):
        """Guards against a part that crashes engines again after each loss of the leader."""
        soak = RunState(SoakSettings(12, TROUBLE_S, tmp_path / "run", callers=16, engines=8))
        asyncio.run(play_crashing_prompt(soak, during))

    def test_part_that_crashes_engines_reaches_no_more_of_them(self, tmp_path):
        """Guards against requests that crash one engine after the other while sound ones suffer."""
        soak = RunState(SoakSettings(11, TROUBLE_S, tmp_path / "run", callers=16, engines=8))
        asyncio.run(play_crashing_prompt(soak))
