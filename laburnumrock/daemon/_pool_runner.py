"""Runs the scheduler of one pool owned by this instance."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from laburnumrock.messages import Effect
from laburnumrock.ownership import (
    MAX_SHARD_BITS,
    MAX_SHARD_UPSTREAMS,
    MODEL_POOL,
    SERVICE_POOL,
    PoolName,
    parse_pool_id,
)
from laburnumrock.placement import PoolScheduler, PoolSettings, PoolSummary
from laburnumrock.settings import InstanceSettings
from laburnumrock.upstreams import UpstreamAnnouncement, UpstreamKind, compute_checksum

TARGET_SHARD_UPSTREAMS = 24
"""Target mean size of new shards; below the maximum because hashing divides a pool unevenly."""


class ServiceStateView(Protocol):
    """Subset of `DeclarationView` that pools need."""

    def is_in_service(self, kind: str, name: str) -> bool:
        """Return whether a failure domain, instance or upstream may accept new work."""

    def is_stale(self, now_s: float) -> bool:
        """Return whether the declarations have not been confirmed recently."""


class Scheduler(Protocol):
    """Subset of `PoolScheduler` that the pool task needs."""

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Process a permit message."""

    def tick(self, now_s: float) -> list[Effect]:
        """Process expired timeouts."""

    def next_tick_s(self, now_s: float) -> float:
        """Return the clock reading at which the next tick is due."""

    def has_spanning_permit(self) -> bool:
        """Return whether any permit or queued request spans several upstreams."""

    def observe_upstream(self, announcement: UpstreamAnnouncement, now_s: float) -> list[Effect]:
        """Process the announcement of an upstream."""

    def remove_upstream(self, upstream_id: str, now_s: float) -> list[Effect]:
        """Remove an upstream."""

    def set_in_service(self, upstream_id: str, in_service: bool, now_s: float) -> list[Effect]:
        """Allow or forbid new work on an upstream."""

    def set_pool_in_service(self, in_service: bool, now_s: float) -> list[Effect]:
        """Allow or forbid new work in the whole pool."""

    def observe_held_requests(
        self, upstream_id: str, held_tokens: dict[str, int], read_at_s: float, now_s: float
    ) -> list[Effect]:
        """Reconcile the permits with the requests that an engine reports as held."""

    def confirm_cancel(self, upstream_id: str, request_id: str, now_s: float) -> list[Effect]:
        """Record that an upstream confirmed a cancellation."""

    def summarize(self, now_s: float) -> PoolSummary:
        """Return the load of the pool."""


SchedulerFactory = Callable[[str, int, float], Scheduler]


def make_scheduler_factory(settings: InstanceSettings) -> SchedulerFactory:
    """Return a function that creates the scheduler of a pool.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance, with the placement policy.
    """

    def make(pool_id: str, epoch: int, now_s: float) -> PoolScheduler:
        pool = PoolSettings(pool_id, epoch, settings.placement_policy, settings.timing.permit_ttl_s)
        # Assume that an earlier owner granted permits that are still in use; the lists of requests
        # held by the engines soon show which.
        rng = random.Random(f"{settings.seed}/{pool_id}/{epoch}")
        return PoolScheduler(pool, rng, now_s, take_over=True)

    return make


@dataclass(slots=True)
class UpstreamRecord:
    """State of an upstream since its last announcement.

    Parameters
    ----------
    announcement : UpstreamAnnouncement
        Last announcement.
    announced_s : float
        Clock reading at the announcement, in seconds.
    in_service : bool
        Service state last passed to the scheduler.
    next_read_s : float
        Clock reading at which the list of held requests is read next; immediately after a new
        incarnation.
    checksum : int
        Checksum of the announcement without its load.
    """

    announcement: UpstreamAnnouncement
    announced_s: float
    in_service: bool
    next_read_s: float = float("-inf")
    checksum: int = 0


@dataclass(slots=True)
class PoolRunner:
    """Scheduler of one pool and its known upstreams.

    Parameters
    ----------
    pool_id : str
        Pool to run.
    epoch : int
        Epoch under which this instance owns the pool.
    scheduler : Scheduler
        Grants and refuses permits.
    started_s : float
        Clock reading at the take-over of the pool, in seconds.
    owned_s : float
        Clock reading at which the pool was last owned, in seconds.
    """

    pool_id: str
    epoch: int
    scheduler: Scheduler
    started_s: float
    owned_s: float
    upstreams: dict[str, UpstreamRecord] = field(default_factory=dict)
    last_seen_s: float = float("-inf")
    in_service: bool = True

    def observe(
        self, announcement: UpstreamAnnouncement, view: ServiceStateView, now_s: float
    ) -> list[Effect]:
        """Process an announcement; one from an older incarnation is ignored."""
        name = announcement.upstream_id
        record = self.upstreams.get(name)
        if record is not None and record.announcement.incarnation > announcement.incarnation:
            return []
        self.last_seen_s = now_s
        effects: list[Effect] = []
        in_service = view.is_in_service("upstream", name)
        if record is None or record.in_service != in_service:
            # Set before the announcement, which may make the scheduler grant permits on it.
            effects += self.scheduler.set_in_service(name, in_service, now_s)
        checksum = compute_checksum(announcement)
        new_record = UpstreamRecord(announcement, now_s, in_service, checksum=checksum)
        if record is not None and record.announcement.incarnation == announcement.incarnation:
            new_record.next_read_s = record.next_read_s
        self.upstreams[name] = new_record
        return effects + self.scheduler.observe_upstream(announcement, now_s)

    def expire(self, expiry_s: float, now_s: float) -> list[Effect]:
        """Remove the upstreams that stopped announcing themselves.

        Parameters
        ----------
        expiry_s : float
            Time after the last announcement at which an upstream is removed, in seconds.
        now_s : float
            Clock reading in seconds.
        """
        effects: list[Effect] = []
        for upstream_id, record in list(self.upstreams.items()):
            if now_s - record.announced_s >= expiry_s:
                del self.upstreams[upstream_id]
                effects += self.scheduler.remove_upstream(upstream_id, now_s)
        return effects

    def apply_service_states(self, view: ServiceStateView, now_s: float) -> list[Effect]:
        """Pass changes of the declared service states to the scheduler."""
        effects: list[Effect] = []
        domain = parse_pool_id(self.pool_id).failure_domain
        pool_in_service = view.is_in_service("failure_domain", domain)
        if pool_in_service != self.in_service:
            self.in_service = pool_in_service
            effects += self.scheduler.set_pool_in_service(pool_in_service, now_s)
        for name, record in self.upstreams.items():
            in_service = view.is_in_service("upstream", name)
            if in_service != record.in_service:
                record.in_service = in_service
                effects += self.scheduler.set_in_service(name, in_service, now_s)
        return effects

    def next_tick_s(self, expiry_s: float, now_s: float) -> float:
        """Return the clock reading at which the next tick of the pool is due, in seconds."""
        due_s = self.scheduler.next_tick_s(now_s)
        for record in self.upstreams.values():
            due_s = min(due_s, record.announced_s + expiry_s)
            if record.announcement.kind is UpstreamKind.MODEL_ENGINE:
                due_s = min(due_s, record.next_read_s)
        return due_s

    def split_depth(self) -> int:
        """Return how many times the pool must be halved; 0 while it is small enough.

        A permit that spans several upstreams must stay in one shard, so a split waits until it
        has ended.
        """
        count = len(self.upstreams)
        is_shardable = parse_pool_id(self.pool_id).kind == MODEL_POOL
        if count <= MAX_SHARD_UPSTREAMS or not is_shardable or self.scheduler.has_spanning_permit():
            return 0
        depth = max(1, math.ceil(math.log2(count / TARGET_SHARD_UPSTREAMS)))
        return min(depth, MAX_SHARD_BITS - len(parse_pool_id(self.pool_id).shard))

    def due_reads(self, interval_s: float, now_s: float) -> list[UpstreamAnnouncement]:
        """Return the engines whose list of held requests is due to be read."""
        due = []
        for record in self.upstreams.values():
            if (
                record.announcement.kind is UpstreamKind.MODEL_ENGINE
                and now_s >= record.next_read_s
            ):
                record.next_read_s = now_s + interval_s
                due.append(record.announcement)
        return due


def find_pool_id(announcement: UpstreamAnnouncement) -> str:
    """Return the id of the pool to which an upstream belongs."""
    if announcement.kind is UpstreamKind.MODEL_ENGINE:
        kind, served = MODEL_POOL, announcement.models
    else:
        kind, served = SERVICE_POOL, announcement.services
    return PoolName(announcement.failure_domain, kind, tuple(served)).pool_id
