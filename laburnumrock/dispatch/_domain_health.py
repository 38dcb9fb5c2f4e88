"""Detection of failure domains that are unreachable as a whole."""

from dataclasses import dataclass, field

PARTITION_MIN_UPSTREAMS = 3
"""Number of unresponsive upstreams after which their whole failure domain is avoided."""
PARTITION_WINDOW_S = 1.0
"""Time window in which that many upstreams must have been found unresponsive."""
AVOID_DOMAIN_S = 1.5
"""Time for which a dispatcher avoids the domain after the last failure to respond."""


@dataclass(slots=True)
class DomainHealth:
    """Upstreams of one failure domain that recently did not respond.

    Parameters
    ----------
    last_unresponsive_s : dict of str to float
        Clock reading when each of them last failed to respond.

    Notes
    -----
    When a failure domain is partitioned, each request would otherwise try its unreachable upstreams
    one after the other. A single answer from the domain clears the state.
    """

    last_unresponsive_s: dict[str, float] = field(default_factory=dict)

    def record_unresponsive(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream did not respond."""
        self.last_unresponsive_s[upstream_id] = now_s

    def is_partitioned(self, now_s: float, avoid_s: float = AVOID_DOMAIN_S) -> bool:
        """Whether enough upstreams failed to respond that the domain is probably partitioned.

        Parameters
        ----------
        now_s : float
            Monotonic clock in seconds.
        avoid_s : float
            Time for which the domain is avoided after the last failure to respond.
        """
        last_s = max(self.last_unresponsive_s.values(), default=float("-inf"))
        if now_s - last_s > avoid_s:
            return False
        recent = sum(
            1
            for time_s in self.last_unresponsive_s.values()
            if last_s - time_s <= PARTITION_WINDOW_S
        )
        return recent >= PARTITION_MIN_UPSTREAMS
