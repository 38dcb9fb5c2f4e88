"""Assignment of pools to owners by the coordinator of a failure domain."""

import hashlib
from dataclasses import dataclass

from laburnumrock.ownership._elector import CoordinatorLease
from laburnumrock.ownership._messages import (
    AssignmentRequest,
    HeldPool,
    PoolAssignment,
    PoolAssignments,
    PoolOwner,
)

TERM_SHIFT = 16
"""An epoch is the term, shifted by this number of bits, plus a counter."""

LIVE_PART = 0.6
"""An owner that has not asked for this part of an assignment gets no more pools."""

LIVE_PERIODS = 2.4
"""Periods of its requests after which a silent instance gets no more pools."""

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


@dataclass(slots=True)
class _Candidate:
    """An instance that asked for pools."""

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
        self.candidates[sender] = _Candidate(now_s + live_s, request.accepting)
        self._note_pools(sender, request, now_s)
        self.assign(now_s)
        assignments = self._renew(sender, request, now_s, lease)
        owners = None
        if request.known_version != self.version:
            owners = self._owner_map()
        return PoolAssignments(
            request.sequence, request.incarnation, assignments, self.version, owners
        )

    def assign(self, now_s: float) -> None:
        """Choose an owner for every pool whose last assignment has certainly ended.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.
        """
        live = self._live_candidates(now_s)
        for pool_id, pool in self.pools.items():
            if pool.owner in live or not self._has_ended(pool, now_s):
                continue
            if pool.owner is None and now_s < self.settled_s:
                continue
            owner = choose_owner(pool_id, live)
            if owner is not None and owner != pool.owner:
                self.pools[pool_id] = _Pool(owner, ends_s=pool.ends_s)
                self.version += 1

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

    def _note_pools(self, sender: str, request: AssignmentRequest, now_s: float) -> None:
        for released in request.released:
            self._note_release(sender, released)
        for held in request.held:
            self._note_claim(sender, held)
        for pool_id in request.wanted:
            if pool_id not in self.pools:
                self.pools[pool_id] = _Pool(ends_s=self.forgotten_end_s)

    def _note_claim(self, sender: str, held: HeldPool) -> None:
        """Prefer the last owner for a pool that this coordinator has not assigned yet."""
        pool = self.pools.get(held.pool_id)
        if pool is not None and (pool.epoch > 0 or pool.claimed_epoch >= held.epoch):
            return
        self.pools[held.pool_id] = _Pool(
            sender,
            claimed_epoch=held.epoch,
            ends_s=self.forgotten_end_s if pool is None else pool.ends_s,
        )
        self.version += 1

    def _note_release(self, sender: str, released: HeldPool) -> None:
        pool = self.pools.get(released.pool_id)
        if pool is not None and pool.owner == sender and 0 < pool.epoch <= released.epoch:
            # The assignment has ended, so that nothing about the pool must be remembered.
            del self.pools[released.pool_id]
            self.version += 1

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


def choose_owner(pool_id: str, instances: list[str]) -> str | None:
    """Choose the owner of a pool by rendezvous hash.

    Parameters
    ----------
    pool_id : str
        The pool.
    instances : list of str
        Instances that can own it.

    Returns
    -------
    str or None
        The instance with the highest weight; None without instances.
    """
    return max(instances, key=lambda name: _weight(pool_id, name), default=None)


def _weight(pool_id: str, instance_id: str) -> bytes:
    return hashlib.blake2b(f"{pool_id}\0{instance_id}".encode(), digest_size=8).digest()
