"""State machines defined by state charts in JSON files."""

from laburnumrock.charts._chart import Chart, ChartError, load_chart

__all__ = ["Chart", "ChartError", "load_chart"]
