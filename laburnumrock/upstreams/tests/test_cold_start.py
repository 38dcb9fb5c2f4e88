"""Tests of slow start."""

import pytest

from laburnumrock.upstreams import SlowStartLimiter, UpstreamState


def make_limiter(limit=16):
    limiter = SlowStartLimiter(max_permits=16)
    limiter.observe(1, UpstreamState.READY)
    while limiter.limit < limit:
        limiter.record_finish(0.1, 0.1)
    return limiter


class TestSlowStartLimiter:
    def test_starts_at_one_and_doubles_per_round(self):
        """Guards against full load on an upstream that may be cold."""
        limiter = make_limiter(1)
        sizes = []
        for _ in range(5):
            sizes.append(limiter.limit)
            for _ in range(limiter.limit):
                limiter.record_finish(0.1, 0.1)
        assert sizes == [1, 2, 4, 8, 16]
        assert limiter.limit == 16
        assert limiter.admits(15)
        assert not limiter.admits(16)

    @pytest.mark.parametrize(
        "trigger",
        [
            lambda limiter: limiter.observe(2, UpstreamState.READY),
            lambda limiter: limiter.observe(1, UpstreamState.COLD),
            lambda limiter: limiter.record_refusal(),
            lambda limiter: limiter.record_finish(5.0, 1.0),
        ],
        ids=["restart", "announced", "refusal", "slow"],
    )
    def test_resets_when_cold(self, trigger):
        """Guards against a high limit for an upstream that became cold without announcing it."""
        limiter = make_limiter()
        trigger(limiter)
        assert limiter.limit == 1

    def test_scheduling_noise_does_not_reset(self):
        """Guards against resets when a prediction of milliseconds is missed by milliseconds."""
        limiter = make_limiter()
        limiter.record_finish(0.5, 0.01)
        assert limiter.limit == 16

    def test_does_not_grow_while_announced_cold(self):
        """Guards against raising the limit for requests that began before the cold start."""
        limiter = make_limiter()
        limiter.observe(1, UpstreamState.COLD)
        limiter.record_finish(0.1, 0.1)
        assert limiter.limit == 1
