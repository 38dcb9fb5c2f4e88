"""Broken promises, and the counts that show that something was checked."""

import time
from collections import Counter
from dataclasses import dataclass, field

QUIET_S = 4.0
"""Time without a fault after which rules with a time bound hold; above the 3 s of the platform."""


@dataclass(slots=True)
class Findings:
    """What a soak saw.

    Parameters
    ----------
    started_s : float
        Clock reading at the start.
    broken : list of str
        Broken promises.
    counts : Counter
        Requests by outcome, and faults by kind.
    disturbed_s : float
        Time of the last fault, or of its end.
    """

    started_s: float = field(default_factory=time.monotonic)
    broken: list[str] = field(default_factory=list)
    counts: Counter = field(default_factory=Counter)
    disturbed_s: float = float("-inf")

    def report(self, promise: str, detail: str) -> None:
        """Record a broken promise."""
        elapsed_s = time.monotonic() - self.started_s
        self.broken.append(f"{elapsed_s:7.2f} s  {promise}: {detail}")

    def note_fault(self, kind: str, lasts_s: float = 0.0) -> None:
        """Record a fault, and until when it lasts."""
        self.counts[f"fault {kind}"] += 1
        self.disturbed_s = max(self.disturbed_s, time.monotonic() + lasts_s)

    def is_quiet_since(self, moment_s: float) -> bool:
        """Whether no fault touched the time from `QUIET_S` before a moment until now."""
        return self.disturbed_s < moment_s - QUIET_S
