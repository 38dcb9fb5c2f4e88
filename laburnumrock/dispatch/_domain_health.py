"""Signs that a whole failure domain does not respond."""

from dataclasses import dataclass, field

CUT_OFF_UPSTREAMS = 3
"""Different upstreams that must fall silent before their whole domain is avoided."""
CUT_OFF_WINDOW_S = 1.0
"""Time within which they fall silent."""
AVOID_S = 1.5
"""Time for which a dispatcher avoids the domain after the last sign."""


@dataclass(slots=True)
class DomainHealth:
    """Upstreams of one failure domain that did not respond lately.

    Parameters
    ----------
    silent_s : dict of str to float
        When each of them was last found not to respond.

    Notes
    -----
    It answers the cut of a failure domain: without it each request tries the silent upstreams one
    after the other. A single answer from the domain ends the suspicion.
    """

    silent_s: dict[str, float] = field(default_factory=dict)

    def note_unresponsive(self, upstream_id: str, now_s: float) -> None:
        """Record that an upstream did not respond."""
        self.silent_s[upstream_id] = now_s

    def is_cut_off(self, now_s: float, avoid_s: float = AVOID_S) -> bool:
        """Whether so many upstreams fell silent that the domain is probably cut off.

        Parameters
        ----------
        now_s : float
            Monotonic clock in seconds.
        avoid_s : float
            Time for which the domain is avoided after the last sign.
        """
        last_s = max(self.silent_s.values(), default=float("-inf"))
        if now_s - last_s > avoid_s:
            return False
        recent = sum(1 for time_s in self.silent_s.values() if last_s - time_s <= CUT_OFF_WINDOW_S)
        return recent >= CUT_OFF_UPSTREAMS
