"""Arrival, prediction, dispatch and refusal of requests at the scheduler of a pool."""

import heapq
import typing

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import Effect, Send
from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._messages import PermitRefusal, PermitRequest, Placement
from laburnumrock.placement._prediction import SPANNING_FACTOR
from laburnumrock.placement._spanning import (
    can_span,
    plan_earmarks,
    plan_long_earmark,
    plan_span,
)
from laburnumrock.routing import LengthClass, classify_length

if typing.TYPE_CHECKING:
    from laburnumrock.placement._scheduler import PoolScheduler

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# A new owner hears of its upstreams within one announcement period of 0.5 s.
DISCOVERY_S = 1.0
# Guards deadlines against the granularity of engine steps and the way of the messages.
DEADLINE_MARGIN_S = 0.1
# Expected waits are right in the mean, but single ones are exceeded by about this part, mostly
# because of pauses while memory becomes free and of later requests with earlier fair time stamps.
# A queued request must be able to start in time all the same. At 1.2 load in the simulation, 0.5
# gave up to 1.4% of refusals of medium prompts after more than 1 s, 0.7 up to 0.3%.
WAIT_ERROR_PART = 0.7
# Bounds the error, which does not grow further with the length of the wait.
MAX_WAIT_ERROR_S = 30.0
WAIT_MARGIN_S = 35.0
# After this part of the time that is left, a queued request is refused unless the recent grants of
# its line let it start in time; a later refusal leaves too little time for another try.
QUEUE_PART = 0.5
# Shorter periods between two such checks are not worth their cost.
MIN_RECHECK_S = 1.0
# The margin is at most this part of the caller's time.
MAX_MARGIN_PART = 0.4
EARMARK_CLASSES = (LengthClass.LONG, LengthClass.SPANNING)


class PermitAllocator:
    """Way of a request from arrival to grant or refusal, for one `PoolScheduler`."""

    def __init__(self, scheduler: "PoolScheduler") -> None:
        self.scheduler = scheduler
        self.settings = scheduler.settings
        self.table = scheduler.table
        self.queue = scheduler.queue
        self.registry = scheduler.registry
        self.policy = scheduler.policy
        self.predictor = scheduler.predictor
        self.spans = scheduler.spans
        self.longs = scheduler.longs
        self.later_prefills: list[tuple[float, str, int]] = []

    def request(self, sender: str, request: PermitRequest, now_s: float) -> list[Effect]:
        """Grant, queue or refuse a new request; a resend gets the same answer."""
        key = (request.request_id, request.attempt)
        permit = self.registry.find_live(key)
        if permit is not None:
            return [Send(sender, permit.grant)]
        if key in self.queue.by_key:
            self.queue.by_key[key].sender = sender
            return []
        waiting = self._prepare(sender, request, now_s)
        kind = self._find_refusal_kind(waiting, now_s)
        if kind is not None:
            return [self.refuse(waiting, kind, now_s)]
        self.policy.record_arrival(waiting, now_s)
        line = self.policy.find_line(waiting)
        if not self.queue.lines.get(line):
            granted = self._try_grant(waiting, now_s)
            if granted is not None:
                return [granted]
        return self._enqueue(waiting, line, now_s)

    def dispatch(self, now_s: float, changed: list[UpstreamLedger] | None = None) -> list[Effect]:
        """Grant queued requests until every line is blocked.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.
        changed : list of UpstreamLedger, optional
            Upstreams whose state has changed since the last dispatch; None tries everything.
        """
        effects: list[Effect] = []
        if changed is None:
            self.queue.promote_urgent(now_s)
        progress = bool(self.queue) and self.scheduler.in_service
        while progress:
            progress = False
            for head in self.queue.heads(self.policy.queue_depth):
                granted = self._grant_first(head, changed, now_s)
                if granted is not None:
                    effects.append(granted)
                    progress = True
                elif changed is None:
                    self._earmark(head[0], now_s)
        return effects

    def _grant_first(
        self, head: list[WaitingRequest], changed: list[UpstreamLedger] | None, now_s: float
    ) -> Send | None:
        for waiting in head:
            if changed is not None and not self._may_fit(waiting, changed):
                continue
            granted = self._try_grant(waiting, now_s)
            if granted is not None:
                self.queue.remove(waiting.key)
                return granted
        return None

    def _may_fit(self, waiting: WaitingRequest, changed: list[UpstreamLedger]) -> bool:
        if waiting.length_class is LengthClass.SPANNING:
            return any(ledger.is_open for ledger in changed)
        # The search also finds upstreams that became ready since the last one; without it, medium
        # prompts lost memory to short ones until the next tick (up to 23% fewer at 1.2 load).
        return any(self.table.can_take(ledger, waiting) for ledger in changed)

    def refuse_given_up(self, now_s: float) -> list[Effect]:
        """Refuse the queued requests that can no longer finish in time or will hardly start."""
        effects: list[Effect] = []
        for waiting in self.queue.find_due(now_s):
            if self._starts_soon(waiting, now_s):
                check_s = now_s + QUEUE_PART * (waiting.latest_start_s - now_s)
                self.queue.postpone(waiting.key, check_s)
                continue
            self.queue.remove(waiting.key)
            self.scheduler.clear_earmarks(now_s, waiting.key)
            effects.append(self.refuse(waiting, ErrorKind.DEADLINE_UNREACHABLE, now_s))
        return effects

    def _starts_soon(self, waiting: WaitingRequest, now_s: float) -> bool:
        """Return whether the recent grants of its line let a queued request start in time."""
        if now_s + MIN_RECHECK_S >= waiting.latest_start_s:
            return False
        line = self.policy.find_line(waiting)
        return now_s + self.queue.turn_wait_s(waiting, line, now_s) <= waiting.latest_start_s

    def refuse(
        self, waiting: WaitingRequest, kind: ErrorKind, now_s: float, detail: str = ""
    ) -> Send:
        """Build the refusal of a request."""
        retry_after_s = None
        if kind is not ErrorKind.PROMPT_TOO_LONG:
            retry_after_s = max(MIN_RETRY_AFTER_S, self._expected_wait(waiting, now_s))
            retry_after_s = min(MAX_RETRY_AFTER_S, retry_after_s)
        request = waiting.request
        message = PermitRefusal(request.request_id, kind, retry_after_s, detail, request.attempt)
        return Send(waiting.sender, message)

    def _prepare(self, sender: str, request: PermitRequest, now_s: float) -> WaitingRequest:
        largest = self.table.largest_engine_tokens
        length_class = classify_length(request.prompt_tokens, request.max_output_tokens, largest)
        deadline_s = now_s + request.remaining_s
        waiting = WaitingRequest(sender, request, length_class, now_s, deadline_s)
        self.predictor.estimate_cost(waiting)
        return waiting

    def _find_refusal_kind(self, waiting: WaitingRequest, now_s: float) -> ErrorKind | None:
        if not self.scheduler.in_service:
            return ErrorKind.NO_UPSTREAM
        if len(self.queue) >= self.settings.max_queued:
            return ErrorKind.DEADLINE_UNREACHABLE
        if self.table.count_usable(waiting.request) <= 0:
            discovering = now_s < self.scheduler.started_s + DISCOVERY_S
            return None if discovering else ErrorKind.NO_UPSTREAM
        if waiting.length_class is LengthClass.SPANNING and not can_span(waiting, self.table):
            return ErrorKind.PROMPT_TOO_LONG
        return None

    def _enqueue(self, waiting: WaitingRequest, line: str, now_s: float) -> list[Effect]:
        give_up_s = waiting.deadline_s
        waiting.order = self.policy.rank(waiting, now_s)
        if self.policy.predicts:
            service_s = self.predictor.service_s(waiting)
            waiting.latest_start_s = waiting.deadline_s - service_s - DEADLINE_MARGIN_S
            margin_s = min(WAIT_MARGIN_S, MAX_MARGIN_PART * waiting.request.remaining_s)
            wait_s = self._expected_wait(waiting, now_s)
            margin_s += min(MAX_WAIT_ERROR_S, WAIT_ERROR_PART * wait_s)
            if now_s + wait_s + margin_s > waiting.latest_start_s:
                return [self.refuse(waiting, ErrorKind.DEADLINE_UNREACHABLE, now_s)]
            half_s = now_s + QUEUE_PART * waiting.request.remaining_s
            give_up_s = min(waiting.latest_start_s, half_s)
        self.queue.add(waiting, line, give_up_s)
        self._earmark(self.queue.first(line), now_s)
        return []

    def _expected_wait(self, waiting: WaitingRequest, now_s: float) -> float:
        line = self.policy.find_line(waiting)
        if not self.queue.lines.get(line):
            return 0.0
        # Later requests with an earlier fair time stamp are served first, unless the line empties.
        line_s = self.predictor.line_wait_s(line, now_s)
        ahead_s = self.predictor.line_wait_s(line, now_s, waiting.order)
        return ahead_s + min(waiting.fair_delay_s, line_s)

    def _try_grant(self, waiting: WaitingRequest, now_s: float) -> Send | None:
        parts = self._choose_parts(waiting, now_s)
        if not parts:
            return None
        if self.policy.predicts and self._latest_finish_s(waiting, parts, now_s) > (
            waiting.deadline_s - DEADLINE_MARGIN_S
        ):
            return None
        self.scheduler.clear_earmarks(now_s, waiting.key)
        self.queue.record_grant(self.policy.find_line(waiting), waiting.cost_s, now_s)
        grant = self.registry.grant(waiting, parts, now_s)
        permit = self.registry.permits[grant.permit_id]
        first_s = self._charge_prefill(waiting, parts, grant.permit_id, now_s)
        permit.predicted_first_s = first_s - now_s
        return Send(waiting.sender, grant)

    def _choose_parts(
        self, waiting: WaitingRequest, now_s: float
    ) -> list[tuple[UpstreamLedger, Placement]] | None:
        if waiting.length_class is LengthClass.SPANNING:
            if self.spans.key == waiting.key and not self.spans.is_free(waiting):
                return None
            return plan_span(waiting, self.table, self.policy.memory_reserve)
        ledger = self.policy.choose(waiting, self.table, now_s)
        if ledger is None:
            return None
        placement = Placement(ledger.upstream_id, ledger.base_url, waiting.kv_tokens)
        return [(ledger, placement)]

    def _latest_finish_s(
        self,
        waiting: WaitingRequest,
        parts: list[tuple[UpstreamLedger, Placement]],
        now_s: float,
    ) -> float:
        request = waiting.request
        finish_s = max(ledger.latest_finish_s(request, now_s) for ledger, _ in parts)
        if len(parts) > 1:
            finish_s += (SPANNING_FACTOR - 1) * parts[0][0].latest_service_s(request)
        return finish_s

    def _charge_prefill(
        self,
        waiting: WaitingRequest,
        parts: list[tuple[UpstreamLedger, Placement]],
        permit_id: str,
        now_s: float,
    ) -> float:
        """Enter the prefill of the first part; returns the expected time of the first token.

        The parts of a spanning prompt run one after the other, so that the later ones are entered
        when they are expected to start.
        """
        tokens = waiting.request.prompt_tokens
        is_long = waiting.length_class in EARMARK_CLASSES
        end_s = now_s
        for index, (ledger, placement) in enumerate(parts):
            part_tokens = min(tokens, placement.kv_tokens)
            tokens -= part_tokens
            if index == 0:
                end_s = ledger.charge_prefill(part_tokens, is_long, now_s)
                self.table.reindex(ledger, now_s)
                continue
            ledger.later_parts[permit_id] = part_tokens
            heapq.heappush(self.later_prefills, (end_s, ledger.upstream_id, permit_id))
            end_s = max(end_s, ledger.prefill_free_s)
            end_s += ledger.prefill_s(part_tokens, len(ledger.permits))
        return end_s

    def start_later_prefills(self, now_s: float) -> None:
        """Enter the parts of spanning prompts that are expected to start now.

        They also stay among the later parts until the permit ends, as a bound for deadlines.
        """
        while self.later_prefills and self.later_prefills[0][0] <= now_s:
            _, upstream_id, permit_id = heapq.heappop(self.later_prefills)
            ledger = self.table.ledgers.get(upstream_id)
            if ledger is not None and permit_id in ledger.later_parts:
                ledger.charge_prefill(ledger.later_parts[permit_id], False, now_s)
                self.table.reindex(ledger, now_s)

    def _earmark(self, waiting: WaitingRequest, now_s: float) -> None:
        if not self.policy.predicts or waiting.length_class not in EARMARK_CLASSES:
            return
        if waiting.length_class is LengthClass.SPANNING:
            if self.spans.key is None:
                plan = plan_earmarks(waiting, self.table, self.policy.memory_reserve)
                self.spans.place(waiting, plan, now_s)
        elif self.longs.key is None and (self.spans.key is not None or not self._span_waits()):
            plan = plan_long_earmark(waiting, self.table, self.policy.memory_reserve)
            self.longs.place(waiting, plan, now_s)

    def _span_waits(self) -> bool:
        return bool(self.queue.lines.get(LengthClass.SPANNING.value))
