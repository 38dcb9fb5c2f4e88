"""Histograms, statsd counters and structured logs."""

from laburnumrock.metrics._histograms import HistogramRegistry, Measure, Percentiles
from laburnumrock.metrics._logging import open_log
from laburnumrock.metrics._statsd import Counters, open_counters

__all__ = ["Counters", "HistogramRegistry", "Measure", "Percentiles", "open_counters", "open_log"]
