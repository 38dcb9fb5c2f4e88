"""Limit on the concurrent permits of an upstream that may be cold."""

from laburnumrock.upstreams._announcement import UpstreamState

SLOW_FIRST_TOKEN_FACTOR = 4.0
# Predictions of a few milliseconds would otherwise turn scheduling noise into fallbacks.
MIN_JUDGED_FIRST_TOKEN_S = 0.2


class SlowStartLimiter:
    """Concurrency limit that grows on evidence and falls back when an upstream turns cold.

    The gate starts at one permit. Every finished request with a healthy first token raises the
    limit by one, so that the limit doubles with each full round of requests.

    Parameters
    ----------
    max_permits : int, >= 1
        Limit of a warm upstream.
    """

    __slots__ = ("fallbacks", "incarnation", "limit", "max_permits", "state")

    def __init__(self, max_permits: int) -> None:
        self.max_permits = max_permits
        self.limit = 1
        self.incarnation: int | None = None
        self.state = UpstreamState.COLD
        self.fallbacks = 0

    def observe(self, incarnation: int, state: UpstreamState) -> None:
        """Take an announcement into account.

        Parameters
        ----------
        incarnation : int
            Announced incarnation; a new one means that the upstream was restarted.
        state : UpstreamState
            Announced state.
        """
        if incarnation != self.incarnation or state is UpstreamState.COLD:
            self._fall_back()
        self.incarnation = incarnation
        self.state = state

    def admits(self, running: int) -> bool:
        """Return whether one more permit may be granted beside `running` permits."""
        return running < self.limit

    def record_finish(self, first_token_s: float | None, predicted_s: float) -> None:
        """Record a finished request.

        Parameters
        ----------
        first_token_s : float or None
            Measured time to the first token in seconds; None proves nothing.
        predicted_s : float
            Time predicted when the permit was granted, in seconds.
        """
        if first_token_s is None:
            return
        if first_token_s > SLOW_FIRST_TOKEN_FACTOR * max(predicted_s, MIN_JUDGED_FIRST_TOKEN_S):
            self._fall_back()
        elif self.state is not UpstreamState.COLD:
            self.limit = min(self.max_permits, self.limit + 1)

    def record_refusal(self) -> None:
        """Record a refusal of kind ``cold`` or ``overloaded``."""
        self._fall_back()

    def record_running(self, running: int) -> None:
        """Raise the limit to a load that the upstream is known to carry after a take-over."""
        if self.state is not UpstreamState.COLD:
            self.limit = max(self.limit, min(self.max_permits, running))

    def _fall_back(self) -> None:
        if self.limit > 1:
            self.fallbacks += 1
        self.limit = 1
