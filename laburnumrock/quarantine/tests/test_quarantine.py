"""Tests of the evidence that tells harmful parts of prompts from sound ones."""

import pytest

from laburnumrock.quarantine import CrashQuarantine, QuarantineSettings

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
