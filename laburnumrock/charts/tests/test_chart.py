"""Tests of the state machine and the chart files."""

import pytest
from pydantic import ValidationError

from laburnumrock.charts import Chart, ChartError, load_chart
from laburnumrock.charts._chart import ChartModel


class TestChart:
    def test_unknown_event_is_refused(self):
        """Guards against an event that is silently ignored in a state without its transition."""
        chart = load_chart("instance")
        with pytest.raises(ChartError, match="'handed_over' in state 'starting'"):
            chart.fire("handed_over")

    def test_unknown_target_is_refused(self):
        """Guards against a misspelled state in a chart file."""
        with pytest.raises(ValidationError, match="unknown states"):
            ChartModel.model_validate({"initial": "a", "states": {"a": {"on": {"x": "b"}}}})

    def test_entry_actions_run_in_order(self):
        """Guards against actions that do not run in the order of the chart file."""
        states = {
            "a": {"on": {"go": "b"}, "entry": ["first"]},
            "b": {"entry": ["second", "third"]},
        }
        chart = Chart("x", ChartModel.model_validate({"initial": "a", "states": states}))
        called = []
        names = ("first", "second", "third")
        chart.bind({name: lambda name=name: called.append((name, chart.state)) for name in names})
        chart.fire("go")
        assert called == [("first", "a"), ("second", "b"), ("third", "b")]
        assert chart.is_final

    def test_actions_must_match_the_chart(self):
        """Guards against a misspelled action that fails only when its state is entered."""
        model = ChartModel.model_validate({"initial": "a", "states": {"a": {"entry": ["first"]}}})
        with pytest.raises(ChartError, match="first.*frist"):
            Chart("x", model).bind({"frist": print})


class TestInstanceChart:
    def test_planned_stop_passes_every_step(self):
        """Guards against a graceful shutdown that skips a state, such as the handover."""
        chart: Chart = load_chart("instance")
        events = ["started", "stop", "balancer_informed", "requests_ended", "handed_over"]
        states = [chart.fire(event) for event in events]
        assert states == ["ready", "unready", "finishing", "handing_over", "stopped"]
