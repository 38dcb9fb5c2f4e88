"""Task of the coordinator lease and the pool assignments."""

import asyncio
import random
import time

from result import Err, Ok, Result

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import Effect, Send
from laburnumrock.ownership import (
    AssignmentRequest,
    LeaseElector,
    LeaseGrant,
    LeaseRefusal,
    LeaseRelease,
    LeaseRequest,
    PoolAssigner,
    PoolAssignments,
    PoolHoldings,
    PoolOwner,
)
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

TICK_S = 0.05
ASSIGNMENT_PART = 0.5
"""Validity of an assignment as a part of the coordinator's lease."""
MS_PER_S = 1_000


class OwnershipTask:
    """Runs the lease elector, the pool assigner and the pool holdings of one instance.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Links to the other instances.
    """

    def __init__(self, settings: InstanceSettings, network: PeerNetwork) -> None:
        self.settings = settings
        self.network = network
        self.task: asyncio.Task | None = None
        assignment_s = settings.timing.lease_s * ASSIGNMENT_PART
        # The clock of the day only has to grow from start to start of one instance.
        self.incarnation = int(time.time() * MS_PER_S)
        self.elector = LeaseElector(
            settings.instance_id,
            [peer.instance_id for peer in settings.peers_in(settings.failure_domain)],
            settings.timing.lease_s,
            time.monotonic(),
            random.Random(f"{settings.seed}/{settings.instance_id}/{self.incarnation}"),
            term_floor=self.incarnation,
        )
        self.assigner = PoolAssigner(assignment_s)
        self.holdings = PoolHoldings(settings.instance_id, self.incarnation, assignment_s)

    async def start(self) -> None:
        """Take part in the election."""
        for message_type in (LeaseRequest, LeaseGrant, LeaseRefusal, LeaseRelease):
            self.network.handle(message_type, self._receive_lease)
        self.network.handle(AssignmentRequest, self._receive_request)
        self.network.handle(PoolAssignments, self._receive_assignments)
        self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Give back all pools, and the lease once everything granted under it has ended."""
        self.holdings.release_all()
        self.holdings.next_request_s = float("-inf")
        self._send(self.holdings.tick(time.monotonic(), self.find_coordinator()))
        # A request to itself is handled by the event loop.
        await asyncio.sleep(TICK_S)
        await asyncio.sleep(max(0.0, self.assigner.stop() - time.monotonic()))
        self._send(self.elector.release(time.monotonic()))
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def find_coordinator(self) -> str | None:
        """Return the instance that is probably the coordinator of the failure domain."""
        return self.elector.find_coordinator(time.monotonic())

    def is_coordinator(self) -> bool:
        """Return whether this instance holds the coordinator lease now."""
        return self.elector.lease(time.monotonic()) is not None

    def require_coordinator(self) -> Result[str, Failure]:
        """Return the coordinator, or a failure of kind ``owner_unavailable``."""
        coordinator = self.find_coordinator()
        if coordinator is None:
            return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, "no coordinator is known"))
        return Ok(coordinator)

    def find_owner(self, pool_id: str) -> PoolOwner | None:
        """Return the probable owner of a pool of the own failure domain."""
        return self.holdings.owners.get(pool_id)

    def epoch(self, pool_id: str) -> int | None:
        """Return the epoch under which this instance owns the pool now, or None."""
        return self.holdings.epoch(pool_id, time.monotonic())

    def owned_pools(self) -> dict[str, int]:
        """Return the pools that this instance owns now, with their epochs."""
        return self.holdings.owned_pools(time.monotonic())

    def want(self, pool_ids: set[str]) -> None:
        """Set the pools that need an owner, as far as this instance knows."""
        self.holdings.wanted = {pool for pool in pool_ids if pool not in self.holdings.owners}

    async def _run(self) -> None:
        while True:
            now_s = time.monotonic()
            self._send(self.elector.tick(now_s))
            self._send(self.holdings.tick(now_s, self.elector.find_coordinator(now_s)))
            await asyncio.sleep(TICK_S)

    def _receive_lease(self, sender: str, message: object) -> None:
        self._send(self.elector.receive(sender, message, time.monotonic()))

    def _receive_request(self, sender: str, message: AssignmentRequest) -> None:
        now_s = time.monotonic()
        lease = self.elector.lease(now_s)
        if lease is not None:
            self.network.send(sender, self.assigner.receive(sender, message, now_s, lease))

    def _receive_assignments(self, sender: str, message: PoolAssignments) -> None:
        self._send(self.holdings.receive(sender, message, time.monotonic()))

    def _send(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(effect.destination, effect.message)
