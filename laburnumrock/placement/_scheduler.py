"""Scheduler of one pool, run by the instance that owns the pool."""

import random

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import Effect, Send
from laburnumrock.placement._allocator import PermitAllocator
from laburnumrock.placement._ledger import UpstreamLedger
from laburnumrock.placement._messages import (
    PermitCancel,
    PermitOutcome,
    PermitRelease,
    PermitRenewal,
    PermitRenewalAnswer,
    PermitRequest,
    PoolSummary,
)
from laburnumrock.placement._permits import PermitRegistry
from laburnumrock.placement._policies import POLICIES
from laburnumrock.placement._prediction import PoolPredictor
from laburnumrock.placement._queue import RequestQueue
from laburnumrock.placement._reconciler import EngineReconciler
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._spanning import ReservationHolder
from laburnumrock.placement._table import UpstreamTable
from laburnumrock.quarantine import CrashQuarantine
from laburnumrock.upstreams import UpstreamAnnouncement

# The ledger of an upstream that has stopped announcing itself is kept for this time, with its slow
# start and prefixes, and cancels on it are repeated. If it comes back later with requests still in
# memory, `observe_held_requests` detects them.
ABSENT_TIMEOUT_S = 60.0
RETURN_GRACE_S = 1.0
"""Time for which a request waits for an upstream that has just expired, if no other one serves it.
An engine that is silent for 2 s may announce itself 3 s after its last announcement."""
BUSY_TICK_S = 0.05
"""Interval of expiry, ageing and prediction updates while requests wait or run."""
IDLE_TICK_S = 1.0
OVERLOAD_OUTCOMES = (PermitOutcome.OVERLOADED, PermitOutcome.COLD)


class PoolScheduler:
    """Grants permits for the upstreams of one pool and queues requests that must wait.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    rng : random.Random
        Source of randomness for the policy.
    now_s : float
        Clock reading when this instance became the owner, in seconds.
    take_over : bool
        Whether permits granted by an earlier owner may still be in use.
    """

    def __init__(
        self, settings: PoolSettings, rng: random.Random, now_s: float, take_over: bool = False
    ) -> None:
        self.settings = settings
        self.started_s = now_s
        self.take_over_until_s = now_s + settings.permit_ttl_s if take_over else now_s
        self.in_service = True
        self.drained: set[str] = set()
        self.absent_since_s: dict[str, float] = {}
        self.table = UpstreamTable(settings)
        self.policy = POLICIES[settings.policy](settings, rng)
        self.queue = RequestQueue()
        self.predictor = PoolPredictor(settings, self.table, self.queue, self.policy)
        self.registry = PermitRegistry(settings, self.table)
        self.spanning_reservation = ReservationHolder(self.table)
        self.long_reservation = ReservationHolder(self.table)
        self.reconciler = EngineReconciler(settings, self.table, self.registry)
        self.quarantine = CrashQuarantine(settings.quarantine)
        self.allocator = PermitAllocator(self)

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a message from an entry instance.

        Parameters
        ----------
        sender : str
            Entry instance that receives the answers.
        message : object
            `PermitRequest`, `PermitCancel`, `PermitRelease` or `PermitRenewal`; others are
            ignored.
        now_s : float
            Clock reading in seconds.
        """
        match message:
            case PermitRequest():
                return self.allocator.request(sender, message, now_s)
            case PermitCancel():
                return self._cancel(message, now_s)
            case PermitRelease():
                return self._release(message, now_s)
            case PermitRenewal():
                accepts_unknown = now_s < self.take_over_until_s
                revoked = self.registry.renew(sender, message, accepts_unknown, now_s)
                return [Send(sender, PermitRenewalAnswer(revoked))]
        return []

    def tick(self, now_s: float) -> list[Effect]:
        """Expire permits, repeat cancels, grant queued requests and refuse late ones."""
        if self.take_over_until_s <= now_s:
            self.reconciler.finish_take_over(bool(self.queue), now_s)
        self._remove_absent(now_s)
        self.policy.observe(self.table, now_s)
        self.allocator.charge_later_prefills(now_s)
        self.registry.expire(bool(self.queue), now_s)
        self.quarantine.expire(now_s)
        effects = self.registry.due_cancels(now_s)
        effects += self.allocator.dispatch(now_s)
        effects += self.allocator.refuse_unreachable(now_s)
        return effects

    def next_tick_s(self, now_s: float) -> float:
        """Return the clock reading at which the next tick is due, in seconds."""
        if self.queue or self.registry.permits or self.registry.cancels:
            return now_s + BUSY_TICK_S
        if now_s < self.take_over_until_s:
            return self.take_over_until_s
        return now_s + IDLE_TICK_S

    def has_spanning_permit(self) -> bool:
        """Return whether any permit covers several upstreams."""
        return any(len(permit.grant.placements) > 1 for permit in self.registry.permits.values())

    def observe_upstream(self, announcement: UpstreamAnnouncement, now_s: float) -> list[Effect]:
        """Update an upstream from its announcement and grant queued requests that now fit."""
        ledger = self.table.get_or_add(announcement.upstream_id)
        known = ledger.announcement
        if known is not None and announcement.incarnation < known.incarnation:
            return []
        if known is None and now_s < self.take_over_until_s:
            ledger.assumed_full = not self.reconciler.has_report(ledger)
        ledger.apply(announcement)
        self.table.set_limit(ledger, announcement.max_requests_per_s, now_s)
        ledger.in_service = announcement.upstream_id not in self.drained
        self.absent_since_s.pop(announcement.upstream_id, None)
        if known is not None and known.incarnation != announcement.incarnation:
            ledger.assumed_full = False
            ledger.prefixes.clear()
            self.registry.free_upstream(ledger, now_s)
        ledger.prefixes.observe(announcement.cache_events)
        if known is None:
            ledger.slow_start.record_running(len(ledger.permits))
        self.table.reindex(ledger, now_s)
        return self.allocator.dispatch(now_s, [ledger])

    def remove_upstream(self, upstream_id: str, now_s: float) -> list[Effect]:
        """Stop using an upstream that no longer announces itself.

        Its permits stay in the ledger until they are released or expire, because their streams
        may still run. An upstream that announces the same incarnation again is used as before.
        """
        ledger = self.table.ledgers.get(upstream_id)
        if ledger is None:
            return []
        ledger.present = False
        self.table.limited.discard(upstream_id)
        self.absent_since_s.setdefault(upstream_id, now_s)
        self._clear_reservations_on(upstream_id, now_s)
        self.table.reindex(ledger, now_s)
        return self.allocator.dispatch(now_s)

    def find_return_limit_s(self, request: PermitRequest, now_s: float) -> float:
        """Return until when an expired upstream that serves a request may return; 0 if none may."""
        limits = [0.0]
        for upstream_id, since_s in self.absent_since_s.items():
            ledger = self.table.ledgers.get(upstream_id)
            if ledger is not None and ledger.was_usable and ledger.serves(request):
                limits.append(since_s + RETURN_GRACE_S)
        limit_s = max(limits)
        return limit_s if limit_s > now_s else 0.0

    def set_in_service(self, upstream_id: str, in_service: bool, now_s: float) -> list[Effect]:
        """Put an upstream in or out of service; granted permits are kept."""
        (self.drained.discard if in_service else self.drained.add)(upstream_id)
        ledger = self.table.ledgers.get(upstream_id)
        if ledger is not None:
            ledger.in_service = in_service
            self._clear_reservations_on(upstream_id, now_s)
            self.table.reindex(ledger, now_s)
        return self.allocator.dispatch(now_s)

    def set_pool_in_service(self, in_service: bool, now_s: float) -> list[Effect]:
        """Put the pool in or out of service; out of service, its queued requests are refused."""
        self.in_service = in_service
        if in_service:
            return self.allocator.dispatch(now_s)
        self.clear_reservations(now_s)
        return [
            self.allocator.refuse(waiting, ErrorKind.NO_UPSTREAM, now_s, "the pool is drained")
            for waiting in self.queue.pop_all()
        ]

    def confirm_cancel(self, upstream_id: str, request_id: str, now_s: float) -> list[Effect]:
        """Record that an upstream has confirmed a `CancelOnUpstream`."""
        self.registry.confirm_cancel(upstream_id, request_id, now_s)
        return self.allocator.dispatch(now_s)

    def observe_held_requests(
        self, upstream_id: str, held_tokens: dict[str, int], read_at_s: float, now_s: float
    ) -> list[Effect]:
        """Reconcile the ledger with the requests that hold memory on an engine.

        Parameters
        ----------
        upstream_id : str
            Id of the engine.
        held_tokens : dict from str to int
            KV tokens by request id, from ``GET /v1/load``.
        read_at_s : float
            Clock reading just before the list was requested, in seconds.
        now_s : float
            Clock reading in seconds.
        """
        self.reconciler.observe(upstream_id, held_tokens, read_at_s, now_s)
        return self.registry.due_cancels(now_s) + self.allocator.dispatch(now_s)

    def summarize(self, now_s: float) -> PoolSummary:
        """Return a summary of the load of the pool."""
        open_ledgers = [ledger for ledger in self.table.ledgers.values() if ledger.is_open]
        reference = self.predictor.reference_ledger()
        announcement = reference.announcement if reference else None
        return PoolSummary(
            pool_id=self.settings.pool_id,
            owner_epoch=self.settings.owner_epoch,
            in_service=self.in_service,
            upstreams=len(self.table.capacities),
            free_kv_tokens=sum(max(0, ledger.free_kv) for ledger in open_ledgers),
            queued=len(self.queue),
            expected_wait_s=self.predictor.expected_waits(self.in_service, now_s),
            largest_engine_tokens=self.table.largest_engine_tokens,
            prefill_tokens_per_s=announcement.prefill_tokens_per_s if announcement else 0.0,
            decode_step_s=announcement.decode_step_s if announcement else 0.0,
        )

    def _remove_absent(self, now_s: float) -> None:
        for upstream_id, since_s in list(self.absent_since_s.items()):
            ledger = self.table.ledgers.get(upstream_id)
            if ledger is None:
                del self.absent_since_s[upstream_id]
            elif now_s - since_s >= ABSENT_TIMEOUT_S:
                self.registry.free_upstream(ledger, now_s)
                self.table.discard(ledger)
                del self.absent_since_s[upstream_id]

    def clear_reservations(self, now_s: float, key: tuple[str, int] | None = None) -> None:
        """Remove all reservations, or only those of one request."""
        self.spanning_reservation.clear(now_s, key)
        self.long_reservation.clear(now_s, key)

    def _clear_reservations_on(self, upstream_id: str, now_s: float) -> None:
        for holder in (self.spanning_reservation, self.long_reservation):
            if upstream_id in holder.upstream_ids:
                holder.clear(now_s)

    def _cancel(self, message: PermitCancel, now_s: float) -> list[Effect]:
        key = (message.request_id, message.attempt)
        if self.queue.remove(key) is not None:
            self.clear_reservations(now_s, key)
            return self.allocator.dispatch(now_s)
        permit = self.registry.find_active(key)
        if permit is None:
            return []
        # The grant may have been used already, so its memory stays allocated until the engine
        # confirms the cancel.
        self.registry.end(permit, now_s)
        return self.registry.due_cancels(now_s)

    def _record_crash(self, message: PermitRelease, now_s: float) -> None:
        permit = self.registry.permits.get(message.permit_id)
        upstream = permit.grant.placements[-1].upstream_id if permit is not None else ""
        started_s = now_s - message.duration_s
        self.quarantine.record_crash(message.crash_names, started_s, now_s, upstream=upstream)

    def _release(self, message: PermitRelease, now_s: float) -> list[Effect]:
        if message.outcome is PermitOutcome.FINISHED:
            self.quarantine.record_success(message.crash_names)
        elif message.outcome is PermitOutcome.CRASHED:
            self._record_crash(message, now_s)
        permit = self.registry.release(message, now_s)
        if permit is None:
            return []
        changed = []
        for placement in permit.grant.placements:
            ledger = self.table.ledgers.get(placement.upstream_id)
            if ledger is not None:
                changed.append(ledger)
                self._record_outcome(ledger, message, permit.predicted_first_token_s, now_s)
        return self.allocator.dispatch(now_s, changed)

    def _record_outcome(
        self, ledger: UpstreamLedger, message: PermitRelease, predicted_s: float, now_s: float
    ) -> None:
        if message.outcome is PermitOutcome.FINISHED:
            ledger.slow_start.record_finish(message.first_token_s, predicted_s)
        elif message.outcome in OVERLOAD_OUTCOMES:
            ledger.slow_start.record_refusal()
        self.table.reindex(ledger, now_s)
