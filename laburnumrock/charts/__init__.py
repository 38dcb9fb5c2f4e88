"""State machines defined by statecharts in JSON files."""

from laburnumrock.charts._chart import Chart, ChartError, load_chart

__all__ = ["Chart", "ChartError", "load_chart"]
