"""State charts in JSON files, and their interpreter."""

from laburnumrock.charts._chart import Chart, ChartError, load_chart

__all__ = ["Chart", "ChartError", "load_chart"]
