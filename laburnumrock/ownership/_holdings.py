"""Pools that this instance owns, and its map of all owners of the failure domain."""

from laburnumrock.messages import Effect, Send
from laburnumrock.ownership._clock import holder_duration_s
from laburnumrock.ownership._messages import (
    AssignmentRequest,
    HeldPool,
    PoolAssignments,
    PoolOwner,
    PoolSplit,
)

REQUESTS_PER_ASSIGNMENT = 5
IDLE_REQUESTS_PER_ASSIGNMENT = 2
"""Requests of an instance that owns and wants nothing; `OwnersChanged` makes it ask at once."""
MAX_PENDING_REQUESTS = 16


class PoolAssignmentClient:
    """Owner's side of the pool assignments.

    Parameters
    ----------
    instance_id : str
        This instance.
    incarnation : int
        Changes with every start of the process.
    assignment_s : float, > 0
        Longest validity of an assignment in seconds.
    """

    def __init__(self, instance_id: str, incarnation: int, assignment_s: float) -> None:
        self.instance_id = instance_id
        self.incarnation = incarnation
        self.assignment_s = assignment_s
        self.owners: dict[str, PoolOwner] = {}
        self.version = 0
        self.wanted: set[str] = set()
        self.accepting = True
        self.sequence = 0
        self.last_coordinator: str | None = None
        self.next_request_s = float("-inf")
        self.held: dict[str, HeldPool] = {}
        self.ends_s: dict[str, float] = {}
        self.released: dict[str, HeldPool] = {}
        self.released_at: dict[str, int] = {}
        self.splits: dict[str, int] = {}
        self.pending: dict[int, tuple[str, float]] = {}

    def epoch(self, pool_id: str, now_s: float) -> int | None:
        """Return the epoch under which this instance owns a pool now, or None."""
        if now_s >= self.ends_s.get(pool_id, float("-inf")):
            return None
        return self.held[pool_id].epoch

    def owned_pools(self, now_s: float) -> dict[str, int]:
        """Return the pools that this instance owns now, with their epochs."""
        return {
            pool_id: held.epoch
            for pool_id, held in self.held.items()
            if now_s < self.ends_s[pool_id]
        }

    def find_owner(self, pool_id: str) -> str | None:
        """Return the instance that probably owns a pool."""
        owner = self.owners.get(pool_id)
        return None if owner is None else owner.instance_id

    def release(self, pool_id: str) -> None:
        """Give a pool back; this instance no longer owns it when the call returns."""
        held = self.held.pop(pool_id, None)
        if held is not None:
            del self.ends_s[pool_id]
            self.released[pool_id] = held
            self.released_at[pool_id] = self.sequence

    def split(self, pool_id: str, depth: int) -> None:
        """Give a pool back so that ``2 ** depth`` shards take its place.

        The shards get owners only after the coordinator knows of the release, as in any hand-over.
        """
        self.release(pool_id)
        if pool_id in self.released:
            self.splits[pool_id] = depth
            self.request_at_next_tick()

    def release_all(self) -> None:
        """Give all pools back and accept no other ones."""
        self.accepting = False
        for pool_id in list(self.held):
            self.release(pool_id)

    def next_tick_s(self, coordinator: str | None) -> float:
        """Return the clock reading at which a tick is needed next, in seconds."""
        if coordinator is None:
            return float("inf")
        return self.next_request_s if coordinator == self.last_coordinator else float("-inf")

    def tick(self, now_s: float, coordinator: str | None) -> list[Effect]:
        """Ask the coordinator for pools when due.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.
        coordinator : str, optional
            Instance that is probably the coordinator.

        Returns
        -------
        list of Effect
            Messages to send.
        """
        is_new = coordinator != self.last_coordinator
        if coordinator is None or (now_s < self.next_request_s and not is_new):
            return []
        self.last_coordinator = coordinator
        # A new coordinator learns from its members which pools exist.
        wanted = self.wanted | self.owners.keys() if is_new else self.wanted
        period_s = self._find_period_s(coordinator)
        self.next_request_s = now_s + period_s
        self.sequence += 1
        self.pending[self.sequence] = (coordinator, now_s)
        self.pending.pop(self.sequence - MAX_PENDING_REQUESTS, None)
        self._drop_old_releases()
        request = AssignmentRequest(
            self.sequence,
            self.incarnation,
            self.accepting,
            list(self.held.values()),
            list(self.released.values()),
            sorted(wanted),
            self.version,
            period_s,
            [PoolSplit(pool_id, depth) for pool_id, depth in self.splits.items()],
        )
        return [Send(coordinator, request)]

    def request_at_next_tick(self) -> None:
        """Ask the coordinator with the next tick."""
        self.next_request_s = float("-inf")

    def observe_version(self, version: int) -> None:
        """Ask the coordinator with the next tick if its owner map is another one."""
        if version != self.version:
            self.request_at_next_tick()

    def _find_period_s(self, coordinator: str) -> float:
        # The coordinator asks itself, which costs no message and keeps its assignments moving.
        is_idle = not (self.held or self.wanted or self.released)
        if is_idle and coordinator != self.instance_id:
            return self.assignment_s / IDLE_REQUESTS_PER_ASSIGNMENT
        return self.assignment_s / REQUESTS_PER_ASSIGNMENT

    def receive(self, sender: str, message: PoolAssignments, now_s: float) -> list[Effect]:
        """Take over the assignments of an answer.

        Parameters
        ----------
        sender : str
            Instance that answered.
        message : PoolAssignments
            The answer.
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        list of Effect
            Always empty.
        """
        coordinator, sent_s = self.pending.pop(message.sequence, ("", 0.0))
        if coordinator != sender or message.incarnation != self.incarnation:
            return []
        for assignment in message.assignments:
            self._take(assignment.pool_id, assignment.epoch, assignment.validity_s, sent_s)
        if message.owners is not None:
            self.owners = message.owners
            self.version = message.version
            self._drop_lost_pools(now_s)
        for pool_id in message.give_back:
            self.release(pool_id)
            self.request_at_next_tick()
        return []

    def _drop_lost_pools(self, now_s: float) -> None:
        """Claim no pool that ended here and has another owner."""
        for pool_id in list(self.held):
            owner = self.find_owner(pool_id)
            if owner not in (None, self.instance_id) and now_s >= self.ends_s[pool_id]:
                del self.held[pool_id]
                del self.ends_s[pool_id]

    def _drop_old_releases(self) -> None:
        # Answers to requests from before the release are no longer accepted by then.
        for pool_id, sequence in list(self.released_at.items()):
            if sequence <= self.sequence - MAX_PENDING_REQUESTS:
                del self.released_at[pool_id]
                del self.released[pool_id]
                self.splits.pop(pool_id, None)

    def _take(self, pool_id: str, epoch: int, validity_s: float, sent_s: float) -> None:
        released = self.released.get(pool_id)
        if released is not None and epoch <= released.epoch:
            return
        self.released.pop(pool_id, None)
        self.released_at.pop(pool_id, None)
        self.splits.pop(pool_id, None)
        held = self.held.get(pool_id)
        if held is not None and epoch < held.epoch:
            return
        ends_s = sent_s + holder_duration_s(validity_s)
        if held is not None and held.epoch == epoch:
            ends_s = max(ends_s, self.ends_s[pool_id])
        self.held[pool_id] = HeldPool(pool_id, epoch)
        self.ends_s[pool_id] = ends_s
