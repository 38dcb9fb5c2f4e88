"""Histograms, statsd counters and structured logs."""

from laburnumrock.metrics._histograms import HistogramRegistry, Measure, Percentiles
from laburnumrock.metrics._log_writer import LogLimits, LogWriter, open_log_writer
from laburnumrock.metrics._logging import open_log
from laburnumrock.metrics._node_metrics import NodeMetrics
from laburnumrock.metrics._statsd import Counters, open_counters

__all__ = [
    "Counters",
    "HistogramRegistry",
    "LogLimits",
    "LogWriter",
    "Measure",
    "NodeMetrics",
    "Percentiles",
    "open_counters",
    "open_log",
    "open_log_writer",
]
