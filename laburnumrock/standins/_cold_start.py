"""Warm-up behaviour of one emulated engine after a cold start."""

from laburnumrock.standins._parameters import EngineParameters, RefusalReason
from laburnumrock.upstreams import UpstreamState


class ColdStart:
    """Limits the number of concurrent requests while an engine warms up.

    A cold engine accepts `cold_running` concurrent requests, and `cold_growth` more for each one
    that it has finished. A request above this limit is refused and resets the warm-up progress.

    Parameters
    ----------
    parameters : EngineParameters
        Warm-up limits.
    is_cold : bool
        Whether the engine starts without warm-up progress.
    """

    def __init__(self, parameters: EngineParameters, is_cold: bool = False) -> None:
        self.parameters = parameters
        self.is_cold = is_cold
        self.finished = 0
        self.load_end_s = parameters.cold_load_s if is_cold else 0.0
        self.overload_events = 0

    @property
    def state(self) -> UpstreamState:
        """Warm-up state: cold, warming or ready."""
        if not self.is_cold:
            return UpstreamState.READY
        return UpstreamState.WARMING if self.finished else UpstreamState.COLD

    @property
    def limit(self) -> int:
        """Number of concurrent requests that a cold engine accepts."""
        return self.parameters.cold_running + self.parameters.cold_growth * self.finished

    def turn_cold(self, now_s: float) -> None:
        """Return to the cold state and reset the warm-up progress."""
        self.is_cold = True
        self.finished = 0
        self.load_end_s = now_s + self.parameters.cold_load_s

    def admit(self, active_requests: int, now_s: float) -> RefusalReason | None:
        """Return why one request beyond `active_requests` is refused, or ``None``."""
        if not self.is_cold:
            return None
        if now_s < self.load_end_s:
            return RefusalReason.COLD
        if active_requests < self.limit:
            return None
        self.finished = 0
        self.overload_events += 1
        return RefusalReason.OVERLOADED

    def observe_finished(self) -> None:
        """Count a finished request as warm-up progress."""
        if not self.is_cold:
            return
        self.finished += 1
        if self.limit >= self.parameters.warm_running:
            self.is_cold = False
