"""Meter of the requests that reach an upstream which states a limit."""

from collections import deque

LIMIT_SETTLE_S = 3.0
"""Time after a limit was first stated from which it must be kept."""
LIMIT_WINDOW_S = 4.0
EXCESS_RATIO = 1.5
EXCESS_REQUESTS = 5
"""Requests beyond the limit, as a ratio and in addition, that are allowed in a window."""


def max_limited_requests(requests_per_s: float) -> float:
    """Return the number of requests that may arrive in any window of `LIMIT_WINDOW_S`."""
    return EXCESS_RATIO * LIMIT_WINDOW_S * requests_per_s + EXCESS_REQUESTS


class RequestMeter:
    """Counts the requests beyond the limit that an upstream states.

    Attributes
    ----------
    max_requests_per_s : float, optional
        The limit; None while none is stated.
    excesses : int
        Requests that were one too many in the window before them.
    """

    def __init__(self) -> None:
        self.max_requests_per_s: float | None = None
        self.stated_s = 0.0
        self.arrivals_s: deque[float] = deque()
        self.excesses = 0

    def set_limit(self, max_requests_per_s: float | None, now_s: float) -> None:
        """State a limit from now on, or none."""
        self.max_requests_per_s = max_requests_per_s
        self.stated_s = now_s
        self.arrivals_s.clear()

    def record(self, now_s: float) -> None:
        """Record a request."""
        if self.max_requests_per_s is None or now_s < self.stated_s + LIMIT_SETTLE_S:
            return
        self.arrivals_s.append(now_s)
        while self.arrivals_s[0] <= now_s - LIMIT_WINDOW_S:
            self.arrivals_s.popleft()
        self.excesses += len(self.arrivals_s) > max_limited_requests(self.max_requests_per_s)
