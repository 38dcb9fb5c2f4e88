"""Entry node, which accepts requests of callers and forwards them to the dispatched upstream."""

import asyncio
import contextlib
import math
import random
import time
import zlib
from dataclasses import replace

from eliot import log_message
from result import Result

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    DispatchDecided,
    LimitReport,
    LocalDispatcher,
    SendEnded,
    SendOutcome,
    SendStalled,
    SendStarted,
    StallAdvice,
    UpstreamDirectory,
    UpstreamRecord,
    UpstreamState,
    UpstreamStatement,
    UpstreamStatements,
    refuse_declined,
    refuse_quarantined,
)
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding import (
    ConnectionPool,
    ForwardingContext,
    FrontendServer,
    Reservations,
    WireFormat,
)
from laburnumrock.metrics import NodeMetrics
from laburnumrock.nodes._crash_evidence import CrashEvidence
from laburnumrock.nodes._decisions import PendingDecisions
from laburnumrock.nodes._entry_count import EntryCount
from laburnumrock.nodes._messages import CrashedRequests, EntryHello, EntryWelcome, View
from laburnumrock.nodes._reachability import (
    HELLO_INTERVAL_S,
    compute_hello_interval_s,
    infer_unreachable_domains,
)
from laburnumrock.nodes._send_records import ActiveSendRecord, describe_send
from laburnumrock.nodes._settings import NodeSettings, RouteDecoder, make_peer
from laburnumrock.periodic import log_errors, raise_if_cancelled, run_every
from laburnumrock.routing import RouteTable
from laburnumrock.transport import PeerNetwork

MAX_HELLO_AGE_S = 2.5
"""Time since the last finished hello after which a node was probably paused; longer than the
longest interval and the time limit of a hello together."""
HELLO_TIMEOUT_S = 0.4
"""Longer than a round trip to a core under load, shorter than the hello interval."""
MAX_SEARCH_AGE_S = 1.0
"""Time for which the domains that a search for the leader did not reach are avoided; a node without
a leader searches several times a second."""
PLACE_TIMEOUT_S, MAX_PLACE_TIMEOUT_S = 0.12, 0.5
"""Bounds of the time limit for the first answer of the leader, which takes a few ms when idle."""
PLACE_TIMEOUT_GOALS = 0.5
"""The same limit as a share of the latency target. An entry node that gives up on a busy leader
chooses engines that others choose too."""
MAX_PLACE_FAILURES = 2
"""Consecutive failed calls after which the leader is considered lost."""
MAX_PLACEMENTS = 3
"""Maximum number of placements of a request of which an upstream declines each meanwhile."""
STARTUP_WAIT_S = 1.5
"""Time after the start for which requests wait for the first routes. It suffices if all cores start
at the same time: they take up to 0.5 s longer than an entry node, and an election takes 0.4 to
0.8 s."""
HOUSEKEEPING_INTERVAL_S = 1.0
"""Interval at which idle connections of upstreams and callers are closed; their timeouts are whole
seconds."""
STALL_CHECK_INTERVAL_S = 0.1
MAX_LOGGED_REQUESTS = 100
"""Maximum number of ids of unanswered requests in the log line at the end of a shutdown."""
BALANCER_GRACE_S = 2.6
"""Time for the load balancer to stop sending connections; it probes once a second and removes an
instance after two failed probes."""
MAX_BALANCER_SHARE = 0.5
"""Maximum share of the shutdown for which the load balancer is waited for, so that requests of the
last connections have time to end."""
SHUTDOWN_MARGIN_S = 1.0
"""Time reserved, before the process is killed, for the responses of the requests that the shutdown
ends, for the time limits below, and for the exit of the interpreter, which takes 0.1 to 0.4 s."""
RELEASE_TIMEOUT_S, FLUSH_TIMEOUT_S, CLOSE_TIMEOUT_S = 0.2, 0.1, 0.1
"""Parts of that time for the release of memory on engines, for telling the leader, and for closing
the links, on which a core that is paused does not answer."""


class EntryNode:
    """Node that accepts requests of callers.

    Parameters
    ----------
    settings : NodeSettings
        Settings of the node.
    key : bytes
        Key that all nodes share.
    decode_routes : callable
        Decodes a document of routes.
    wire : WireFormat
        Encoding of header names and values on the wire.
    """

    def __init__(
        self, settings: NodeSettings, key: bytes, decode_routes: RouteDecoder, wire: WireFormat
    ) -> None:
        self.settings = settings
        self.decode_routes = decode_routes
        self.network = PeerNetwork(settings, key, lambda name: make_peer(name, settings.listen))
        rng = random.Random(f"{settings.seed}-{settings.instance_id}")
        self.rng = rng
        dispatch = settings.dispatch
        # Upstreams never expire here, so that a partitioned node continues with its last view.
        self.directory = UpstreamDirectory(math.inf, math.inf)
        self.local_dispatcher = LocalDispatcher(dispatch, rng)
        self.statements = UpstreamStatements(dispatch)
        self.quarantine = self.local_dispatcher.quarantine
        self.crash_evidence = CrashEvidence(self.quarantine, self.network, rng)
        self.pool = ConnectionPool(settings.upstream_connections)
        reservations = Reservations(self.pool, wire, self.record_statement)
        self.metrics = NodeMetrics()
        self.metrics.runs.set_function(lambda: len(self.frontend.tasks))
        self.context = ForwardingContext(
            settings.forward, wire, self, self.pool, reservations, self.metrics, rng
        )
        self.frontend = FrontendServer(self.context)
        self.cores = list(settings.cores)
        self.leader: str | None = None
        self.leader_term = 0
        self.view_version = (0, 0)
        self.routes_version = 0
        self.drained: set[str] = set()
        self.sends: dict[int, ActiveSendRecord] = {}
        self.tasks: list[asyncio.Task] = []
        self.hello_requested = asyncio.Event()
        self.hello_interval_s = HELLO_INTERVAL_S
        self.entry_count = EntryCount()
        self.last_hello_s = -math.inf
        self.search_lock = asyncio.Lock()
        self.core_domains: dict[str, str] = {}
        self.unreachable_domains: set[str] = set()
        self.searched_s = -math.inf
        self.place_failures = 0
        self.decisions = PendingDecisions(self.network, dispatch)
        self.stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether this node accepts new connections."""
        return self.context.route_table is not None and not self.stopping

    async def start(self) -> None:
        """Open the ports and start looking for the leader."""
        self.network.handle(View, self._receive_view)
        self.network.handle(DispatchDecided, self.decisions.receive)
        self.network.handle(CrashedRequests, self.crash_evidence.receive)
        await self.network.start()
        self.context.ready_deadline_s = time.monotonic() + STARTUP_WAIT_S
        listen = self.settings.listen
        self.frontend.listen(listen.host, listen.caller_port)
        self.tasks = [
            asyncio.create_task(self._run_hellos()),
            asyncio.create_task(run_every(HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)),
            asyncio.create_task(run_every(STALL_CHECK_INTERVAL_S, self.context.stalls.record_tick)),
        ]
        log_message("entry_started", cores=self.cores)

    async def stop(self) -> None:
        """Stop after active requests have finished or the shutdown time has passed."""
        self.stopping = True
        log_message("entry_stopping", runs=len(self.frontend.tasks))
        left_s = max(0.0, self.settings.shutdown_timeout_s - SHUTDOWN_MARGIN_S)
        balancer_grace_s = min(BALANCER_GRACE_S, MAX_BALANCER_SHARE * left_s)
        self.context.begin_stop(balancer_grace_s, left_s)
        await asyncio.sleep(balancer_grace_s)
        self.frontend.stop_listening()
        await self.frontend.close_all(self.context.stop_deadline_s - time.monotonic())
        await self.frontend.end_requests()
        await self.context.reservations.finish(RELEASE_TIMEOUT_S)
        await self.network.flush(FLUSH_TIMEOUT_S)
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.pool.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self.network.stop()
        unanswered = sorted(task.get_name() for task in self.frontend.tasks)
        log_message(
            "entry_stopped", runs=len(unanswered), requests=unanswered[:MAX_LOGGED_REQUESTS]
        )

    def reload(self, settings: NodeSettings) -> None:
        """Apply changed settings; only the known cores can change while a node runs."""
        self.cores = sorted({*self.cores, *settings.cores})
        self.hello_requested.set()
        log_message("settings_reloaded", cores=self.cores)

    async def place(self, call: DispatchCall) -> DispatchAnswer:
        """Place a request by asking the leader, or locally if no leader is reachable.

        Notes
        -----
        A node that was paused knows neither the leader nor the upstreams of now, so it looks for a
        leader before it places a request alone. A partitioned node does so all the time.
        """
        refusal = refuse_quarantined(self.quarantine, call, time.monotonic())
        if refusal is not None:
            return refusal
        excluded = call.excluded
        for _ in range(MAX_PLACEMENTS):
            now_s = time.monotonic()
            avoided = self.statements.list_avoided(now_s)
            if avoided:
                usable = self._list_usable(call.service, now_s)
                names = [record.report.upstream_id for record in usable]
                refusal = self.statements.refuse(names, self.rng, now_s)
                if refusal is not None:
                    return refusal
                call = replace(call, excluded=[*excluded, *avoided])
            answer = await self._place_once(call)
            if not self.statements.declines(answer, time.monotonic()):
                return answer
            # The upstream has stated it meanwhile, in the response to another request.
            log_message(
                "placement_declined", request_id=call.request_id, upstream=answer.upstream_id
            )
            self.record_ended(SendEnded(answer.permit, SendOutcome.CANCELLED))
        return refuse_declined()

    async def _place_once(self, call: DispatchCall) -> DispatchAnswer:
        answer = await self._request_placement(call)
        if answer is None and time.monotonic() - self.last_hello_s > MAX_HELLO_AGE_S:
            await self._search_once()
            answer = await self._request_placement(call)
        return answer if answer is not None else self._place_locally(call)

    async def _search_once(self) -> None:
        """Look for the leader, once for all requests that need it at the same time."""
        async with self.search_lock:
            if time.monotonic() - self.last_hello_s > MAX_HELLO_AGE_S:
                await self._find_leader()

    async def _request_placement(self, call: DispatchCall) -> DispatchAnswer | None:
        leader = self.leader
        if leader is None:
            return None
        timeout_s = min(
            max(PLACE_TIMEOUT_S, PLACE_TIMEOUT_GOALS * call.goal_s), MAX_PLACE_TIMEOUT_S
        )
        timeout_s = min(timeout_s, call.remaining_s)
        answered = await self.network.call(leader, call, timeout_s)
        if answered.is_err():
            self.place_failures += 1
            if self.place_failures >= MAX_PLACE_FAILURES:
                self._drop_leader(leader, "placement calls failed")
            return None
        self.place_failures = 0
        answer = answered.unwrap()
        if answer.ticket:
            answer = await self.decisions.wait(leader, answer.ticket, call)
        if answer is None or answer.refusal == ErrorKind.OWNER_UNAVAILABLE.value:
            self._drop_leader(leader, "leader made no decision")
            return None
        return answer

    def record_sent(self, call: DispatchCall, answer: DispatchAnswer) -> None:
        """Record a new active send."""
        self.sends[answer.permit] = ActiveSendRecord(call, answer, time.monotonic())

    def record_started(self, message: SendStarted) -> None:
        """Record the first event of a send and report it to the leader."""
        sent = self.sends.get(message.permit)
        if sent is not None:
            sent.writing = True
        self._send_to_leader(message)

    def record_limit(self, report: LimitReport) -> None:
        """Record a limit that an upstream has just stated, and report it to the leader."""
        self.local_dispatcher.limits.record(report, time.monotonic())
        self._send_to_leader(report)

    def record_statement(self, statement: UpstreamStatement) -> None:
        """Record that an upstream has just stated that it wants no new requests."""
        self.statements.record(statement, time.monotonic())

    async def report_stall(self, message: SendStalled) -> StallAdvice:
        """Report a stalled send to the leader; without an answer the send continues."""
        if self.leader is None:
            return StallAdvice(False)
        answered = await self.network.call(self.leader, message, HELLO_TIMEOUT_S)
        return answered.unwrap() if answered.is_ok() else StallAdvice(False)

    def record_ended(self, message: SendEnded) -> None:
        """Record the end of a send and report it to the leader."""
        sent = self.sends.pop(message.permit, None)
        if sent is not None and message.is_unlimited:
            upstream = sent.answer.upstream_id
            self.local_dispatcher.limits.record_unlimited(upstream, sent.sent_s)
        if message.permit < 0:
            self.local_dispatcher.record_ended(message, time.monotonic())
            self.crash_evidence.tell_others(message)
        else:
            self.crash_evidence.record(message)
        self._send_to_leader(message)

    def _send_to_leader(self, message: SendStarted | SendEnded | LimitReport) -> None:
        if self.leader is not None:
            self.network.send(self.leader, message)

    def _place_locally(self, call: DispatchCall) -> DispatchAnswer:
        now_s = time.monotonic()
        upstreams = self._list_usable(call.service, now_s)
        is_current = now_s - self.searched_s < MAX_SEARCH_AGE_S
        unreachable = self.unreachable_domains if is_current else ()
        answer = self.local_dispatcher.place(
            self.settings.failure_domain, upstreams, call, now_s, unreachable
        )
        log_message(
            "placed_alone",
            request_id=call.request_id,
            upstreams=len(upstreams),
            view=list(self.view_version),
            upstream=answer.upstream_id,
            refusal=answer.refusal,
        )
        return answer

    def _list_usable(self, service: str, now_s: float) -> list[UpstreamRecord]:
        return [
            record
            for record in self.directory.usable(service, now_s)
            if record.report.failure_domain not in self.drained
        ]

    def _drop_leader(self, leader: str, reason: str) -> None:
        if self.leader == leader:
            self.leader = None
            self.hello_requested.set()
            log_message("leader_lost", leader=leader, reason=reason)

    async def _run_hellos(self) -> None:
        while True:
            with log_errors("hello"):
                if self.leader is not None:
                    await self._send_hello(self.leader)
                if self.leader is None:
                    await self._find_leader()
            raise_if_cancelled()
            self.hello_requested.clear()
            interval_s = self.hello_interval_s if self.leader is not None else HELLO_INTERVAL_S / 5
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self.hello_requested.wait()

    async def _find_leader(self) -> None:
        cores = list(self.cores)
        answered = await asyncio.gather(*(self._send_hello(core) for core in cores))
        self.searched_s = time.monotonic()
        self._update_unreachable(dict(zip(cores, answered, strict=True)))

    def _update_unreachable(self, answered: dict[str, bool]) -> None:
        own_domain = self.settings.failure_domain
        unreachable = infer_unreachable_domains(own_domain, self.core_domains, answered)
        if unreachable != self.unreachable_domains:
            self.unreachable_domains = unreachable
            log_message("domains_unreachable", failure_domains=sorted(unreachable))

    async def _send_hello(self, core: str) -> bool:
        """Send a hello to a core, and return whether the core answered."""
        is_current_leader = self.leader == core
        hello_s = time.monotonic()
        hello = self._make_hello(with_sends=not is_current_leader)
        answered: Result = await self.network.call(core, hello, HELLO_TIMEOUT_S)
        self.last_hello_s = time.monotonic()
        if answered.is_err():
            if is_current_leader:
                self._drop_leader(core, "no answer to hello")
            return False
        welcome: EntryWelcome = answered.unwrap()
        self.core_domains[core] = welcome.failure_domain
        if welcome.leading and welcome.term >= self.leader_term:
            if self.leader != core:
                log_message("leader_found", leader=core, term=welcome.term)
            self.leader = core
            self.leader_term = welcome.term
            self.place_failures = 0
            if hello.crashed_requests:
                self.quarantine.mark_shared()
            limits = self.local_dispatcher.limits
            limits.replace_known(welcome.limits, hello_s, self.last_hello_s)
            entry_count = self.entry_count.record(welcome.entry_count, self.last_hello_s)
            self.local_dispatcher.share_budget(entry_count, self.last_hello_s)
            self.hello_interval_s = compute_hello_interval_s(entry_count)
            self._update_ready()
        elif is_current_leader:
            self._drop_leader(core, "core is no longer the leader")
        if welcome.leader is not None and welcome.leader not in self.cores:
            self.cores.append(welcome.leader)
        return True

    def _make_hello(self, with_sends: bool) -> EntryHello:
        reports = []
        now_s = time.monotonic()
        if with_sends:
            reports = [describe_send(sent, now_s) for sent in self.sends.values()]
        term, revision = self.view_version
        return EntryHello(
            self.settings.failure_domain,
            term,
            revision,
            self.routes_version,
            list(self.sends),
            reports,
            self.local_dispatcher.limits.list_reports(now_s),
            self.crash_evidence.list_for_leader() if with_sends else [],
        )

    def _receive_view(self, sender: str, view: View) -> None:
        version = (view.term, view.revision)
        if version < self.view_version:
            return
        self.drained = set(view.drained)
        self.quarantine.restore(view.quarantined, time.monotonic())
        self.cores = view.cores or self.cores
        self.crash_evidence.entries = view.entries or self.crash_evidence.entries
        if view.base_revision and self.view_version != (view.term, view.base_revision):
            # An earlier change was lost; the leader answers the next hello with a whole view.
            self.hello_requested.set()
        else:
            self.view_version = version
            self._update_directory(view)
        if view.routes_version > self.routes_version and view.document:
            self._apply_routes(view)
        if view.routes_version > self.routes_version:
            self.hello_requested.set()

    def _update_directory(self, view: View) -> None:
        now_s = time.monotonic()
        for report in view.upstreams:
            known = self.directory.records.get(report.upstream_id)
            if known is not None and known.report.incarnation != report.incarnation:
                self._forget_statements(report.upstream_id)
            self.directory.observe(report, now_s)
            self.directory.record_alive(report.upstream_id, now_s)
            if report.state is UpstreamState.GONE:
                self.pool.close_address(report.host, report.port)
        gone = set(view.removed)
        if not view.base_revision:
            gone = self.directory.records.keys() - {item.upstream_id for item in view.upstreams}
        for name in gone & self.directory.records.keys():
            self.directory.delete_record(name)
            self._forget_statements(name)
        self.directory.take_changes()

    def _forget_statements(self, upstream_id: str) -> None:
        """Forget what an incarnation of an upstream that has ended stated of itself."""
        self.local_dispatcher.limits.remove(upstream_id)
        self.statements.remove(upstream_id)

    def _update_ready(self) -> None:
        """Release requests that arrived before the routes and the leader were known."""
        if self.leader is not None and self.context.route_table is not None:
            self.context.ready.set()

    def _apply_routes(self, view: View) -> None:
        decoded = self.decode_routes(zlib.decompress(view.document))
        if decoded.is_err():
            log_message("routes_unreadable", failure=str(decoded.unwrap_err()))
            return
        self.context.route_table = RouteTable(decoded.unwrap())
        self.frontend.update_limits()
        self._update_ready()
        self.routes_version = view.routes_version
        self.metrics.routes_version.set(view.routes_version)
        log_message("routes_in_force", version=view.routes_version, term=view.term)

    def _run_housekeeping(self) -> None:
        self.quarantine.expire(time.monotonic())
        self.pool.close_idle()
        self.frontend.close_expired()
        opened, self.pool.opened = self.pool.opened, 0
        self.metrics.upstream_connections.inc(opened)
