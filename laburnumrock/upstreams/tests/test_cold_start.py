"""Tests of the cold-start gate."""

import pytest

from laburnumrock.upstreams import SlowStartLimiter, UpstreamState


def make_gate(limit=16):
    gate = SlowStartLimiter(max_permits=16)
    gate.observe(1, UpstreamState.READY)
    while gate.limit < limit:
        gate.record_finish(0.1, 0.1)
    return gate


class TestColdStartGate:
    def test_starts_at_one_and_doubles_per_round(self):
        """Guards against a full load on an upstream that has proved nothing."""
        gate = make_gate(1)
        sizes = []
        for _ in range(5):
            sizes.append(gate.limit)
            for _ in range(gate.limit):
                gate.record_finish(0.1, 0.1)
        assert sizes == [1, 2, 4, 8, 16]
        assert gate.limit == 16
        assert gate.admits(15)
        assert not gate.admits(16)

    @pytest.mark.parametrize(
        "turn",
        [
            lambda gate: gate.observe(2, UpstreamState.READY),
            lambda gate: gate.observe(1, UpstreamState.COLD),
            lambda gate: gate.record_refusal(),
            lambda gate: gate.record_finish(5.0, 1.0),
        ],
        ids=["restart", "announced", "refusal", "slow"],
    )
    def test_falls_back(self, turn):
        """Guards against more load on an upstream that has turned cold without a word."""
        gate = make_gate()
        turn(gate)
        assert gate.limit == 1

    def test_noise_is_no_evidence_of_a_cold_start(self):
        """Guards against fallbacks when a prediction of milliseconds is missed by milliseconds."""
        gate = make_gate()
        gate.record_finish(0.5, 0.01)
        assert gate.limit == 16

    def test_does_not_grow_while_announced_cold(self):
        """Guards against growth on the finish of requests from before the cold start."""
        gate = make_gate()
        gate.observe(1, UpstreamState.COLD)
        gate.record_finish(0.1, 0.1)
        assert gate.limit == 1
