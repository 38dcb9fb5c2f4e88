"""Tests of the detection of certainly dead instances."""

from laburnumrock.membership import DEAD_AFTER_S, MIN_DIGESTS, DeadInstanceDetector

DOMAINS = {"a": ["a1", "a2"], "b": ["b1", "b2", "b3"]}


def _make_detector(until_s, digests=(), own=("a1", "a2"), step_s=0.5):
    """Return a detector at `until_s`; `digests` lists (time, sender, live instances)."""
    detector = DeadInstanceDetector(DOMAINS, "a", 0.0)
    now_s = 0.0
    while now_s < until_s:
        now_s += step_s
        detector.observe_own_domain(list(own), now_s)
        for time_s, sender, live in digests:
            if now_s - step_s < time_s <= now_s:
                detector.observe_digest("b", sender, live, now_s)
    return detector


class TestDeadInstanceDetector:
    def test_silent_member_of_the_own_domain_is_dead_after_a_while(self):
        """Guards against an owner that is declared dead after one lost probe, or never."""
        assert not _make_detector(DEAD_AFTER_S - 0.5, own=["a1"]).is_dead("a2", DEAD_AFTER_S - 0.5)
        detector = _make_detector(DEAD_AFTER_S + 1, own=["a1"])
        assert detector.is_dead("a2", DEAD_AFTER_S + 1)
        assert not detector.is_dead("a1", DEAD_AFTER_S + 1)
        assert not detector.is_dead("unknown", DEAD_AFTER_S + 1)

    def test_freeze_of_this_instance_declares_no_instance_dead(self):
        """Guards against instances declared dead only because this instance was frozen."""
        detector = _make_detector(1.0)
        detector.observe_own_domain(["a1"], 60.0)
        assert not detector.is_dead("a2", 60.0)

    def test_domain_without_digests_is_unknown(self):
        """Guards against an unreachable domain whose instances are all declared dead."""
        assert not _make_detector(60.0).is_dead("b1", 60.0)
        few = [(time_s, "b2", ["b2"]) for time_s in range(1, MIN_DIGESTS)]
        assert not _make_detector(9.0, few).is_dead("b1", 9.0)
        old = [(time_s, "b2", ["b2"]) for time_s in range(1, 6)]
        assert _make_detector(9.0, old).is_dead("b1", 9.0)
        seen = [(time_s, "b2", ["b1", "b2"]) for time_s in range(1, 6)]
        assert not _make_detector(9.0, seen).is_dead("b1", 9.0)
        assert not _make_detector(60.0, old).is_dead("b1", 60.0)

    def test_one_live_report_outweighs_the_others(self):
        """Guards against trusting one side of a partitioned domain."""
        digests = [(time_s, "b2", ["b2"]) for time_s in range(1, 10)]
        assert _make_detector(9.0, digests).is_dead("b1", 9.0)
        assert not _make_detector(9.0, [*digests, (8, "b3", ["b1", "b3"])]).is_dead("b1", 9.0)
        assert not _make_detector(9.0, [*digests, (8, "b1", [])]).is_dead("b1", 9.0)
