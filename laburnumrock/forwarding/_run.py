"""The run of one request: route, upstreams, resumption, and one true answer."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from laburnumrock.dispatch import DispatchAnswer, DispatchCall, SendEnded, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._exchange import Answer, ExchangeResult, stated_idle_s
from laburnumrock.forwarding._reply import CallerReply, is_good, may_pass
from laburnumrock.forwarding._send import MIN_REMAINING_S, Progress, UpstreamSend
from laburnumrock.forwarding._wire import CallerRequest

UNSENT_TRIES = 3
"""Placements that may fail before a byte is sent, beside the sends that count as attempts."""
START_WAIT_SHARE = 0.25
"""Share of its time for which a request waits for the first routes of an instance."""
REFUSED_RETRY_S = 0.3
"""Time to return after upstreams refused a request; their queues change within an answer."""


@dataclass(slots=True)
class _Attempts:
    """Sends of a request so far.

    Parameters
    ----------
    sent, unsent : int
        Placements by whether a byte was sent.
    unproven : int
        Sends of which nothing proves that the request did not run.
    excluded : list of str
        Upstreams that are not chosen again.
    unresponsive : list of str
        Helpers that did not answer when memory was to be reserved.
    last : Answer, optional
        Last complete answer.
    """

    sent: int = 0
    unsent: int = 0
    unproven: int = 0
    excluded: list[str] = field(default_factory=list)
    unresponsive: list[str] = field(default_factory=list)
    last: Answer | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.unproven > 0


class ForwardRun:
    """Run of one request.

    Parameters
    ----------
    context : ForwardingContext
        Shared parts.
    connection : HTTP1Connection
        Connection of the caller.
    request : CallerRequest
        The request, read whole.
    """

    def __init__(
        self, context: ForwardingContext, connection: HTTP1Connection, request: CallerRequest
    ) -> None:
        self.context = context
        self.request = request
        self.reply = CallerReply(context, connection, request)
        self.progress = Progress(request.last_event_id)
        self.attempts = _Attempts()
        self.service = ""
        self.ends_s = 0.0

    async def run(self) -> None:
        """Answer the request."""
        try:
            if self.context.route_table is None:
                await self._await_routes()
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
            self.reply.note_left(self.attempts.sent)
        except asyncio.CancelledError:
            self.reply.note_left(self.attempts.sent)
            raise

    async def _await_routes(self) -> None:
        """Wait for the routes of an instance that has just started.

        Notes
        -----
        It answers the loss of all instances: they start together, and callers are back before the
        cores have a leader. A refusal would cost them more than the wait, and entries that place
        what has come meanwhile without the leader overload engines.
        """
        request = self.request
        left_s = self.context.ready_deadline_s - time.monotonic()
        if request.remaining_s is not None:
            left_s = min(left_s, START_WAIT_SHARE * request.remaining_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, left_s)):
                await self.context.ready.wait()
        self.reply.log("routes_awaited", known=self.context.route_table is not None)

    def _admit(self) -> ErrorKind | None:
        route_table = self.context.route_table
        request = self.request
        reply = self.reply
        if route_table is None:
            return ErrorKind.OWNER_UNAVAILABLE
        reply.route = route_table.find_route(request.host, request.target)
        if reply.route is None:
            return ErrorKind.NOT_FOUND
        if route_table.needs_key and not reply.route.anonymous:
            reply.account = route_table.find_account(request.key or "")
            if reply.account is None:
                return ErrorKind.UNAUTHENTICATED
        if len(request.body) > route_table.limits.max_body_bytes:
            return ErrorKind.BODY_TOO_LARGE
        limit_s = reply.route.timeout_s or self.context.settings.default_timeout_s
        if request.remaining_s is not None:
            limit_s = min(limit_s, request.remaining_s)
        self.ends_s = request.arrived_s + limit_s
        if self.ends_s > self.context.stop_deadline_s:
            return ErrorKind.STOPPING
        self.service = route_table.choose_service(reply.route, self.context.source)
        return None

    async def _run_attempts(self) -> None:
        attempts = self.attempts
        route = self.reply.route
        while True:
            if self.ends_s - time.monotonic() < MIN_REMAINING_S:
                self._fail(ErrorKind.DEADLINE_EXCEEDED)
                return
            call = self._make_call()
            placed = await self._place(call)
            if not placed.permit:
                self._refuse(placed)
                return
            outcome = await self._send_counted(call, placed)
            if outcome is SendOutcome.DONE:
                return
            exhausted = attempts.sent >= route.max_attempts or attempts.unsent >= UNSENT_TRIES
            if exhausted or (attempts.may_have_run and not route.may_retry):
                self._give_up()
                return

    def _make_call(self) -> DispatchCall:
        request = self.request
        route = self.reply.route
        account = self.reply.account
        now_s = time.monotonic()
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        spent_s = now_s - request.arrived_s
        return DispatchCall(
            request.request_id,
            self.attempts.sent + self.attempts.unsent + 1,
            self.service,
            account.name if account is not None else "",
            priority,
            request.prompt_tokens,
            request.output_tokens,
            max(0.1, route.goal_s - spent_s),
            route.gap_goal_s,
            self.ends_s - now_s,
            list(self.attempts.excluded),
            self.attempts.sent,
        )

    async def _place(self, call: DispatchCall) -> DispatchAnswer:
        asked_s = time.monotonic()
        placed = await self.context.placer.place(call)
        decided_by = "leader" if placed.permit >= 0 else "entry"
        waited_s = time.monotonic() - asked_s
        self.context.metrics.placement.labels(decided_by).observe(waited_s)
        self.reply.log(
            "request_placed" if placed.permit else "request_refused",
            attempt=call.attempt,
            service=call.service,
            upstream=placed.upstream_id,
            expected_first_s=round(placed.expected_first_s, 4),
            helpers=len(placed.helpers),
            refusal=placed.refusal,
        )
        return placed

    async def _send_counted(self, call: DispatchCall, placed: DispatchAnswer) -> SendOutcome:
        """Send, and report the end of the send also when the caller leaves."""
        attempts = self.attempts
        self.context.placer.record_sent(call, placed)
        outcome = SendOutcome.CANCELLED
        try:
            outcome = await self._send(placed)
        finally:
            unresponsive, attempts.unresponsive = attempts.unresponsive, []
            self.context.placer.record_ended(SendEnded(placed.permit, outcome, unresponsive))
            self.context.metrics.sends.labels(self.service, outcome.value).inc()
        if not unresponsive:
            attempts.excluded.append(placed.upstream_id)
        return outcome

    async def _send(self, placed: DispatchAnswer) -> SendOutcome:
        context = self.context
        attempts = self.attempts
        name = f"{self.request.request_id}-{placed.permit}"
        async with context.reservations.hold(name, placed.helpers) as held:
            if held.is_err():
                attempts.unsent += 1
                attempts.unresponsive = held.unwrap_err()
                return SendOutcome.REFUSED
            left_s = self.ends_s - time.monotonic()
            opened = await context.pool.open(placed.host, placed.port, left_s)
            if opened.is_err():
                attempts.unsent += 1
                self.reply.log("upstream_unreachable", upstream=placed.upstream_id)
                return SendOutcome.UNREACHABLE
            channel = opened.unwrap()
            attempts.sent += 1
            attempts.unproven += 1
            kept = False
            try:
                send = UpstreamSend(
                    context, self.reply, self.progress, placed, attempts.sent, self.ends_s
                )
                result = await send.run(channel, held.unwrap())
                if self.reply.caller_left:
                    raise StreamClosedError
                if result is not None and result.reusable:
                    context.pool.keep(channel, stated_idle_s(result.answer))
                    kept = True
            finally:
                if not kept:
                    channel.close()
            return self._judge(placed, result)

    def _judge(self, placed: DispatchAnswer, result: ExchangeResult | None) -> SendOutcome:
        """Decide what a send proves, and answer the caller if it settles the request."""
        attempts = self.attempts
        reply = self.reply
        upstream = placed.upstream_id
        if result is None:
            reply.log("upstream_silent", upstream=upstream, attempt=attempts.sent)
            self.progress.events.drop_rest()
            return SendOutcome.SILENT
        answer = result.answer
        if not result.complete:
            reply.log("upstream_broke", upstream=upstream, detail=result.detail)
            self.progress.events.drop_rest()
            return SendOutcome.BROKEN
        if answer.metadata.proves_not_run:
            attempts.unproven -= 1
            attempts.last = answer
            reply.log("upstream_refused", upstream=upstream, status=answer.status)
            return SendOutcome.REFUSED
        if reply.started:
            return self._finish_stream(placed, answer)
        if is_good(answer):
            reply.answer(answer, attempts.sent)
            return SendOutcome.DONE
        attempts.last = answer
        reply.log("upstream_error", upstream=upstream, status=answer.status)
        if answer.status < 500 and may_pass(answer):
            reply.answer(answer, attempts.sent)
            return SendOutcome.DONE
        return SendOutcome.ERROR

    def _finish_stream(self, placed: DispatchAnswer, answer: Answer) -> SendOutcome:
        progress = self.progress
        if not is_good(answer):
            self.reply.log("upstream_error", upstream=placed.upstream_id, status=answer.status)
            return SendOutcome.ERROR
        if progress.events.rest:
            self.reply.log("stream_cut", upstream=placed.upstream_id)
            progress.events.drop_rest()
            return SendOutcome.BROKEN
        self.reply.finish_stream(answer.status, self.attempts.sent, progress.longest_pause_s)
        return SendOutcome.DONE

    def _give_up(self) -> None:
        """Answer with what the last send proved."""
        attempts = self.attempts
        if not self.reply.started and not attempts.may_have_run:
            self._fail(ErrorKind.NO_UPSTREAM, REFUSED_RETRY_S)
        elif not self.reply.started and attempts.last is not None and may_pass(attempts.last):
            self.reply.answer(attempts.last, attempts.sent)
        else:
            self._fail(ErrorKind.UPSTREAM_FAILED)

    def _refuse(self, placed: DispatchAnswer) -> None:
        """Answer with the refusal of the dispatcher, or with what an earlier send proved."""
        kind = ErrorKind(placed.refusal)
        if self.attempts.may_have_run and not self.reply.started:
            self._give_up()
        else:
            self._fail(kind, placed.retry_after_s)

    def _fail(self, kind: ErrorKind, retry_after_s: float = 0.0) -> None:
        if self.reply.started:
            self.reply.break_off(kind, self.progress.events.last_id)
        else:
            self.reply.fail(kind, self.attempts.may_have_run, retry_after_s)

    def _loop_time(self, monotonic_s: float) -> float:
        return asyncio.get_running_loop().time() + monotonic_s - time.monotonic()
