"""Decisions of the leader on requests that wait in its queue."""

import asyncio

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    DispatchDecided,
    DispatchSettings,
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
        """Wait for a decision; without one in time, withdraw the request and return None."""
        future = self._find(ticket)
        try:
            async with asyncio.timeout(max_queue_wait_s(self.dispatch, call) + DECISION_GRACE_S):
                return await future
        except TimeoutError:
            self.network.send(leader, WithdrawCall(ticket))
            return None
        except asyncio.CancelledError:
            # The caller has left, so its place in the queue belongs to another request.
            self.network.send(leader, WithdrawCall(ticket))
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
