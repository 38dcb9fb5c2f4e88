"""Cold start of one emulated engine."""

from laburnumrock.standins._parameters import EngineParameters, RefusalReason
from laburnumrock.upstreams import UpstreamState


class ColdStart:
    """Load that an engine can hold while it warms up.

    A cold engine holds `cold_running` requests and `cold_growth` more for each one that it
    finished. A request above this bound is refused, and the engine loses its progress.

    Parameters
    ----------
    parameters : EngineParameters
        Bounds.
    is_cold : bool
        Whether the engine starts cold.
    """

    def __init__(self, parameters: EngineParameters, is_cold: bool = False) -> None:
        self.parameters = parameters
        self.is_cold = is_cold
        self.finished = 0
        self.loaded_s = parameters.cold_load_s if is_cold else 0.0
        self.overload_events = 0

    @property
    def state(self) -> UpstreamState:
        """State of the engine, from cold to ready."""
        if not self.is_cold:
            return UpstreamState.READY
        return UpstreamState.WARMING if self.finished else UpstreamState.COLD

    @property
    def limit(self) -> int:
        """Number of requests that a cold engine can hold."""
        return self.parameters.cold_running + self.parameters.cold_growth * self.finished

    def turn_cold(self, now_s: float) -> None:
        """Drop all warm-up progress."""
        self.is_cold = True
        self.finished = 0
        self.loaded_s = now_s + self.parameters.cold_load_s

    def admit(self, held_requests: int, now_s: float) -> RefusalReason | None:
        """Decide on one more request beside `held_requests`."""
        if not self.is_cold:
            return None
        if now_s < self.loaded_s:
            return RefusalReason.COLD
        if held_requests < self.limit:
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
