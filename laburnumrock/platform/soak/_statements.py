"""Statements of simulated upstreams that they want no new requests, and what arrives anyway."""

import time
from collections import Counter
from dataclasses import dataclass, field

REFUSAL_GRACE_S = 0.5
"""Time after a refusal in which requests that are under way may still arrive."""


@dataclass(slots=True)
class StatedDecline:
    """Statement of one incarnation of an upstream, with the requests that reached it.

    Parameters
    ----------
    ends_s : float, optional
        Monotonic clock reading until which the upstream refuses all requests; None if it serves
        them, and says in each response that it is leaving.
    informed_s : dict of str to float
        When an entry first got a response with the statement, by host.
    arrivals : list of tuple of (float, str)
        Time of each request, and the host of the entry that sent it.
    """

    ends_s: float | None = None
    informed_s: dict[str, float] = field(default_factory=dict)
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    @property
    def refuses(self) -> bool:
        """Whether requests are refused now."""
        return self.ends_s is not None and time.monotonic() < self.ends_s

    def record(self, host: str) -> None:
        """Record a request of an entry, whose response will carry the statement."""
        now_s = time.monotonic()
        self.arrivals.append((now_s, host))
        self.informed_s.setdefault(host, now_s)

    def make_headers(self) -> dict[str, str]:
        """Return the headers that each response carries now."""
        if self.ends_s is None:
            return {"Server-Leaving": "1"}
        return {"Retry-After": f"{self.ends_s - time.monotonic():.2f}"} if self.refuses else {}

    def count_late(self, grace_s: float) -> dict[str, int]:
        """Return how many requests of each informed entry arrived after a time of grace."""
        end_s = float("inf") if self.ends_s is None else self.ends_s
        return Counter(
            host
            for arrived_s, host in self.arrivals
            if self.informed_s[host] + grace_s < arrived_s < end_s
        )
