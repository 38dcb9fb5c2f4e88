"""Tests of the fault schedule and of the findings, and short soak runs."""

import asyncio
import random
import re
import time
from pathlib import Path

import pytest

from laburnumrock.platform.soak import (
    ACTIONS,
    Findings,
    SoakSettings,
    _run,
    make_schedule,
    run_soak,
)
from laburnumrock.platform.soak._callers import Caller
from laburnumrock.platform.soak._findings import name_planned_stop
from laburnumrock.platform.soak._run import _claim_network, _find_free_ports
from laburnumrock.platform.soak._schedule import CORE_RECOVERY_S
from laburnumrock.platform.soak._state import RunState
from laburnumrock.platform.soak._upstreams import (
    STREAM_EVENTS,
    RequestTracker,
    Upstream,
    make_event,
)
from laburnumrock.standins import FaultyProxy

# Seeds that once failed, each with the cause.
REGRESSIONS: dict[int, str] = {}


class TestSchedule:
    def test_seed_repeats(self):
        """Guards against a failed run that cannot be reproduced from its seed."""
        assert make_schedule(7, 30.0) == make_schedule(7, 30.0)
        assert make_schedule(7, 30.0) != make_schedule(8, 30.0)

    def test_every_action_is_drawn(self):
        """Guards against an action that no seed ever draws."""
        drawn = {step.action for seed in range(100) for step in make_schedule(seed, 30.0)}
        assert drawn == set(ACTIONS)

    def test_cores_fail_one_at_a_time(self):
        """Guards against findings caused by more core faults than the system must tolerate."""
        for seed in range(100):
            free_s = 0.0
            for step in make_schedule(seed, 30.0):
                if step.target.startswith("core"):
                    assert step.at_s >= free_s
                    free_s = step.at_s + step.duration_s + CORE_RECOVERY_S


class TestFindings:
    def test_fault_free_period(self):
        """Guards against time limits that are checked during a fault, or not at all."""
        findings = Findings()
        now_s = findings.started_s
        assert findings.is_fault_free_since(now_s)
        findings.record_fault("kill", 1.0)
        assert not findings.is_fault_free_since(now_s + 4.0)
        assert findings.is_fault_free_since(now_s + 6.0)


class TestCaller:
    def check(self, kind: str, body: bytes) -> list:
        findings = Findings()
        caller = Caller(1, [], findings, RequestTracker(), random.Random(1), set(), set())
        caller._check(kind, "c1-1", 200, {"server-signature": "proof"}, body)
        return findings.broken

    def test_crashing_stream_that_ends_whole(self):
        """Guards against a finding for a stream whose engine no longer crashes under its part."""
        events = [make_event("c1-1", number) for number in range(1, STREAM_EVENTS + 1)]
        assert self.check("crashing stream", b"".join(events)) == []
        assert self.check("crashing stream", b"".join(events[:-1])) != []
        assert self.check("crashing stream", b"done c1-1") != []


class TestClosedConnections:
    """A caller finds its connection closed although its whole request was sent 1 s ago."""

    def check(self, reused=False, reached=("engine0",), elapsed_s=1.0, fault="") -> list:
        findings = Findings()
        tracker = RequestTracker()
        caller = Caller(1, [], findings, tracker, random.Random(1), set(), set(), host="entry")
        tracker.reached["c1-1"] = set(reached)
        findings.record_fault("engine_crash")
        if fault:
            findings.record_fault_at(fault)
        caller._check_closed("c1-1", time.monotonic() - elapsed_s, reused)
        return findings.broken

    def test_request_that_reached_an_upstream(self):
        """Guards against a check that a fault of another upstream or a silence turns off."""
        assert self.check() != []
        assert self.check(reused=True) != []
        assert self.check(fault="engine1") != []

    def test_new_connection(self):
        """Guards against a check that misses requests which an entry has read and not sent on."""
        assert self.check(reached=()) != []

    def test_idle_connection(self):
        """Guards against entries that close connections sooner than the configuration allows."""
        assert self.check(reached=(), reused=True) != []
        stop = name_planned_stop("entry")
        assert self.check(reached=(), reused=True, fault=stop) == []
        assert self.check(reused=True, fault=stop) != []
        assert self.check(reached=(), fault=stop) != []

    def test_excuses(self):
        """Guards against findings that a fault of an involved process explains."""
        for fault in ("entry", "cores", "engine0"):
            assert self.check(fault=fault) == []
        assert self.check(elapsed_s=4.1) == []


class TestMissingResponses:
    """A caller gets no response before the deadline of its request."""

    def check(self, *faults: str) -> list:
        findings = Findings()
        caller = Caller(
            1, [], findings, RequestTracker(), random.Random(1), set(), set(), host="entry"
        )
        findings.record_fault("engine_mute")
        for fault in faults:
            findings.record_fault_at(fault)
        caller._check_held("c1-1", time.monotonic())
        return findings.broken

    def test_faults_of_upstreams(self):
        """Guards against an entry that answers nothing while an upstream is mute."""
        assert self.check() != []
        assert self.check("engine0", "server0") != []

    def test_excuses(self):
        """Guards against findings that a fault of the entry or the cores explains."""
        assert self.check("entry") == []
        assert self.check("cores") == []


class TestNetworks:
    def test_two_runs_of_a_seed(self, tmp_path):
        """Guards against concurrent runs whose nodes share addresses."""
        runs = [RunState(SoakSettings(1, 8.0, tmp_path)) for _ in range(2)]
        claims = [_claim_network(run) for run in runs]
        for claim in claims:
            claim.close()
        assert runs[0].network != runs[1].network


class _RecordingWriter:
    """Writer that records when the parts of a response were written."""

    def __init__(self):
        self.parts = []

    def is_closing(self) -> bool:
        return False

    def write(self, data: bytes) -> None:
        self.parts.append((time.monotonic(), data))

    async def drain(self) -> None:
        await asyncio.sleep(0)


def make_upstream(port: int = 1, proxy_port: int = 2) -> Upstream:
    return Upstream(
        "engine0",
        "llm",
        "zone-a",
        "127.0.0.1",
        port,
        FaultyProxy("127.0.0.1", proxy_port, port),
        Findings(),
        RequestTracker(),
        random.Random(1),
    )


class TestSilence:
    def test_write_during_a_silence(self):
        """Guards against silences that cut no response, or always at the same place."""

        async def run():
            upstream = make_upstream()
            began_s = time.monotonic()
            upstream.fall_silent(0.2)
            writers = [_RecordingWriter() for _ in range(30)]
            await asyncio.gather(*(upstream._write(one, b"id: 1\n\n") for one in writers))
            first = [one.parts[0][1] for one in writers]
            assert {b"", b"id: 1\n\n"} < set(first)
            for one in writers:
                assert b"".join(data for _, data in one.parts) == b"id: 1\n\n"
                assert one.parts[0][0] < began_s + 0.1
                assert one.parts[1][0] >= began_s + 0.2

        asyncio.run(run())

    def test_pauses_of_single_responses(self):
        """Guards against pauses that affect no response, or all of them."""

        async def run():
            upstream = make_upstream()
            upstream.pauses_responses = True
            writers = [_RecordingWriter() for _ in range(200)]
            await asyncio.gather(*(upstream._write(one, b"x") for one in writers))
            assert 0 < sum(len(one.parts) == 2 for one in writers) < 30

        asyncio.run(run())


class TestUpstream:
    def test_two_restarts_at_the_same_time(self):
        """Guards against a fault that ends with an error since another one restarted its target."""

        async def run():
            upstream = make_upstream(*_find_free_ports(2))
            await upstream.start()
            upstream.crash()
            await asyncio.gather(upstream.start(), upstream.start())
            assert upstream.incarnation == 2
            upstream.crash()

        asyncio.run(run())


@pytest.mark.processes
class TestRun:
    @pytest.mark.parametrize("seed", [1, 2, *REGRESSIONS])
    def test_guarantees_hold(self, seed, tmp_path):
        """Guards against any guarantee that a short series of faults violates."""
        findings = run_soak(SoakSettings(seed, 8.0, tmp_path / "run"))
        assert findings.broken == []
        assert findings.counts["once 200"] > 20


class TestReviewCases:
    def test_functions_of_the_soak_that_they_use(self):
        """Guards against a case of a review that cannot run, as it calls a function that is gone.

        The cases stay as they are, and nothing else runs them in CI.
        """
        folder = Path(__file__).parents[4] / "review"
        names = {
            name
            for path in folder.glob("**/*.py")
            for name in re.findall(r"\b_run\.(\w+)", path.read_text())
        }
        assert "_find_free_ports" in names
        assert [name for name in sorted(names) if not hasattr(_run, name)] == []
