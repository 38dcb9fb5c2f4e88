"""Core node, which replicates the routes, collects upstream reports and dispatches as leader."""

import asyncio
import random
import time
import zlib

from eliot import log_message
from result import Ok, Result

from laburnumrock.daemon import LogTask
from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    DispatchDecided,
    Dispatcher,
    LimitReport,
    SendEnded,
    SendStalled,
    SendStarted,
    StallAdvice,
    UpstreamDirectory,
    UpstreamReport,
    UpstreamState,
    WithdrawCall,
)
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.metrics import NodeMetrics
from laburnumrock.nodes._decision_log import log_decision, log_upstream
from laburnumrock.nodes._departures import confirm_departure
from laburnumrock.nodes._limit_log import LimitLog
from laburnumrock.nodes._messages import (
    ConfirmDeparture,
    DepartureConfirmed,
    EntryHello,
    EntryWelcome,
    UpstreamNews,
)
from laburnumrock.nodes._quarantine import QuarantineReplicator
from laburnumrock.nodes._report_exchange import ReportExchange
from laburnumrock.nodes._route_changes import RouteChanges
from laburnumrock.nodes._settings import NodeSettings, RouteDecoder, make_peer
from laburnumrock.nodes._views import ViewBase, ViewPublisher
from laburnumrock.nodes._voters import plan_voters
from laburnumrock.periodic import StallDetector, run_every
from laburnumrock.replication import VoterPolicy
from laburnumrock.routing import RouteDocument
from laburnumrock.transport import PeerNetwork

PLACE_WAITING_INTERVAL_S = 0.05
"""Interval at which queued requests are placed or refused."""
PLACE_WAITING_DELAY_S = 0.01
"""Delay from the end of a send to the pass over the queued requests, so that one pass covers all
sends that end in between. Under load, a pass for each send delayed the heartbeats of the leader."""
PLACE_WAITING_PAUSE_RATIO = 4.0
"""Pause after such a pass in multiples of its duration, so that the passes use at most a fifth of
the CPU time."""
REPORT_INTERVAL_S = 0.1
"""Interval at which upstream reports are sent to the other cores in batches; each upstream reports
once a second."""
HOUSEKEEPING_INTERVAL_S = 0.5
VOTER_PLAN_INTERVAL_S = 0.1
"""Interval at which the leader plans changes of the voters. Between two steps of a replacement,
the group cannot bear the loss of a disk."""
PERMITS_PER_TERM = 1 << 32
"""Size of the permit number range of each leader, so that no two leaders use the same number."""
MIN_STALL_S = 0.8
"""A caller that has waited this long is about to ask another core: operators and upstreams do so
after a second. An order that may have waited longer is refused."""
STALL_MEMORY_S = 1.0
STALL_CHECK_INTERVAL_S = 0.1


class CoreNode:
    """Core node with a durable replica of the log.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    key : bytes
        Key that all nodes share.
    decode_routes : callable
        Decodes a document of routes.
    """

    def __init__(self, settings: NodeSettings, key: bytes, decode_routes: RouteDecoder) -> None:
        self.settings = settings
        self.decode_routes = decode_routes
        self.network = PeerNetwork(settings, key, lambda name: make_peer(name, settings.listen))
        self.log = LogTask(
            settings,
            self.network,
            part_packages=("laburnumrock.routing",),
            may_bootstrap=settings.may_bootstrap,
            voter_policy=VoterPolicy(settings.tolerated_losses),
        )
        rng = random.Random(f"{settings.seed}-{settings.instance_id}")
        dispatch = settings.dispatch
        self.directory = UpstreamDirectory(dispatch.expiry_s, dispatch.retention_s)
        self.dispatcher = Dispatcher(dispatch, self.directory, rng)
        self.metrics = NodeMetrics()
        self.metrics.leading.set_function(lambda: int(self.is_leading))
        self.metrics.storage_unavailable.set_function(lambda: int(self.log.is_storage_unavailable))
        self.quarantine = QuarantineReplicator(self.dispatcher.quarantine, self.log, self.metrics)
        self.limit_log = LimitLog(self.dispatcher.fleet.limits, self.metrics)
        self.views = ViewPublisher(self.network, self.directory)
        self.reports = ReportExchange(settings.instance_id, self.network, self._all_cores)
        self.stalls = StallDetector(MIN_STALL_S, STALL_MEMORY_S)
        self.changes = RouteChanges(self.log, self.metrics, self.stalls)
        self.leading_term = 0
        self.applied_version = -1
        self.applied_drained: list[str] = []
        self.known_cores = list(settings.cores)
        self.state_update_handle: asyncio.Handle | None = None
        self.place_waiting_timer: asyncio.TimerHandle | None = None
        self.next_place_waiting_s = 0.0
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> Result[None, Failure]:
        """Load the log, join the cluster and start the periodic tasks."""
        network = self.network
        network.handle(EntryHello, self._receive_hello)
        network.handle(DispatchCall, self._receive_call)
        network.handle(SendStarted, self._receive_started)
        network.handle(SendStalled, self._receive_stalled)
        network.handle(SendEnded, self._receive_ended)
        network.handle(LimitReport, self._receive_limit)
        network.handle(UpstreamNews, self._receive_reports)
        network.handle(WithdrawCall, self._receive_withdrawal)
        network.handle(ConfirmDeparture, self._receive_departure)
        self.log.on_applied(lambda *_: self._schedule_state_update())
        self.log.on_restored(self._apply_state)
        self.log.on_role_changed(self._update_role)
        await network.start()
        started = await self.log.start()
        if started.is_err():
            return started
        self._apply_state()
        self.tasks = [
            asyncio.create_task(run_every(PLACE_WAITING_INTERVAL_S, self._place_waiting)),
            asyncio.create_task(run_every(REPORT_INTERVAL_S, self._send_reports)),
            asyncio.create_task(run_every(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)),
            asyncio.create_task(run_every(STALL_CHECK_INTERVAL_S, self.stalls.record_tick)),
            asyncio.create_task(run_every(VOTER_PLAN_INTERVAL_S, self._plan_voters)),
        ]
        log_message("core_started", cores=list(self.settings.cores))
        return Ok(None)

    async def stop(self) -> None:
        """Transfer the leadership and stop."""
        self.reports.send_batch(time.monotonic())
        await self.log.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.network.stop()
        log_message("core_stopped")

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings; only the known cores can change while a node runs."""
        self.known_cores = sorted({*self.known_cores, *settings.cores})
        self.log.runner.change_initial_voters(list(settings.cores))
        log_message("settings_reloaded", cores=self.known_cores)

    @property
    def is_leading(self) -> bool:
        """Whether this core is the leader and dispatches requests."""
        return self.log.is_leader and self.leading_term == self.log.term

    async def observe_upstream(self, report: UpstreamReport) -> bool:
        """Apply a report that an upstream sent to this core.

        Returns
        -------
        bool
            Whether the report can be acknowledged. A report with which the upstream leaves is
            acknowledged only once the leader places no further requests on it.
        """
        now_s = time.monotonic()
        changed = self.dispatcher.observe(report, now_s)
        self.reports.add(report)
        if changed:
            self._propagate_change(report)
        if report.state is UpstreamState.READY:
            return True
        return await self._confirm_departure(ConfirmDeparture(report.upstream_id, report))

    async def remove_upstream(self, upstream_id: str) -> bool:
        """Apply the notice of departure that an upstream sent to this core.

        Returns
        -------
        bool
            Whether the notice can be acknowledged, as for `observe_upstream`.
        """
        if self.stalls.may_be_late():
            # The upstream may have told another core, and have started again since.
            log_message("departure_late", upstream=upstream_id)
            return False
        report = self.directory.remove(upstream_id, time.monotonic())
        if report is None:
            # Another core may know the upstream, for example if this one has just started.
            log_message("upstream_unknown", upstream=upstream_id)
            self.reports.send_departure(upstream_id)
            return await self._confirm_departure(ConfirmDeparture(upstream_id))
        self.reports.add(report)
        self._propagate_change(report)
        return await self._confirm_departure(ConfirmDeparture(upstream_id, report))

    async def _confirm_departure(self, request: ConfirmDeparture) -> bool:
        return await confirm_departure(
            request, self.network, self._find_leader, lambda: self.is_leading
        )

    def _receive_departure(self, sender: str, message: ConfirmDeparture) -> DepartureConfirmed:
        if not self.is_leading:
            return DepartureConfirmed(False)
        now_s = time.monotonic()
        if message.report is None:
            report = self.directory.remove(message.upstream_id, now_s)
        else:
            report = message.report if self.dispatcher.observe(message.report, now_s) else None
        if report is not None:
            log_upstream(report)
            self._push_views()
        return DepartureConfirmed(True)

    def _propagate_change(self, report: UpstreamReport) -> None:
        """Send a change of an upstream to the other nodes."""
        log_upstream(report)
        self.reports.send_change(report, time.monotonic())
        self._push_views()

    def _current_routes(self) -> RouteDocument:
        return self.log.state.parts["routes"].current

    def _all_cores(self) -> list[str]:
        members = self.log.members.voters_and_learners
        return sorted(set(members.values()) | set(self.known_cores))

    def _schedule_state_update(self) -> None:
        """Schedule one state update for all commands that are applied together.

        Notes
        -----
        A core that starts applies all versions since its snapshot at once. Decoding each of them
        delayed the heartbeats of a new leader by 0.3 s.
        """
        if self.state_update_handle is None:
            self.state_update_handle = asyncio.get_running_loop().call_soon(self._apply_state)

    def _apply_state(self) -> None:
        """Apply the routes and drained failure domains of the replicated state."""
        self.state_update_handle = None
        current = self._current_routes()
        if current.version != self.applied_version and current.document:
            self.applied_version = current.version
            self.metrics.routes_version.set(current.version)
            decoded = self.decode_routes(zlib.decompress(current.document))
            if decoded.is_err():
                # Only valid documents are proposed, so another release must have stored this one.
                log_message("routes_unreadable", failure=str(decoded.unwrap_err()))
            else:
                self.dispatcher.set_routes(decoded.unwrap())
            self.views.mark_changed()
        if current.drained != self.applied_drained:
            self.applied_drained = list(current.drained)
            self.dispatcher.set_drained(set(current.drained))
            self.views.mark_changed()
        if self.quarantine.apply(current.quarantined, self.is_leading):
            self.views.mark_changed()
        self._push_views()

    def _update_role(self) -> None:
        if not self.log.is_leader:
            self._refuse_waiting()
            return
        if self.leading_term != self.log.term:
            if self.state_update_handle is not None:
                # Commands of earlier leaders are applied to the log, but not yet in force here.
                self.state_update_handle.cancel()
                self._apply_state()
                return
            self.leading_term = self.log.term
            self.views.start_term()
            self.dispatcher.start(self.leading_term * PERMITS_PER_TERM, time.monotonic())
            log_message("leading", term=self.leading_term)

    def _refuse_waiting(self) -> None:
        queue = self.dispatcher.queue
        refusal = DispatchAnswer(refusal=ErrorKind.OWNER_UNAVAILABLE.value)
        for ticket, queued in queue.in_order(time.monotonic()):
            queue.remove(ticket)
            self.network.send(queued.entry, DispatchDecided(ticket, refusal))

    def _push_views(self) -> None:
        """Send the view to all entry nodes if it changed and this core leads."""
        if not self.is_leading:
            self._update_role()
        if self.is_leading:
            self.views.push(self._make_view_base(), time.monotonic())
        else:
            self.views.discard_changes()

    def _make_view_base(self) -> ViewBase:
        return ViewBase(self.leading_term, self._current_routes(), self._all_cores())

    def _receive_hello(self, sender: str, message: EntryHello) -> EntryWelcome:
        now_s = time.monotonic()
        self.views.record_hello(sender, message, now_s)
        if not self.is_leading:
            self._update_role()
        leads = self.is_leading
        # A core that does not lead learns of limits as well, since it may be the next leader.
        self.dispatcher.record_limits(message.limits, now_s)
        if leads:
            for report in message.sends:
                self.dispatcher.adopt(sender, report, now_s)
            self.dispatcher.drop_unlisted_sends(sender, set(message.permits), now_s)
            self.quarantine.adopt(message.crashed_requests)
            self.views.answer_hello(sender, message, self._make_view_base(), now_s)
        self.limit_log.update()
        return EntryWelcome(
            leads,
            self._find_leader(),
            self.log.term,
            self.settings.failure_domain,
            self.dispatcher.fleet.limits.list_reports(now_s) if leads else [],
            len(self.views.entries),
        )

    def _receive_limit(self, sender: str, message: LimitReport) -> None:
        self.dispatcher.record_limits([message], time.monotonic())
        self.limit_log.update()

    def _find_leader(self) -> str | None:
        """Return the name of the leader that this core follows, if there is one."""
        node = self.log.runner.node
        return node.leader if node is not None else None

    def _receive_call(self, sender: str, message: DispatchCall) -> DispatchAnswer:
        if not self.is_leading:
            return DispatchAnswer(refusal=ErrorKind.OWNER_UNAVAILABLE.value)
        entry = self.views.entries.get(sender)
        domain = entry.failure_domain if entry is not None else ""
        decided = self.dispatcher.place(sender, domain, message, time.monotonic())
        if isinstance(decided, DispatchAnswer):
            self._log_decision(message, decided)
            return decided
        log_message(
            "request_waits",
            request_id=message.request_id,
            service=message.service,
            waiting=len(self.dispatcher.queue.calls),
        )
        return DispatchAnswer(ticket=decided)

    def _log_decision(self, call: DispatchCall, answer: DispatchAnswer) -> None:
        log_decision(self.dispatcher, call, answer, self.applied_version)

    def _receive_withdrawal(self, sender: str, message: WithdrawCall) -> None:
        self.dispatcher.queue.remove(message.ticket)

    def _receive_started(self, sender: str, message: SendStarted) -> None:
        self.dispatcher.record_started(message, time.monotonic())

    def _receive_stalled(self, sender: str, message: SendStalled) -> StallAdvice:
        return self.dispatcher.record_stalled(message, time.monotonic())

    def _receive_ended(self, sender: str, message: SendEnded) -> None:
        self.dispatcher.record_ended(message, time.monotonic())
        self.limit_log.update()
        if self.is_leading:
            self.quarantine.propose_changes()
        if self.dispatcher.queue.calls and self.place_waiting_timer is None:
            loop = asyncio.get_running_loop()
            self.place_waiting_timer = loop.call_later(PLACE_WAITING_DELAY_S, self._place_waiting)

    def _receive_reports(self, sender: str, message: UpstreamNews) -> None:
        now_s = time.monotonic()
        changed = False
        for report in message.reports:
            if self.dispatcher.observe(report, now_s):
                changed = True
                log_upstream(report)
        for upstream_id in message.left:
            departed = self.directory.remove(upstream_id, now_s)
            if departed is not None:
                changed = True
                log_upstream(departed)
        if changed:
            self._push_views()

    def _place_waiting(self) -> None:
        self.place_waiting_timer = None
        # An elected core leads once the first log entry of its term is committed, which no callback
        # reports.
        self._push_views()
        began_s = time.monotonic()
        if not self.dispatcher.queue.calls or began_s < self.next_place_waiting_s:
            return
        for decision in self.dispatcher.place_waiting(self.views.list_domains(), began_s):
            queued = decision.queued
            self._log_decision(queued.call, decision.answer)
            message = DispatchDecided(decision.ticket, decision.answer)
            self.network.send(queued.entry, message)
        ended_s = time.monotonic()
        self.next_place_waiting_s = ended_s + PLACE_WAITING_PAUSE_RATIO * (ended_s - began_s)

    def _send_reports(self) -> None:
        self.reports.send_batch(time.monotonic())

    def _run_housekeeping(self) -> None:
        now_s = time.monotonic()
        for name in self.directory.expire(now_s):
            self.dispatcher.fleet.forget(name)
            log_message("upstream_expired", upstream=name)
        self.dispatcher.fleet.expire_limits(now_s)
        self.limit_log.update()
        for name in self.views.expire(now_s):
            self.dispatcher.drop_unlisted_sends(name, set(), now_s)
        self.dispatcher.quarantine.expire(now_s)
        if self.is_leading:
            self.quarantine.propose_changes()
        self._push_views()

    def _plan_voters(self) -> None:
        plan_voters(self.log, time.monotonic())
