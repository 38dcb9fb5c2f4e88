"""Arrival, prediction, dispatch and refusal of requests at the scheduler of a pool."""

import typing

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import Effect, Send
from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._messages import PermitRefusal, PermitRequest, Placement
from laburnumrock.placement._settings import LengthClass, classify_length
from laburnumrock.placement._spanning import plan_earmarks, plan_span

if typing.TYPE_CHECKING:
    from laburnumrock.placement._scheduler import PoolScheduler

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
# A new owner hears of its upstreams within one announcement period of 0.5 s.
DISCOVERY_S = 1.0
# Guards deadlines against the granularity of engine steps and the way of the messages.
DEADLINE_MARGIN_S = 0.1
EARMARK_CLASSES = (LengthClass.LONG, LengthClass.SPANNING)


class Intake:
    """Way of a request from arrival to grant or refusal.

    Parameters
    ----------
    scheduler : PoolScheduler
        Owner of queue, ledger and policy.
    """

    def __init__(self, scheduler: "PoolScheduler") -> None:
        self.scheduler = scheduler
        self.settings = scheduler.settings
        self.table = scheduler.table
        self.queue = scheduler.queue
        self.book = scheduler.book
        self.policy = scheduler.policy
        self.earmarks = scheduler.earmarks

    def request(self, sender: str, request: PermitRequest, now_s: float) -> list[Effect]:
        """Grant, queue or refuse a new request; a resend gets the same answer."""
        key = (request.request_id, request.attempt)
        permit = self.book.find_live(key)
        if permit is not None:
            return [Send(sender, permit.grant)]
        if key in self.queue.by_key:
            self.queue.by_key[key].sender = sender
            return []
        waiting = self._prepare(sender, request, now_s)
        kind = self._find_obstacle(waiting, now_s)
        if kind is not None:
            return [self.refuse(waiting, kind, now_s)]
        self.policy.record_arrival(waiting, now_s)
        line = self.policy.find_line(waiting)
        if not self.queue.lines.get(line):
            granted = self._try_grant(waiting, now_s)
            if granted is not None:
                return [granted]
        return self._enqueue(waiting, line, now_s)

    def dispatch(self, now_s: float) -> list[Effect]:
        """Grant queued requests until every line is blocked."""
        effects: list[Effect] = []
        progress = bool(self.queue) and self.scheduler.in_service
        while progress:
            progress = False
            for head in self.queue.heads(self.policy.queue_depth):
                for waiting in head:
                    granted = self._try_grant(waiting, now_s)
                    if granted is not None:
                        self.queue.remove(waiting.key)
                        effects.append(granted)
                        progress = True
                        break
                else:
                    self._earmark(head[0], now_s)
        return effects

    def refuse_given_up(self, now_s: float) -> list[Effect]:
        """Refuse the queued requests that can no longer finish in time."""
        effects: list[Effect] = []
        for waiting in self.queue.pop_given_up(now_s):
            self.earmarks.clear(now_s, waiting.key)
            effects.append(self.refuse(waiting, ErrorKind.DEADLINE_UNREACHABLE, now_s))
        return effects

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

    def expected_waits(self, now_s: float) -> dict[str, float]:
        """Return the expected wait per length class in seconds."""
        if not self.table.capacities or not self.scheduler.in_service:
            return {}
        return {
            length_class.value: self._line_wait_s(length_class.value, now_s)
            for length_class in LengthClass
        }

    def _prepare(self, sender: str, request: PermitRequest, now_s: float) -> WaitingRequest:
        largest = self.table.largest_engine_tokens
        length_class = classify_length(request.prompt_tokens, request.max_output_tokens, largest)
        deadline_s = now_s + request.remaining_s
        waiting = WaitingRequest(sender, request, length_class, now_s, deadline_s)
        waiting.cost_s = self._estimate_cost_s(waiting)
        return waiting

    def _estimate_cost_s(self, waiting: WaitingRequest) -> float:
        """Return the larger of the engine's time and its share of memory over time."""
        ledger = self._sample_ledger()
        if ledger is None:
            return 0.0
        request = waiting.request
        full = self.settings.permits_per_upstream
        output = request.max_output_tokens * self.settings.assumed_output_fraction
        prefill_s = ledger.prefill_s(request.prompt_tokens, 0)
        busy_s = prefill_s + output * ledger.step_s(full) / full
        if not ledger.kv_capacity:
            return busy_s
        held_s = prefill_s + output * ledger.step_s(full)
        return max(busy_s, held_s * waiting.kv_tokens / ledger.kv_capacity)

    def _sample_ledger(self) -> UpstreamLedger | None:
        if not self.table.capacities:
            return None
        return self.table.ledgers[self.table.capacities[-1][1]]

    def _find_obstacle(self, waiting: WaitingRequest, now_s: float) -> ErrorKind | None:
        if not self.scheduler.in_service:
            return ErrorKind.NO_UPSTREAM
        if len(self.queue) >= self.settings.max_queued:
            return ErrorKind.DEADLINE_UNREACHABLE
        if self.table.count_usable(waiting.request) <= 0:
            discovering = now_s < self.scheduler.started_s + DISCOVERY_S
            return None if discovering else ErrorKind.NO_UPSTREAM
        if waiting.length_class is LengthClass.SPANNING and not plan_earmarks(waiting, self.table):
            return ErrorKind.PROMPT_TOO_LONG
        return None

    def _enqueue(self, waiting: WaitingRequest, line: str, now_s: float) -> list[Effect]:
        give_up_s = waiting.deadline_s
        if self.policy.predicts:
            service_s = self._service_s(waiting, now_s)
            give_up_s = waiting.deadline_s - service_s - DEADLINE_MARGIN_S
            if now_s + self._line_wait_s(line, now_s) > give_up_s:
                return [self.refuse(waiting, ErrorKind.DEADLINE_UNREACHABLE, now_s)]
        waiting.order = self.policy.rank(waiting, now_s)
        self.queue.add(waiting, line, give_up_s)
        head = next(iter(self.queue.lines[line].values()))
        self._earmark(head, now_s)
        return []

    def _service_s(self, waiting: WaitingRequest, now_s: float) -> float:
        ledger = self._sample_ledger()
        if ledger is None:
            return 0.0
        idle_s = ledger.wait_s(now_s)
        return max(0.0, ledger.latest_finish_s(waiting.request, now_s + idle_s) - now_s - idle_s)

    def _line_wait_s(self, line: str, now_s: float) -> float:
        count = max(1, len(self.table.capacities))
        return self.queue.cost_s.get(line, 0.0) / count

    def _expected_wait(self, waiting: WaitingRequest, now_s: float) -> float:
        return self._line_wait_s(self.policy.find_line(waiting), now_s)

    def _try_grant(self, waiting: WaitingRequest, now_s: float) -> Send | None:
        parts = self._choose_parts(waiting, now_s)
        if not parts:
            return None
        if self.policy.predicts and self._latest_finish_s(waiting, parts, now_s) > (
            waiting.deadline_s - DEADLINE_MARGIN_S
        ):
            return None
        self.earmarks.clear(now_s, waiting.key)
        first_s = self._charge_prefill(waiting, parts, now_s)
        grant = self.book.grant(waiting, parts, first_s - now_s, now_s)
        permit = self.book.permits[grant.permit_id]
        permit.prefill_done_s = first_s
        return Send(waiting.sender, grant)

    def _choose_parts(
        self, waiting: WaitingRequest, now_s: float
    ) -> list[tuple[UpstreamLedger, Placement]] | None:
        if waiting.length_class is LengthClass.SPANNING:
            return plan_span(waiting, self.table)
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
        finish_s = parts[-1][0].latest_finish_s(waiting.request, now_s)
        waits = [ledger.wait_s(now_s) for ledger, _ in parts]
        return finish_s - waits[-1] + max(waits)

    def _charge_prefill(
        self,
        waiting: WaitingRequest,
        parts: list[tuple[UpstreamLedger, Placement]],
        now_s: float,
    ) -> float:
        """Enter the prefill of all parts and return the expected time of the first token."""
        start_s = now_s
        remaining = waiting.request.prompt_tokens
        for ledger, placement in parts:
            tokens = min(remaining, placement.kv_tokens)
            remaining -= tokens
            start_s = max(start_s, ledger.prefill_free_s)
            start_s += ledger.prefill_s(tokens, len(ledger.permits))
            ledger.prefill_free_s = start_s
            if waiting.length_class in EARMARK_CLASSES:
                ledger.long_free_s = start_s
        return start_s

    def _earmark(self, waiting: WaitingRequest, now_s: float) -> None:
        if self.earmarks.key is not None or not self.policy.predicts:
            return
        if waiting.length_class is LengthClass.SPANNING:
            self.earmarks.place(waiting, plan_earmarks(waiting, self.table), now_s)
