"""Task that runs the schedulers of the pools owned by this instance."""

import time
from collections.abc import Callable

from eliot import log_message

from laburnumrock.daemon._announcement_router import AnnouncementRouter
from laburnumrock.daemon._due_timer import DueTimer
from laburnumrock.daemon._engine_calls import EngineCalls
from laburnumrock.daemon._ownership_task import OwnershipTask
from laburnumrock.daemon._pool_directory import PoolDirectory
from laburnumrock.daemon._pool_report import PoolReport, parse_row
from laburnumrock.daemon._pool_runner import (
    PoolRunner,
    SchedulerFactory,
    ServiceStateView,
)
from laburnumrock.errors import ErrorKind
from laburnumrock.membership import DomainDigest
from laburnumrock.messages import Effect, Send
from laburnumrock.ownership import parse_pool_id
from laburnumrock.placement import (
    CancelOnUpstream,
    PermitCancel,
    PermitGrant,
    PermitRefusal,
    PermitRelease,
    PermitRenewal,
    PermitRequest,
    PoolSummary,
)
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork
from laburnumrock.upstreams import (
    UpstreamAnnouncement,
)

IDLE_TICK_S = 0.5
SUMMARY_S = 1.0
EMPTY_POOL_TIMEOUT_S = 10.0
"""A pool without announcements is released after this time."""
LOAD_READ_PERIOD_S = 5.0
"""Interval at which the list of requests held by an engine is read."""


class PoolTask:
    """Processes announcements and permit messages for the pools owned by this instance.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Connections to the other instances.
    ownership : OwnershipTask
        Provides the pools owned by this instance.
    directory : PoolDirectory
        Known pools of all failure domains.
    view : DeclarationView
        Service states.
    make_scheduler : callable
        Creates the scheduler of a pool from its id, its epoch and a clock reading.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network: PeerNetwork,
        ownership: OwnershipTask,
        directory: PoolDirectory,
        view: ServiceStateView,
        make_scheduler: SchedulerFactory,
    ) -> None:
        self.settings = settings
        self.network = network
        self.ownership = ownership
        self.directory = directory
        self.view = view
        self.make_scheduler = make_scheduler
        self.runners: dict[str, PoolRunner] = {}
        self.engines = EngineCalls(settings.timing.connect_timeout_s)
        self.announcement_listeners: list[Callable[[UpstreamAnnouncement], None]] = []
        self.next_summary_s = 0.0
        self.announcements = AnnouncementRouter(self)
        self.announce = self.announcements.announce
        self.timer = DueTimer(lambda: self._tick(time.monotonic()), self._find_due_s)

    async def start(self) -> None:
        """Register the message handlers and start the schedulers."""
        self.announcements.register_handlers()
        self.network.handle(PoolSummary, self._receive_summary)
        self.network.handle(PermitRequest, self._receive_request)
        self.network.handle(PermitRenewal, self._receive_pool_message)
        self.network.handle(PermitCancel, self._receive_pool_message)
        self.network.handle(PermitRelease, self._receive_release)
        self.timer.start()

    async def stop(self) -> None:
        """Stop the schedulers."""
        self.timer.stop()
        await self.engines.stop()

    def wake(self) -> None:
        """Schedule a tick to process changes of ownership or service states."""
        self.timer.wake()

    def collect_reports(self) -> list[list[object]]:
        """Return the load of the local pools as plain data for a digest."""
        now_s = time.monotonic()
        return [
            PoolReport(pool.owner.instance_id, now_s - pool.received_s, pool.summary).to_row()
            for pool in self.directory.recent_summaries(self.settings.failure_domain, now_s)
        ]

    def receive_reports(self, sender: str, digest: DomainDigest) -> None:
        """Record the load of the pools of another domain from its digest."""
        now_s = time.monotonic()
        for row in digest.reports:
            try:
                report = parse_row(row)
            except ValueError as error:
                log_message("malformed_message", peer=sender, failure=str(error))
                continue
            domain = parse_pool_id(report.summary.pool_id).failure_domain
            if domain == digest.failure_domain:
                self.directory.record_summary(report.owner, report.summary, now_s - report.age_s)

    def _find_due_s(self) -> float:
        now_s = time.monotonic()
        due_s = min(self.next_summary_s, now_s + IDLE_TICK_S)
        expiry_s = self.settings.timing.announcement_expiry_s
        for runner in self.runners.values():
            due_s = min(due_s, runner.next_tick_s(expiry_s, now_s))
        return due_s

    def _tick(self, now_s: float) -> None:
        timing = self.settings.timing
        self.directory.tick(now_s, timing.announcement_expiry_s)
        self._update_runners(now_s)
        for pool_id in list(self.runners):
            runner = self.find_runner(pool_id, now_s)
            if runner is None:
                continue
            if self._split_if_too_large(runner):
                continue
            upstreams = len(runner.upstreams)
            self.execute(runner, runner.expire(timing.announcement_expiry_s, now_s))
            if len(runner.upstreams) < upstreams:
                # Requests that another failure domain can serve need not wait for the upstream.
                self.next_summary_s = now_s
            self.execute(runner, runner.apply_service_states(self.view, now_s))
            self.execute(runner, runner.scheduler.tick(now_s))
            for engine in runner.due_reads(LOAD_READ_PERIOD_S, now_s):
                self.engines.start(("load", engine.upstream_id), self._read_load(pool_id, engine))
        if now_s >= self.next_summary_s:
            self.next_summary_s = now_s + SUMMARY_S
            self._publish_summaries(now_s)

    def _update_runners(self, now_s: float) -> None:
        """Start schedulers for newly owned pools and drop those of lost pools."""
        owned = self.ownership.owned_pools()
        for pool_id, epoch in owned.items():
            runner = self.runners.get(pool_id)
            if runner is None or runner.epoch != epoch:
                scheduler = self.make_scheduler(pool_id, epoch, now_s)
                runner = PoolRunner(pool_id, epoch, scheduler, now_s, now_s)
                self.runners[pool_id] = runner
                self.execute(runner, runner.apply_service_states(self.view, now_s))
                log_message("pool_taken_over", pool=pool_id, epoch=epoch)
        for pool_id, runner in list(self.runners.items()):
            if pool_id in owned:
                runner.owned_s = now_s
                self._release_if_empty(runner, now_s)
            elif now_s - runner.owned_s > self.settings.timing.permit_ttl_s / 2:
                # Renewals may have been missed, so the permits are not known well enough to
                # continue under the same epoch.
                del self.runners[pool_id]
                self.ownership.assignment_client.release(pool_id)
                log_message("pool_lost", pool=pool_id, epoch=runner.epoch)

    def _split_if_too_large(self, runner: PoolRunner) -> bool:
        """Release a pool with too many upstreams, so that its shards get owners instead."""
        depth = runner.split_depth()
        if depth == 0:
            return False
        del self.runners[runner.pool_id]
        self.ownership.split(runner.pool_id, depth)
        log_message("pool_split", pool=runner.pool_id, depth=depth)
        return True

    def _release_if_empty(self, runner: PoolRunner, now_s: float) -> None:
        if now_s - max(runner.started_s, runner.last_seen_s) > EMPTY_POOL_TIMEOUT_S:
            del self.runners[runner.pool_id]
            self.ownership.assignment_client.release(runner.pool_id)

    def find_runner(self, pool_id: str, now_s: float) -> PoolRunner | None:
        """Return the runner of a pool, or None if this instance does not own the pool now."""
        runner = self.runners.get(pool_id)
        epoch = self.ownership.epoch(pool_id)
        if epoch is None:
            return None
        if runner is None or runner.epoch != epoch:
            self._update_runners(now_s)
            runner = self.runners.get(pool_id)
        return runner

    def _publish_summaries(self, now_s: float) -> None:
        for pool_id in list(self.runners):
            runner = self.find_runner(pool_id, now_s)
            if runner is None:
                continue
            summary = runner.scheduler.summarize(now_s)
            for peer in self.settings.list_domain_peers(self.settings.failure_domain):
                self.network.send(peer.instance_id, summary)

    def _receive_summary(self, sender: str, message: PoolSummary) -> None:
        self.directory.record_summary(sender, message, time.monotonic())

    def _receive_request(self, sender: str, message: PermitRequest) -> None:
        now_s = time.monotonic()
        runner = self._find_runner_for_request(message, now_s)
        if runner is None:
            detail = f"{self.settings.instance_id} does not own a pool for {message.model}"
            refusal = PermitRefusal(
                message.request_id, ErrorKind.OWNER_UNAVAILABLE, None, detail, message.attempt
            )
            self.network.send(sender, refusal)
            return
        self.execute(runner, runner.scheduler.receive(sender, message, now_s))
        self.timer.run_before(runner.scheduler.next_tick_s(now_s))

    def _find_runner_for_request(self, message: PermitRequest, now_s: float) -> PoolRunner | None:
        pool_id = message.pool_id
        if pool_id:
            return self.find_runner(pool_id, now_s)
        for name in list(self.runners):
            if message.model in parse_pool_id(name).served:
                return self.find_runner(name, now_s)
        return None

    def _receive_pool_message(self, sender: str, message: PermitRenewal | PermitCancel) -> None:
        now_s = time.monotonic()
        runner = self.find_runner(message.pool_id, now_s)
        if runner is not None:
            self.execute(runner, runner.scheduler.receive(sender, message, now_s))
            self.timer.run_before(runner.scheduler.next_tick_s(now_s))

    def _receive_release(self, sender: str, message: PermitRelease) -> None:
        # A release does not name its pool; schedulers ignore unknown permits.
        now_s = time.monotonic()
        for pool_id in list(self.runners):
            runner = self.find_runner(pool_id, now_s)
            if runner is not None:
                self.execute(runner, runner.scheduler.receive(sender, message, now_s))

    def execute(self, runner: PoolRunner, effects: list[Effect] | None) -> None:
        """Execute the effects of a scheduler: send messages and cancel requests on engines."""
        for effect in effects or []:
            if isinstance(effect, Send):
                self.network.send(effect.destination, effect.message)
                _log_decision(runner.pool_id, effect.message)
            elif isinstance(effect, CancelOnUpstream):
                key = ("cancel", effect.upstream_id, effect.request_id)
                self.engines.start(key, self._cancel(runner.pool_id, effect))

    async def _cancel(self, pool_id: str, effect: CancelOnUpstream) -> None:
        """Send one cancellation; the scheduler repeats the effect until it is confirmed."""
        if not await self.engines.cancel(effect.base_url, effect.request_id):
            return
        now_s = time.monotonic()
        runner = self.find_runner(pool_id, now_s)
        if runner is not None:
            confirm = runner.scheduler.confirm_cancel
            self.execute(runner, confirm(effect.upstream_id, effect.request_id, now_s))

    async def _read_load(self, pool_id: str, engine: UpstreamAnnouncement) -> None:
        """Reconcile the permits of the scheduler with the requests held by an engine."""
        read_at_s = time.monotonic()
        held = await self.engines.read_held_tokens(engine.base_url)
        now_s = time.monotonic()
        runner = self.find_runner(pool_id, now_s)
        if runner is None or held.is_err() or read_at_s < runner.started_s:
            return
        observe = runner.scheduler.observe_held_requests
        self.execute(runner, observe(engine.upstream_id, held.unwrap(), read_at_s, now_s))


def _log_decision(pool_id: str, message: object) -> None:
    """Log a grant or refusal, so that a request can be traced across instances."""
    if isinstance(message, PermitGrant):
        log_message(
            "permit_granted",
            request_id=message.request_id,
            attempt=message.attempt,
            pool=pool_id,
            permit=message.permit_id,
        )
    elif isinstance(message, PermitRefusal):
        log_message(
            "permit_denied",
            request_id=message.request_id,
            attempt=message.attempt,
            pool=pool_id,
            kind=str(message.kind),
        )
