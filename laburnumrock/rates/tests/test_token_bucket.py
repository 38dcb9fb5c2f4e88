"""Tests of the token bucket."""

from laburnumrock.rates import TokenBucket


class TestTokenBucket:
    def test_mean_rate_holds_for_amounts_over_the_burst(self):
        """Guards against a large amount that is never allowed, or that is not paid back."""
        bucket = TokenBucket(10.0, 5.0, 0.0)
        assert bucket.wait_s(25.0, 0.0) == 0.0
        bucket.take(25.0)
        assert bucket.wait_s(1.0, 0.0) == 2.1
        assert bucket.wait_s(1.0, 2.1) == 0.0

    def test_clock_that_steps_back(self):
        """Guards against units that are added twice for the same time."""
        bucket = TokenBucket(1.0, 5.0, 10.0)
        bucket.take(5.0)
        bucket.refill(11.0)
        bucket.refill(10.0)
        bucket.refill(11.0)
        assert bucket.level == 1.0
