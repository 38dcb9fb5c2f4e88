"""Lifecycle of an instance, driven by the statechart ``instance.json``."""

import asyncio
from collections.abc import Callable

from eliot import log_message
from tornado.httpserver import HTTPServer

from laburnumrock.charts import load_chart
from laburnumrock.settings import TimingSettings

POLL_S = 0.02
FINAL_RESPONSE_S = 2.0
"""Time for the final responses to requests that a planned stop cuts. They need no upstream, and 1 s
of it is left for recording the outcome of operations."""


class Lifecycle:
    """Tracks the lifecycle state of an instance and its number of running requests.

    Parameters
    ----------
    instance_id : str
        Name of the instance, for logging.
    is_in_service : callable
        Returns whether the declarations keep the instance in service.
    """

    def __init__(self, instance_id: str, is_in_service: Callable[[], bool]) -> None:
        self.instance_id = instance_id
        self.is_in_service = is_in_service
        self.chart = load_chart("instance")
        self.running_requests = 0
        self.requests_cut = asyncio.Event()

    @property
    def state(self) -> str:
        """Current state of the statechart."""
        return self.chart.state

    def fire(self, event: str) -> None:
        """Trigger the transition for an event and log the new state."""
        self.chart.fire(event)
        log_message("instance_state", instance=self.instance_id, state=self.chart.state)

    def is_ready(self) -> bool:
        """Return whether the balancer may send new requests."""
        return self.state == "ready" and self.is_in_service()

    def accepts_work(self) -> bool:
        """Return whether new requests are accepted.

        The balancer keeps sending requests until it notices that the instance is not ready, so
        requests are still accepted for a while in the state ``unready``.
        """
        return self.state in ("ready", "unready")

    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun, which ends with the close of all connections."""
        return self.state not in ("starting", "ready")

    def adjust_request_count(self, change: int) -> None:
        """Add `change`, 1 or -1, to the number of running requests."""
        self.running_requests += change

    async def wait_for_requests(self, timeout_s: float) -> bool:
        """Wait until no requests are running.

        Parameters
        ----------
        timeout_s : float, > 0
            Maximum wait in seconds.

        Returns
        -------
        bool
            Whether all requests ended before the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.running_requests > 0:
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False
        return True


async def finish_requests(lifecycle: Lifecycle, server: HTTPServer, timing: TimingSettings) -> None:
    """Become unready, wait for the balancer to notice, then for the running requests.

    Parameters
    ----------
    lifecycle : Lifecycle
        Lifecycle of the instance.
    server : HTTPServer
        Server for callers.
    timing : TimingSettings
        Grace of the balancer and maximum wait for running requests.

    Notes
    -----
    Requests that still run after `drain_timeout_s` are ended with a final response.
    """
    lifecycle.fire("stop")
    if lifecycle.state == "unready":
        await asyncio.sleep(timing.balancer_grace_s)
        lifecycle.fire("balancer_informed")
        server.stop()
        if not await lifecycle.wait_for_requests(timing.drain_timeout_s):
            log_message("requests_cut", requests=lifecycle.running_requests)
            lifecycle.requests_cut.set()
            await lifecycle.wait_for_requests(FINAL_RESPONSE_S)
        lifecycle.fire("requests_ended")
    await server.close_all_connections()
