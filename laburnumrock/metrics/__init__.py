"""Histograms, counters and structured logs."""

from laburnumrock._lazy import make_lazy_getattr

_MODULES = {
    "Counters": "_statsd",
    "HistogramRegistry": "_histograms",
    "LogLimits": "_log_writer",
    "LogWriter": "_log_writer",
    "Measure": "_histograms",
    "NodeMetrics": "_node_metrics",
    "Percentiles": "_histograms",
    "open_counters": "_statsd",
    "open_log": "_logging",
    "open_log_writer": "_log_writer",
}

__all__ = list(_MODULES)
__getattr__ = make_lazy_getattr(__name__, _MODULES)
