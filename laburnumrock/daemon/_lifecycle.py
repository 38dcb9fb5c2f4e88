"""Life cycle of an instance as the chart ``instance.json`` describes it."""

import asyncio
from collections.abc import Callable

from eliot import log_message

from laburnumrock.charts import load_chart

POLL_S = 0.02


class Lifecycle:
    """Holds the state of the instance and the number of running requests.

    Parameters
    ----------
    instance_id : str
        Name of the instance, for log lines.
    is_in_service : callable
        Tells whether operators want the instance in service.
    """

    def __init__(self, instance_id: str, is_in_service: Callable[[], bool]) -> None:
        self.instance_id = instance_id
        self.is_in_service = is_in_service
        self.chart = load_chart("instance")
        self.running_requests = 0

    @property
    def state(self) -> str:
        """Present state of the chart."""
        return self.chart.state

    def fire(self, event: str) -> None:
        """Follow the transition of an event and log the new state."""
        self.chart.fire(event)
        log_message("instance_state", instance=self.instance_id, state=self.chart.state)

    def is_ready(self) -> bool:
        """Whether the balancer may send new work."""
        return self.state == "ready" and self.is_in_service()

    def accepts_work(self) -> bool:
        """Whether new work is accepted.

        The balancer may send work until it has seen that the instance is not ready, so work is
        accepted for a while after readiness is off.
        """
        return self.state in ("ready", "unready")

    def adjust_request_count(self, change: int) -> None:
        """Add to the number of running requests."""
        self.running_requests += change

    async def wait_for_requests(self, timeout_s: float) -> bool:
        """Wait until no request runs.

        Parameters
        ----------
        timeout_s : float, > 0
            Longest wait in seconds.

        Returns
        -------
        bool
            Whether all requests have ended.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.running_requests > 0:
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True
