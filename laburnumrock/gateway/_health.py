"""Handlers for health checks, readiness and latency percentiles."""

import dataclasses

from laburnumrock.errors import ANSWERS, ErrorKind
from laburnumrock.gateway._handler import GatewayHandler


class HealthHandler(GatewayHandler):
    """Liveness check: responds as long as the process runs."""

    def get(self) -> None:
        """Return the instance id and failure domain."""
        settings = self.services.settings
        self.finish({"instance": settings.instance_id, "failure_domain": settings.failure_domain})


class ReadyHandler(GatewayHandler):
    """Readiness check for the load balancer."""

    def get(self) -> None:
        """Respond with 200 when ready and 503 otherwise."""
        if self.services.lifecycle.is_ready():
            self.finish({"ready": True})
        else:
            self.set_status(ANSWERS[ErrorKind.STOPPING].status)
            self.finish({"ready": False})


class HistogramsHandler(GatewayHandler):
    """Serves latency percentiles per client account and length class."""

    def get(self) -> None:
        """Return the percentiles in seconds."""
        summary = self.services.histograms.summarize()
        self.finish(
            {
                account: {
                    length_class: {
                        measure: dataclasses.asdict(percentiles)
                        for measure, percentiles in measures.items()
                    }
                    for length_class, measures in classes.items()
                }
                for account, classes in summary.items()
            }
        )
