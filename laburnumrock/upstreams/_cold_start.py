"""Slow start: limit on the concurrent permits of an upstream that may be cold."""

from laburnumrock.upstreams._announcement import UpstreamState

SLOW_FIRST_TOKEN_FACTOR = 4.0
# Lower bound of predictions in the comparison. With predictions of a few milliseconds, scheduling
# noise would otherwise reset the limit.
MIN_PREDICTED_FIRST_TOKEN_S = 0.2


class SlowStartLimiter:
    """Concurrency limit with slow start, reset when an upstream becomes cold.

    The limit starts at one permit. Every finished request with a timely first token raises it by
    one, so it doubles with each full round of requests.

    Parameters
    ----------
    max_permits : int, >= 1
        Concurrency limit of a warm upstream.
    """

    __slots__ = ("resets", "incarnation", "limit", "max_permits", "state")

    def __init__(self, max_permits: int) -> None:
        self.max_permits = max_permits
        self.limit = 1
        self.incarnation: int | None = None
        self.state = UpstreamState.COLD
        self.resets = 0

    def observe(self, incarnation: int, state: UpstreamState) -> None:
        """Update the limit from an announcement.

        Parameters
        ----------
        incarnation : int
            Announced incarnation; a new one means that the upstream was restarted.
        state : UpstreamState
            Announced state.
        """
        if incarnation != self.incarnation or state is UpstreamState.COLD:
            self._reset()
        self.incarnation = incarnation
        self.state = state

    def admits(self, running: int) -> bool:
        """Return whether another permit may be granted in addition to `running` permits."""
        return running < self.limit

    def record_finish(self, first_token_s: float | None, predicted_s: float) -> None:
        """Record a finished request.

        Parameters
        ----------
        first_token_s : float or None
            Measured time to the first token in seconds; None leaves the limit unchanged.
        predicted_s : float
            Time predicted when the permit was granted, in seconds.
        """
        if first_token_s is None:
            return
        if first_token_s > SLOW_FIRST_TOKEN_FACTOR * max(predicted_s, MIN_PREDICTED_FIRST_TOKEN_S):
            self._reset()
        elif self.state is not UpstreamState.COLD:
            self.limit = min(self.max_permits, self.limit + 1)

    def record_refusal(self) -> None:
        """Record a refusal of kind ``cold`` or ``overloaded``."""
        self._reset()

    def record_running(self, running: int) -> None:
        """Raise the limit to the load that an upstream already carries at a change of owner."""
        if self.state is not UpstreamState.COLD:
            self.limit = max(self.limit, min(self.max_permits, running))

    def _reset(self) -> None:
        if self.limit > 1:
            self.resets += 1
        self.limit = 1
