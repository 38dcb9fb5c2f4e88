"""Tests of the detection of times in which a process does not run."""

from laburnumrock.periodic import StallDetector


class TestStallDetector:
    def test_input_is_late_after_a_stall(self):
        """Guards against input that waited during a freeze and counts as new."""
        now_s = 100.0
        stalls = StallDetector(0.8, 1.0, lambda: now_s)
        for _ in range(20):
            now_s += 0.1
            assert not stalls.may_be_late()
            stalls.record_tick()
        now_s += 3.0
        assert stalls.may_be_late()
        stalls.record_tick()
        now_s += 0.5
        stalls.record_tick()
        assert stalls.may_be_late()
        now_s += 0.6
        stalls.record_tick()
        assert not stalls.may_be_late()

    def test_slow_ticks_are_no_stall(self):
        """Guards against orders that are refused because the core is busy."""
        now_s = 100.0
        stalls = StallDetector(0.8, 1.0, lambda: now_s)
        now_s += 0.7
        stalls.record_tick()
        assert not stalls.may_be_late()
