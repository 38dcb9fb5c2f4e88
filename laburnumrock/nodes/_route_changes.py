"""Changes of the routes and drains by operators, committed to the log."""

import secrets
import time
import zlib
from collections.abc import Awaitable, Callable

from result import Err, Ok, Result

from laburnumrock.daemon import LogTask
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.metrics import NodeMetrics
from laburnumrock.nodes._decision_log import log_change
from laburnumrock.periodic import StallDetector
from laburnumrock.routing import RouteDocument, RouteSet, SetDrain, StoreRoutes

PROPOSE_TIMEOUT_S = 2.5
"""Shorter than the 4 s within which an operator expects an acknowledgement."""
READ_TIMEOUT_S = 0.9
"""Shorter than the one second after which an operator asks another core."""
ORDER_ID_BYTES = 8


class RouteChanges:
    """Commits changes of the routes and drains, and reads what is in force.

    Parameters
    ----------
    log : LogTask
        Access to the replicated log.
    metrics : NodeMetrics
        Records the duration of commits.
    stalls : StallDetector
        Tells whether an order may have waited while the process did not run.
    """

    def __init__(self, log: LogTask, metrics: NodeMetrics, stalls: StallDetector) -> None:
        self.log = log
        self.metrics = metrics
        self.stalls = stalls

    async def store_routes(self, routes: RouteSet, document: bytes) -> Result[int, Failure]:
        """Commit a version of the routes.

        Parameters
        ----------
        routes : RouteSet
            The decoded routes, already validated.
        document : bytes
            The document as the operator sent it.

        Returns
        -------
        Result
            The version in force afterwards.
        """
        packed = zlib.compress(document)
        with self.metrics.commits.labels("routes").time():
            answer = await self.log.propose(StoreRoutes(routes.version, packed), PROPOSE_TIMEOUT_S)
        return log_change("routes", routes.version, answer)

    async def set_drain(
        self, failure_domain: str, drained: bool, is_caller_waiting: Callable[[], Awaitable[bool]]
    ) -> Result[int, Failure]:
        """Commit that a failure domain is drained, or returned to service.

        Parameters
        ----------
        failure_domain : str
            Domain to drain or to return to service.
        drained : bool
            The new state.
        is_caller_waiting : coroutine function
            Returns whether the operator still waits for the answer. One that has gone has sent the
            order to another core, and perhaps newer orders since.

        Returns
        -------
        Result
            The version of the routes in force; a failure if the order has no effect here.
        """
        change = "drain" if drained else "restore"
        order_id = secrets.token_hex(ORDER_ID_BYTES)
        deadline_s = time.monotonic() + PROPOSE_TIMEOUT_S
        with self.metrics.commits.labels("drain").time():
            while (remaining_s := deadline_s - time.monotonic()) > 0:
                confirmed = await self.log.read_confirmed(min(READ_TIMEOUT_S, remaining_s))
                if confirmed.is_err():
                    return log_change(change, failure_domain, confirmed)
                # The caller is looked for after the read: whatever it has ordered since it left
                # has a higher index than the one that was read, or is found to be newer here.
                is_waiting = await is_caller_waiting()
                if self.stalls.may_be_late() or not is_waiting:
                    failure = Failure(ErrorKind.STALE_REVISION, "the caller may have gone")
                    return log_change(change, failure_domain, Err(failure))
                command = SetDrain(failure_domain, drained, order_id, confirmed.unwrap())
                answer = await self.log.propose(command, max(0.0, deadline_s - time.monotonic()))
                if answer.is_err() or not answer.unwrap().superseded:
                    return log_change(change, failure_domain, answer)
        failure = Failure(ErrorKind.STALE_REVISION, "newer orders came before this one")
        return log_change(change, failure_domain, Err(failure))

    async def read_routes(self) -> Result[RouteDocument, Failure]:
        """Return the routes in force, confirmed by a quorum."""
        confirmed = await self.log.read_confirmed(READ_TIMEOUT_S)
        if confirmed.is_err():
            return confirmed
        current = self.log.state.parts["routes"].current
        if not current.document:
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE, "no routes are stored yet"))
        return Ok(RouteDocument(current.version, zlib.decompress(current.document)))
