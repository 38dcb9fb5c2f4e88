"""Tests of the chart interpreter and the charts."""

import pytest
from pydantic import ValidationError

from laburnumrock.charts import Chart, ChartError, load_chart
from laburnumrock.charts._chart import ChartModel


class TestChart:
    def test_unknown_event_is_refused(self):
        """Guards against an event that is ignored without notice."""
        chart = load_chart("instance")
        with pytest.raises(ChartError, match="'handed_over' in state 'starting'"):
            chart.fire("handed_over")

    def test_unknown_target_is_refused(self):
        """Guards against a misspelt state in a chart file."""
        with pytest.raises(ValidationError, match="unknown states"):
            ChartModel.model_validate({"initial": "a", "states": {"a": {"on": {"x": "b"}}}})


class TestInstanceChart:
    def test_planned_stop_passes_every_step(self):
        """Guards against a stop that skips the hand-over."""
        chart: Chart = load_chart("instance")
        events = ["started", "stop", "balancer_informed", "requests_ended", "handed_over"]
        states = [chart.fire(event) for event in events]
        assert states == ["ready", "unready", "finishing", "handing_over", "stopped"]
