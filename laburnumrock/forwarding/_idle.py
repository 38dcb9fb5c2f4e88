"""Idle timeout of callers' connections, as the routes declare it."""

DEFAULT_IDLE_TIMEOUT_S = 15.0
"""Idle timeout before the first routes are known; the one that operators declare today."""
IDLE_MARGIN_S = 5.0
"""Time beyond the declared timeout after which a connection is closed, so that the close does not
cross a request of a caller whose clock or link is slow."""
CHANGE_MARGIN_S = 10.0
"""Time after a change in which callers may not know it yet."""


class IdleLimits:
    """Idle timeout in force, which is the longest one on which callers may rely.

    Parameters
    ----------
    longest_s : float, > 0
        Maximum timeout.

    Notes
    -----
    A shorter timeout comes into force once each connection that was idle before the change has
    reached the former one.
    """

    def __init__(self, longest_s: float) -> None:
        self.longest_s = longest_s
        self.declared_s = min(DEFAULT_IDLE_TIMEOUT_S, longest_s)
        # End and length of the timeouts that changes have replaced.
        self.former: list[tuple[float, float]] = []

    def declare(self, declared_s: float, now_s: float) -> None:
        """Apply the timeout that the routes in force declare."""
        declared_s = min(declared_s, self.longest_s)
        if declared_s == self.declared_s:
            return
        self.former = [one for one in self.former if now_s < one[0]]
        if declared_s < self.declared_s:
            self.former.append((now_s + self.declared_s + CHANGE_MARGIN_S, self.declared_s))
        self.declared_s = declared_s

    def find_timeout_s(self, now_s: float) -> float:
        """Return the time after which an idle connection is closed."""
        former = (idle_s for until_s, idle_s in self.former if now_s < until_s)
        return max((self.declared_s, *former)) + IDLE_MARGIN_S
