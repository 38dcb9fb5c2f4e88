"""Parts of prompts, one of which may crash the engines that answer it."""

import random
import time
from dataclasses import dataclass, field

FIRST_PART = "a1"
"""Part with which all prompts begin."""
SUBJECT_PARTS = ("b1", "b2", "b3", "b4", "b5", "b6")
CONTACT_S = 3.0
"""Time after the fifth crash from which at most `MAX_ARRIVALS` requests may reach engines."""
COUNTED_CRASHES = 5
MAX_ARRIVALS = 3


@dataclass(slots=True)
class CrashingPrompts:
    """Part of prompts that crashes each engine that begins to answer it.

    Parameters
    ----------
    part : str
        The part; empty while there is none.
    arrivals_s : list of float
        Monotonic clock readings at which requests with the part reached upstreams.
    crashes_s : list of float
        Monotonic clock readings of the crashes.
    """

    part: str = ""
    arrivals_s: list[float] = field(default_factory=list)
    crashes_s: list[float] = field(default_factory=list)

    def start(self, part: str) -> None:
        """Let a new part crash engines."""
        self.part = part
        self.arrivals_s.clear()
        self.crashes_s.clear()

    def record_arrival(self, request_id: str, prefix: str | None) -> bool:
        """Record that a request reached an upstream, and return whether it crashes the upstream."""
        if not self.part or f",{self.part}:" not in f",{prefix}":
            return False
        self.arrivals_s.append(time.monotonic())
        return True

    def list_late_arrivals(self) -> list[float]:
        """Return the arrivals later than `CONTACT_S` after the fifth crash."""
        if len(self.crashes_s) < COUNTED_CRASHES:
            return []
        limit_s = self.crashes_s[COUNTED_CRASHES - 1] + CONTACT_S
        return [arrival_s for arrival_s in self.arrivals_s if arrival_s > limit_s]


def make_prefix(source: random.Random, tokens: int, crashing_part: str = "") -> str:
    """Return the parts of a prompt: a common one, a subject, and one of the request's own."""
    parts = [f"{FIRST_PART}:40", f"{source.choice(SUBJECT_PARTS)}:200"]
    if crashing_part:
        parts.insert(source.randint(0, len(parts)), f"{crashing_part}:300")
    return ",".join([*parts, f"{source.getrandbits(32):08x}:{tokens}"])
