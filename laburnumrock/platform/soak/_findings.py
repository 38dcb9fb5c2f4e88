"""Violated guarantees, and counts that show how much was checked."""

import time
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

FAULT_FREE_S = 4.0
"""Time without a fault after which guarantees with a time limit are checked.

It exceeds the 3 s that the platform allows.
"""
CORES = "cores"
"""Name under which the faults of all cores are recorded."""


def name_planned_stop(host: str) -> str:
    """Return the name under which the planned stops of an entry are recorded."""
    return f"planned stop of {host}"


@dataclass(slots=True)
class Findings:
    """Observations of a soak run.

    Parameters
    ----------
    started_s : float
        Monotonic clock reading at the start.
    broken : list of str
        Descriptions of the violated guarantees, with the time and the detail.
    counts : Counter
        Number of requests by outcome, and of faults by kind.
    last_fault_end_s : float
        Time at which the last fault ended or will end.
    fault_ends_s : dict of str to float
        The same for each entry, by host, for each upstream, by name, and for all cores together.
    """

    started_s: float = field(default_factory=time.monotonic)
    broken: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    last_fault_end_s: float = float("-inf")
    fault_ends_s: dict[str, float] = field(default_factory=dict)

    def report(self, guarantee: str, detail: str) -> None:
        """Record a violated guarantee."""
        elapsed_s = time.monotonic() - self.started_s
        self.broken.append(f"{elapsed_s:7.2f} s  {guarantee}: {detail}")

    def record_fault(self, kind: str, duration_s: float = 0.0) -> None:
        """Record a fault that starts now and lasts for a given time."""
        self.counts[f"fault {kind}"] += 1
        self.last_fault_end_s = max(self.last_fault_end_s, time.monotonic() + duration_s)

    def record_fault_at(self, target: str, duration_s: float = 0.0) -> None:
        """Record that a fault affects an entry, an upstream or the cores for a given time."""
        ended_s = self.fault_ends_s.get(target, float("-inf"))
        self.fault_ends_s[target] = max(ended_s, time.monotonic() + duration_s)

    def is_fault_free_since(self, moment_s: float) -> bool:
        """Whether there was no fault from `FAULT_FREE_S` before a moment until now."""
        return self.last_fault_end_s < moment_s - FAULT_FREE_S

    def are_fault_free_since(self, targets: Iterable[str], moment_s: float) -> bool:
        """Whether the same holds for these targets; silences and planned stops are no faults."""
        ended_s = max(self.fault_ends_s.get(target, float("-inf")) for target in targets)
        return ended_s < moment_s - FAULT_FREE_S
