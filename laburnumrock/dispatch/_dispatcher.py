"""The one place that decides for all instances where requests go.

Notes
-----
The load pattern that this answers: bursts of short prompts alternate with bursts of prompts of
200,000 tokens and more, on engines whose streams stall while they read a long prompt. So the cost
of a placement is the worth that the request and all streams beside it are expected to lose.
"""

import random
import zlib
from dataclasses import dataclass, field, replace

from laburnumrock.dispatch._budget import RepeatBudget
from laburnumrock.dispatch._directory import UpstreamDirectory, UpstreamEntry
from laburnumrock.dispatch._domain_health import DomainHealth
from laburnumrock.dispatch._engine_model import MS_PER_S, EngineModel
from laburnumrock.dispatch._load import UNFINISHED_SHARE, ActiveSend, UpstreamLoad
from laburnumrock.dispatch._messages import (
    ActiveSendReport,
    DispatchAnswer,
    DispatchCall,
    Helper,
    SendEnded,
    SendOutcome,
    SendStalled,
    SendStarted,
    StallAdvice,
    UpstreamReport,
    UpstreamState,
)
from laburnumrock.errors import ErrorKind
from laburnumrock.routing import RouteSet, Service

LATE_LOSS = 0.75
"""Share of its worth that a late answer loses; both users give a late answer a quarter."""
FAIL_LOSS = 1.0
"""Share of its worth that a failed send is expected to lose."""
RAMP_START, RAMP_END = 0.75, 1.1
"""A prediction at this share of the goal begins to count as late, and certainly is."""
DELAY_WEIGHT = 0.05
"""Weight of a delay within the goal; only breaks ties between placements that are on time."""
IDLE_ENGINE_WEIGHT = 0.03
"""Weight of the use of an idle engine, which long prompts may soon need."""
ORDER_WEIGHT = 0.02
"""Weight of the common order of the engines among idle ones."""
DISTANCE_WEIGHT = 0.002
"""Weight of another failure domain; traffic between domains is priced."""
HELPER_WEIGHT = 0.02
"""Weight of each engine that helps; each one more can break the whole prompt."""
PART_WAIT_WEIGHT = 1.0
"""Worth of a second by which a part waits for earlier ones; the whole prompt waits for it."""
MAX_ENGINES_PER_PROMPT = 16
"""Largest number of engines that read one prompt; the engines' protocol allows 16 helpers."""
SPLIT_IDLE_SHARE = 0.6
"""Share of the engines without waiting prompts that one prompt may occupy, so that short prompts
still find one."""
MIN_WAIT_READ_S = 1.0
"""Prompts that are read in less are placed at once; engines free up about every second."""
WAIT_GOAL_SHARE = 0.5
"""A prompt waits only if, split over the most engines, it is read in this share of its goal."""
SHORT_PART_MS = 100.0
"""A part that is read in this time delays no other request beyond its goal."""
NO_UPSTREAM_RETRY_S = 2.0
"""Upstreams announce themselves about every second, also after all of them were lost."""
SPLIT_LOSS = 0.1
"""A placement that loses less is taken without weighing whether to split the prompt."""
SPLIT_SIZES = (2, 3, 4, 6, 8, 12, 16)
"""Numbers of engines that are weighed for one prompt."""
MEMORY_SHARE = 0.97
"""Share of an engine's memory that is planned with; blocks round each request up."""
OUTPUT_TOKENS_WEIGHT = 10.0
"""An output token costs about as much as ten prompt tokens."""
PERMIT_MARGIN_S = 1.0
"""A send that its entry no longer lists is dropped after this time; reports may cross."""
RECENT_S = 0.25
"""Time for the ledger of a new dispatcher to fill before cold upstreams get requests."""
COLD_RATE_SHARE = 0.8
"""Share of the rate that a cold upstream bears which is used."""
EXPECTED_PLAIN_S = 0.05
"""Predicted time of a request on an idle upstream that is not a model engine."""


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Bounds that hold over all instances.

    Parameters
    ----------
    repeat_ratio, repeat_slack, repeat_window_s : float
        Budget of repeated sends for each service.
    expiry_s, forget_s : float, > 0
        As in `UpstreamDirectory`.
    doubt_s : float, > 0
        An upstream that was not heard for this long gets work only if there is no other.
    hold_share : float
        Part of its goal for which a request may wait for a free upstream.
    """

    repeat_ratio: float = 0.2
    repeat_slack: float = 50.0
    repeat_window_s: float = 10.0
    expiry_s: float = 4.0
    doubt_s: float = 2.0
    forget_s: float = 30.0
    hold_share: float = 0.5


@dataclass(slots=True)
class _Waiting:
    """Request that waits for a free upstream."""

    entry: str
    call: DispatchCall
    arrived_s: float
    gives_up_s: float

    def remaining_call(self, now_s: float) -> DispatchCall:
        """Return the call with the times that are left."""
        waited_s = now_s - self.arrived_s
        return replace(
            self.call,
            goal_s=max(0.05, self.call.goal_s - waited_s),
            remaining_s=self.call.remaining_s - waited_s,
        )


@dataclass(slots=True)
class _Choice:
    """Placement that is being considered."""

    entry: UpstreamEntry
    load: UpstreamLoad
    first_s: float
    loss: float
    read_ms: float = 0.0
    helpers: list[tuple[UpstreamEntry, UpstreamLoad, int]] = field(default_factory=list)


class Dispatcher:
    """Ledger of all sends, and the choice of upstreams.

    Parameters
    ----------
    settings : DispatchSettings
        Bounds.
    directory : UpstreamDirectory
        Upstreams; shared with whoever receives their reports.
    source : random.Random
        Breaks ties and spreads returns.
    """

    def __init__(
        self, settings: DispatchSettings, directory: UpstreamDirectory, source: random.Random
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.source = source
        self.services: dict[str, Service] = {}
        self.models: dict[str, EngineModel] = {}
        self.drained: set[str] = set()
        self.loads: dict[str, UpstreamLoad] = {}
        self.sends: dict[int, ActiveSend] = {}
        self.budgets: dict[str, RepeatBudget] = {}
        self.unresponsive: dict[str, DomainHealth] = {}
        self.waiting: dict[int, _Waiting] = {}
        self.next_permit = 1
        self.next_ticket = 1
        self.started_s = 0.0

    def start(self, first_permit: int, now_s: float) -> None:
        """Begin to decide, with an empty ledger.

        Parameters
        ----------
        first_permit : int
            Larger than all permits of earlier dispatchers.
        now_s : float
            Monotonic clock in seconds.
        """
        self.loads.clear()
        self.sends.clear()
        self.budgets.clear()
        self.unresponsive.clear()
        self.waiting.clear()
        self.next_permit = first_permit
        self.started_s = now_s

    def set_routes(self, routes: RouteSet) -> None:
        """Take over the declared services."""
        services = {service.name: service for service in routes.services}
        for name, service in services.items():
            if service.engine is None:
                self.models.pop(name, None)
            elif self.services.get(name) != service or name not in self.models:
                self.models[name] = EngineModel(service.engine)
        self.services = services

    def set_drained(self, failure_domains: set[str]) -> None:
        """Take failure domains out of service, or back."""
        self.drained = set(failure_domains)

    def place(
        self, entry: str, domain: str, call: DispatchCall, now_s: float
    ) -> DispatchAnswer | int:
        """Choose an upstream for a request.

        Parameters
        ----------
        entry : str
            Instance that asks.
        domain : str
            Its failure domain.
        call : DispatchCall
            The request.
        now_s : float
            Monotonic clock in seconds.

        Returns
        -------
        DispatchAnswer or int
            The answer, or the number under which the request waits for a free upstream.
        """
        budget = self._budget(call.service)
        if call.attempt <= 1:
            budget.note_request(now_s)
        elif not budget.take_repeat(now_s):
            return _refuse(ErrorKind.RATE_LIMITED, self._spread(1.0))
        choice = self._choose(domain, call, now_s)
        if choice is not None and not self._is_worth_waiting(choice, call):
            return self._grant(entry, choice, call, now_s)
        if choice is None and not self._has_upstream(call, now_s):
            return _refuse(ErrorKind.NO_UPSTREAM, self._spread(NO_UPSTREAM_RETRY_S))
        hold_s = min(self.settings.hold_share * call.goal_s, call.remaining_s / 4)
        if choice is None and (hold_s <= 0 or self._wait_is_hopeless(call)):
            return _refuse(ErrorKind.CONCURRENCY_LIMITED, self._spread(max(0.5, call.goal_s)))
        ticket = self.next_ticket
        self.next_ticket += 1
        self.waiting[ticket] = _Waiting(entry, call, now_s, now_s + hold_s)
        return ticket

    def retry_waiting(
        self, domains: dict[str, str], now_s: float
    ) -> list[tuple[int, DispatchAnswer]]:
        """Place waiting requests that fit now, and refuse those that waited long enough.

        Parameters
        ----------
        domains : dict of str to str
            Failure domain of each entry.
        """
        decided = []
        order = sorted(
            self.waiting.items(), key=lambda item: (item[1].call.priority, item[1].gives_up_s)
        )
        for ticket, waiting in order:
            call = waiting.remaining_call(now_s)
            choice = self._choose(domains.get(waiting.entry, ""), call, now_s)
            given_up = now_s >= waiting.gives_up_s
            if choice is not None and (given_up or not self._is_worth_waiting(choice, call)):
                decided.append((ticket, self._grant(waiting.entry, choice, call, now_s)))
            elif given_up:
                retry_s = self._spread(max(0.5, waiting.call.goal_s))
                decided.append((ticket, _refuse(ErrorKind.CONCURRENCY_LIMITED, retry_s)))
        for ticket, _ in decided:
            del self.waiting[ticket]
        return decided

    def _is_worth_waiting(self, choice: _Choice, call: DispatchCall) -> bool:
        """Whether a long prompt that would be late now may be on time once engines are free."""
        model = self.models.get(call.service)
        if model is None or choice.first_s <= call.goal_s:
            return False
        whole_s = model.read_ms(0, call.prompt_tokens) / MS_PER_S
        # Split over the most engines it takes whole_s / 16; what is left of the goal allows a wait.
        split_s = whole_s / MAX_ENGINES_PER_PROMPT
        return whole_s > MIN_WAIT_READ_S and split_s < WAIT_GOAL_SHARE * call.goal_s

    def forget_waiting(self, ticket: int) -> None:
        """Drop a waiting request whose caller left."""
        self.waiting.pop(ticket, None)

    def note_started(self, message: SendStarted, now_s: float) -> None:
        """Take over that a send writes."""
        send = self.sends.get(message.permit)
        if send is None:
            return
        for name in (send.upstream_id, *send.helped_by):
            load = self.loads.get(name)
            if load is not None:
                load.note_first_event(message.permit, message.first_s, now_s)
        self._note_alive(send.upstream_id, now_s)

    def note_stalled(self, message: SendStalled, now_s: float) -> StallAdvice:
        """Advise on a send from which nothing has come for longer than expected.

        Returns
        -------
        StallAdvice
            Whether the send should be given up. A long prompt that is only slow is read on, since
            to read it again elsewhere costs more than the delay.
        """
        send = self.sends.get(message.permit)
        if send is None:
            return StallAdvice(False)
        names = (send.upstream_id, *send.helped_by)
        silent = [name for name in names if self._fell_silent(name, now_s)]
        for name in silent:
            self._note_unresponsive(name, now_s)
        # A stalled prompt with helpers does not tell which of its engines is at fault.
        if not silent and not send.helped_by:
            self._note_unresponsive(send.upstream_id, now_s)
        return StallAdvice(bool(silent))

    def _fell_silent(self, upstream_id: str, now_s: float) -> bool:
        entry = self.directory.entries.get(upstream_id)
        if entry is None or entry.report.state is UpstreamState.GONE:
            return True
        return now_s - entry.heard_s > self.settings.doubt_s

    def note_ended(self, message: SendEnded, now_s: float) -> None:
        """Take over that a send ended."""
        send = self._drop(message.permit, now_s)
        for name in message.unresponsive:
            self._note_unresponsive(name, now_s)
        if send is None:
            return
        load = self.loads.get(send.upstream_id)
        if load is None:
            return
        outcome = message.outcome
        if outcome is SendOutcome.DONE:
            load.note_outcome(False, now_s)
            self._note_alive(send.upstream_id, now_s)
        elif outcome is not SendOutcome.CANCELLED and not message.unresponsive:
            load.note_outcome(True, now_s)
            if outcome in (SendOutcome.UNREACHABLE, SendOutcome.SILENT, SendOutcome.BROKEN):
                self._note_unresponsive(send.upstream_id, now_s)

    def _note_alive(self, upstream_id: str, now_s: float) -> None:
        self.directory.note_alive(upstream_id, now_s)
        entry = self.directory.entries.get(upstream_id)
        if entry is not None:
            self.unresponsive.pop(entry.report.failure_domain, None)

    def _note_unresponsive(self, upstream_id: str, now_s: float) -> None:
        load = self.loads.get(upstream_id)
        entry = self.directory.entries.get(upstream_id)
        if load is None or entry is None:
            return
        load.note_unresponsive(now_s)
        health = self.unresponsive.setdefault(entry.report.failure_domain, DomainHealth())
        health.note_unresponsive(upstream_id, now_s)

    def keep_only(self, entry: str, permits: set[int], now_s: float) -> None:
        """Drop the sends of an entry that it no longer lists."""
        lost = [
            send.permit
            for send in self.sends.values()
            if send.entry == entry
            and send.permit not in permits
            and now_s - send.started_s > PERMIT_MARGIN_S
        ]
        for permit in lost:
            self._drop(permit, now_s)

    def adopt(self, entry: str, report: ActiveSendReport, now_s: float) -> None:
        """Take over a send that an earlier dispatcher or the entry itself placed."""
        known = self.directory.entries.get(report.upstream_id)
        if report.permit in self.sends or known is None:
            return
        load = self._load(known)
        helpers = [name for name in report.helpers if name in self.directory.entries]
        read_ms = 0.0
        if load.model is not None:
            read_ms = load.model.read_ms(0, report.prompt_tokens) / (1 + len(report.helpers))
        left_ms = 0.0
        if not report.writing:
            left_ms = max(UNFINISHED_SHARE * read_ms, read_ms - report.age_s * MS_PER_S)
        send = ActiveSend(
            report.permit,
            entry,
            report.upstream_id,
            report.prompt_tokens,
            report.output_tokens,
            report.prompt_tokens + report.output_tokens,
            report.gap_goal_s,
            self._value(known.report.service, report.prompt_tokens, report.output_tokens),
            now_s - report.age_s,
            left_ms,
            read_ms,
            helped_by=tuple(helpers),
        )
        self.sends[report.permit] = send
        load.add(send, now_s)
        for name in helpers:
            self._add_part(send, self.directory.entries[name], 0, now_s)

    def _add_part(self, send: ActiveSend, helper: UpstreamEntry, tokens: int, now_s: float) -> None:
        """Add the part of a prompt that a helper reads."""
        load = self._load(helper)
        load.delay_readers(send.read_left_ms)
        part = ActiveSend(
            send.permit,
            send.entry,
            helper.report.upstream_id,
            0,
            0,
            tokens,
            0.0,
            0.0,
            send.started_s,
            send.read_left_ms,
            send.read_ms,
            is_part=True,
        )
        load.add(part, now_s)
        self._count_cold(helper, load, now_s)

    def observe(self, report: UpstreamReport, now_s: float) -> bool:
        """Take over the report of an upstream; a new incarnation starts with nothing."""
        known = self.directory.entries.get(report.upstream_id)
        changed = self.directory.observe(report, now_s)
        if changed and known is not None and known.report.incarnation != report.incarnation:
            self.loads.pop(report.upstream_id, None)
        return changed

    def _grant(
        self, entry: str, choice: _Choice, call: DispatchCall, now_s: float
    ) -> DispatchAnswer:
        permit = self.next_permit
        self.next_permit += 1
        report = choice.entry.report
        memory = call.prompt_tokens + call.output_tokens
        memory -= sum(tokens for _, _, tokens in choice.helpers)
        send = ActiveSend(
            permit,
            entry,
            report.upstream_id,
            call.prompt_tokens,
            call.output_tokens,
            memory,
            call.gap_goal_s,
            self._value(call.service, call.prompt_tokens, call.output_tokens),
            now_s,
            choice.read_ms,
            choice.read_ms,
            choice.first_s,
            call.goal_s,
            tuple(helper.report.upstream_id for helper, _, _ in choice.helpers),
        )
        self.sends[permit] = send
        choice.load.add(send, now_s)
        self._count_cold(choice.entry, choice.load, now_s)
        helpers = []
        for helper, _, tokens in choice.helpers:
            self._add_part(send, helper, tokens, now_s)
            target = helper.report
            helpers.append(Helper(target.upstream_id, target.host, target.port, tokens))
        return DispatchAnswer(
            permit, report.upstream_id, report.host, report.port, choice.first_s, helpers
        )

    def _drop(self, permit: int, now_s: float) -> ActiveSend | None:
        send = self.sends.pop(permit, None)
        if send is None:
            return None
        for name in (send.upstream_id, *send.helped_by):
            load = self.loads.get(name)
            if load is not None:
                load.remove(permit, now_s)
        return send

    def _choose(self, domain: str, call: DispatchCall, now_s: float) -> _Choice | None:
        usable = self._candidates(call, now_s)
        candidates = [pair for pair in usable if pair[1].free_slots > 0]
        if not candidates:
            return None
        model = self.models.get(call.service)
        if model is None:
            return min(
                (self._weigh_plain(domain, call, *pair, now_s) for pair in candidates),
                key=lambda choice: choice.loss,
            )
        read_ms = model.read_ms(0, call.prompt_tokens)
        memory = call.prompt_tokens + call.output_tokens
        capacity = MEMORY_SHARE * model.parameters.kv_capacity_tokens
        best: _Choice | None = None
        for entry, load in candidates:
            if load.memory_tokens + memory > capacity:
                continue
            choice = self._weigh(domain, call, entry, load, read_ms, now_s)
            if best is None or choice.loss < best.loss:
                best = choice
        if best is not None and best.loss <= SPLIT_LOSS:
            return best
        split = self._split(domain, call, usable, model, now_s)
        if split is not None and (best is None or split.loss < best.loss):
            return split
        return best

    def _candidates(
        self, call: DispatchCall, now_s: float
    ) -> list[tuple[UpstreamEntry, UpstreamLoad]]:
        usable = []
        suspects = []
        for entry in self.directory.usable(call.service, now_s):
            name = entry.report.upstream_id
            if entry.report.failure_domain in self.drained or name in call.excluded:
                continue
            load = self._load(entry)
            if not self._bears_cold(entry, load, now_s):
                continue
            load.advance(now_s)
            if load.is_suspect(now_s) or self._is_doubtful(entry, now_s):
                suspects.append((entry, load))
            else:
                usable.append((entry, load))
        return usable or suspects

    def _is_doubtful(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Whether an upstream missed a report, or others of its failure domain do not respond."""
        if now_s - entry.heard_s > self.settings.doubt_s:
            return True
        unresponsive = self.unresponsive.get(entry.report.failure_domain)
        return unresponsive is not None and unresponsive.is_cut_off(now_s)

    def _weigh_plain(
        self,
        domain: str,
        call: DispatchCall,
        entry: UpstreamEntry,
        load: UpstreamLoad,
        now_s: float,
    ) -> _Choice:
        loss = len(load.sends) / load.slots + FAIL_LOSS * load.current_failure_rate(now_s)
        loss += self._distance(domain, entry) + self.source.random() * 1e-3
        return _Choice(entry, load, EXPECTED_PLAIN_S * (1 + len(load.sends)), loss)

    def _weigh(
        self,
        domain: str,
        call: DispatchCall,
        entry: UpstreamEntry,
        load: UpstreamLoad,
        read_ms: float,
        now_s: float,
    ) -> _Choice:
        value = self._value(call.service, call.prompt_tokens, call.output_tokens)
        pass_ms = load.pass_ms()
        own_pass_ms = load.model.write_pass_ms(len(load.sends) + 1, call.prompt_tokens)
        first_ms = pass_ms + load.reading_ms() + read_ms + own_pass_ms
        first_s = load.pace * first_ms / MS_PER_S
        loss = value * _late_loss(first_s, call.goal_s)
        loss += DELAY_WEIGHT * first_s / call.goal_s
        loss += value * FAIL_LOSS * load.current_failure_rate(now_s)
        if call.gap_goal_s > 0:
            gap_s = load.pace * max(pass_ms, own_pass_ms) / MS_PER_S
            loss += value * _late_loss(gap_s, call.gap_goal_s)
        loss += _disturbance(load, read_ms)
        if not load.sends:
            order = spread_order(entry.report.upstream_id)
            long = read_ms > SHORT_PART_MS
            loss += IDLE_ENGINE_WEIGHT + ORDER_WEIGHT * (1.0 - order if long else order)
        loss += self._distance(domain, entry) + self.source.random() * 1e-4
        return _Choice(entry, load, first_s, loss, read_ms)

    def _split(
        self,
        domain: str,
        call: DispatchCall,
        candidates: list[tuple[UpstreamEntry, UpstreamLoad]],
        model: EngineModel,
        now_s: float,
    ) -> _Choice | None:
        """Split a long prompt into parts that disturb the streams of their engines least."""
        whole_ms = model.read_ms(0, call.prompt_tokens)
        memory = call.prompt_tokens + call.output_tokens
        capacity = MEMORY_SHARE * model.parameters.kv_capacity_tokens
        able = [pair for pair in candidates if not pair[0].is_cold(now_s)]
        idle = sum(1 for _, load in able if load.reading_ms() <= 0)
        best = None
        for engines in SPLIT_SIZES:
            part_ms = whole_ms / engines
            most = min(len(able), MAX_ENGINES_PER_PROMPT)
            if part_ms > SHORT_PART_MS and memory <= capacity:
                most = min(most, int(SPLIT_IDLE_SHARE * idle))
            if engines > most or memory > engines * capacity:
                continue
            ranked = sorted(able, key=lambda pair: self._part_cost(domain, pair, part_ms, now_s))
            reserved = -int(-memory // engines) if memory > capacity else 0
            choice = self._weigh_split(domain, call, ranked, engines, part_ms, reserved, now_s)
            if choice is not None and (best is None or choice.loss < best.loss):
                best = choice
        return best

    def _weigh_split(
        self,
        domain: str,
        call: DispatchCall,
        ranked: list[tuple[UpstreamEntry, UpstreamLoad]],
        engines: int,
        part_ms: float,
        reserved: int,
        now_s: float,
    ) -> _Choice | None:
        memory = call.prompt_tokens + call.output_tokens - reserved * (engines - 1)
        first = None
        helping = []
        for entry, load in ranked:
            free = MEMORY_SHARE * load.model.parameters.kv_capacity_tokens - load.memory_tokens
            if first is None and memory <= free and load.free_slots > 0:
                first = (entry, load)
            elif len(helping) < engines - 1 and reserved <= free and load.parts < load.slots:
                helping.append((entry, load, reserved))
        if first is None or len(helping) < engines - 1:
            return None
        choice = self._weigh(domain, call, *first, part_ms, now_s)
        pace = max([first[1].pace, *(load.pace for _, load, _ in helping)])
        waits_ms = max(load.pass_ms() + load.parts_ms() for _, load, _ in helping)
        own_pass_ms = first[1].model.write_pass_ms(len(first[1].sends) + 1, call.prompt_tokens)
        first_s = pace * (waits_ms + part_ms + own_pass_ms) / MS_PER_S
        if first_s > choice.first_s:
            value = self._value(call.service, call.prompt_tokens, call.output_tokens)
            choice.loss += value * _late_loss(first_s, call.goal_s)
            choice.loss -= value * _late_loss(choice.first_s, call.goal_s)
            choice.first_s = first_s
        for entry, load, _ in helping:
            choice.loss += self._part_cost(domain, (entry, load), part_ms, now_s)
        choice.helpers = helping
        return choice

    def _part_cost(
        self,
        domain: str,
        pair: tuple[UpstreamEntry, UpstreamLoad],
        part_ms: float,
        now_s: float,
    ) -> float:
        """Worth that is lost when an engine reads a part for another one."""
        entry, load = pair
        cost = _disturbance(load, part_ms) + _reader_delay(load, part_ms) + HELPER_WEIGHT
        cost += PART_WAIT_WEIGHT * load.pace * load.parts_ms() / MS_PER_S
        cost += HELPER_WEIGHT * (load.pace + 10.0 * load.current_failure_rate(now_s))
        return cost + self._distance(domain, entry)

    def _load(self, entry: UpstreamEntry) -> UpstreamLoad:
        report = entry.report
        load = self.loads.get(report.upstream_id)
        if load is None:
            load = UpstreamLoad(self.models.get(report.service), report.slots)
            self.loads[report.upstream_id] = load
        load.slots = report.slots
        load.model = self.models.get(report.service)
        return load

    def _budget(self, service: str) -> RepeatBudget:
        budget = self.budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = RepeatBudget(
                settings.repeat_ratio, settings.repeat_slack, settings.repeat_window_s
            )
            self.budgets[service] = budget
        return budget

    def _has_upstream(self, call: DispatchCall, now_s: float) -> bool:
        return any(
            entry.report.failure_domain not in self.drained
            and entry.report.upstream_id not in call.excluded
            for entry in self.directory.usable(call.service, now_s)
        )

    def _wait_is_hopeless(self, call: DispatchCall) -> bool:
        """Whether more requests wait than upstreams can take up within the goal."""
        slots = sum(
            load.slots for name, load in self.loads.items() if self._serves(name, call.service)
        )
        waiting = sum(1 for other in self.waiting.values() if other.call.service == call.service)
        return waiting >= max(1, slots // 2)

    def _serves(self, upstream_id: str, service: str) -> bool:
        entry = self.directory.entries.get(upstream_id)
        return entry is not None and entry.report.service == service

    def _bears_cold(self, entry: UpstreamEntry, load: UpstreamLoad, now_s: float) -> bool:
        if not entry.is_cold(now_s):
            return True
        service = self.services.get(entry.report.service)
        if service is None or service.cold_requests_per_s <= 0:
            return True
        if now_s - self.started_s < RECENT_S + 1.0:
            return False
        limit = max(1, int(COLD_RATE_SHARE * service.cold_requests_per_s))
        return load.cold_sends_in(1.0, now_s) < limit

    def _count_cold(self, entry: UpstreamEntry, load: UpstreamLoad, now_s: float) -> None:
        # Every send counts, so that an upstream that turns cold starts with what it just got.
        load.cold_sends_in(1.0, now_s)
        load.cold_sends.append(now_s)

    def _value(self, service: str, prompt_tokens: int, output_tokens: int) -> float:
        model = self.models.get(service)
        if model is None or prompt_tokens <= 0:
            return 1.0
        usual = model.parameters
        mean = usual.usual_prompt_tokens + OUTPUT_TOKENS_WEIGHT * usual.usual_output_tokens
        size = prompt_tokens + OUTPUT_TOKENS_WEIGHT * output_tokens
        return max(0.3, size / max(mean, 1.0))

    def _distance(self, domain: str, entry: UpstreamEntry) -> float:
        return 0.0 if entry.report.failure_domain == domain else DISTANCE_WEIGHT

    def _spread(self, base_s: float) -> float:
        """Spread the returns of refused callers, so that they do not come back together."""
        return round(base_s * self.source.uniform(0.7, 1.5), 2)


def spread_order(upstream_id: str) -> float:
    """Return the place of an engine in an order that all nodes share, between 0 and 1.

    Notes
    -----
    Short prompts take idle engines from the beginning of the order and long ones from its end. So
    an entry that decides alone mostly keeps them apart, as the dispatcher does.
    """
    return zlib.crc32(upstream_id.encode()) / 0xFFFFFFFF


def _disturbance(load: UpstreamLoad, read_ms: float) -> float:
    """Worth that the requests of an engine lose when it reads more.

    Parameters
    ----------
    load : UpstreamLoad
        The engine.
    read_ms : float
        Time that it reads more, at the normal pace.
    """
    before_s = load.pace * load.pass_ms() / MS_PER_S
    after_s = load.pace * load.pass_ms(read_ms) / MS_PER_S
    loss = 0.0
    for send in load.sends.values():
        if not send.is_writing or send.gap_goal_s <= 0:
            continue
        loss += send.value * (
            _late_loss(after_s, send.gap_goal_s) - _late_loss(before_s, send.gap_goal_s)
        )
    return loss


def _reader_delay(load: UpstreamLoad, part_ms: float) -> float:
    """Worth that the waiting prompts of an engine lose when it reads a part ahead of them."""
    delay_s = load.pace * part_ms / MS_PER_S
    loss = 0.0
    for send in load.sends.values():
        if send.is_part or send.is_writing:
            continue
        after = _late_loss(send.expected_first_s + delay_s, send.goal_s)
        loss += send.value * (after - _late_loss(send.expected_first_s, send.goal_s))
    return loss


def _late_loss(time_s: float, goal_s: float) -> float:
    if goal_s <= 0:
        return 0.0
    share = time_s / goal_s
    if share <= RAMP_START:
        return 0.0
    return LATE_LOSS * min(1.0, (share - RAMP_START) / (RAMP_END - RAMP_START))


def _refuse(kind: ErrorKind, retry_after_s: float) -> DispatchAnswer:
    return DispatchAnswer(refusal=kind.value, retry_after_s=retry_after_s)
