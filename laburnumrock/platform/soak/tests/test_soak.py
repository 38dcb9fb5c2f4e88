"""Schedule of the soak, and a short run of it."""

import pytest

from laburnumrock.platform.soak import ACTIONS, Findings, SoakSettings, make_schedule, run_soak
from laburnumrock.platform.soak._run import _claim_network, _Soak
from laburnumrock.platform.soak._schedule import CORE_RECOVERY_S

# Seeds that failed once, each with its cause.
REGRESSIONS: dict[int, str] = {}


class TestSchedule:
    def test_seed_repeats(self):
        """Guards against a failed seed that cannot be run again."""
        assert make_schedule(7, 30.0) == make_schedule(7, 30.0)
        assert make_schedule(7, 30.0) != make_schedule(8, 30.0)

    def test_every_action_is_drawn(self):
        """Guards against a kind of fault that no seed ever has."""
        drawn = {step.action for seed in range(100) for step in make_schedule(seed, 30.0)}
        assert drawn == set(ACTIONS)

    def test_cores_fail_one_at_a_time(self):
        """Guards against findings from losses that the system need not bear."""
        for seed in range(100):
            free_s = 0.0
            for step in make_schedule(seed, 30.0):
                if step.target.startswith("core"):
                    assert step.at_s >= free_s
                    free_s = step.at_s + step.lasts_s + CORE_RECOVERY_S


class TestFindings:
    def test_quiet(self):
        """Guards against time bounds that are checked during a fault, or never."""
        findings = Findings()
        now_s = findings.started_s
        assert findings.is_quiet_since(now_s)
        findings.note_fault("kill", 1.0)
        assert not findings.is_quiet_since(now_s + 4.0)
        assert findings.is_quiet_since(now_s + 6.0)


class TestNetworks:
    def test_two_runs_of_a_seed(self, tmp_path):
        """Guards against two runs beside each other whose nodes share addresses."""
        runs = [_Soak(SoakSettings(1, 8.0, tmp_path)) for _ in range(2)]
        guards = [_claim_network(run) for run in runs]
        for guard in guards:
            guard.close()
        assert runs[0].network != runs[1].network


@pytest.mark.processes
class TestRun:
    @pytest.mark.parametrize("seed", [1, 2, *REGRESSIONS])
    def test_promises_hold(self, seed, tmp_path):
        """Guards against any promise that a short series of faults breaks."""
        findings = run_soak(SoakSettings(seed, 8.0, tmp_path / "run"))
        assert findings.broken == []
        assert findings.counts["once 200"] > 20
