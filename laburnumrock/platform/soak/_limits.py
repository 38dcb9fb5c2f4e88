"""Limits that simulated upstreams state on their requests, and the requests beyond them."""

import time
from dataclasses import dataclass, field

from laburnumrock.standins import LIMIT_SETTLE_S, LIMIT_WINDOW_S, max_limited_requests

KNOWN_S = 0.5
"""Age of the first response with the limit from which an entry counts as informed."""


@dataclass(slots=True)
class StatedLimit:
    """Limit of one incarnation of an upstream, with the requests that reached it.

    Parameters
    ----------
    requests_per_s : float
        Requests per second that the upstream takes from all entries together.
    stated_s : float
        Monotonic clock reading from which the limit is stated.
    ended_s : float
        Monotonic clock reading until which it is stated.
    informed_s : dict of str to float
        When an entry first got a response with the limit, by host.
    arrivals : list of tuple of (float, str)
        Time of each request, and the host of the entry that sent it.
    """

    requests_per_s: float
    stated_s: float = field(default_factory=time.monotonic)
    ended_s: float = float("inf")
    informed_s: dict[str, float] = field(default_factory=dict)
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    @property
    def max_arrivals(self) -> float:
        """Number of requests that may arrive in any window."""
        return max_limited_requests(self.requests_per_s)

    def record(self, host: str) -> None:
        """Record a request of an entry, whose response will state the limit."""
        now_s = time.monotonic()
        self.arrivals.append((now_s, host))
        self.informed_s.setdefault(host, now_s)

    def excuse(self, host: str) -> None:
        """Do not count the requests of an entry that was restarted, paused or cut off."""
        self.informed_s.pop(host, None)
        self.arrivals = [arrival for arrival in self.arrivals if arrival[1] != host]

    def excuse_all(self) -> None:
        """Do not count requests whose responses a fault of the upstream may have kept back."""
        self.informed_s.clear()
        self.arrivals.clear()

    def count_most(self) -> int:
        """Return the largest number of counted requests in any window."""
        counted_s = [
            arrived_s
            for arrived_s, host in self.arrivals
            if arrived_s >= self.stated_s + LIMIT_SETTLE_S
            and arrived_s <= self.ended_s
            and arrived_s >= self.informed_s[host] + KNOWN_S
        ]
        return max(
            (
                sum(first_s <= arrived_s < first_s + LIMIT_WINDOW_S for arrived_s in counted_s)
                for first_s in counted_s
            ),
            default=0,
        )
