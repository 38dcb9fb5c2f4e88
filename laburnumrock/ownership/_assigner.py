"""Assignment of pools to owning instances, run by the coordinator of a failure domain."""

from collections import Counter
from dataclasses import dataclass

from laburnumrock.ownership._balance import choose_balanced_owner, choose_move
from laburnumrock.ownership._elector import CoordinatorLease
from laburnumrock.ownership._messages import (
    AssignmentRequest,
    HeldPool,
    PoolAssignment,
    PoolAssignments,
    PoolOwner,
)
from laburnumrock.ownership._pools import pools_overlap, split_shard

EPOCH_COUNTER_BITS = 16
"""Low bits of an epoch that hold a counter; the bits above them hold the coordinator's term."""

LIVE_FRACTION = 0.6
"""An instance without a request for this fraction of an assignment's validity gets no new pools."""

LIVE_PERIODS = 2.4
"""An instance that misses its own request period by this factor gets no new pools."""

MAX_SPLIT_DEPTH = 5
"""Limits the number of shards that one request creates; a larger pool is split repeatedly."""

BALANCE_DELAY_ASSIGNMENTS = 2.0
"""Pools move to a new instance once it has been live for this many assignment validities."""

CLAIM_GRACE_FRACTION = 0.2
"""A new coordinator lets former owners claim their pools for this fraction of an assignment."""


@dataclass(slots=True)
class _Pool:
    """Assignment state of one pool at the coordinator."""

    owner: str | None = None
    incarnation: int = 0
    epoch: int = 0
    claimed_epoch: int = 0
    ends_s: float = float("-inf")
    receiver: str | None = None


@dataclass(slots=True)
class _Requester:
    """An instance that has sent assignment requests and may own pools."""

    since_s: float
    live_until_s: float
    accepting: bool


class PoolAssigner:
    """Assigns each pool to a single owner while this instance is the coordinator.

    Parameters
    ----------
    assignment_s : float, > 0
        Maximum validity of an assignment in seconds; shorter than the coordinator's lease.

    Notes
    -----
    An owner sends requests at a fixed interval and measures the validity from the time at which it
    sent the request. A pool is assigned to another owner only after the previous assignment has
    expired by the coordinator's clock or was released. An assignment never outlives the
    coordinator's lease, so all assignments of a coordinator have expired when its successor takes
    over.
    """

    def __init__(self, assignment_s: float) -> None:
        self.assignment_s = assignment_s
        self.liveness_timeout_s = assignment_s * LIVE_FRACTION
        self.pools: dict[str, _Pool] = {}
        self.requesters: dict[str, _Requester] = {}
        self.lease_since_s = float("-inf")
        self.claim_grace_until_s = 0.0
        self.next_move_s = 0.0
        self.next_epoch = 0
        self.version = 0
        self.last_end_s = float("-inf")
        self.earlier_assignments_end_s = float("-inf")
        self.stopping = False

    def receive(
        self, sender: str, request: AssignmentRequest, now_s: float, lease: CoordinatorLease
    ) -> PoolAssignments:
        """Process the assignment request of an instance.

        Parameters
        ----------
        sender : str
            Instance that sent the request.
        request : AssignmentRequest
            Pools that the sender owns, releases and needs an owner for.
        now_s : float
            Clock reading in seconds.
        lease : CoordinatorLease
            The coordinator's own lease, held at `now_s`.

        Returns
        -------
        PoolAssignments
            Assignments of the sender and, if its version is out of date, the owner map.
        """
        if lease.since_s != self.lease_since_s:
            self._begin_lease(lease, now_s)
        self.next_epoch = max(self.next_epoch, lease.term << EPOCH_COUNTER_BITS)
        liveness_timeout_s = self.liveness_timeout_s
        if request.period_s is not None:
            liveness_timeout_s = max(
                liveness_timeout_s, min(LIVE_PERIODS * request.period_s, 2 * self.assignment_s)
            )
        known = self.requesters.get(sender)
        is_live = known is not None and known.accepting and known.live_until_s >= now_s
        since_s = known.since_s if is_live else now_s
        self.requesters[sender] = _Requester(since_s, now_s + liveness_timeout_s, request.accepting)
        self._update_pools(sender, request, now_s)
        self.assign(now_s)
        give_back = self._balance(sender, now_s)
        assignments = self._renew(sender, request, now_s, lease)
        owners = None
        if request.known_version != self.version:
            owners = self._owner_map()
        return PoolAssignments(
            request.sequence, request.incarnation, assignments, self.version, owners, give_back
        )

    def assign(self, now_s: float) -> None:
        """Choose an owner for every pool without a live owner whose last assignment has expired.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.
        """
        live = self._live_requesters(now_s)
        owned = self._count_owned()
        for pool_id, pool in self.pools.items():
            if pool.owner in live or not self._has_ended(pool, now_s):
                continue
            if pool.owner is None and now_s < self.claim_grace_until_s:
                continue
            owner = choose_balanced_owner(pool_id, live, owned, len(self.pools))
            if owner is not None and owner != pool.owner:
                self.pools[pool_id] = _Pool(owner, ends_s=pool.ends_s)
                owned[owner] += 1
                self.version += 1

    def _count_owned(self) -> Counter:
        return Counter(pool.owner for pool in self.pools.values() if pool.owner is not None)

    def _balance(self, owner: str, now_s: float) -> list[str]:
        """Return the pools that an owner must release so that they move to another instance.

        One pool moves at a time, and only to an instance that has been live for some time, so that
        restarts do not move pools back and forth.
        """
        owned = {pool_id: pool for pool_id, pool in self.pools.items() if pool.owner == owner}
        if now_s >= self.next_move_s:
            live_before_s = now_s - self.assignment_s * BALANCE_DELAY_ASSIGNMENTS
            live = self._live_requesters(now_s)
            stable = [name for name in live if self.requesters[name].since_s <= live_before_s]
            assigned = [pool_id for pool_id, pool in owned.items() if pool.epoch > 0]
            move = choose_move(owner, assigned, self._count_owned(), stable) if assigned else None
            if move is not None:
                owned[move[0]].receiver = move[1]
                self.next_move_s = now_s + self.assignment_s
        return [pool_id for pool_id, pool in owned.items() if pool.receiver is not None]

    def stop(self) -> float:
        """Stop assigning pools and return the clock reading at which all assignments expire."""
        self.stopping = True
        return self.last_end_s

    def _begin_lease(self, lease: CoordinatorLease, now_s: float) -> None:
        # Drops the state of an earlier lease: other coordinators may have assigned the pools since.
        self.lease_since_s = lease.since_s
        self.earlier_assignments_end_s = self.last_end_s
        self.pools = {}
        self.requesters = {}
        self.version = max(self.version + 1, lease.term << EPOCH_COUNTER_BITS)
        self.claim_grace_until_s = now_s + self.assignment_s * CLAIM_GRACE_FRACTION
        self.next_move_s = now_s + self.assignment_s * BALANCE_DELAY_ASSIGNMENTS

    def _update_pools(self, sender: str, request: AssignmentRequest, now_s: float) -> None:
        depths = {split.pool_id: split.depth for split in request.splits}
        for released in request.released:
            self._apply_release(sender, released, depths.get(released.pool_id, 0))
        for held in request.held:
            self._apply_claim(sender, held)
        for pool_id in request.wanted:
            if pool_id not in self.pools and not self._find_overlaps(pool_id):
                self.pools[pool_id] = _Pool(ends_s=self.earlier_assignments_end_s)

    def _apply_claim(self, sender: str, held: HeldPool) -> None:
        """Keep the previous owner of a pool that this coordinator has not assigned yet."""
        pool = self.pools.get(held.pool_id)
        if pool is not None and (pool.epoch > 0 or pool.claimed_epoch >= held.epoch):
            return
        overlaps = self._find_overlaps(held.pool_id)
        if any(self.pools[name].epoch > 0 or len(name) > len(held.pool_id) for name in overlaps):
            # The pool was split after the claim, or its parent pool is already assigned.
            return
        for name in overlaps:
            del self.pools[name]
        self.pools[held.pool_id] = _Pool(
            sender,
            claimed_epoch=held.epoch,
            ends_s=self.earlier_assignments_end_s if pool is None else pool.ends_s,
        )
        self.version += 1

    def _find_overlaps(self, pool_id: str) -> list[str]:
        """Return the known pools with another id that can contain the same upstreams."""
        return [name for name in self.pools if pools_overlap(name, pool_id)]

    def _apply_release(self, sender: str, released: HeldPool, depth: int) -> None:
        pool = self.pools.get(released.pool_id)
        if pool is None or pool.owner != sender or not 0 < pool.epoch <= released.epoch:
            return
        # A release ends the assignment, so the epoch and expiry of the pool need not be kept.
        del self.pools[released.pool_id]
        self.version += 1
        if depth > 0:
            for shard in split_shard(released.pool_id, min(depth, MAX_SPLIT_DEPTH)):
                self.pools[shard] = _Pool(ends_s=self.earlier_assignments_end_s)
        elif pool.receiver is not None:
            self.pools[released.pool_id] = _Pool(
                pool.receiver, ends_s=self.earlier_assignments_end_s
            )

    def _renew(
        self, sender: str, request: AssignmentRequest, now_s: float, lease: CoordinatorLease
    ) -> list[PoolAssignment]:
        validity_s = min(self.assignment_s, lease.until_s - now_s)
        if self.stopping or validity_s <= 0:
            return []
        assignments = []
        for pool_id, pool in self.pools.items():
            if pool.owner != sender or not self._may_assign(pool, request.incarnation, now_s):
                continue
            if pool.epoch == 0 or pool.incarnation != request.incarnation:
                self.next_epoch += 1
                pool.epoch = self.next_epoch
                pool.incarnation = request.incarnation
                self.version += 1
            pool.ends_s = max(pool.ends_s, now_s + validity_s)
            self.last_end_s = max(self.last_end_s, pool.ends_s)
            assignments.append(PoolAssignment(pool_id, pool.epoch, validity_s))
        return assignments

    def _may_assign(self, pool: _Pool, incarnation: int, now_s: float) -> bool:
        is_renewal = pool.epoch > 0 and pool.incarnation == incarnation
        return is_renewal or self._has_ended(pool, now_s)

    def _has_ended(self, pool: _Pool, now_s: float) -> bool:
        return now_s >= pool.ends_s

    def _live_requesters(self, now_s: float) -> list[str]:
        return [
            name
            for name, requester in self.requesters.items()
            if requester.accepting and requester.live_until_s >= now_s
        ]

    def _owner_map(self) -> dict[str, PoolOwner]:
        return {
            pool_id: PoolOwner(pool.owner, pool.epoch)
            for pool_id, pool in self.pools.items()
            if pool.owner is not None
        }
