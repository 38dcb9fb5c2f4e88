"""Log lines about the limits that upstreams state on their requests."""

from eliot import log_message

from laburnumrock.dispatch import RequestLimits
from laburnumrock.metrics import NodeMetrics


class LimitLog:
    """Logs the limits that a core learns of and those that end.

    Parameters
    ----------
    limits : RequestLimits
        Limits that the core knows.
    metrics : NodeMetrics
        Shows the number of limits.
    """

    def __init__(self, limits: RequestLimits, metrics: NodeMetrics) -> None:
        self.limits = limits
        self.metrics = metrics
        self.revision = 0
        self.logged: dict[str, float] = {}

    def update(self) -> None:
        """Log what changed since the last call."""
        if self.limits.revision == self.revision:
            return
        self.revision = self.limits.revision
        earlier, self.logged = self.logged, self.limits.list_rates()
        for upstream in sorted(earlier.keys() | self.logged.keys()):
            rate = self.logged.get(upstream)
            if rate != earlier.get(upstream):
                log_message("limit_changed", upstream=upstream, requests_per_s=rate)
        self.metrics.limited_upstreams.set(len(self.logged))
