"""Retry budget of a service, shared by all instances."""

from collections import deque


class RetryBudget:
    """Limits the retries to one service in a sliding window.

    Parameters
    ----------
    ratio : float, >= 0
        Retries allowed for each request in the window.
    slack : float, >= 0
        Retries allowed in addition.
    window_s : float, > 0
        Length of the window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count the first send of a request."""
        self.requests.append(now_s)
        self._drop_expired(now_s)

    def allows_retry(self, now_s: float) -> bool:
        """Whether the budget allows one more retry."""
        self._drop_expired(now_s)
        return len(self.retries) + 1 <= self.ratio * len(self.requests) + self.slack

    def try_take_retry(self, now_s: float) -> bool:
        """Count a retry, which is about to be sent, and return True if the budget allows it."""
        if not self.allows_retry(now_s):
            return False
        self.retries.append(now_s)
        return True

    def _drop_expired(self, now_s: float) -> None:
        oldest_s = now_s - self.window_s
        for times in (self.requests, self.retries):
            while times and times[0] < oldest_s:
                times.popleft()
