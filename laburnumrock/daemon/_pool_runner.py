"""One pool that this instance owns."""

from dataclasses import dataclass, field
from typing import Protocol

from laburnumrock.daemon._pool_messages import PoolSummary
from laburnumrock.messages import Effect
from laburnumrock.upstreams import UpstreamAnnouncement


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

    def observe_upstream(self, announcement: UpstreamAnnouncement, now_s: float) -> list[Effect]:
        """Take over an announcement."""

    def forget_upstream(self, upstream_id: str, now_s: float) -> list[Effect]:
        """Remove an upstream."""

    def set_in_service(self, upstream_id: str, in_service: bool, now_s: float) -> list[Effect]:
        """Allow or forbid new work on an upstream."""

    def confirm_cancel(self, upstream_id: str, request_id: str, now_s: float) -> list[Effect]:
        """Note that an upstream confirmed a cancel."""

    def summary(self, now_s: float) -> PoolSummary:
        """Return the load of the pool."""


@dataclass(slots=True)
class SeenUpstream:
    """Last announcement of an upstream."""

    announcement: UpstreamAnnouncement
    seen_s: float
    in_service: bool = True


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

    def observe(
        self, announcement: UpstreamAnnouncement, view: ServiceStateView, now_s: float
    ) -> list[Effect]:
        """Take over an announcement; one of an older incarnation is dropped."""
        seen = self.upstreams.get(announcement.upstream_id)
        if seen is not None and seen.announcement.incarnation > announcement.incarnation:
            return []
        self.last_seen_s = now_s
        in_service = True if seen is None else seen.in_service
        self.upstreams[announcement.upstream_id] = SeenUpstream(announcement, now_s, in_service)
        effects = self.scheduler.observe_upstream(announcement, now_s) or []
        return effects + self.apply_service_states(view, now_s, announcement.upstream_id)

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
                effects += self.scheduler.forget_upstream(upstream_id, now_s) or []
        return effects

    def apply_service_states(
        self, view: ServiceStateView, now_s: float, upstream_id: str | None = None
    ) -> list[Effect]:
        """Tell the scheduler which upstreams operators took out of service or back in."""
        effects: list[Effect] = []
        for name in [upstream_id] if upstream_id else list(self.upstreams):
            seen = self.upstreams[name]
            domain = seen.announcement.failure_domain
            in_service = view.is_in_service("failure_domain", domain)
            in_service = in_service and view.is_in_service("upstream", name)
            if in_service != seen.in_service:
                seen.in_service = in_service
                effects += self.scheduler.set_in_service(name, in_service, now_s) or []
        return effects
