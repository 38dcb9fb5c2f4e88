"""Tests of the decision who is certainly dead."""

from laburnumrock.membership import DEAD_FOR_S, DIGESTS_NEEDED, DeadInstanceDetector

DOMAINS = {"a": ["a1", "a2"], "b": ["b1", "b2", "b3"]}


def _watch(until_s, digests=(), own=("a1", "a2"), step_s=0.5):
    """Return a watch after `until_s`; `digests` holds times, senders and live lists."""
    watch = DeadInstanceDetector(DOMAINS, "a", 0.0)
    now_s = 0.0
    while now_s < until_s:
        now_s += step_s
        watch.observe_own_domain(list(own), now_s)
        for time_s, sender, live in digests:
            if now_s - step_s < time_s <= now_s:
                watch.observe_digest("b", sender, live, now_s)
    return watch


class TestDeathWatch:
    def test_silent_member_of_the_own_domain_is_dead_after_a_while(self):
        """Guards against an owner declared dead by one lost probe, and one never declared."""
        assert not _watch(DEAD_FOR_S - 0.5, own=["a1"]).is_dead("a2", DEAD_FOR_S - 0.5)
        watch = _watch(DEAD_FOR_S + 1, own=["a1"])
        assert watch.is_dead("a2", DEAD_FOR_S + 1)
        assert not watch.is_dead("a1", DEAD_FOR_S + 1)
        assert not watch.is_dead("unknown", DEAD_FOR_S + 1)

    def test_own_freeze_declares_nobody_dead(self):
        """Guards against deaths that only the gap in the own observation suggests."""
        watch = _watch(1.0)
        watch.observe_own_domain(["a1"], 60.0)
        assert not watch.is_dead("a2", 60.0)

    def test_domain_without_digests_is_unknown(self):
        """Guards against a cut off domain whose instances all count as dead."""
        assert not _watch(60.0).is_dead("b1", 60.0)
        few = [(time_s, "b2", ["b2"]) for time_s in range(1, DIGESTS_NEEDED)]
        assert not _watch(9.0, few).is_dead("b1", 9.0)
        old = [(time_s, "b2", ["b2"]) for time_s in range(1, 6)]
        assert _watch(9.0, old).is_dead("b1", 9.0)
        seen = [(time_s, "b2", ["b1", "b2"]) for time_s in range(1, 6)]
        assert not _watch(9.0, seen).is_dead("b1", 9.0)
        assert not _watch(60.0, old).is_dead("b1", 60.0)

    def test_one_live_report_outweighs_the_others(self):
        """Guards against the view of one side of a split domain."""
        digests = [(time_s, "b2", ["b2"]) for time_s in range(1, 10)]
        assert _watch(9.0, digests).is_dead("b1", 9.0)
        assert not _watch(9.0, [*digests, (8, "b3", ["b1", "b3"])]).is_dead("b1", 9.0)
        assert not _watch(9.0, [*digests, (8, "b1", [])]).is_dead("b1", 9.0)
