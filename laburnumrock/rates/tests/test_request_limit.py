"""Tests of the limit that an upstream states on its requests."""

from hypothesis import given
from hypothesis import strategies as st

from laburnumrock.rates import RequestLimit

RATES = st.floats(0.5, 50.0)


class TestRequestLimit:
    @given(RATES, st.lists(st.floats(0.0, 0.4), min_size=1, max_size=400))
    def test_no_window_exceeds_the_limit(self, rate, pauses_s):
        """Guards against bursts that follow a pause, or that restart with the limit."""
        limit = RequestLimit(rate, 0.0, 0.0)
        now_s, sent_s = 0.0, []
        for pause_s in pauses_s:
            now_s += pause_s
            if limit.wait_s(now_s) <= 0:
                limit.take()
                sent_s.append(now_s)
        for first_s in sent_s:
            count = sum(first_s <= time_s < first_s + 4.0 for time_s in sent_s)
            assert count <= 4.0 * rate + limit.burst + 1e-6

    def test_nothing_is_allowed_at_first(self):
        """Guards against a new leader that sends what the earlier one has sent already."""
        limit = RequestLimit(2.0, 0.0, 10.0)
        assert limit.wait_s(10.0) == 0.5
        assert limit.wait_s(10.5) == 0.0

    def test_limit_of_zero_is_probed(self):
        """Guards against an upstream that stays unused, as no response ends its limit."""
        limit = RequestLimit(0.0, 0.0, 0.0)
        assert limit.wait_s(0.0) == 10.0

    def test_new_rate_and_share(self):
        """Guards against a lower limit that applies only once the saved requests are used up."""
        limit = RequestLimit(100.0, 0.0, 0.0)
        assert limit.wait_s(5.0) == 0.0
        limit.restate(1.0, 5.0, 5.0)
        limit.take()
        assert limit.wait_s(5.0) == 1.0
        limit.set_share(0.1, 5.0)
        assert limit.wait_s(5.0) == 10.0

    def test_response_that_ends_it(self):
        """Guards against a response that was under way when the limit was stated."""
        limit = RequestLimit(1.0, 0.0, 0.0)
        limit.restate(1.0, 7.0, 7.1)
        assert not limit.is_lifted_by(7.4)
        assert limit.is_lifted_by(7.5)
