"""Task of the coordinator lease and the pool assignments."""

import asyncio
import random
import time
from collections.abc import Callable

from result import Err, Ok, Result

from laburnumrock.daemon._due_timer import DueTimer
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import Effect, Send
from laburnumrock.ownership import (
    AssignmentRequest,
    LeaseElector,
    LeaseGrant,
    LeaseRefusal,
    LeaseRelease,
    LeaseRequest,
    OwnersChanged,
    PoolAssigner,
    PoolAssignmentClient,
    PoolAssignments,
    PoolOwner,
)
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

SELF_DELIVERY_S = 0.05
"""A request to itself is handled by the event loop within this time."""
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
        self.timer = DueTimer(self._tick, self._find_due_s)
        self.announced_version = 0
        self.listeners: list[Callable[[], None]] = []
        assignment_s = settings.timing.lease_s * ASSIGNMENT_PART
        # The clock of the day only has to grow from start to start of one instance.
        self.incarnation = int(time.time() * MS_PER_S)
        self.elector = LeaseElector(
            settings.instance_id,
            [peer.instance_id for peer in settings.list_domain_peers(settings.failure_domain)],
            settings.timing.lease_s,
            time.monotonic(),
            random.Random(f"{settings.seed}/{settings.instance_id}/{self.incarnation}"),
            term_floor=self.incarnation,
        )
        self.assigner = PoolAssigner(assignment_s)
        self.assignment_client = PoolAssignmentClient(
            settings.instance_id, self.incarnation, assignment_s
        )

    async def start(self) -> None:
        """Take part in the election."""
        for message_type in (LeaseRequest, LeaseGrant, LeaseRefusal, LeaseRelease):
            self.network.handle(message_type, self._receive_lease)
        self.network.handle(AssignmentRequest, self._receive_request)
        self.network.handle(OwnersChanged, self._receive_change)
        self.network.handle(PoolAssignments, self._receive_assignments)
        self.timer.start()

    async def stop(self) -> None:
        """Give back all pools, and the lease once everything granted under it has ended."""
        self.assignment_client.release_all()
        self.assignment_client.next_request_s = float("-inf")
        self._send(self.assignment_client.tick(time.monotonic(), self.find_coordinator()))
        await asyncio.sleep(SELF_DELIVERY_S)
        await asyncio.sleep(max(0.0, self.assigner.stop() - time.monotonic()))
        self._send(self.elector.release(time.monotonic()))
        self.timer.stop()

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
        return self.assignment_client.owners.get(pool_id)

    def epoch(self, pool_id: str) -> int | None:
        """Return the epoch under which this instance owns the pool now, or None."""
        return self.assignment_client.epoch(pool_id, time.monotonic())

    def owned_pools(self) -> dict[str, int]:
        """Return the pools that this instance owns now, with their epochs."""
        return self.assignment_client.owned_pools(time.monotonic())

    def split(self, pool_id: str, depth: int) -> None:
        """Give a pool back so that ``2 ** depth`` shards take its place."""
        self.assignment_client.split(pool_id, depth)
        self.timer.update()

    def want(self, pool_ids: set[str]) -> None:
        """Set the pools that need an owner, as far as this instance knows."""
        wanted = {pool for pool in pool_ids if pool not in self.assignment_client.owners}
        if wanted - self.assignment_client.wanted:
            self.assignment_client.request_at_next_tick()
        self.assignment_client.wanted = wanted
        self.timer.update()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the pools of this instance or the owner map may have changed."""
        self.listeners.append(listener)

    def _find_due_s(self) -> float:
        coordinator = self.find_coordinator()
        return min(self.elector.next_tick_s(), self.assignment_client.next_tick_s(coordinator))

    def _tick(self) -> None:
        now_s = time.monotonic()
        self._send(self.elector.tick(now_s))
        self._send(self.assignment_client.tick(now_s, self.elector.find_coordinator(now_s)))

    def _receive_lease(self, sender: str, message: object) -> None:
        self._send(self.elector.receive(sender, message, time.monotonic()))
        self.timer.update()

    def _receive_request(self, sender: str, message: AssignmentRequest) -> None:
        now_s = time.monotonic()
        lease = self.elector.lease(now_s)
        if lease is not None:
            self.network.send(sender, self.assigner.receive(sender, message, now_s, lease))
            self._announce_owners()

    def _announce_owners(self) -> None:
        """Tell the other instances to fetch a new owner map."""
        if self.announced_version == self.assigner.version:
            return
        self.announced_version = self.assigner.version
        for peer in self.settings.list_domain_peers(self.settings.failure_domain):
            self.network.send(peer.instance_id, OwnersChanged(self.announced_version))

    def _receive_change(self, sender: str, message: OwnersChanged) -> None:
        if sender == self.find_coordinator():
            self.assignment_client.observe_version(message.version)
            self.timer.update()

    def _receive_assignments(self, sender: str, message: PoolAssignments) -> None:
        known = self.assignment_client.version
        self._send(self.assignment_client.receive(sender, message, time.monotonic()))
        if self.assignment_client.version != known:
            for listener in self.listeners:
                listener()

    def _send(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(effect.destination, effect.message)
