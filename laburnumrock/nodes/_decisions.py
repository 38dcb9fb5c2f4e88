"""Decisions of the leader on requests that wait in its queue."""

import asyncio

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    DispatchDecided,
    DispatchSettings,
    SendEnded,
    SendOutcome,
    WithdrawCall,
    max_queue_wait_s,
)
from laburnumrock.transport import PeerNetwork

MAX_DECISIONS = 1_000
"""Maximum number of pending decisions; the oldest are dropped first, as their callers have probably
given up."""
DECISION_GRACE_S = 0.15
"""Time to wait for a decision beyond the maximum queue wait of the dispatcher."""


class PendingDecisions:
    """Decisions that an entry waits for.

    Parameters
    ----------
    network : PeerNetwork
        Connections to the cores.
    dispatch : DispatchSettings
        Settings that bound the wait of a request in the queue.
    """

    def __init__(self, network: PeerNetwork, dispatch: DispatchSettings) -> None:
        self.network = network
        self.dispatch = dispatch
        self.futures: dict[int, asyncio.Future] = {}

    async def wait(self, leader: str, ticket: int, call: DispatchCall) -> DispatchAnswer | None:
        """Wait for a decision; without one in time, withdraw the request and return None.

        Notes
        -----
        A decision may arrive in the turn of the event loop in which the wait ends, as asyncio then
        raises the end of the wait instead of returning the result. The leader has then no request
        that could be withdrawn.
        """
        future = self._find(ticket)
        try:
            async with asyncio.timeout(max_queue_wait_s(self.dispatch, call) + DECISION_GRACE_S):
                return await future
        except TimeoutError:
            if _has_result(future):
                return future.result()
            self.network.send(leader, WithdrawCall(ticket))
            return None
        except asyncio.CancelledError:
            # The caller has left, so its place in the queue or its slot belongs to another request.
            if not _has_result(future):
                self.network.send(leader, WithdrawCall(ticket))
            elif future.result().permit:
                ended = SendEnded(future.result().permit, SendOutcome.CANCELLED)
                self.network.send(leader, ended)
            raise
        finally:
            self.futures.pop(ticket, None)

    def receive(self, sender: str, message: DispatchDecided) -> None:
        """Process a decision of the leader."""
        future = self._find(message.ticket)
        if not future.done():
            future.set_result(message.answer)

    def _find(self, ticket: int) -> asyncio.Future:
        """Return the future of a decision, which may arrive before it is awaited."""
        while len(self.futures) >= MAX_DECISIONS:
            self.futures.pop(next(iter(self.futures)))
        return self.futures.setdefault(ticket, asyncio.get_running_loop().create_future())


def _has_result(future: asyncio.Future) -> bool:
    return future.done() and not future.cancelled()
