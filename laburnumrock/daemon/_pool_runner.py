"""One pool that this instance owns."""

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
"""Mean size of new shards, below the maximum because hashes do not divide a pool evenly."""


class ServiceStateView(Protocol):
    """The part of `DeclarationView` that pools need."""

    def is_in_service(self, kind: str, name: str) -> bool:
        """Return whether a failure domain, instance or upstream may take new work."""

    def is_stale(self, now_s: float) -> bool:
        """Return whether the declarations were not confirmed recently."""


class Scheduler(Protocol):
    """The part of `PoolScheduler` that the pool task needs."""

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a message about permits."""

    def tick(self, now_s: float) -> list[Effect]:
        """Handle time limits."""

    def next_tick_s(self, now_s: float) -> float:
        """Return the clock reading at which a tick is needed next."""

    def has_spanning_permit(self) -> bool:
        """Return whether a permit or request needs several upstreams."""

    def observe_upstream(self, announcement: UpstreamAnnouncement, now_s: float) -> list[Effect]:
        """Take over an announcement."""

    def remove_upstream(self, upstream_id: str, now_s: float) -> list[Effect]:
        """Remove an upstream."""

    def set_in_service(self, upstream_id: str, in_service: bool, now_s: float) -> list[Effect]:
        """Allow or forbid new work on an upstream."""

    def set_pool_in_service(self, in_service: bool, now_s: float) -> list[Effect]:
        """Allow or forbid new work in the whole pool."""

    def observe_held_requests(
        self, upstream_id: str, held_tokens: dict[str, int], read_at_s: float, now_s: float
    ) -> list[Effect]:
        """Take over what an engine holds."""

    def confirm_cancel(self, upstream_id: str, request_id: str, now_s: float) -> list[Effect]:
        """Note that an upstream confirmed a cancel."""

    def summarize(self, now_s: float) -> PoolSummary:
        """Return the load of the pool."""


SchedulerFactory = Callable[[str, int, float], Scheduler]


def make_scheduler_factory(settings: InstanceSettings) -> SchedulerFactory:
    """Return the function that makes the scheduler of a pool.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance, with the placement policy.
    """

    def make(pool_id: str, epoch: int, now_s: float) -> PoolScheduler:
        pool = PoolSettings(pool_id, epoch, settings.placement_policy, settings.timing.permit_ttl_s)
        # An earlier owner may always have existed; engines' lists soon show what is in use.
        rng = random.Random(f"{settings.seed}/{pool_id}/{epoch}")
        return PoolScheduler(pool, rng, now_s, take_over=True)

    return make


@dataclass(slots=True)
class SeenUpstream:
    """Last announcement of an upstream.

    Parameters
    ----------
    announcement : UpstreamAnnouncement
        What it announced.
    seen_s : float
        Clock reading at the announcement, in seconds.
    in_service : bool
        What the scheduler was told.
    next_read_s : float
        When the list of held requests is read next; at once after a new incarnation.
    checksum : int
        Checksum of the announcement without its load.
    """

    announcement: UpstreamAnnouncement
    seen_s: float
    in_service: bool
    next_read_s: float = float("-inf")
    checksum: int = 0


@dataclass(slots=True)
class PoolRunner:
    """Scheduler of one pool and the upstreams that it knows.

    Parameters
    ----------
    pool_id : str
        The pool.
    epoch : int
        Epoch under which this instance owns it.
    scheduler : Scheduler
        Decides on permits.
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
    upstreams: dict[str, SeenUpstream] = field(default_factory=dict)
    last_seen_s: float = float("-inf")
    in_service: bool = True

    def observe(
        self, announcement: UpstreamAnnouncement, view: ServiceStateView, now_s: float
    ) -> list[Effect]:
        """Take over an announcement; one of an older incarnation is dropped."""
        name = announcement.upstream_id
        seen = self.upstreams.get(name)
        if seen is not None and seen.announcement.incarnation > announcement.incarnation:
            return []
        self.last_seen_s = now_s
        effects: list[Effect] = []
        in_service = view.is_in_service("upstream", name)
        if seen is None or seen.in_service != in_service:
            # Set before the announcement, which can make the scheduler grant on the upstream.
            effects += self.scheduler.set_in_service(name, in_service, now_s)
        checksum = compute_checksum(announcement)
        fresh = SeenUpstream(announcement, now_s, in_service, checksum=checksum)
        if seen is not None and seen.announcement.incarnation == announcement.incarnation:
            fresh.next_read_s = seen.next_read_s
        self.upstreams[name] = fresh
        return effects + self.scheduler.observe_upstream(announcement, now_s)

    def expire(self, expiry_s: float, now_s: float) -> list[Effect]:
        """Forget the upstreams whose announcements stopped.

        Parameters
        ----------
        expiry_s : float
            Time after the last announcement, in seconds.
        now_s : float
            Clock reading in seconds.
        """
        effects: list[Effect] = []
        for upstream_id, seen in list(self.upstreams.items()):
            if now_s - seen.seen_s >= expiry_s:
                del self.upstreams[upstream_id]
                effects += self.scheduler.remove_upstream(upstream_id, now_s)
        return effects

    def apply_service_states(self, view: ServiceStateView, now_s: float) -> list[Effect]:
        """Tell the scheduler what operators took out of service or back in."""
        effects: list[Effect] = []
        domain = parse_pool_id(self.pool_id).failure_domain
        pool_in_service = view.is_in_service("failure_domain", domain)
        if pool_in_service != self.in_service:
            self.in_service = pool_in_service
            effects += self.scheduler.set_pool_in_service(pool_in_service, now_s)
        for name, seen in self.upstreams.items():
            in_service = view.is_in_service("upstream", name)
            if in_service != seen.in_service:
                seen.in_service = in_service
                effects += self.scheduler.set_in_service(name, in_service, now_s)
        return effects

    def next_tick_s(self, expiry_s: float, now_s: float) -> float:
        """Return the clock reading at which the pool needs attention next, in seconds."""
        due_s = self.scheduler.next_tick_s(now_s)
        for seen in self.upstreams.values():
            due_s = min(due_s, seen.seen_s + expiry_s)
            if seen.announcement.kind is UpstreamKind.MODEL_ENGINE:
                due_s = min(due_s, seen.next_read_s)
        return due_s

    def split_depth(self) -> int:
        """Return how often the pool must be split; 0 while it is small enough.

        A permit for a spanning prompt must stay in one shard, so that a split waits for its end.
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
        for seen in self.upstreams.values():
            if seen.announcement.kind is UpstreamKind.MODEL_ENGINE and now_s >= seen.next_read_s:
                seen.next_read_s = now_s + interval_s
                due.append(seen.announcement)
        return due


def find_pool_id(announcement: UpstreamAnnouncement) -> str:
    """Return the id of the pool to which an upstream belongs."""
    if announcement.kind is UpstreamKind.MODEL_ENGINE:
        kind, served = MODEL_POOL, announcement.models
    else:
        kind, served = SERVICE_POOL, announcement.services
    return PoolName(announcement.failure_domain, kind, tuple(served)).pool_id
