"""Tests of upstreams that state how many requests per second they take from all entries."""

import asyncio
import random
import signal
import time

import pytest

from laburnumrock.platform.soak._limits import StatedLimit
from laburnumrock.platform.soak._run import open_deployment, start_callers
from laburnumrock.platform.soak._state import RunState, SoakSettings
from laburnumrock.platform.soak._upstreams import Upstream
from laburnumrock.platform.soak.tests.core_faults import (
    freeze_cores_in_turn,
    keep_cores,
    list_cores,
)
from laburnumrock.standins import LIMIT_SETTLE_S

LIMITED_S = 14.0
LIFTED_S = 6.0
"""Time after the end of the limits within which the upstreams are in full use again."""
MIN_USE = 0.5
"""Minimum use of the limits while all upstreams of a service state one, as a share."""


async def kill_cores_in_turn(soak: RunState) -> None:
    """Kill one core after the other, so that a core leads that has just started."""
    for core in list_cores(soak):
        core.killed = True
        core.process.kill()
        await asyncio.sleep(0.5)
        core.process.start()
        core.killed = False
        await asyncio.sleep(2.5)


async def stop_all_cores(soak: RunState) -> None:
    """Freeze all cores, so that the entries place requests alone."""
    cores = list_cores(soak)
    for core in cores:
        core.process.send(signal.SIGSTOP)
    await asyncio.sleep(LIMITED_S - LIMIT_SETTLE_S - 3.0)
    for core in cores:
        core.process.send(signal.SIGCONT)


async def play_limits(soak: RunState, prefix: str, count: int, limit: float, during) -> None:
    """Let upstreams state a limit for a while, and check that it is kept, used and lifted."""
    rng = random.Random(soak.settings.seed)
    async with open_deployment(soak, rng):
        callers = start_callers(soak, rng, time.monotonic() + 60.0)
        upstreams = [one for name, one in soak.upstreams.items() if name.startswith(prefix)]
        await asyncio.sleep(2.0)
        limits = [upstream.state_limit(limit) for upstream in upstreams[:count]]
        ended_s = time.monotonic() + LIMITED_S
        await asyncio.sleep(LIMIT_SETTLE_S)
        await during(soak)
        await asyncio.sleep(ended_s - time.monotonic())
        for upstream in upstreams:
            upstream.end_limit()
        check_limits_are_kept(limits)
        if count == len(upstreams) and during is not stop_all_cores:
            taken = sum(len(one.arrivals) for one in limits)
            assert taken >= MIN_USE * count * limit * LIMITED_S
        await check_limits_are_lifted(upstreams[:count], soak)
        for caller in callers:
            caller.close()
    assert soak.findings.broken == []


def check_limits_are_kept(limits: list[StatedLimit]) -> None:
    assert all(one.informed_s for one in limits), "no entry was informed of a limit"
    for one in limits:
        most = one.count_most()
        assert most <= one.max_arrivals, f"{most} requests, {one.max_arrivals} allowed"


async def check_limits_are_lifted(upstreams: list[Upstream], soak: RunState) -> None:
    """Check that upstreams get more than their former limits again."""
    await asyncio.sleep(LIFTED_S)
    # A limit that is recorded but not stated counts the requests without another effect.
    counters = [upstream.state_limit(1e6) for upstream in upstreams]
    await asyncio.sleep(2.0)
    assert sum(len(one.arrivals) for one in counters) > 0


LOADS = pytest.mark.parametrize(
    "prefix, count, limit", [("engine", 1, 1.0), ("engine", 4, 3.0), ("server", 2, 4.0)]
)


@pytest.mark.processes
class TestStatedLimits:
    """An upstream that takes N requests per second gets no more from all entries together."""

    @LOADS
    def test_leader(self, prefix, count, limit, tmp_path):
        """Guards against a leader that places more requests on upstreams than they take."""
        soak = RunState(SoakSettings(21, LIMITED_S, tmp_path / "run", callers=32, entries=6))
        asyncio.run(play_limits(soak, prefix, count, limit, keep_cores))

    @LOADS
    @pytest.mark.parametrize("during", [freeze_cores_in_turn, kill_cores_in_turn])
    def test_change_of_leader(self, prefix, count, limit, during, tmp_path):
        """Guards against limits that are forgotten or used again with each new leader."""
        soak = RunState(SoakSettings(22, LIMITED_S, tmp_path / "run", callers=32, entries=6))
        asyncio.run(play_limits(soak, prefix, count, limit, during))

    @LOADS
    def test_entries_without_a_leader(self, prefix, count, limit, tmp_path):
        """Guards against entries that each take the whole limit while they place requests alone."""
        soak = RunState(SoakSettings(23, LIMITED_S, tmp_path / "run", callers=32, entries=6))
        asyncio.run(play_limits(soak, prefix, count, limit, stop_all_cores))


class TestCounting:
    """Requests that count against a limit of 1 a second, which was stated at 100 s."""

    def count(self, *arrivals: tuple[float, str]) -> int:
        limit = StatedLimit(1.0, 100.0, 120.0)
        limit.informed_s = {"a": 101.0, "b": 109.8}
        limit.arrivals = sorted(arrivals)
        return limit.count_most()

    def test_sum_over_entries_in_any_window(self):
        """Guards against a check that misses requests which span two fixed windows."""
        arrivals = [(104.0 + 0.5 * number, "a") for number in range(16)]
        assert self.count(*arrivals) == 8
        assert self.count((111.9, "a"), (112.1, "b"), (115.8, "a"), (116.0, "b")) == 3

    def test_first_seconds_and_uninformed_entries(self):
        """Guards against findings for requests that the limit does not cover."""
        assert self.count((102.9, "a"), (120.1, "a"), (110.2, "b")) == 0
        assert self.count((103.0, "a"), (110.4, "b")) == 1

    def test_excused_entry(self):
        """Guards against findings for an entry that was restarted."""
        limit = StatedLimit(1.0, 100.0, 120.0, {"a": 101.0}, [(104.0, "a")])
        limit.excuse("a")
        assert limit.count_most() == 0
