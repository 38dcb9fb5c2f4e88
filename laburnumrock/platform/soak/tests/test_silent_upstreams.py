"""Tests of sound upstreams that fall silent for a while and go on, beside changes of the routes."""

import asyncio
import random
import time

import pytest

from laburnumrock.platform.soak._operator import STREAM_ATTEMPTS
from laburnumrock.platform.soak._run import check_runs, open_deployment, start_callers
from laburnumrock.platform.soak._state import RunState, SoakSettings
from laburnumrock.platform.soak.tests.core_faults import (
    freeze_all_cores,
    freeze_cores_in_turn,
    keep_cores,
)

SILENCE_S = 1.3
SPEECH_S = 0.7
CHANGE_INTERVAL_S = 0.4
TROUBLE_S = 9.0
MIN_SERVED = 30


async def silence_in_turn(soak: RunState, prefix: str, others_refuse: bool) -> None:
    """Let each upstream of a kind fall silent in turn, while all others may refuse requests."""
    names = [name for name in soak.upstreams if name.startswith(prefix)]
    while True:
        for name in names:
            others = [soak.upstreams[other] for other in names if other != name]
            soak.upstreams[name].fall_silent(SILENCE_S)
            for upstream in others:
                upstream.mode = "engine_refuses" if others_refuse else ""
            await asyncio.sleep(SILENCE_S)
            for upstream in others:
                upstream.mode = ""
            await asyncio.sleep(SPEECH_S)


async def change_routes(soak: RunState) -> None:
    """Change the routes at intervals."""
    while True:
        await asyncio.gather(soak.operator.change_routes(), asyncio.sleep(CHANGE_INTERVAL_S))


async def play_silences(soak: RunState, others_refuse: bool, during) -> None:
    """Send requests while upstreams fall silent in turn, and check that each one is answered."""
    rng = random.Random(soak.settings.seed)
    async with open_deployment(soak, rng):
        ended_s = time.monotonic() + TROUBLE_S
        callers = start_callers(soak, rng, ended_s)
        for prefix in ("engine", "server"):
            soak.start_task(silence_in_turn(soak, prefix, others_refuse))
        soak.start_task(change_routes(soak))
        await during(soak)
        await asyncio.sleep(ended_s - time.monotonic() + SILENCE_S)
        for caller in callers:
            caller.close()
    check_requests(soak)


def check_requests(soak: RunState) -> None:
    """Check what callers have seen, and how often their requests have run."""
    check_runs(soak)
    counts = soak.findings.counts
    assert soak.findings.broken == [], counts
    lost = {name: counts[name] for name in counts if name.endswith((" 502", " 504"))}
    lost |= {name: counts[name] for name in ("closed", "held") if counts[name]}
    assert lost == {}
    assert max(soak.tracker.runs.values()) <= STREAM_ATTEMPTS
    assert min(counts[f"{kind} 200"] for kind in ("stream", "once", "again")) >= MIN_SERVED


def play(seed: int, folder, upstreams: tuple[int, int], others_refuse: bool, during) -> None:
    engines, servers = upstreams
    settings = SoakSettings(
        seed, TROUBLE_S, folder / "run", callers=16, engines=engines, servers=servers
    )
    asyncio.run(play_silences(RunState(settings), others_refuse, during))


@pytest.mark.processes
class TestSilentUpstreams:
    """A request whose upstream is silent for a second gets its answer and runs once."""

    @pytest.mark.parametrize("upstreams", [(1, 1), (8, 6)])
    def test_leader(self, upstreams, tmp_path):
        """Guards against a send that is given up before another upstream can take the request."""
        play(51, tmp_path, upstreams, False, keep_cores)

    def test_all_others_refuse(self, tmp_path):
        """Guards against a send that is given up for upstreams which refuse the request."""
        play(52, tmp_path, (8, 6), True, keep_cores)

    def test_change_of_leader(self, tmp_path):
        """Guards against requests that are lost with the leader that placed them."""
        play(53, tmp_path, (1, 1), False, freeze_cores_in_turn)

    def test_entries_without_a_leader(self, tmp_path):
        """Guards against requests that are lost at entries which place them alone."""
        play(54, tmp_path, (1, 1), False, freeze_all_cores)
