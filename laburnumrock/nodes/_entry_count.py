"""Number of entry nodes that share what a leader otherwise counts for all of them."""

from collections import deque

WINDOW_S = 5.0
"""Time for which a count is used; longer than the hello interval and than an entry node without
hellos is counted."""


class EntryCount:
    """Number of entry nodes, as leaders state it in their answers to hellos.

    Notes
    -----
    A new leader counts only the entry nodes whose hellos have arrived, so the largest count of the
    last seconds is used. With a count that is too small, the shares together exceed the whole.
    """

    def __init__(self) -> None:
        self.recent: deque[tuple[float, int]] = deque()

    def record(self, count: int, now_s: float) -> int:
        """Record the count of a leader, and return the one to use."""
        self.recent.append((now_s, count))
        while self.recent[0][0] < now_s - WINDOW_S:
            self.recent.popleft()
        return max(recent for _, recent in self.recent)
