"""Assignment of pools to owners by the coordinator of a failure domain."""

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

TERM_SHIFT = 16
"""An epoch is the term, shifted by this number of bits, plus a counter."""

LIVE_PART = 0.6
"""An owner that has not asked for this part of an assignment gets no more pools."""

LIVE_PERIODS = 2.4
"""Periods of its requests after which a silent instance gets no more pools."""

MAX_SPLIT_DEPTH = 5
"""Bounds the shards that one request can make; a larger pool is split again."""

BALANCE_PARTS = 2.0
"""Pools move to a new instance after it was live for this many assignments."""

SETTLE_PART = 0.2
"""A new coordinator waits this part of an assignment for the former owners to ask."""


@dataclass(slots=True)
class _Pool:
    """What the coordinator knows of one pool."""

    owner: str | None = None
    incarnation: int = 0
    epoch: int = 0
    claimed_epoch: int = 0
    ends_s: float = float("-inf")
    receiver: str | None = None


@dataclass(slots=True)
class _Candidate:
    """An instance that asked for pools."""

    since_s: float
    live_until_s: float
    accepting: bool


class PoolAssigner:
    """Maps each pool to one owner while this instance is the coordinator.

    Parameters
    ----------
    assignment_s : float, > 0
        Longest validity of an assignment in seconds; shorter than the coordinator's lease.

    Notes
    -----
    An owner asks at a fixed interval, and counts the validity from the time at which it sent the
    request. A pool gets another owner only after the last assignment ended by the coordinator's
    clock or was released. An assignment never exceeds the coordinator's lease; so a new coordinator
    starts when all assignments of its predecessor have ended.
    """

    def __init__(self, assignment_s: float) -> None:
        self.assignment_s = assignment_s
        self.live_s = assignment_s * LIVE_PART
        self.pools: dict[str, _Pool] = {}
        self.candidates: dict[str, _Candidate] = {}
        self.lease_since_s = float("-inf")
        self.settled_s = 0.0
        self.next_move_s = 0.0
        self.next_epoch = 0
        self.version = 0
        self.last_end_s = float("-inf")
        self.forgotten_end_s = float("-inf")
        self.stopping = False

    def receive(
        self, sender: str, request: AssignmentRequest, now_s: float, lease: CoordinatorLease
    ) -> PoolAssignments:
        """Answer the request of an instance.

        Parameters
        ----------
        sender : str
            Instance that asks.
        request : AssignmentRequest
            What it holds, gives back and wants.
        now_s : float
            Clock reading in seconds.
        lease : CoordinatorLease
            The coordinator's own lease, held at `now_s`.

        Returns
        -------
        PoolAssignments
            The answer.
        """
        if lease.since_s != self.lease_since_s:
            self._begin_lease(lease, now_s)
        self.next_epoch = max(self.next_epoch, lease.term << TERM_SHIFT)
        live_s = self.live_s
        if request.period_s is not None:
            live_s = max(live_s, min(LIVE_PERIODS * request.period_s, 2 * self.assignment_s))
        known = self.candidates.get(sender)
        is_live = known is not None and known.accepting and known.live_until_s >= now_s
        since_s = known.since_s if is_live else now_s
        self.candidates[sender] = _Candidate(since_s, now_s + live_s, request.accepting)
        self._note_pools(sender, request, now_s)
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
        """Choose an owner for every pool whose last assignment has certainly ended.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.
        """
        live = self._live_candidates(now_s)
        owned = self._count_owned()
        for pool_id, pool in self.pools.items():
            if pool.owner in live or not self._has_ended(pool, now_s):
                continue
            if pool.owner is None and now_s < self.settled_s:
                continue
            owner = choose_balanced_owner(pool_id, live, owned, len(self.pools))
            if owner is not None and owner != pool.owner:
                self.pools[pool_id] = _Pool(owner, ends_s=pool.ends_s)
                owned[owner] += 1
                self.version += 1

    def _count_owned(self) -> Counter:
        return Counter(pool.owner for pool in self.pools.values() if pool.owner is not None)

    def _balance(self, owner: str, now_s: float) -> list[str]:
        """Return the pools that an owner shall give back to another instance.

        One pool moves at a time, and only to an instance that has been live for a while, so that
        restarts do not make pools go back and forth.
        """
        mine = {pool_id: pool for pool_id, pool in self.pools.items() if pool.owner == owner}
        if now_s >= self.next_move_s:
            oldest_s = now_s - self.assignment_s * BALANCE_PARTS
            live = self._live_candidates(now_s)
            steady = [name for name in live if self.candidates[name].since_s <= oldest_s]
            granted = [pool_id for pool_id, pool in mine.items() if pool.epoch > 0]
            move = choose_move(owner, granted, self._count_owned(), steady) if granted else None
            if move is not None:
                mine[move[0]].receiver = move[1]
                self.next_move_s = now_s + self.assignment_s
        return [pool_id for pool_id, pool in mine.items() if pool.receiver is not None]

    def stop(self) -> float:
        """Assign no more and return the clock reading at which all assignments have ended."""
        self.stopping = True
        return self.last_end_s

    def _begin_lease(self, lease: CoordinatorLease, now_s: float) -> None:
        # Other coordinators may have assigned the pools since this instance's last lease.
        self.lease_since_s = lease.since_s
        self.forgotten_end_s = self.last_end_s
        self.pools = {}
        self.candidates = {}
        self.version = max(self.version + 1, lease.term << TERM_SHIFT)
        self.settled_s = now_s + self.assignment_s * SETTLE_PART
        self.next_move_s = now_s + self.assignment_s * BALANCE_PARTS

    def _note_pools(self, sender: str, request: AssignmentRequest, now_s: float) -> None:
        depths = {split.pool_id: split.depth for split in request.splits}
        for released in request.released:
            self._note_release(sender, released, depths.get(released.pool_id, 0))
        for held in request.held:
            self._note_claim(sender, held)
        for pool_id in request.wanted:
            if pool_id not in self.pools and not self._find_overlaps(pool_id):
                self.pools[pool_id] = _Pool(ends_s=self.forgotten_end_s)

    def _note_claim(self, sender: str, held: HeldPool) -> None:
        """Prefer the last owner for a pool that this coordinator has not assigned yet."""
        pool = self.pools.get(held.pool_id)
        if pool is not None and (pool.epoch > 0 or pool.claimed_epoch >= held.epoch):
            return
        overlaps = self._find_overlaps(held.pool_id)
        if any(self.pools[name].epoch > 0 or len(name) > len(held.pool_id) for name in overlaps):
            # The claim is older than a split, or this coordinator has already assigned the whole.
            return
        for name in overlaps:
            del self.pools[name]
        self.pools[held.pool_id] = _Pool(
            sender,
            claimed_epoch=held.epoch,
            ends_s=self.forgotten_end_s if pool is None else pool.ends_s,
        )
        self.version += 1

    def _find_overlaps(self, pool_id: str) -> list[str]:
        """Return the known pools that can contain the same upstreams under another id."""
        return [name for name in self.pools if pools_overlap(name, pool_id)]

    def _note_release(self, sender: str, released: HeldPool, depth: int) -> None:
        pool = self.pools.get(released.pool_id)
        if pool is None or pool.owner != sender or not 0 < pool.epoch <= released.epoch:
            return
        # The assignment has ended, so that nothing about the pool must be remembered.
        del self.pools[released.pool_id]
        self.version += 1
        if depth > 0:
            for shard in split_shard(released.pool_id, min(depth, MAX_SPLIT_DEPTH)):
                self.pools[shard] = _Pool(ends_s=self.forgotten_end_s)
        elif pool.receiver is not None:
            self.pools[released.pool_id] = _Pool(pool.receiver, ends_s=self.forgotten_end_s)

    def _renew(
        self, sender: str, request: AssignmentRequest, now_s: float, lease: CoordinatorLease
    ) -> list[PoolAssignment]:
        validity_s = min(self.assignment_s, lease.until_s - now_s)
        if self.stopping or validity_s <= 0:
            return []
        assignments = []
        for pool_id, pool in self.pools.items():
            if pool.owner != sender or not self._may_grant(pool, request.incarnation, now_s):
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

    def _may_grant(self, pool: _Pool, incarnation: int, now_s: float) -> bool:
        is_renewal = pool.epoch > 0 and pool.incarnation == incarnation
        return is_renewal or self._has_ended(pool, now_s)

    def _has_ended(self, pool: _Pool, now_s: float) -> bool:
        return now_s >= pool.ends_s

    def _live_candidates(self, now_s: float) -> list[str]:
        return [
            name
            for name, candidate in self.candidates.items()
            if candidate.accepting and candidate.live_until_s >= now_s
        ]

    def _owner_map(self) -> dict[str, PoolOwner]:
        return {
            pool_id: PoolOwner(pool.owner, pool.epoch)
            for pool_id, pool in self.pools.items()
            if pool.owner is not None
        }
