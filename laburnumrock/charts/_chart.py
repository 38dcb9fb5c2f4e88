"""Interpreter of state charts.

A chart is a JSON file of this package: ``{"initial": state, "states": {state: {"on": {event:
next state}, "entry": [action]}}}``. A state without ``on`` is final. The entry actions of a state
run in order after the chart has entered it; they are names that the code binds to functions.
"""

import json
from collections.abc import Callable, Mapping
from importlib import resources

from pydantic import BaseModel, ConfigDict, model_validator


class ChartError(Exception):
    """An event that the present state does not allow."""


class StateModel(BaseModel):
    """One state, its transitions from event to next state, and its entry actions."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    on: dict[str, str] = {}
    entry: list[str] = []


class ChartModel(BaseModel):
    """Validated chart file."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    initial: str
    states: dict[str, StateModel]

    @model_validator(mode="after")
    def _check_targets(self) -> "ChartModel":
        targets = {target for state in self.states.values() for target in state.on.values()}
        unknown = (targets | {self.initial}) - self.states.keys()
        if unknown:
            raise ValueError(f"unknown states: {sorted(unknown)}")
        return self

    @property
    def actions(self) -> set[str]:
        """Names of all entry actions."""
        return {action for state in self.states.values() for action in state.entry}


class Chart:
    """State machine that follows a chart.

    Parameters
    ----------
    name : str
        Name of the chart, for errors.
    model : ChartModel
        The chart.
    """

    def __init__(self, name: str, model: ChartModel) -> None:
        self.name = name
        self.model = model
        self.state = model.initial
        self.actions: Mapping[str, Callable[[], object]] = {}

    @property
    def is_final(self) -> bool:
        """Whether the present state has no transitions."""
        return not self.model.states[self.state].on

    def bind(self, actions: Mapping[str, Callable[[], object]]) -> None:
        """Set the functions that entry actions call, and run those of the initial state.

        Parameters
        ----------
        actions : mapping from str to callable
            Function by name of the action. An unbound chart runs no actions.

        Raises
        ------
        ChartError
            If a name is missing, or is no action of the chart.
        """
        different = self.model.actions ^ actions.keys()
        if different:
            raise ChartError(f"{self.name}: actions do not match: {sorted(different)}")
        self.actions = actions
        self._run_entry_actions()

    def can_fire(self, event: str) -> bool:
        """Whether the present state has a transition for an event."""
        return event in self.model.states[self.state].on

    def fire(self, event: str) -> str:
        """Follow the transition of an event.

        Parameters
        ----------
        event : str
            Name of the event.

        Returns
        -------
        str
            The new state.

        Raises
        ------
        ChartError
            If the present state has no transition for the event.
        """
        if not self.can_fire(event):
            raise ChartError(f"{self.name}: no transition for {event!r} in state {self.state!r}")
        self.state = self.model.states[self.state].on[event]
        self._run_entry_actions()
        return self.state

    def _run_entry_actions(self) -> None:
        if self.actions:
            for name in self.model.states[self.state].entry:
                self.actions[name]()


def load_chart(name: str) -> Chart:
    """Load a chart of this package.

    Parameters
    ----------
    name : str
        File name without its ending.

    Returns
    -------
    Chart
        The chart in its initial state.
    """
    text = resources.files(__package__).joinpath(f"{name}.json").read_text(encoding="utf-8")
    return Chart(name, ChartModel.model_validate(json.loads(text)))
