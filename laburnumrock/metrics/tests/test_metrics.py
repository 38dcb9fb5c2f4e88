"""Tests of histograms and statsd counters."""

import socket

import pytest

from laburnumrock.metrics import Counters, HistogramRegistry, Measure
from laburnumrock.metrics._histograms import MAX_HISTOGRAMS


class TestHistogramRegistry:
    def test_percentiles_are_kept_apart(self):
        """Guards against values of one client account that are reported for another."""
        registry = HistogramRegistry()
        for value in range(1, 101):
            registry.record("merchant", "short", Measure.FIRST_TOKEN, value / 100)
        registry.record("archive", "short", Measure.FIRST_TOKEN, 9.0)
        summary = registry.summarize()["merchant"]["short"]["first_token"]
        assert summary.count == 100
        assert summary.p50_s == pytest.approx(0.5, rel=0.02)
        assert summary.max_s == pytest.approx(1.0, rel=0.02)

    def test_out_of_range_values_are_clamped(self):
        """Guards against out-of-range values that are lost or raise an exception."""
        registry = HistogramRegistry()
        registry.record("merchant", "short", Measure.TOTAL, 0.0)
        registry.record("merchant", "short", Measure.TOTAL, 1e9)
        assert registry.summarize()["merchant"]["short"]["total"].count == 2

    def test_number_of_histograms_is_bounded(self):
        """Guards against unbounded memory when callers supply many account names."""
        registry = HistogramRegistry()
        registry.histograms = dict.fromkeys(range(MAX_HISTOGRAMS))
        registry.record("merchant", "short", Measure.TOTAL, 1.0)
        assert len(registry.histograms) == MAX_HISTOGRAMS


class TestCounters:
    def test_without_a_server_nothing_is_sent(self):
        """Guards against an exception when statsd is not configured."""
        Counters(None).count("requests")

    def test_counter_reaches_the_server(self):
        """Guards against metric names without the configured prefix."""
        import statsd

        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(2)
            client = statsd.StatsClient("127.0.0.1", server.getsockname()[1], prefix="lr")
            Counters(client).count("requests")
            assert server.recv(100) == b"lr.requests:1|c"
