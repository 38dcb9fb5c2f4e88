"""Tests of the evidence that tells harmful parts of prompts from sound ones."""

import pytest

from laburnumrock.quarantine import (
    CrashedRequest,
    CrashQuarantine,
    QuarantineSettings,
    name_request,
)

LIMIT = QuarantineSettings().max_crashes
DURATION_S = QuarantineSettings().duration_s


def crash(quarantine: CrashQuarantine, *requests: str, start_s: float = 0.0) -> float:
    """Crash the upstreams of requests one after the other; each letter of a request is a part."""
    for number, parts in enumerate(requests):
        quarantine.record_crash(parts, start_s + number, start_s + number + 0.5)
    return start_s + len(requests)


class TestEvidence:
    def test_successive_crashes_lead_to_quarantine(self):
        """Guards against a part that crashes upstreams without end."""
        quarantine = CrashQuarantine(QuarantineSettings())
        now_s = crash(quarantine, *["x"] * (LIMIT - 1))
        assert quarantine.find_release_s("x", now_s) == 0.0
        now_s = crash(quarantine, "x", start_s=now_s)
        assert quarantine.find_release_s("x", now_s) == pytest.approx(DURATION_S, abs=1.0)
        assert quarantine.find_release_s("y", now_s) == 0.0

    def test_simultaneous_crashes_count_once(self):
        """Guards against a part in quarantine because many upstreams failed together."""
        quarantine = CrashQuarantine(QuarantineSettings())
        for number in range(20):
            quarantine.record_crash("x", 0.01 * number, 1.0 + 0.01 * number)
        assert quarantine.groups == []

    def test_success_clears_a_part(self):
        """Guards against sound requests that are refused since they share parts with others."""
        quarantine = CrashQuarantine(QuarantineSettings())
        now_s = 0.0
        for _ in range(5 * LIMIT):
            now_s = crash(quarantine, "ax", start_s=now_s)
            quarantine.record_success("ab")
        assert quarantine.groups == [frozenset("x")]
        assert quarantine.find_release_s("ab", now_s) == 0.0

    def test_parts_that_occur_together_are_refused_together(self):
        """Guards against a sound part in quarantine because it never occurred without another."""
        quarantine = CrashQuarantine(QuarantineSettings())
        now_s = crash(quarantine, *["abx"] * LIMIT)
        assert quarantine.groups == [frozenset("abx")]
        assert quarantine.find_release_s("ab", now_s) == 0.0
        quarantine.record_success("a")
        assert quarantine.groups == [frozenset("bx")]
        crash(quarantine, "acx", start_s=now_s)
        assert quarantine.groups == [frozenset("x")]
        assert quarantine.find_release_s("b", now_s) == 0.0

    def test_other_parts_of_the_requests_vary(self):
        """Guards against a part that is not found because no two of its requests are alike."""
        quarantine = CrashQuarantine(QuarantineSettings())
        crash(quarantine, "xab", "cxd", "efx", "xag")
        assert quarantine.groups == [frozenset("x")]

    def test_two_harmful_parts(self):
        """Guards against the second harmful part being hidden by the first."""
        quarantine = CrashQuarantine(QuarantineSettings())
        now_s = crash(quarantine, *["ax"] * LIMIT)
        quarantine.record_success("a")
        crash(quarantine, *["ay"] * LIMIT, start_s=now_s)
        quarantine.record_success("a")
        assert quarantine.list_groups() == [["x"], ["y"]]

    def test_release_and_relapse(self):
        """Guards against a part that is refused for ever, or that is as harmful after a release."""
        quarantine = CrashQuarantine(QuarantineSettings())
        now_s = crash(quarantine, *["x"] * LIMIT) + DURATION_S
        quarantine.expire(now_s - 2.0)
        assert quarantine.groups != []
        quarantine.expire(now_s)
        assert quarantine.groups == []
        crash(quarantine, "x", start_s=now_s)
        assert quarantine.groups == [frozenset("x")]

    def test_old_suspicions_end(self):
        """Guards against crashes of different days that add up to a quarantine."""
        quarantine = CrashQuarantine(QuarantineSettings())
        now_s = 0.0
        for _ in range(3 * LIMIT):
            now_s = crash(quarantine, "x", start_s=now_s) + DURATION_S
            quarantine.expire(now_s)
        assert quarantine.suspects == {}

    def test_number_of_suspects_is_limited(self):
        """Guards against memory that grows with the number of parts, and a harmful part lost."""
        quarantine = CrashQuarantine(QuarantineSettings(max_suspects=50))
        now_s = crash(quarantine, *["x"] * LIMIT)
        for number in range(500):
            quarantine.record_crash([f"part{number}"], now_s + number, now_s + number)
        assert len(quarantine.suspects) == 50
        assert quarantine.groups == [frozenset("x")]

    def test_restore(self):
        """Guards against another dispatcher that forgets a group or prolongs its quarantine."""
        first = CrashQuarantine(QuarantineSettings())
        crash(first, *["abx"] * LIMIT, *["y"] * LIMIT)
        second = CrashQuarantine(QuarantineSettings())
        second.restore(first.list_groups(), 100.0)
        assert second.list_groups() == first.list_groups()
        release_s = second.find_release_s("y", 100.0)
        second.restore([["y"]], 150.0)
        assert second.list_groups() == [["y"]]
        assert second.find_release_s("y", 100.0) == release_s


R, S, T = (name_request(letter) for letter in "rst")
"""Names of three requests."""


class TestRepeatedRequests:
    """Requests that come again, among sound ones that share the parts of their prompts."""

    def test_three_crashes_lead_to_quarantine(self):
        """Guards against a request without a prompt that crashes upstreams without end."""
        quarantine = CrashQuarantine(QuarantineSettings())
        now_s = crash(quarantine, [R], [R])
        assert quarantine.find_release_s([R], now_s) == 0.0
        assert quarantine.find_suspects([R]) == {R}
        now_s = crash(quarantine, [R], start_s=now_s)
        assert quarantine.find_release_s([R], now_s) == pytest.approx(DURATION_S, abs=1.0)
        assert quarantine.is_quarantined_request([R])
        assert not quarantine.is_quarantined_request([S])

    def test_repeats_that_arrive_together(self):
        """Guards against a burst of repeats that counts as one crash, so that more are sent."""
        quarantine = CrashQuarantine(QuarantineSettings())
        for number, upstream in enumerate(("u1", "u1", "u2")):
            quarantine.record_crash([R], 0.01 * number, 0.5 + 0.01 * number, upstream=upstream)
            assert quarantine.find_suspects([R]) == ({R} if upstream == "u2" else frozenset())
        quarantine.record_crash([R], 0.7, 0.8, upstream="u3")
        assert quarantine.groups == [frozenset({R})]

    def test_frequent_request_while_all_upstreams_fail_together(self):
        """Guards against a sound request in quarantine as it was on all upstreams that failed."""
        quarantine = CrashQuarantine(QuarantineSettings())
        for number in range(20):
            quarantine.record_crash([R], 0.01 * number, 1.0, upstream=f"u{number}")
        assert quarantine.groups == []
        quarantine.record_success([R])
        assert quarantine.find_suspects([R]) == frozenset()

    def test_shared_parts_stay_in_use(self):
        """Guards against sound requests that are refused, or held for trials, beside a repeat."""
        quarantine = CrashQuarantine(QuarantineSettings())
        crash(quarantine, *[[R, "a", "b"]] * 6)
        assert quarantine.groups == [frozenset({R})]
        assert quarantine.find_suspects([S, "a", "b"]) == frozenset()

    def test_other_requests_on_the_crashed_upstreams(self):
        """Guards against parts under suspicion since sound requests broke beside the repeat."""
        quarantine = CrashQuarantine(QuarantineSettings())
        for number, other in enumerate((S, T, S)):
            quarantine.record_crash([other, "a"], number + 0.1, number + 0.50)
            quarantine.record_crash([R, "a"], number, number + 0.51)
        assert quarantine.groups == [frozenset({R})]
        assert quarantine.find_suspects([T, "a"]) == frozenset()

    def test_part_under_different_requests(self):
        """Guards against a harmful part that passes for a number of harmful requests."""
        quarantine = CrashQuarantine(QuarantineSettings())
        crash(quarantine, [R, "x"], [R, "x"], [S, "x"])
        assert quarantine.find_suspects(["x"]) == {"x"}
        crash(quarantine, [S, "x"], start_s=10.0)
        assert quarantine.groups == [frozenset("x")]

    def test_success_clears_a_request(self):
        """Guards against a sound request in quarantine after crashes that had other causes."""
        quarantine = CrashQuarantine(QuarantineSettings())
        now_s = crash(quarantine, [R], [R])
        quarantine.record_success([R])
        crash(quarantine, [R], [R], start_s=now_s)
        assert quarantine.groups == []


class TestHandOver:
    """Evidence that nodes tell each other."""

    def test_larger_count_replaces_a_smaller_one(self):
        """Guards against a request that each node lets crash as many upstreams anew."""
        teller, listener = (CrashQuarantine(QuarantineSettings()) for _ in range(2))
        now_s = crash(teller, [R], [R], [R, "a"])
        crash(listener, [R])
        (report,) = teller.list_crashed_requests(now_s)
        assert listener.merge(report, now_s)
        assert not listener.merge(report, now_s)
        assert listener.groups == [frozenset({R})]

    def test_only_requests_are_handed_over(self):
        """Guards against parts whose successes at other nodes are not known."""
        quarantine = CrashQuarantine(QuarantineSettings())
        crash(quarantine, "x", "x")
        assert quarantine.list_crashed_requests(2.0) == []
        assert not quarantine.merge(CrashedRequest("x", 9, 0.0), 2.0)

    def test_groups_of_the_leader_keep_unshared_evidence(self):
        """Guards against evidence of a time without a leader that the first view deletes."""
        quarantine = CrashQuarantine(QuarantineSettings())
        quarantine.merge(CrashedRequest(R, 3, 0.0), 1.0)
        quarantine.restore([["x"]], 1.0)
        assert sorted(map(sorted, quarantine.groups)) == [[R], ["x"]]
        quarantine.mark_shared()
        quarantine.restore([], 2.0)
        assert quarantine.groups == []

    def test_groups_of_the_leader_keep_suspects(self):
        """Guards against counts that start at zero with each request that the leader finds."""
        quarantine = CrashQuarantine(QuarantineSettings())
        crash(quarantine, [S], [S])
        quarantine.restore([[R]], 2.0)
        assert quarantine.find_suspects([S]) == {S}
