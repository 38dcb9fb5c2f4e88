"""Core node: replicated routes, upstream reports, and the dispatcher while it leads."""

import asyncio
import random
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.daemon import LogTask
from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    DispatchDecided,
    Dispatcher,
    SendEnded,
    SendStalled,
    SendStarted,
    StallAdvice,
    UpstreamDirectory,
    UpstreamReport,
)
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.metrics import NodeMetrics
from laburnumrock.nodes._messages import EntryHello, EntryWelcome, UpstreamNews, View
from laburnumrock.nodes._settings import NodeSettings, RouteDecoder, make_peer
from laburnumrock.replication import VoterPolicy
from laburnumrock.routing import RouteDocument, RouteSet, SetDrain, StoreAnswer, StoreRoutes
from laburnumrock.transport import PeerNetwork

ENTRY_EXPIRY_S = 3.0
"""An entry that was not heard for this long gets no views; it says hello twice a second."""
RETRY_INTERVAL_S = 0.05
"""Interval at which waiting requests are placed or refused."""
RETRY_SPACING_S = 0.01
"""Time after the end of a send until waiting requests are placed; sends that end meanwhile count
too. Under load a pass for each of them kept a leader from its heartbeats."""
RETRY_REST = 4.0
"""Time between two such passes in multiples of the time that the first one took, so that they take
a fifth of the processor at most."""
VIEW_SPACING_S = 0.25
"""Time between two views that differ in upstreams only. Engines that start together change one by
one; a view for each change took a leader of 91 entries 60 ms of processor time."""
NEWS_INTERVAL_S = 0.1
"""Reports of upstreams are sent to the other cores in groups; a second is their own interval."""
NEWS_REPEATS_S = (0.3, 0.7, 1.2)
"""Delays after which a change of an upstream is sent to the other cores again; all of them end
within the 2 s after which a leaving upstream must get nothing new."""
HOUSEKEEPING_S = 0.5
PERMITS_PER_TERM = 1 << 32
"""Permits of different leaders never have the same number."""
PROPOSE_TIMEOUT_S = 2.5
"""Below the 4 s in which an operator expects an acknowledgement."""
READ_TIMEOUT_S = 0.9
"""An operator waits one second before it asks another core."""


@dataclass(slots=True)
class _EntryState:
    """What a core knows of an entry."""

    failure_domain: str
    heard_s: float
    routes_version: int
    term: int


@dataclass(slots=True)
class _WaitingCall:
    """Call that is decided once an upstream is free."""

    entry: str
    call: DispatchCall


class CoreNode:
    """One of the nodes with a disk.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    key : bytes
        Shared key of the nodes.
    decode_routes : callable
        Reads a document of routes.
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
        )
        source = random.Random(f"{settings.seed}-{settings.instance_id}")
        dispatch = settings.dispatch
        self.directory = UpstreamDirectory(dispatch.expiry_s, dispatch.retention_s)
        self.dispatcher = Dispatcher(dispatch, self.directory, source)
        self.voter_policy = VoterPolicy(settings.tolerated_losses)
        self.metrics = NodeMetrics()
        self.metrics.leading.set_function(lambda: int(self.is_leading))
        self.entries: dict[str, _EntryState] = {}
        self.waiting: dict[int, _WaitingCall] = {}
        self.news: list[UpstreamReport] = []
        self.repeats: list[tuple[float, UpstreamReport]] = []
        self.leading_term = 0
        self.revision = 0
        self.pushed_revision = 0
        self.directory_revision = -1
        self.applied_version = -1
        self.applied_drained: list[str] = []
        self.known_cores = list(settings.cores)
        self.follow_due: asyncio.Handle | None = None
        self.retry_due: asyncio.TimerHandle | None = None
        self.next_retry_s = 0.0
        self.next_view_s = 0.0
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> Result[None, Failure]:
        """Load the log and take part."""
        network = self.network
        network.handle(EntryHello, self._receive_hello)
        network.handle(DispatchCall, self._receive_call)
        network.handle(SendStarted, self._receive_started)
        network.handle(SendStalled, self._receive_stalled)
        network.handle(SendEnded, self._receive_ended)
        network.handle(UpstreamNews, self._receive_news)
        self.log.on_applied(lambda *_: self._note_applied())
        self.log.on_restored(self._follow_state)
        self.log.on_role_changed(self._follow_role)
        await network.start()
        started = await self.log.start()
        if started.is_err():
            return started
        self._follow_state()
        self.tasks = [
            asyncio.create_task(self._run_every(RETRY_INTERVAL_S, self._serve_waiting)),
            asyncio.create_task(self._run_every(NEWS_INTERVAL_S, self._send_news)),
            asyncio.create_task(self._run_every(HOUSEKEEPING_S, self._keep_house)),
        ]
        log_message("core_started", cores=list(self.settings.cores))
        return Ok(None)

    async def stop(self) -> None:
        """Hand over leadership and stop."""
        self._send_news()
        await self.log.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.network.stop()
        log_message("core_stopped")

    def reload(self, settings: NodeSettings) -> None:
        """Take over changed settings; only the known cores can change while a node runs."""
        self.known_cores = sorted({*self.known_cores, *settings.cores})
        if self.log.runner.node is not None:
            self.log.runner.node.bootstrap.initial_voters = list(settings.cores)
        log_message("settings_reloaded", cores=self.known_cores)

    @property
    def is_leading(self) -> bool:
        """Whether this core decides for all instances."""
        return self.log.is_leader and self.leading_term == self.log.term

    async def store_routes(self, routes: RouteSet, document: bytes) -> Result[int, Failure]:
        """Commit a version of the routes.

        Parameters
        ----------
        routes : RouteSet
            The version, already checked.
        document : bytes
            The document as the operator sent it.

        Returns
        -------
        Result
            The version in force afterwards.
        """
        packed = zlib.compress(document)
        with self.metrics.commits.labels("routes").time():
            answer = await self.log.propose(StoreRoutes(routes.version, packed), PROPOSE_TIMEOUT_S)
        return self._log_change("routes", routes.version, answer)

    async def set_drain(self, failure_domain: str, drained: bool) -> Result[int, Failure]:
        """Commit that a failure domain is taken out of service, or back."""
        with self.metrics.commits.labels("drain").time():
            answer = await self.log.propose(SetDrain(failure_domain, drained), PROPOSE_TIMEOUT_S)
        return self._log_change("drain" if drained else "restore", failure_domain, answer)

    async def read_routes(self) -> Result[RouteDocument, Failure]:
        """Return the version in force, confirmed by a quorum."""
        confirmed = await self.log.read_confirmed(READ_TIMEOUT_S)
        if confirmed.is_err():
            return confirmed
        current = self._document()
        if not current.document:
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE, "no routes are stored yet"))
        return Ok(RouteDocument(current.version, zlib.decompress(current.document)))

    def observe_upstream(self, report: UpstreamReport) -> None:
        """Take over a report that an upstream sent to this core."""
        now_s = time.monotonic()
        changed = self.dispatcher.observe(report, now_s)
        self.news.append(report)
        if changed:
            self._take_change(report)

    def remove_upstream(self, upstream_id: str) -> None:
        """Take over that an upstream says it leaves."""
        report = self.directory.remove(upstream_id, time.monotonic())
        if report is None:
            # Another core may know it, for example when this one has just started.
            log_message("upstream_unknown", upstream=upstream_id)
            self._tell_cores(UpstreamNews([], [upstream_id]))
            return
        self.news.append(report)
        self._take_change(report)

    def _take_change(self, report: UpstreamReport) -> None:
        """Spread a change at once, and again later, since a link may break meanwhile."""
        now_s = time.monotonic()
        self.repeats += [(now_s + delay_s, report) for delay_s in NEWS_REPEATS_S]
        self._log_upstream(report)
        self._send_news()
        self._push_views()

    def _log_change(
        self, change: str, subject: int | str, answer: Result[StoreAnswer, Failure]
    ) -> Result[int, Failure]:
        if answer.is_err():
            failure = answer.unwrap_err()
            log_message("change_committed", change=change, subject=subject, failure=str(failure))
            return answer
        state = answer.unwrap()
        log_message(
            "change_committed",
            change=change,
            subject=subject,
            in_force=state.version,
            changed=state.changed,
        )
        return Ok(state.version)

    def _log_upstream(self, report: UpstreamReport) -> None:
        log_message(
            "upstream_changed",
            upstream=report.upstream_id,
            state=report.state,
            service=report.service,
            address=f"{report.host}:{report.port}",
            incarnation=report.incarnation,
            sequence=report.sequence,
            cold_left_s=report.cold_left_s,
        )

    def _document(self) -> RouteDocument:
        return self.log.state.parts["routes"].current

    def _cores(self) -> list[str]:
        members = self.log.members.voters_and_learners
        return sorted(set(members.values()) | set(self.known_cores))

    def _note_applied(self) -> None:
        """Follow the state once for all commands that are applied together.

        Notes
        -----
        A core that starts applies all versions since its snapshot at once. To read each of them
        kept a new leader from its heartbeats for 0.3 s.
        """
        if self.follow_due is None:
            self.follow_due = asyncio.get_running_loop().call_soon(self._follow_state)

    def _follow_state(self) -> None:
        """Take over the replicated state after it changed."""
        self.follow_due = None
        current = self._document()
        if current.version != self.applied_version and current.document:
            self.applied_version = current.version
            self.metrics.routes_version.set(current.version)
            decoded = self.decode_routes(zlib.decompress(current.document))
            if decoded.is_err():
                # Only checked documents are proposed, so another release must have stored it.
                log_message("routes_unreadable", failure=str(decoded.unwrap_err()))
            else:
                self.dispatcher.set_routes(decoded.unwrap())
            self.revision += 1
        if current.drained != self.applied_drained:
            self.applied_drained = list(current.drained)
            self.dispatcher.set_drained(set(current.drained))
            self.revision += 1
        self._push_views()

    def _follow_role(self) -> None:
        if not self.log.is_leader:
            self._refuse_waiting()
            return
        if self.leading_term != self.log.term:
            self.leading_term = self.log.term
            self.dispatcher.start(self.leading_term * PERMITS_PER_TERM, time.monotonic())
            self.revision += 1
            log_message("leading", term=self.leading_term)

    def _refuse_waiting(self) -> None:
        refusal = DispatchAnswer(refusal=ErrorKind.OWNER_UNAVAILABLE.value)
        for ticket, waited in self.waiting.items():
            self.network.send(waited.entry, DispatchDecided(ticket, refusal))
        self.waiting.clear()

    def _push_views(self) -> None:
        """Send the view to all entries if it changed."""
        if not self.is_leading:
            self._follow_role()
            if not self.is_leading:
                return
        now_s = time.monotonic()
        if self.directory.revision != self.directory_revision and now_s >= self.next_view_s:
            self.directory_revision = self.directory.revision
            self.revision += 1
        if self.revision == self.pushed_revision:
            return
        self.pushed_revision = self.revision
        self.next_view_s = now_s + VIEW_SPACING_S
        version = self._document().version
        current = [name for name, entry in self.entries.items() if entry.routes_version >= version]
        behind = self.entries.keys() - set(current)
        if current:
            self.network.broadcast(current, self._make_view(with_document=False))
        if behind:
            self.network.broadcast(behind, self._make_view(with_document=True))

    def _make_view(self, with_document: bool) -> View:
        current = self._document()
        return View(
            self.leading_term,
            self.revision,
            current.version,
            current.document if with_document else b"",
            list(current.drained),
            self._cores(),
            self.directory.reports(time.monotonic()),
            len(self.entries),
        )

    def _receive_hello(self, sender: str, message: EntryHello) -> EntryWelcome:
        now_s = time.monotonic()
        known = self.entries.get(sender)
        self.entries[sender] = entry = _EntryState(
            message.failure_domain, now_s, message.routes_version, message.term
        )
        if known is None:
            log_message("entry_seen", entry=sender, failure_domain=message.failure_domain)
        node = self.log.runner.node
        leader = node.leader if node is not None else None
        if not self.is_leading:
            self._follow_role()
        if not self.is_leading:
            return EntryWelcome(False, leader, self.log.term)
        for report in message.sends:
            self.dispatcher.adopt(sender, report, now_s)
        self.dispatcher.keep_only(sender, set(message.permits), now_s)
        if (message.term, message.revision) != (self.leading_term, self.revision):
            behind = entry.routes_version < self._document().version
            self.network.send(sender, self._make_view(with_document=behind))
        return EntryWelcome(True, leader, self.leading_term)

    def _receive_call(self, sender: str, message: DispatchCall) -> DispatchAnswer:
        if not self.is_leading:
            return DispatchAnswer(refusal=ErrorKind.OWNER_UNAVAILABLE.value)
        entry = self.entries.get(sender)
        domain = entry.failure_domain if entry is not None else ""
        decided = self.dispatcher.place(sender, domain, message, time.monotonic())
        if isinstance(decided, DispatchAnswer):
            self._log_decision(message, decided)
            return decided
        log_message(
            "request_waits",
            request_id=message.request_id,
            service=message.service,
            waiting=len(self.waiting) + 1,
        )
        self.waiting[decided] = _WaitingCall(sender, message)
        return DispatchAnswer(ticket=decided)

    def _log_decision(self, call: DispatchCall, answer: DispatchAnswer) -> None:
        entry = self.directory.entries.get(answer.upstream_id)
        load = self.dispatcher.fleet.loads.get(answer.upstream_id)
        log_message(
            "placement_decided",
            request_id=call.request_id,
            attempt=call.attempt,
            upstream=answer.upstream_id,
            expected_first_s=round(answer.expected_first_s, 4),
            helpers=[helper.upstream_id for helper in answer.helpers],
            refusal=answer.refusal,
            report_age_s=round(time.monotonic() - entry.heard_s, 3) if entry else None,
            sends=len(load.sends) if load else None,
            pace=round(load.pace, 2) if load else None,
            routes_version=self.applied_version,
        )

    def _receive_started(self, sender: str, message: SendStarted) -> None:
        self.dispatcher.record_started(message, time.monotonic())

    def _receive_stalled(self, sender: str, message: SendStalled) -> StallAdvice:
        return self.dispatcher.note_stalled(message, time.monotonic())

    def _receive_ended(self, sender: str, message: SendEnded) -> None:
        self.dispatcher.record_ended(message, time.monotonic())
        if self.waiting and self.retry_due is None:
            loop = asyncio.get_running_loop()
            self.retry_due = loop.call_later(RETRY_SPACING_S, self._serve_waiting)

    def _receive_news(self, sender: str, message: UpstreamNews) -> None:
        now_s = time.monotonic()
        changed = False
        for report in message.reports:
            if self.dispatcher.observe(report, now_s):
                changed = True
                self._log_upstream(report)
        for upstream_id in message.left:
            departed = self.directory.remove(upstream_id, now_s)
            if departed is not None:
                changed = True
                self._log_upstream(departed)
        if changed:
            self._push_views()

    def _serve_waiting(self) -> None:
        self.retry_due = None
        # An elected core leads once its first entry is committed, of which it is not told.
        self._push_views()
        began_s = time.monotonic()
        if not self.waiting or began_s < self.next_retry_s:
            return
        domains = {name: entry.failure_domain for name, entry in self.entries.items()}
        for ticket, answer in self.dispatcher.retry_waiting(domains, began_s):
            waited = self.waiting.pop(ticket, None)
            if waited is not None:
                self._log_decision(waited.call, answer)
                self.network.send(waited.entry, DispatchDecided(ticket, answer))
        ended_s = time.monotonic()
        self.next_retry_s = ended_s + RETRY_REST * (ended_s - began_s)

    def _send_news(self) -> None:
        now_s = time.monotonic()
        self.news += [report for due_s, report in self.repeats if due_s <= now_s]
        self.repeats = [one for one in self.repeats if one[0] > now_s]
        if self.news:
            news, self.news = UpstreamNews(self.news), []
            self._tell_cores(news)

    def _tell_cores(self, news: UpstreamNews) -> None:
        for core in self._cores():
            if core != self.settings.instance_id:
                self.network.send(core, news)

    def _keep_house(self) -> None:
        now_s = time.monotonic()
        for name in self.directory.expire(now_s):
            self.dispatcher.fleet.loads.pop(name, None)
            log_message("upstream_expired", upstream=name)
        silent = [
            name for name, entry in self.entries.items() if now_s - entry.heard_s > ENTRY_EXPIRY_S
        ]
        for name in silent:
            del self.entries[name]
            self.dispatcher.keep_only(name, set(), now_s)
            log_message("entry_lost", entry=name)
        self._push_views()
        self._plan_voters(now_s)

    def _plan_voters(self, now_s: float) -> None:
        runner = self.log.runner
        change = self.voter_policy.next_change(runner.node, now_s) if runner.node else None
        if change is None:
            return
        effects = change.start(runner.node, now_s)
        log_message("voter_change", action=change.action, subject=change.instance_id)
        if effects is not None:
            runner.enqueue(effects)

    async def _run_every(self, interval_s: float, work: Callable[[], None]) -> None:
        while True:
            await asyncio.sleep(interval_s)
            try:
                work()
            except Exception as error:
                # One fault must not end the work for good.
                detail = f"{type(error).__name__}: {error}"
                log_message("periodic_work_failed", work=work.__name__, error=detail)
