"""State machine that executes statecharts.

A statechart is a JSON file in this package: ``{"initial": state, "states": {state: {"on": {event:
next state}, "entry": [action]}}}``. A state without ``on`` is final. Entry actions are names that
the code binds to functions; they run in order after the machine has entered the state.
"""

import json
from collections.abc import Callable, Mapping
from importlib import resources

from pydantic import BaseModel, ConfigDict, model_validator


class ChartError(Exception):
    """Raised for an event without a transition in the current state, or mismatched actions."""


class StateModel(BaseModel):
    """One state: its transitions, as a mapping from event to next state, and entry actions."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    on: dict[str, str] = {}
    entry: list[str] = []


class ChartModel(BaseModel):
    """Validated content of a chart file."""

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
        """Names of the entry actions of all states."""
        return {action for state in self.states.values() for action in state.entry}


class Chart:
    """State machine that executes a chart.

    Parameters
    ----------
    name : str
        Name of the chart, used in error messages.
    model : ChartModel
        Definition of the chart.
    """

    def __init__(self, name: str, model: ChartModel) -> None:
        self.name = name
        self.model = model
        self.state = model.initial
        self.actions: Mapping[str, Callable[[], object]] = {}

    @property
    def is_final(self) -> bool:
        """Whether the current state has no transitions."""
        return not self.model.states[self.state].on

    def bind(self, actions: Mapping[str, Callable[[], object]]) -> None:
        """Bind entry actions to functions and run the entry actions of the initial state.

        Parameters
        ----------
        actions : mapping from str to callable
            Function for each action name. A chart runs no actions until they are bound.

        Raises
        ------
        ChartError
            If the names are not exactly the actions of the chart.
        """
        mismatched = self.model.actions ^ actions.keys()
        if mismatched:
            raise ChartError(f"{self.name}: actions do not match: {sorted(mismatched)}")
        self.actions = actions
        self._run_entry_actions()

    def can_fire(self, event: str) -> bool:
        """Return whether the current state has a transition for an event."""
        return event in self.model.states[self.state].on

    def fire(self, event: str) -> str:
        """Perform the transition for an event.

        Parameters
        ----------
        event : str
            Name of the event.

        Returns
        -------
        str
            Name of the new state.

        Raises
        ------
        ChartError
            If the current state has no transition for the event.
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
    """Load a chart file of this package.

    Parameters
    ----------
    name : str
        File name without the ``.json`` extension.

    Returns
    -------
    Chart
        The chart in its initial state.
    """
    text = resources.files(__package__).joinpath(f"{name}.json").read_text(encoding="utf-8")
    return Chart(name, ChartModel.model_validate(json.loads(text)))
