"""Tests of a request that crashes each upstream which begins to run it, and comes again."""

import asyncio
import random
import time

import pytest

from laburnumrock.platform.soak._prompts import CONTACT_S, MAX_ARRIVALS
from laburnumrock.platform.soak._run import open_deployment, start_callers
from laburnumrock.platform.soak._state import RunState, SoakSettings
from laburnumrock.platform.soak.tests.core_faults import (
    freeze_all_cores,
    freeze_cores_in_turn,
    keep_cores,
    list_cores,
)

CALM_S = 3.0
TROUBLE_S = 15.0
MIN_REQUESTS = 20
MIN_SERVICE_RATIO = 0.9
"""Minimum share of the other requests that run once the repeated one must be known, relative to
calm times."""


async def kill_all_cores(soak: RunState) -> None:
    """Kill all cores soon after the first crashes, and start them again."""
    await asyncio.sleep(2.0)
    for core in list_cores(soak):
        core.killed = True
        core.process.kill()
    await asyncio.sleep(0.5)
    for core in list_cores(soak):
        core.process.start()
        core.killed = False


def measure_service(soak: RunState, sent: dict[str, float], since_s: float, until_s: float):
    """Return the share of the requests sent in a period that have run."""
    names = [name for name, sent_s in sent.items() if since_s <= sent_s < until_s]
    assert len(names) >= MIN_REQUESTS
    return sum(name in soak.tracker.runs for name in names) / len(names)


async def play_repeated_request(soak: RunState, kind: str, during) -> None:
    """Send sound requests for a while, then also one that comes again and crashes upstreams."""
    rng = random.Random(soak.settings.seed)
    tracker = soak.tracker
    record = tracker.repeated.record
    async with open_deployment(soak, rng):
        for upstream in soak.upstreams.values():
            # Entries that place requests alone do not learn new ids.
            upstream.keeps_id = True
        started_s = time.monotonic()
        trouble_s = started_s + CALM_S
        ended_s = trouble_s + TROUBLE_S
        callers = start_callers(soak, rng, ended_s)
        await asyncio.sleep(CALM_S)
        if during is freeze_all_cores:
            await during(soak)
        tracker.repeated.start(kind, "repeated")
        if during is not freeze_all_cores:
            await during(soak)
        await asyncio.sleep(ended_s - time.monotonic())
        for caller in callers:
            caller.close()
    assert record.crashes_s, "the request has reached no upstream"
    late = record.list_late_arrivals()
    assert len(late) <= MAX_ARRIVALS, f"{len(late)} late arrivals, {len(record.crashes_s)} crashes"
    sent = tracker.streams_sent_s if kind == "stream" else tracker.plain_sent_s
    known_s = record.crashes_s[: record.counted_crashes][-1] + 2 * CONTACT_S
    calm = measure_service(soak, sent, started_s, trouble_s)
    served = measure_service(soak, sent, known_s, ended_s - 1.0)
    assert (
        served >= MIN_SERVICE_RATIO * calm
    ), f"{served:.2f} of the others served, {calm:.2f} before"
    assert soak.findings.broken == []


def play(seed: int, folder, kind: str, during) -> None:
    settings = SoakSettings(
        seed, TROUBLE_S, folder / "run", callers=16, engines=8, entries=6, servers=4
    )
    asyncio.run(play_repeated_request(RunState(settings), kind, during))


KINDS = pytest.mark.parametrize("kind", ["again", "once", "stream"])


@pytest.mark.processes
class TestRepeatedRequests:
    """A request under which three upstreams crashed reaches no more of them, and others do."""

    @KINDS
    def test_leader(self, kind, tmp_path):
        """Guards against a repeated request that crashes one upstream after the other."""
        play(31, tmp_path, kind, keep_cores)

    @KINDS
    @pytest.mark.parametrize("during", [freeze_cores_in_turn, kill_all_cores])
    def test_change_of_leader(self, kind, during, tmp_path):
        """Guards against a repeated request that each new leader sends to further upstreams."""
        play(32, tmp_path, kind, during)

    @KINDS
    def test_entries_without_a_leader(self, kind, tmp_path):
        """Guards against a repeated request that each entry sends to upstreams of its own."""
        play(33, tmp_path, kind, freeze_all_cores)
