"""Handlers of health, readiness and histograms."""

import dataclasses

from laburnumrock.errors import ANSWERS, ErrorKind
from laburnumrock.gateway._handler import GatewayHandler


class HealthHandler(GatewayHandler):
    """Answers as long as the process lives."""

    def get(self) -> None:
        """Name the instance."""
        settings = self.services.settings
        self.finish({"instance": settings.instance_id, "failure_domain": settings.failure_domain})


class ReadyHandler(GatewayHandler):
    """Tells the balancer whether to send new work."""

    def get(self) -> None:
        """Answer 200 when ready, else 503."""
        if self.services.lifecycle.is_ready():
            self.finish({"ready": True})
        else:
            self.set_status(ANSWERS[ErrorKind.STOPPING].status)
            self.finish({"ready": False})


class HistogramsHandler(GatewayHandler):
    """Shows the percentiles per client account and length class."""

    def get(self) -> None:
        """Answer with times in seconds."""
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
