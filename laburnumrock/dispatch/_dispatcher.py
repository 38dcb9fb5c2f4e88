"""The one place that decides for all instances where requests go."""

import random
from dataclasses import dataclass, replace

from laburnumrock.dispatch._budget import RepeatBudget
from laburnumrock.dispatch._chooser import Choice, UpstreamChooser
from laburnumrock.dispatch._directory import UpstreamDirectory, UpstreamEntry
from laburnumrock.dispatch._engine_model import MS_PER_S
from laburnumrock.dispatch._fleet import DispatchSettings, Fleet
from laburnumrock.dispatch._load import UNFINISHED_SHARE, ActiveSend
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
)
from laburnumrock.errors import ErrorKind
from laburnumrock.routing import RouteSet

NO_UPSTREAM_RETRY_S = 2.0
"""Upstreams announce themselves about every second, also after all of them were lost."""
MAX_RETRY_S = 3.0
"""Longest time after which a refused caller is asked to return; callers wait up to a third of the
time that they have left."""
PERMIT_MARGIN_S = 1.0
"""A send that its entry no longer lists is dropped after this time; reports may cross."""
WEIGHED_IN_VAIN = 6
"""Waiting requests that find no upstream in one pass, before the others are left for the next one;
weighing a long prompt takes 1 ms, and a pass follows the end of each send."""
REPEAT_HOLD_S = 0.8
"""Longest wait of a request that was sent before; callers leave a stream after 2 s."""


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


class Dispatcher:
    """Ledger of all sends, queue of waiting requests, and their placement.

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
        self.fleet = Fleet(settings, directory)
        self.chooser = UpstreamChooser(self.fleet, source)
        self.sends: dict[int, ActiveSend] = {}
        self.budgets: dict[str, RepeatBudget] = {}
        self.waiting: dict[int, _Waiting] = {}
        self.next_permit = 1
        self.next_ticket = 1

    def start(self, first_permit: int, now_s: float) -> None:
        """Begin to decide, with an empty ledger.

        Parameters
        ----------
        first_permit : int
            Larger than all permits and tickets of earlier dispatchers. A late decision of one of
            them must not be taken for the answer to another request.
        now_s : float
            Monotonic clock in seconds.
        """
        self.fleet.start(now_s)
        self.sends.clear()
        self.budgets.clear()
        self.waiting.clear()
        self.next_permit = first_permit
        self.next_ticket = first_permit

    def set_routes(self, routes: RouteSet) -> None:
        """Take over the declared services."""
        self.fleet.set_routes(routes)

    def set_drained(self, failure_domains: set[str]) -> None:
        """Take failure domains out of service, or back."""
        self.fleet.drained = set(failure_domains)

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
        elif call.arrivals > 0 and not budget.take_repeat(now_s):
            return _refuse(ErrorKind.RATE_LIMITED, self._spread(1.0))
        choice = self.chooser.choose(domain, call, now_s)
        if choice is not None and not self.chooser.is_worth_waiting(choice, call):
            return self._grant_or_refuse(entry, choice, call, now_s)
        if choice is None and not self.fleet.has_upstream(call, now_s):
            return _refuse(ErrorKind.NO_UPSTREAM, self._spread(NO_UPSTREAM_RETRY_S))
        hold_s = find_hold_s(self.settings, call)
        hopeless = hold_s <= 0 or (call.attempt <= 1 and self._wait_is_hopeless(call))
        if choice is None and hopeless:
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
        in_vain = 0
        order = sorted(
            self.waiting.items(),
            key=lambda item: (
                item[1].call.attempt <= 1,
                item[1].call.priority,
                item[1].gives_up_s,
            ),
        )
        for ticket, waiting in order:
            given_up = now_s >= waiting.gives_up_s
            if in_vain >= WEIGHED_IN_VAIN and not given_up:
                continue
            call = waiting.remaining_call(now_s)
            choice = self.chooser.choose(domains.get(waiting.entry, ""), call, now_s)
            if choice is not None and (given_up or not self.chooser.is_worth_waiting(choice, call)):
                answer = self._grant_or_refuse(waiting.entry, choice, call, now_s)
                decided.append((ticket, answer))
            elif given_up:
                retry_s = self._spread(max(0.5, waiting.call.goal_s))
                decided.append((ticket, _refuse(ErrorKind.CONCURRENCY_LIMITED, retry_s)))
            else:
                in_vain += 1
        for ticket, _ in decided:
            del self.waiting[ticket]
        return decided

    def forget_waiting(self, ticket: int) -> None:
        """Drop a waiting request whose caller left."""
        self.waiting.pop(ticket, None)

    def record_started(self, message: SendStarted, now_s: float) -> None:
        """Take over that a send writes."""
        send = self.sends.get(message.permit)
        if send is None:
            return
        for name in (send.upstream_id, *send.helped_by):
            load = self.fleet.loads.get(name)
            if load is not None:
                load.note_first_event(message.permit, message.first_s, now_s)
        self.fleet.note_alive(send.upstream_id, now_s)

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
        silent = [name for name in names if self.fleet.fell_silent(name, now_s)]
        for name in silent:
            self.fleet.note_unresponsive(name, now_s)
        # A stalled prompt with helpers does not tell which of its engines is at fault.
        if not silent and not send.helped_by:
            self.fleet.note_unresponsive(send.upstream_id, now_s)
        return StallAdvice(bool(silent))

    def record_ended(self, message: SendEnded, now_s: float) -> None:
        """Take over that a send ended."""
        send = self._drop(message.permit, now_s)
        for name in message.unresponsive:
            self.fleet.note_unresponsive(name, now_s)
        if send is None:
            return
        load = self.fleet.loads.get(send.upstream_id)
        if load is None:
            return
        outcome = message.outcome
        if outcome is SendOutcome.DONE:
            load.note_outcome(False, now_s)
            self.fleet.note_alive(send.upstream_id, now_s)
        elif outcome is not SendOutcome.CANCELLED and not message.unresponsive:
            load.note_outcome(True, now_s)
            if outcome in (SendOutcome.UNREACHABLE, SendOutcome.SILENT, SendOutcome.BROKEN):
                self.fleet.note_unresponsive(send.upstream_id, now_s)

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
        load = self.fleet.find_load(known)
        helpers = [name for name in report.helpers if name in self.directory.entries]
        prefill_ms = burst_ms = 0.0
        if load.model is not None:
            engines = 1 + len(report.helpers)
            prefill_ms = load.model.prefill_ms(0, report.prompt_tokens) / engines
            burst_ms = load.model.part_burst_ms(report.prompt_tokens, engines)
        left_ms = 0.0
        if not report.writing:
            left_ms = max(UNFINISHED_SHARE * prefill_ms, prefill_ms - report.age_s * MS_PER_S)
        send = ActiveSend(
            report.permit,
            entry,
            report.upstream_id,
            report.prompt_tokens,
            report.output_tokens,
            report.prompt_tokens + report.output_tokens,
            report.gap_goal_s,
            self.fleet.find_value(known.report.service, report.prompt_tokens, report.output_tokens),
            now_s - report.age_s,
            left_ms,
            prefill_ms,
            burst_ms=burst_ms,
            helped_by=tuple(helpers),
        )
        self.sends[report.permit] = send
        load.add(send, now_s)
        for name in helpers:
            self._add_part(send, self.directory.entries[name], 0, now_s)

    def _add_part(self, send: ActiveSend, helper: UpstreamEntry, tokens: int, now_s: float) -> None:
        """Add the part of a prompt that a helper reads."""
        load = self.fleet.find_load(helper)
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
            send.prefill_ms,
            burst_ms=send.burst_ms,
            is_part=True,
        )
        load.add(part, now_s)
        self.fleet.count_cold(helper, load, now_s)

    def observe(self, report: UpstreamReport, now_s: float) -> bool:
        """Take over the report of an upstream; a new incarnation starts with nothing."""
        known = self.directory.entries.get(report.upstream_id)
        changed = self.directory.observe(report, now_s)
        if changed and known is not None and known.report.incarnation != report.incarnation:
            self.fleet.loads.pop(report.upstream_id, None)
        return changed

    def _grant_or_refuse(
        self, entry: str, choice: Choice, call: DispatchCall, now_s: float
    ) -> DispatchAnswer:
        if self.chooser.is_in_vain(choice, call):
            # The engine would work for a caller that has left, while others wait.
            retry_s = self._spread(min(MAX_RETRY_S, max(0.5, choice.first_s / 2)))
            return _refuse(ErrorKind.DEADLINE_UNREACHABLE, retry_s)
        return self._grant(entry, choice, call, now_s)

    def _grant(
        self, entry: str, choice: Choice, call: DispatchCall, now_s: float
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
            self.fleet.find_value(call.service, call.prompt_tokens, call.output_tokens),
            now_s,
            choice.prefill_ms,
            choice.prefill_ms,
            choice.first_s,
            call.goal_s,
            choice.burst_ms,
            tuple(helper.report.upstream_id for helper, _, _ in choice.helpers),
        )
        self.sends[permit] = send
        choice.load.add(send, now_s)
        self.fleet.count_cold(choice.entry, choice.load, now_s)
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
            load = self.fleet.loads.get(name)
            if load is not None:
                load.remove(permit, now_s)
        return send

    def _budget(self, service: str) -> RepeatBudget:
        budget = self.budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = RepeatBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
            self.budgets[service] = budget
        return budget

    def _wait_is_hopeless(self, call: DispatchCall) -> bool:
        """Whether more requests wait than upstreams can take up within the goal."""
        slots = sum(
            load.slots
            for name, load in self.fleet.loads.items()
            if self.fleet.serves(name, call.service)
        )
        waiting = sum(1 for other in self.waiting.values() if other.call.service == call.service)
        return waiting >= max(1, slots // 2)

    def _spread(self, base_s: float) -> float:
        """Spread the returns of refused callers, so that they do not come back together."""
        return round(base_s * self.source.uniform(0.7, 1.5), 2)


def find_hold_s(settings: DispatchSettings, call: DispatchCall) -> float:
    """Return how long a request may wait for a free upstream, in seconds."""
    hold_s = settings.hold_share * call.goal_s
    if call.attempt > 1:
        hold_s = max(hold_s, REPEAT_HOLD_S)
    return min(hold_s, call.remaining_s / 4)


def _refuse(kind: ErrorKind, retry_after_s: float) -> DispatchAnswer:
    return DispatchAnswer(refusal=kind.value, retry_after_s=retry_after_s)
