"""The run of one request: route, upstreams, relay, resumption, and one true answer."""

import asyncio
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from eliot import log_message
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine, responses
from tornado.iostream import StreamClosedError

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    SendEnded,
    SendOutcome,
    SendStalled,
    SendStarted,
    StallAdvice,
)
from laburnumrock.errors import ANSWERS, ErrorKind
from laburnumrock.forwarding._channels import ChannelPool
from laburnumrock.forwarding._events import EventSplitter
from laburnumrock.forwarding._exchange import Answer, ExchangeResult, exchange, stated_idle_s
from laburnumrock.forwarding._reservations import Reservations
from laburnumrock.forwarding._wire import CallerRequest, SendFacts, WireFormat
from laburnumrock.metrics import NodeMetrics
from laburnumrock.routing import AccountEntry, RequestKind, Route, RouteTable, classify_length

PROMISE_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that the request has not run."""
MIN_REMAINING_S = 0.02
"""A send with less time left could not be answered."""
START_RETRY_S = 1.8
"""Time in which an instance that starts learns the routes and upstreams."""
UNSENT_TRIES = 3
"""Placements that may fail before a byte is sent, beside the sends that count as attempts."""


@dataclass(frozen=True, slots=True)
class ForwardSettings:
    """Time limits of a run.

    Parameters
    ----------
    patience_s : float, > 0
        Wait for the first event of a send before it goes to another upstream.
    patience_goals : float, > 0
        The same in goals of the route, if that is shorter.
    patience_factor : float, >= 1
        Multiple of the predicted time that is waited besides; first events come within 1.5 times
        the predicted time in 95 of 100 cases.
    gap_patience_s : float, > 0
        Silence inside a stream after which it is resumed elsewhere; callers leave after 2 s.
    gap_patience_factor : float, > 0
        Multiple of the pause goal that is waited if that is longer.
    stall_notice_s : float, > 0
        Delay beyond the expected time after which the dispatcher is asked about a send.
    stall_interval_s : float, > 0
        Time until it is asked again.
    long_prompt_tokens : int
        Longer prompts are sent again only if the dispatcher advises it, or after the long patience:
        reading them twice costs the other requests more than the delay.
    long_patience_s, long_patience_factor : float
        Patience with long prompts, as for the others.
    default_timeout_s : float, > 0
        Time limit of requests without any.
    """

    patience_s: float = 0.9
    patience_goals: float = 2.0
    patience_factor: float = 1.6
    gap_patience_s: float = 1.0
    gap_patience_factor: float = 4.0
    stall_notice_s: float = 0.4
    stall_interval_s: float = 0.5
    long_prompt_tokens: int = 30_000
    long_patience_s: float = 3.0
    long_patience_factor: float = 4.0
    default_timeout_s: float = 30.0


class Placer(Protocol):
    """Chooses upstreams and learns how the sends went."""

    async def place(self, call: DispatchCall) -> DispatchAnswer:
        """Choose an upstream."""

    def note_sent(self, call: DispatchCall, answer: DispatchAnswer) -> None:
        """Record that a send begins."""

    def note_started(self, message: SendStarted) -> None:
        """Record that a send was answered."""

    async def ask_stalled(self, message: SendStalled) -> StallAdvice:
        """Ask what to do with a send from which nothing has come for longer than expected."""

    def note_ended(self, message: SendEnded) -> None:
        """Record that a send ended."""


@dataclass(slots=True)
class RunContext:
    """What runs share.

    Parameters
    ----------
    settings : ForwardSettings
        Time limits.
    wire : WireFormat
        Names on the wire.
    placer : Placer
        Choice of upstreams.
    pool : ChannelPool
        Connections to upstreams.
    reservations : Reservations
        Memory on engines.
    metrics : NodeMetrics
        Counters and histograms.
    source : random.Random
        Draws services by weight.
    table : RouteTable, optional
        Routes in force; None until some are known.
    stopping : bool
        Whether this instance is in a planned stop.
    """

    settings: ForwardSettings
    wire: WireFormat
    placer: Placer
    pool: ChannelPool
    reservations: Reservations
    metrics: NodeMetrics
    source: random.Random
    table: RouteTable | None = None
    stopping: bool = False


@dataclass(slots=True)
class _Attempts:
    """Sends of a request so far."""

    sent: int = 0
    unsent: int = 0
    excluded: list[str] = field(default_factory=list)
    unresponsive: list[str] = field(default_factory=list)
    may_have_run: bool = False
    last: Answer | None = None


class _StallNotice:
    """Timer that is set anew with each event."""

    def __init__(self, loop: asyncio.AbstractEventLoop, notify: Callable[[], None]) -> None:
        self.loop = loop
        self.notify = notify
        self.due_s = 0.0
        self.handle: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None
        self.cancelled = False

    def set(self, delay_s: float) -> None:
        """Notify after a delay from now."""
        self.due_s = self.loop.time() + delay_s
        # A running timer looks at the due time when it fires; events are far more frequent.
        if self.handle is None and not self.cancelled:
            self.handle = self.loop.call_at(self.due_s, self._fire)

    def cancel(self) -> None:
        """Notify no more."""
        self.cancelled = True
        if self.handle is not None:
            self.handle.cancel()
        if self.task is not None:
            self.task.cancel()

    def _fire(self) -> None:
        self.handle = None
        if self.loop.time() < self.due_s:
            self.handle = self.loop.call_at(self.due_s, self._fire)
        else:
            self.notify()


class ForwardRun:
    """Run of one request.

    Parameters
    ----------
    context : RunContext
        Shared parts.
    connection : HTTP1Connection
        Connection of the caller.
    request : CallerRequest
        The request, read whole.
    """

    def __init__(
        self, context: RunContext, connection: HTTP1Connection, request: CallerRequest
    ) -> None:
        self.context = context
        self.connection = connection
        self.request = request
        self.route: Route | None = None
        self.account: AccountEntry | None = None
        self.service = ""
        self.ends_s = 0.0
        self.attempts = _Attempts()
        self.started = False
        self.caller_left = False
        self.events = EventSplitter()
        self.last_event_s = 0.0
        self.longest_pause_s = 0.0

    async def run(self) -> None:
        """Answer the request."""
        try:
            failure = self._admit()
            if failure is not None:
                self._fail(failure)
                return
            async with asyncio.timeout_at(self._loop_time(self.ends_s)):
                await self._run_attempts()
        except TimeoutError:
            self._fail(ErrorKind.DEADLINE_EXCEEDED)
        except StreamClosedError:
            # The caller left; nothing can be answered.
            self._note_caller_left()
        except asyncio.CancelledError:
            self._note_caller_left()
            raise

    def _note_caller_left(self) -> None:
        self._log("caller_left", attempts=self.attempts.sent)
        if self.route is not None:
            self._count(0)

    def _admit(self) -> ErrorKind | None:
        table = self.context.table
        request = self.request
        if table is None:
            return ErrorKind.OWNER_UNAVAILABLE
        self.route = table.find_route(request.host, request.target)
        if self.route is None:
            return ErrorKind.NOT_FOUND
        if table.needs_key and not self.route.anonymous:
            self.account = table.find_account(request.key or "")
            if self.account is None:
                return ErrorKind.UNAUTHENTICATED
        if len(request.body) > table.limits.max_body_bytes:
            return ErrorKind.BODY_TOO_LARGE
        limit_s = self.route.timeout_s or self.context.settings.default_timeout_s
        if request.remaining_s is not None:
            limit_s = min(limit_s, request.remaining_s)
        self.ends_s = request.arrived_s + limit_s
        self.service = table.choose_service(self.route, self.context.source)
        self.events.last_id = request.last_event_id
        return None

    async def _run_attempts(self) -> None:
        attempts = self.attempts
        most = self.route.max_attempts
        while True:
            if self.ends_s - time.monotonic() < MIN_REMAINING_S:
                self._fail(ErrorKind.DEADLINE_EXCEEDED)
                return
            call = self._make_call()
            asked_s = time.monotonic()
            placed = await self.context.placer.place(call)
            waited_s = time.monotonic() - asked_s
            decided_by = "leader" if placed.permit >= 0 else "entry"
            self.context.metrics.placement.labels(decided_by).observe(waited_s)
            self._log_placement(call, placed)
            if not placed.permit:
                self._refuse(placed)
                return
            self.context.placer.note_sent(call, placed)
            outcome = SendOutcome.CANCELLED
            try:
                outcome = await self._send(call, placed)
            finally:
                unresponsive, attempts.unresponsive = attempts.unresponsive, []
                ended = SendEnded(placed.permit, outcome, unresponsive)
                self.context.placer.note_ended(ended)
                self.context.metrics.sends.labels(self.service, outcome.value).inc()
            if outcome is SendOutcome.DONE:
                return
            if not unresponsive:
                attempts.excluded.append(placed.upstream_id)
            if attempts.sent >= most or attempts.unsent >= UNSENT_TRIES:
                self._give_up()
                return
            if attempts.may_have_run and not self.route.may_repeat:
                self._give_up()
                return

    def _make_call(self) -> DispatchCall:
        request = self.request
        route = self.route
        now_s = time.monotonic()
        priority = route.priority
        if self.account is not None and self.account.priority is not None:
            priority = self.account.priority
        spent_s = now_s - request.arrived_s
        return DispatchCall(
            request.request_id,
            self.attempts.sent + self.attempts.unsent + 1,
            self.service,
            self.account.name if self.account is not None else "",
            priority,
            request.prompt_tokens,
            request.output_tokens,
            max(0.1, route.goal_s - spent_s),
            route.gap_goal_s,
            self.ends_s - now_s,
            list(self.attempts.excluded),
        )

    async def _send(self, call: DispatchCall, placed: DispatchAnswer) -> SendOutcome:
        context = self.context
        name = f"{self.request.request_id}-{placed.permit}"
        async with context.reservations.hold(name, placed.helpers) as held:
            if held.is_err():
                self.attempts.unsent += 1
                self.attempts.unresponsive = held.unwrap_err()
                return SendOutcome.REFUSED
            left_s = self.ends_s - time.monotonic()
            opened = await context.pool.open(placed.host, placed.port, left_s)
            if opened.is_err():
                self.attempts.unsent += 1
                self._log("upstream_unreachable", upstream=placed.upstream_id)
                return SendOutcome.UNREACHABLE
            channel = opened.unwrap()
            kept = False
            try:
                result, silent = await self._exchange(channel, placed, held.unwrap())
                if self.caller_left:
                    raise StreamClosedError
                if result is not None and result.reusable:
                    context.pool.keep(channel, stated_idle_s(result.answer))
                    kept = True
            finally:
                if not kept:
                    channel.close()
            return self._judge(placed, result, silent)

    async def _exchange(
        self, channel, placed: DispatchAnswer, helpers: list[tuple[str, int, str]]
    ) -> tuple[ExchangeResult | None, bool]:
        """Send and relay; the second value tells whether the upstream fell silent."""
        context = self.context
        self.attempts.sent += 1
        self.attempts.may_have_run = True
        sent_s = time.monotonic()
        settings = context.settings
        expected_s = placed.expected_first_s
        patience_s = min(settings.patience_s, settings.patience_goals * self.route.goal_s)
        patience_s += settings.patience_factor * expected_s
        if self.request.prompt_tokens > settings.long_prompt_tokens:
            patience_s = settings.long_patience_s + settings.long_patience_factor * expected_s
        gap_s = max(settings.gap_patience_s, settings.gap_patience_factor * self.route.gap_goal_s)
        repeats = self.route.may_repeat and self.attempts.sent < self.route.max_attempts
        if not repeats:
            patience_s = self.ends_s - sent_s
        facts = SendFacts(
            placed.upstream_id,
            self.account.name if self.account is not None else None,
            self.ends_s - sent_s,
            self.events.last_id,
            helpers,
        )
        headers = context.wire.encode_request(self.request, facts)
        loop = asyncio.get_running_loop()
        limit = asyncio.timeout(patience_s)
        stall = _StallNotice(loop, lambda: self._start_stall(placed, stall, limit, repeats))
        stall.set(expected_s + settings.stall_notice_s)
        heard = False

        async def relay(chunk: bytes) -> None:
            nonlocal heard
            whole = self.events.feed(chunk)
            now_s = time.monotonic()
            if not heard:
                heard = True
                self._note_first_event(placed, now_s - sent_s, now_s)
            else:
                self.longest_pause_s = max(self.longest_pause_s, now_s - self.last_event_s)
            self.last_event_s = now_s
            stall.set(self.route.gap_goal_s + settings.stall_notice_s)
            if repeats:
                limit.reschedule(loop.time() + gap_s)
            if whole:
                await self._write_events(whole)

        def start(answer: Answer) -> bool:
            return self._start_relay(answer)

        try:
            async with limit:
                return (
                    await exchange(channel, self.request, headers, context.wire, start, relay),
                    False,
                )
        except TimeoutError:
            if time.monotonic() >= self.ends_s - MIN_REMAINING_S:
                raise
            return None, True
        finally:
            stall.cancel()

    async def _write_events(self, data: bytes) -> None:
        try:
            await self.connection.write(data)
        except StreamClosedError:
            # Without this mark the end of the exchange would look like a fault of the upstream.
            self.caller_left = True
            raise

    def _start_stall(
        self,
        placed: DispatchAnswer,
        stall: "_StallNotice",
        limit: asyncio.Timeout,
        repeats: bool,
    ) -> None:
        stall.task = asyncio.create_task(self._handle_stall(placed, stall, limit, repeats))

    async def _handle_stall(
        self,
        placed: DispatchAnswer,
        stall: "_StallNotice",
        limit: asyncio.Timeout,
        repeats: bool,
    ) -> None:
        """Ask the dispatcher about a send that stalls, and give it up if it advises so."""
        advice = await self.context.placer.ask_stalled(SendStalled(placed.permit))
        self._log(
            "send_stalled",
            upstream=placed.upstream_id,
            attempt=self.attempts.sent,
            give_up=advice.give_up,
        )
        if advice.give_up and repeats:
            limit.reschedule(asyncio.get_running_loop().time())
        else:
            stall.set(self.context.settings.stall_interval_s)

    def _note_first_event(self, placed: DispatchAnswer, first_s: float, now_s: float) -> None:
        self.context.placer.note_started(SendStarted(placed.permit, first_s))
        metrics = self.context.metrics
        if placed.expected_first_s > 0 and placed.permit > 0:
            metrics.prediction.observe(first_s / placed.expected_first_s)
        if self.last_event_s == 0.0:
            metrics.first_event.labels(*self._labels()).observe(now_s - self.request.arrived_s)
        self._log(
            "first_event",
            upstream=placed.upstream_id,
            first_s=round(first_s, 4),
            expected_first_s=round(placed.expected_first_s, 4),
        )

    def _start_relay(self, answer: Answer) -> bool:
        """Send the headers of a stream to the caller; returns whether its body is relayed."""
        if self.route.kind is not RequestKind.STREAMING or not _is_good(answer):
            return False
        if not self.started:
            self.started = True
            headers = self.context.wire.encode_answer(answer.headers)
            for name in ("Content-Length", "Transfer-Encoding"):
                headers.pop(name, None)
            self._write_headers(answer.status, answer.reason, headers)
        return True

    def _judge(
        self, placed: DispatchAnswer, result: ExchangeResult | None, silent: bool
    ) -> SendOutcome:
        """Decide what a send proves, and answer the caller if it settles the request."""
        attempts = self.attempts
        if silent or result is None:
            self._log("upstream_silent", upstream=placed.upstream_id, attempt=attempts.sent)
            self.events.drop_rest()
            return SendOutcome.SILENT
        answer = result.answer
        if not result.complete:
            self._log("upstream_broke", upstream=placed.upstream_id, detail=result.detail)
            self.events.drop_rest()
            return SendOutcome.BROKEN
        if answer.facts.proves_not_run:
            if attempts.sent == 1:
                attempts.may_have_run = False
            attempts.last = answer
            self._log("upstream_refused", upstream=placed.upstream_id, status=answer.status)
            return SendOutcome.REFUSED
        if self.started:
            return self._finish_stream(placed, answer)
        if _is_good(answer):
            self._answer(answer)
            return SendOutcome.DONE
        attempts.last = answer
        self._log("upstream_error", upstream=placed.upstream_id, status=answer.status)
        if answer.status < 500 and answer.status not in PROMISE_STATUSES and answer.facts.signed:
            self._answer(answer)
            return SendOutcome.DONE
        return SendOutcome.ERROR

    def _finish_stream(self, placed: DispatchAnswer, answer: Answer) -> SendOutcome:
        if not _is_good(answer):
            self._log("upstream_error", upstream=placed.upstream_id, status=answer.status)
            return SendOutcome.ERROR
        if self.events.rest:
            self._log("stream_cut", upstream=placed.upstream_id)
            self.events.drop_rest()
            return SendOutcome.BROKEN
        self.connection.finish()
        self._count(answer.status)
        self.context.metrics.pause.labels(*self._labels()).observe(self.longest_pause_s)
        self._log(
            "stream_finished",
            attempts=self.attempts.sent,
            longest_pause_s=round(self.longest_pause_s, 4),
        )
        return SendOutcome.DONE

    def _give_up(self) -> None:
        """Answer with what the last send proved."""
        attempts = self.attempts
        if self.started:
            self._break_off(ErrorKind.UPSTREAM_FAILED)
        elif not attempts.may_have_run:
            self._fail(ErrorKind.NO_UPSTREAM, 0.3)
        elif attempts.last is not None and self._may_pass(attempts.last):
            self._answer(attempts.last)
        else:
            self._fail(ErrorKind.UPSTREAM_FAILED)

    def _may_pass(self, answer: Answer) -> bool:
        if answer.facts.encoded or answer.facts.proves_not_run:
            return False
        return answer.facts.signed and answer.status not in PROMISE_STATUSES

    def _refuse(self, placed: DispatchAnswer) -> None:
        kind = ErrorKind(placed.refusal)
        if self.started:
            self._break_off(kind)
        elif self.attempts.may_have_run:
            self._give_up()
        else:
            self._fail(kind, placed.retry_after_s)

    def _fail(self, kind: ErrorKind, retry_after_s: float = 0.0) -> None:
        """Answer with a failure of our own."""
        if self.started:
            self._break_off(kind)
            return
        status = ANSWERS[kind].status
        if status in PROMISE_STATUSES and self.attempts.may_have_run:
            status = 502
        if status == 504 and not self.attempts.may_have_run:
            status = 503
        if status == 503 and retry_after_s <= 0:
            retry_after_s = START_RETRY_S * self.context.source.uniform(0.8, 1.4)
        self._log("request_failed", kind=kind, status=status, retry_after_s=retry_after_s)
        self.context.metrics.refusals.labels(kind.value).inc()
        self._count(status)
        headers = self.context.wire.encode_failure(self.request.request_id, retry_after_s)
        body = f'{{"kind": "{kind.value}"}}\n'.encode()
        headers["Content-Type"] = "application/problem+json"
        headers["Content-Length"] = str(len(body))
        self._write_headers(status, responses.get(status, "Unknown"), headers, body)
        self.connection.finish()

    def _break_off(self, kind: ErrorKind) -> None:
        """Close the caller's connection, so that a cut stream does not look complete."""
        self._log("stream_broken_off", kind=kind, last_event=self.events.last_id)
        self.context.metrics.refusals.labels(kind.value).inc()
        self._count(0)
        self.connection.close()

    def _answer(self, answer: Answer) -> None:
        headers = self.context.wire.encode_answer(answer.headers)
        headers.pop("Transfer-Encoding", None)
        if self.request.method != "HEAD":
            headers["Content-Length"] = str(len(answer.body))
        self._write_headers(answer.status, answer.reason, headers, answer.body)
        self.connection.finish()
        self._count(answer.status)
        self._log("answered", status=answer.status, attempts=self.attempts.sent)

    def _write_headers(
        self, status: int, reason: str, headers: HTTPHeaders, body: bytes | None = None
    ) -> None:
        if self.context.stopping:
            headers["Connection"] = "close"
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        self.connection.write_headers(start_line, headers, body or None)

    def _labels(self) -> tuple[str, str]:
        account = self.account.name if self.account is not None else ""
        prompt_tokens = self.request.prompt_tokens
        length = classify_length(prompt_tokens, 0, 0).value if prompt_tokens else "plain"
        return account, length

    def _count(self, status: int) -> None:
        """Count the end of the request; status 0 stands for a closed connection."""
        labels = self._labels()
        metrics = self.context.metrics
        metrics.requests.labels(*labels, str(status)).inc()
        metrics.duration.labels(*labels).observe(time.monotonic() - self.request.arrived_s)

    def _loop_time(self, monotonic_s: float) -> float:
        return asyncio.get_running_loop().time() + monotonic_s - time.monotonic()

    def _log_placement(self, call: DispatchCall, placed: DispatchAnswer) -> None:
        self._log(
            "request_placed" if placed.permit else "request_refused",
            attempt=call.attempt,
            service=call.service,
            upstream=placed.upstream_id,
            expected_first_s=round(placed.expected_first_s, 4),
            helpers=len(placed.helpers),
            refusal=placed.refusal,
        )

    def _log(self, event: str, **values: object) -> None:
        log_message(
            event,
            request_id=self.request.request_id,
            route=self.route.name if self.route is not None else None,
            elapsed_s=round(time.monotonic() - self.request.arrived_s, 4),
            **values,
        )


def _is_good(answer: Answer) -> bool:
    """Whether an answer is a success that bears the proof of its upstream."""
    return 200 <= answer.status < 300 and answer.facts.signed and not answer.facts.encoded
