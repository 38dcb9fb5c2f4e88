"""Central dispatcher that places the requests of all entry nodes."""

import random
from collections import Counter

from laburnumrock.dispatch._budget import RetryBudget
from laburnumrock.dispatch._chooser import Choice, UpstreamChooser
from laburnumrock.dispatch._directory import UpstreamDirectory, UpstreamRecord
from laburnumrock.dispatch._engine_model import MS_PER_S
from laburnumrock.dispatch._fleet import Fleet
from laburnumrock.dispatch._limits import (
    DispatchSettings,
    client_timeout_s,
)
from laburnumrock.dispatch._load import MIN_PREFILL_LEFT_SHARE, ActiveSend
from laburnumrock.dispatch._messages import (
    ENDED_OUTCOMES,
    UNRESPONSIVE_OUTCOMES,
    ActiveSendReport,
    DispatchAnswer,
    DispatchCall,
    Helper,
    LimitReport,
    SendEnded,
    SendOutcome,
    SendStalled,
    SendStarted,
    StallAdvice,
    UpstreamReport,
    UpstreamState,
)
from laburnumrock.dispatch._outcomes import record_parts, refuse_quarantined
from laburnumrock.dispatch._queue import CallQueue, QueueDecision
from laburnumrock.dispatch._refusals import CallRefusals
from laburnumrock.dispatch._trials import MAX_HELD_CALLS, PromptTrials
from laburnumrock.errors import ErrorKind
from laburnumrock.quarantine import CrashQuarantine
from laburnumrock.routing import RouteSet

PERMIT_GRACE_S = 1.0
"""Minimum age at which a send is dropped because its entry node does not list it; the list may have
been sent before the permit arrived."""
RETRY_DELAY_S = 1.0
"""Retry delay for requests that the retry budget does not allow to be sent again."""
MAX_FAILED_PLACEMENTS = 6
"""Failed placements after which a pass leaves the other waiting requests for the next one, except
expired ones. Evaluating a long prompt takes 1 ms, and a pass follows the end of each send. First
sends and retries of each service count apart: retries come first, and those of a silent engine fail
in each pass while a free upstream could take the other requests."""


class Dispatcher:
    """Places requests on upstreams, tracks all active sends and queues requests that must wait.

    Parameters
    ----------
    settings : DispatchSettings
        Limits for all entry nodes together.
    directory : UpstreamDirectory
        Upstreams; the owner of the dispatcher may update it as well.
    rng : random.Random
        Breaks ties and adds jitter to retry delays.
    """

    def __init__(
        self, settings: DispatchSettings, directory: UpstreamDirectory, rng: random.Random
    ) -> None:
        self.settings = settings
        self.directory = directory
        self.rng = rng
        self.fleet = Fleet(settings, directory)
        self.chooser = UpstreamChooser(self.fleet, rng)
        self.sends: dict[int, ActiveSend] = {}
        self.permits_by_entry: dict[str, set[int]] = {}
        self.budgets: dict[str, RetryBudget] = {}
        self.queue = CallQueue(settings)
        self.quarantine = CrashQuarantine(settings.quarantine)
        self.trials = PromptTrials(self.quarantine, self.fleet)
        self.refusals = CallRefusals(self.fleet, self.queue, self.trials, rng)
        self.first_permit = self.next_permit = 1

    def start(self, first_permit: int, now_s: float) -> None:
        """Start with no active sends and an empty queue.

        Parameters
        ----------
        first_permit : int
            Larger than all permits and tickets of earlier dispatchers, so that a late decision of
            one of them is not taken for the answer to another request.
        now_s : float
            Monotonic clock in seconds.
        """
        self.fleet.start(now_s)
        self.sends.clear()
        self.permits_by_entry.clear()
        self.budgets.clear()
        self.trials.clear()
        self.queue.start(first_permit)
        self.first_permit = self.next_permit = first_permit

    def set_routes(self, routes: RouteSet) -> None:
        """Apply the declared services."""
        self.fleet.set_routes(routes)

    def set_drained(self, failure_domains: set[str]) -> None:
        """Set the failure domains that are out of service."""
        self.fleet.drained = set(failure_domains)

    def place(
        self, entry: str, domain: str, call: DispatchCall, now_s: float
    ) -> DispatchAnswer | int:
        """Choose an upstream for a request.

        Parameters
        ----------
        entry : str
            Entry node that sends the request.
        domain : str
            Failure domain of the entry node.
        call : DispatchCall
            The request.
        now_s : float
            Monotonic clock in seconds.

        Returns
        -------
        DispatchAnswer or int
            The answer, or the ticket of the request if it is queued for a free upstream.
        """
        refusal = refuse_quarantined(self.quarantine, call, now_s)
        if refusal is not None:
            return refusal
        budget = self._budget(call.service)
        if call.attempt <= 1:
            budget.record_request(now_s)
        elif call.arrivals > 0 and not budget.allows_retry(now_s):
            return self.refusals.refuse(ErrorKind.RATE_LIMITED, RETRY_DELAY_S)
        if self.trials.must_wait(call):
            return self._hold(entry, call, now_s)
        choice = self._choose(domain, call, now_s)
        if choice is not None and not self.chooser.should_wait(choice, call):
            return self._grant_or_refuse(entry, choice, call, now_s)
        if choice is None:
            refusal = self.refusals.refuse_unplaceable(call, now_s)
        else:
            refusal = self.refusals.refuse_late(choice.first_s, call, now_s)
        if refusal is not None:
            return refusal
        return self.queue.add(entry, call, now_s)

    def place_waiting(self, domains: dict[str, str], now_s: float) -> list[QueueDecision]:
        """Place queued requests that an upstream can take now, and refuse those whose wait expired.

        Parameters
        ----------
        domains : dict of str to str
            Failure domain of each entry node.
        """
        decided = []
        failed: Counter[tuple[str, bool]] = Counter()
        for ticket, queued in self.queue.in_order(now_s):
            refusal = refuse_quarantined(self.quarantine, queued.call, now_s)
            if refusal is not None:
                decided.append(QueueDecision(ticket, queued, refusal))
                continue
            expired = now_s >= queued.wait_until_s
            held = self.trials.must_wait(queued.call)
            if held and not expired:
                continue
            group = (queued.call.service, queued.call.attempt > 1)
            if failed[group] >= MAX_FAILED_PLACEMENTS and not expired:
                continue
            call = queued.remaining_call(now_s)
            domain = domains.get(queued.entry, "")
            choice = None if held else self._choose(domain, call, now_s)
            settled = now_s >= queued.improve_until_s
            if choice is not None and (settled or not self.chooser.should_wait(choice, call)):
                answer = self._grant_or_refuse(queued.entry, choice, call, now_s)
                decided.append(QueueDecision(ticket, queued, answer))
            elif expired:
                retry_s = max(0.5, queued.call.goal_s)
                answer = self.refusals.refuse(ErrorKind.CONCURRENCY_LIMITED, retry_s)
                decided.append(QueueDecision(ticket, queued, answer))
            else:
                failed[group] += 1
        for decision in decided:
            self.queue.remove(decision.ticket)
        return decided

    def _choose(self, domain: str, call: DispatchCall, now_s: float) -> Choice | None:
        separate = self.trials.separate(call, now_s)
        choice = self.chooser.choose(domain, separate, now_s)
        if choice is None and separate is not call:
            choice = self.chooser.choose(domain, call, now_s)
        return choice

    def _hold(self, entry: str, call: DispatchCall, now_s: float) -> DispatchAnswer | int:
        """Queue a request until the trial of a part that it contains has ended."""
        if self.trials.count_held(self.queue, call.service) >= MAX_HELD_CALLS:
            return self.refusals.refuse(ErrorKind.CONCURRENCY_LIMITED, max(0.5, call.goal_s))
        return self.queue.add(entry, call, now_s)

    def record_started(self, message: SendStarted, now_s: float) -> None:
        """Record the first event of a send."""
        send = self.sends.get(message.permit)
        if send is None:
            return
        for name in (send.upstream_id, *send.helped_by):
            load = self.fleet.loads.get(name)
            if load is not None:
                load.record_first_event(message.permit, message.first_s, now_s)
        self._record_progress(send, now_s)

    def record_stalled(self, message: SendStalled, now_s: float) -> StallAdvice:
        """Advise on a send whose next event is overdue.

        Returns
        -------
        StallAdvice
            Whether the send should be abandoned. A long prompt that is only slow continues, since
            repeating its prefill on another engine costs more than the delay.
        """
        send = self.sends.get(message.permit)
        if send is None:
            return StallAdvice(False)
        send.has_stalled = True
        names = (send.upstream_id, *send.helped_by)
        missing = [name for name in names if self.fleet.is_gone_or_stale(name, now_s)]
        for name in missing:
            self.fleet.record_unresponsive(name, now_s)
        # With helper engines, a stall does not show which engine is at fault.
        if not missing and not send.helped_by:
            self.fleet.record_unresponsive(send.upstream_id, now_s)
        return StallAdvice(bool(missing))

    def record_ended(self, message: SendEnded, now_s: float) -> None:
        """Release the resources of a send and record its outcome."""
        record_parts(self.quarantine, message, now_s)
        send = self._drop(message.permit, now_s)
        for name in message.unresponsive:
            self.fleet.record_unresponsive(name, now_s)
        if send is None:
            return
        # The age of an adopted send is an estimate, so its response is no evidence.
        if message.is_unlimited and send.permit >= self.first_permit:
            self.fleet.limits.record_unlimited(send.upstream_id, send.started_s)
        record = self.directory.records.get(send.upstream_id)
        if record is not None:
            self.queue.record_ended(record.report.service, now_s)
        load = self.fleet.loads.get(send.upstream_id)
        if load is None:
            return
        outcome = message.outcome
        if outcome is SendOutcome.DONE:
            load.record_outcome(False, now_s)
            self._record_progress(send, now_s)
        elif outcome is not SendOutcome.CANCELLED and not message.unresponsive:
            load.record_outcome(True, now_s)
            if outcome in UNRESPONSIVE_OUTCOMES:
                self.fleet.record_unresponsive(send.upstream_id, now_s)
            elif outcome in ENDED_OUTCOMES:
                self.fleet.record_process_ended(send.upstream_id, now_s)

    def _record_progress(self, send: ActiveSend, now_s: float) -> None:
        """Record a sign of life, and use the upstreams of a stalled send that goes on again."""
        self.fleet.record_alive(send.upstream_id, now_s)
        if not send.has_stalled:
            return
        send.has_stalled = False
        for name in (send.upstream_id, *send.helped_by):
            load = self.fleet.loads.get(name)
            if load is not None:
                load.end_ejection()

    def drop_unlisted_sends(self, entry: str, permits: set[int], now_s: float) -> None:
        """Drop the sends of an entry node that are missing from its list of permits."""
        lost = [
            permit
            for permit in self.permits_by_entry.get(entry, set()) - permits
            if now_s - self.sends[permit].started_s > PERMIT_GRACE_S
        ]
        for permit in lost:
            self._drop(permit, now_s)

    def adopt(self, entry: str, report: ActiveSendReport, now_s: float) -> None:
        """Add a send that was placed by an earlier dispatcher or by the entry node itself."""
        known = self.directory.records.get(report.upstream_id)
        if report.permit in self.sends or known is None:
            return
        load = self.fleet.find_load(known)
        helpers = [name for name in report.helpers if name in self.directory.records]
        prefill_ms = peak_prefill_ms = 0.0
        if load.model is not None:
            engine_count = 1 + len(report.helpers)
            prefill_ms = load.model.prefill_ms(0, report.prompt_tokens) / engine_count
            peak_prefill_ms = load.model.part_peak_prefill_ms(report.prompt_tokens, engine_count)
        left_ms = 0.0
        if not report.writing:
            left_ms = max(MIN_PREFILL_LEFT_SHARE * prefill_ms, prefill_ms - report.age_s * MS_PER_S)
        send = ActiveSend(
            report.permit,
            entry,
            report.upstream_id,
            report.prompt_tokens,
            report.output_tokens,
            report.prompt_tokens + report.output_tokens,
            report.gap_goal_s,
            self.fleet.request_value(
                known.report.service, report.prompt_tokens, report.output_tokens
            ),
            now_s - report.age_s,
            left_ms,
            prefill_ms,
            peak_prefill_ms=peak_prefill_ms,
            helped_by=tuple(helpers),
        )
        self._record_send(send)
        load.add(send, now_s)
        for name in helpers:
            self._add_part(send, self.directory.records[name], 0, now_s)

    def _add_part(
        self, send: ActiveSend, helper: UpstreamRecord, tokens: int, now_s: float
    ) -> None:
        """Add the prefill work of a helper engine to its load."""
        load = self.fleet.find_load(helper)
        load.delay_prefills(send.prefill_left_ms)
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
            send.prefill_left_ms,
            send.prefill_ms,
            peak_prefill_ms=send.peak_prefill_ms,
            is_part=True,
        )
        load.add(part, now_s)
        self.fleet.record_cold_send(helper, load, now_s)

    def observe(self, report: UpstreamReport, now_s: float) -> bool:
        """Apply the report of an upstream; the load of an older incarnation is discarded."""
        if report.service not in self.fleet.services and self._displaces_upstream(report):
            return False
        known = self.directory.records.get(report.upstream_id)
        changed = self.directory.observe(report, now_s)
        if changed and known is not None and known.report.incarnation != report.incarnation:
            self.fleet.forget(report.upstream_id)
        return changed

    def _displaces_upstream(self, report: UpstreamReport) -> bool:
        """Return whether a report has the name or address of an upstream of a known service."""
        records = self.directory.records
        holder = self.directory.by_address.get(report.address, "")
        for known in (records.get(report.upstream_id), records.get(holder)):
            if known is None or known.report.service == report.service:
                continue
            is_present = known.report.state is not UpstreamState.GONE
            if is_present and known.report.service in self.fleet.services:
                return True
        return False

    def record_limits(self, reports: list[LimitReport], now_s: float) -> None:
        """Apply limits that upstreams stated to an entry node."""
        for report in reports:
            self.fleet.limits.record(report, now_s)

    def _grant_or_refuse(
        self, entry: str, choice: Choice, call: DispatchCall, now_s: float
    ) -> DispatchAnswer:
        if choice.first_s > client_timeout_s(call):
            # The engine would work for a caller that has disconnected, while others wait.
            return self.refusals.refuse_unreachable(choice.first_s)
        # A retry counts when it is placed: one that is refused or withdrawn sends nothing.
        if call.arrivals > 0 and not self._budget(call.service).try_take_retry(now_s):
            return self.refusals.refuse(ErrorKind.RATE_LIMITED, RETRY_DELAY_S)
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
            self.fleet.request_value(call.service, call.prompt_tokens, call.output_tokens),
            now_s,
            choice.prefill_ms,
            choice.prefill_ms,
            choice.first_s,
            call.goal_s,
            choice.peak_prefill_ms,
            tuple(helper.report.upstream_id for helper, _, _ in choice.helpers),
        )
        self._record_send(send)
        self.trials.start(permit, report.upstream_id, call)
        choice.load.add(send, now_s)
        self.fleet.record_cold_send(choice.entry, choice.load, now_s)
        self.fleet.limits.take(report.upstream_id)
        helpers = []
        for helper, _, tokens in choice.helpers:
            self._add_part(send, helper, tokens, now_s)
            target = helper.report
            self.fleet.limits.take(target.upstream_id)
            helpers.append(Helper(target.upstream_id, target.host, target.port, tokens))
        return DispatchAnswer(
            permit, report.upstream_id, report.host, report.port, choice.first_s, helpers
        )

    def _record_send(self, send: ActiveSend) -> None:
        self.sends[send.permit] = send
        self.permits_by_entry.setdefault(send.entry, set()).add(send.permit)

    def _drop(self, permit: int, now_s: float) -> ActiveSend | None:
        self.trials.end(permit)
        send = self.sends.pop(permit, None)
        if send is None:
            return None
        permits = self.permits_by_entry[send.entry]
        permits.discard(permit)
        if not permits:
            del self.permits_by_entry[send.entry]
        for name in (send.upstream_id, *send.helped_by):
            load = self.fleet.loads.get(name)
            if load is not None:
                load.remove(permit, now_s)
        return send

    def _budget(self, service: str) -> RetryBudget:
        budget = self.budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = RetryBudget(
                settings.retry_ratio, settings.retry_slack, settings.retry_window_s
            )
            self.budgets[service] = budget
        return budget
