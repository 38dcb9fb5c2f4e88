"""Requests that crash each upstream that begins to run them."""

import random
from dataclasses import dataclass, field

FIRST_PART = "a1"
"""Part with which all prompts begin."""
SUBJECT_PARTS = ("b1", "b2", "b3", "b4", "b5", "b6")
CONTACT_S = 3.0
"""Time after the last counted crash from which such requests must be known."""
MAX_ARRIVALS = 3
"""Number of requests that may reach upstreams after that."""


@dataclass(slots=True)
class CrashRecord:
    """Arrivals of requests that crash upstreams, and the crashes.

    Parameters
    ----------
    counted_crashes : int
        Number of the crash after which such requests must be known.
    arrivals_s : list of float
        Monotonic clock readings at which the requests reached upstreams.
    crashes_s : list of float
        Monotonic clock readings of the crashes.
    """

    counted_crashes: int
    arrivals_s: list[float] = field(default_factory=list)
    crashes_s: list[float] = field(default_factory=list)

    def clear(self) -> None:
        """Forget all arrivals and crashes."""
        self.arrivals_s.clear()
        self.crashes_s.clear()

    def find_known_s(self) -> float:
        """Return the time from which such requests must be known; infinity if there is none."""
        if len(self.crashes_s) < self.counted_crashes:
            return float("inf")
        return self.crashes_s[self.counted_crashes - 1] + CONTACT_S

    def list_late_arrivals(self) -> list[float]:
        """Return the arrivals at a time at which such requests must be known."""
        known_s = self.find_known_s()
        return [arrival_s for arrival_s in self.arrivals_s if arrival_s > known_s]


@dataclass(slots=True)
class CrashingPrompts:
    """Part of prompts that crashes each engine that begins to answer it.

    Parameters
    ----------
    part : str
        The part; empty while there is none.
    record : CrashRecord
        Arrivals and crashes of requests with the part.
    """

    part: str = ""
    record: CrashRecord = field(default_factory=lambda: CrashRecord(5))

    def start(self, part: str) -> None:
        """Let a new part crash engines."""
        self.part = part
        self.record.clear()

    def matches(self, prefix: str | None) -> bool:
        """Return whether a prompt contains the part."""
        return bool(self.part) and f",{self.part}:" in f",{prefix}"


@dataclass(slots=True)
class RepeatedRequest:
    """Request that comes again and again, and crashes each upstream that begins to run it.

    Parameters
    ----------
    kind : str
        Kind of the request, the first segment of its path; empty while there is none.
    name : str
        Last segment of its path.
    headers : dict of str to str
        Headers of the request other than those of each attempt.
    record : CrashRecord
        Its arrivals and crashes.
    """

    kind: str = ""
    name: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    record: CrashRecord = field(default_factory=lambda: CrashRecord(3))

    def start(self, kind: str, name: str) -> None:
        """Let a new request crash upstreams.

        Notes
        -----
        The prompt of a stream shares its first parts with those of other streams.
        """
        self.kind = kind
        self.name = name
        self.record.clear()
        self.headers.clear()
        if kind == "stream":
            self.headers["Token-Usage"] = "5000,400"
            self.headers["Prefix-Hash"] = f"{FIRST_PART}:40,{SUBJECT_PARTS[0]}:200,{name}:5000"

    def stop(self) -> None:
        """Let the request crash no more upstreams."""
        self.kind = ""

    def matches(self, line: str) -> bool:
        """Return whether a request line is that of the request."""
        return bool(self.kind) and f" {self.target} " in line

    @property
    def target(self) -> str:
        """Path of the request."""
        return f"/{self.kind}/{self.name}"


def make_prefix(source: random.Random, tokens: int, crashing_part: str = "") -> str:
    """Return the parts of a prompt: a common one, a subject, and one of the request's own."""
    parts = [f"{FIRST_PART}:40", f"{source.choice(SUBJECT_PARTS)}:200"]
    if crashing_part:
        parts.insert(source.randint(0, len(parts)), f"{crashing_part}:300")
    return ",".join([*parts, f"{source.getrandbits(32):08x}:{tokens}"])
