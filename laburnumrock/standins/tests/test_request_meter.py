"""Tests of the meter of requests beyond a stated limit."""

from laburnumrock.standins._request_meter import RequestMeter


class TestRequestMeter:
    def count(self, arrivals_s: list[float]) -> int:
        meter = RequestMeter()
        meter.set_limit(1.0, 10.0)
        for now_s in arrivals_s:
            meter.record(now_s)
        return meter.excesses

    def test_window(self):
        """Guards against a meter that misses an excess, or finds one where there is none."""
        assert self.count([13.0 + 0.3 * number for number in range(11)]) == 0
        assert self.count([13.0 + 0.3 * number for number in range(12)]) == 1
        assert self.count([13.0 + 0.4 * number for number in range(50)]) == 0

    def test_first_seconds(self):
        """Guards against counting what was sent before the limit was known."""
        assert self.count([10.0 + 0.01 * number for number in range(290)]) == 0
