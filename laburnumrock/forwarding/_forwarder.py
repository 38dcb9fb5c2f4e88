"""Forwarding of one request: routing, retries on other upstreams and resumption of streams."""

import asyncio
import contextlib
import time
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from laburnumrock.dispatch import DispatchAnswer, DispatchCall, SendEnded, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._exchange import ExchangeResult, UpstreamResponse, parse_keep_alive_s
from laburnumrock.forwarding._http_response import ResponseWriter, is_success, may_forward
from laburnumrock.forwarding._send import MIN_REMAINING_S, StreamProgress, UpstreamSend
from laburnumrock.forwarding._wire import CallerRequest
from laburnumrock.quarantine import DIGEST_DIGITS, digest_request, name_request

MAX_UNSENT_ATTEMPTS = 3
"""Maximum number of placements that fail before a byte is sent; they do not count as attempts."""
MAX_PLACEMENT_AGE_S = 1.0
"""Age from which a placement is not used. Reserving memory and connecting take 0.75 s at most, so
an older placement belongs to a process that was paused; its upstream may have left meanwhile."""
ROUTE_WAIT_FRACTION = 0.25
"""Fraction of its remaining time for which a request waits for the first routes of an instance."""
MAX_CRASH_CHECK_S = 0.1
"""Time limit for the connection that shows whether the upstream of a broken send has crashed; a
crashed one refuses it within a round trip."""
MAX_LOGGED_PARTS = 8
"""Maximum number of parts of a prompt in a log line; the header that lists them may have 16 KiB."""
REFUSED_RETRY_AFTER_S = 0.3
"""Retry-After time if all upstreams refused a request; their queues change within the duration of
one response."""


@dataclass(slots=True)
class _Attempts:
    """Placements and sends of a request so far.

    Parameters
    ----------
    sent, unsent : int
        Number of placements after which bytes were sent, and of those that failed before.
    possible_runs : int
        Sends without proof that the upstream did not run the request.
    excluded : list of str
        Upstreams that are not chosen again for this request.
    unresponsive : list of str
        Helpers that did not respond to a reservation of memory.
    last_response : UpstreamResponse, optional
        Last complete response.
    has_output : bool
        Whether the last send succeeded and its upstream wrote an answer or events.
    is_unlimited : bool
        Whether the last send succeeded and its upstream stated no limit on its requests.
    """

    sent: int = 0
    unsent: int = 0
    possible_runs: int = 0
    excluded: list[str] = field(default_factory=list)
    unresponsive: list[str] = field(default_factory=list)
    last_response: UpstreamResponse | None = None
    has_output: bool = False
    is_unlimited: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.possible_runs > 0


class RequestForwarder:
    """Forwards one request and writes its response.

    Parameters
    ----------
    context : ForwardingContext
        State and settings that all forwarded requests share.
    connection : HTTP1Connection
        Connection to the caller.
    request : CallerRequest
        Request with its complete body.
    """

    def __init__(
        self, context: ForwardingContext, connection: HTTP1Connection, request: CallerRequest
    ) -> None:
        self.context = context
        self.request = request
        self.writer = ResponseWriter(context, connection, request)
        self.progress = StreamProgress(request.last_event_id)
        self.attempts = _Attempts()
        self.service = ""
        self.digest = ""
        self.deadline_s = 0.0
        self.placed_s = 0.0

    async def run(self) -> None:
        """Forward the request and write the response."""
        try:
            if self.context.route_table is None:
                await self._await_routes()
            failure = self._admit()
            if failure is not None:
                self._fail(failure)
                return
            async with asyncio.timeout_at(self._to_loop_time(self.deadline_s)):
                await self._run_attempts()
        except TimeoutError:
            self._fail(ErrorKind.DEADLINE_EXCEEDED)
        except StreamClosedError:
            # The caller has disconnected, so no response can be written.
            self.writer.record_disconnect(self.attempts.sent)
        except asyncio.CancelledError:
            self.writer.record_disconnect(self.attempts.sent)
            raise

    async def _await_routes(self) -> None:
        """Wait for the routes of an instance that has just started.

        Notes
        -----
        This covers a restart of all instances at once: callers reconnect before the cores have
        elected a leader. Refusing these requests would delay them more than the wait does, and
        entry nodes that place them without the leader would overload engines.
        """
        request = self.request
        left_s = self.context.ready_deadline_s - time.monotonic()
        if request.remaining_s is not None:
            left_s = min(left_s, ROUTE_WAIT_FRACTION * request.remaining_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, left_s)):
                await self.context.ready.wait()
        self.writer.log("routes_awaited", known=self.context.route_table is not None)

    def _admit(self) -> ErrorKind | None:
        route_table = self.context.route_table
        request = self.request
        writer = self.writer
        if route_table is None:
            return ErrorKind.OWNER_UNAVAILABLE
        writer.route = route_table.find_route(request.host, request.target)
        if writer.route is None:
            return ErrorKind.NOT_FOUND
        if route_table.needs_key and not writer.route.anonymous:
            writer.account = route_table.find_account(request.key or "")
            if writer.account is None:
                return ErrorKind.UNAUTHENTICATED
        if len(request.body) > route_table.limits.max_body_bytes:
            return ErrorKind.BODY_TOO_LARGE
        limit_s = writer.route.timeout_s or self.context.settings.default_timeout_s
        if request.remaining_s is not None:
            limit_s = min(limit_s, request.remaining_s)
        self.deadline_s = request.arrived_s + limit_s
        if self.deadline_s > self.context.stop_deadline_s:
            return ErrorKind.STOPPING
        self.service = route_table.choose_service(writer.route, self.context.source)
        self.digest = self._compute_digest()
        return None

    def _compute_digest(self) -> str:
        """Return a digest that a repeat of this request has too, at any entry node."""
        request = self.request
        account = self.writer.account.name if self.writer.account is not None else ""
        texts = (account, request.method, request.host.lower(), request.target)
        return digest_request(*(text.encode() for text in texts), request.body)[:DIGEST_DIGITS]

    async def _run_attempts(self) -> None:
        attempts = self.attempts
        route = self.writer.route
        while True:
            if self.deadline_s - time.monotonic() < MIN_REMAINING_S:
                self._fail(ErrorKind.DEADLINE_EXCEEDED)
                return
            call = self._make_call()
            placement = await self._place(call)
            if not placement.permit:
                self._refuse(placement)
                return
            outcome = await self._send_and_record(call, placement)
            if outcome is SendOutcome.DONE:
                return
            exhausted = (
                attempts.sent >= route.max_attempts or attempts.unsent >= MAX_UNSENT_ATTEMPTS
            )
            if exhausted or (attempts.may_have_run and not route.may_retry):
                self._fail_after_attempts()
                return

    def _make_call(self) -> DispatchCall:
        request = self.request
        route = self.writer.route
        account = self.writer.account
        now_s = time.monotonic()
        priority = route.priority
        if account is not None and account.priority is not None:
            priority = account.priority
        elapsed_s = now_s - request.arrived_s
        return DispatchCall(
            request.request_id,
            self.attempts.sent + self.attempts.unsent + 1,
            self.service,
            account.name if account is not None else "",
            priority,
            request.prompt_tokens,
            request.output_tokens,
            max(0.1, route.goal_s - elapsed_s),
            route.gap_goal_s,
            self.deadline_s - now_s,
            list(self.attempts.excluded),
            self.attempts.sent,
            [*request.shared_parts, name_request(self.digest)],
        )

    async def _place(self, call: DispatchCall) -> DispatchAnswer:
        asked_s = time.monotonic()
        placement = await self.context.dispatcher.place(call)
        decided_by = "leader" if placement.permit >= 0 else "entry"
        self.placed_s = time.monotonic()
        waited_s = self.placed_s - asked_s
        self.context.metrics.placement.labels(decided_by).observe(waited_s)
        self.writer.log(
            "request_placed" if placement.permit else "request_refused",
            attempt=call.attempt,
            service=call.service,
            upstream=placement.upstream_id,
            digest=self.digest,
            parts=self.request.shared_parts[:MAX_LOGGED_PARTS],
            expected_first_s=round(placement.expected_first_s, 4),
            helpers=len(placement.helpers),
            refusal=placement.refusal,
        )
        return placement

    async def _send_and_record(self, call: DispatchCall, placement: DispatchAnswer) -> SendOutcome:
        """Send the request, and record the end of the send even if the caller disconnects."""
        attempts = self.attempts
        attempts.has_output = attempts.is_unlimited = False
        self.context.dispatcher.record_sent(call, placement)
        began_s = time.monotonic()
        outcome = SendOutcome.CANCELLED
        try:
            outcome = await self._send(placement)
        finally:
            unresponsive, attempts.unresponsive = attempts.unresponsive, []
            has_evidence = attempts.has_output or outcome is SendOutcome.CRASHED
            ended = SendEnded(
                placement.permit,
                outcome,
                unresponsive,
                call.parts if has_evidence else [],
                time.monotonic() - began_s,
                attempts.is_unlimited,
                placement.upstream_id if outcome is SendOutcome.CRASHED else "",
            )
            self.context.dispatcher.record_ended(ended)
            self.context.metrics.sends.labels(self.service, outcome.value).inc()
        if not unresponsive and outcome is not SendOutcome.CANCELLED:
            attempts.excluded.append(placement.upstream_id)
        return outcome

    async def _send(self, placement: DispatchAnswer) -> SendOutcome:
        context = self.context
        attempts = self.attempts
        name = f"{self.request.request_id}-{placement.permit}"
        async with context.reservations.hold(name, placement.helpers) as reserved:
            if reserved.is_err():
                attempts.unsent += 1
                attempts.unresponsive = reserved.unwrap_err()
                return SendOutcome.REFUSED
            left_s = self.deadline_s - time.monotonic()
            opened = await context.pool.open(placement.host, placement.port, left_s)
            if opened.is_err():
                attempts.unsent += 1
                self.writer.log("upstream_unreachable", upstream=placement.upstream_id)
                return SendOutcome.UNREACHABLE
            connection = opened.unwrap()
            if not self._may_send(placement):
                attempts.unsent += 1
                context.pool.release(connection, None)
                return SendOutcome.CANCELLED
            attempts.sent += 1
            attempts.possible_runs += 1
            released = False
            try:
                send = UpstreamSend(
                    context, self.writer, self.progress, placement, attempts.sent, self.deadline_s
                )
                result = await send.run(connection, reserved.unwrap())
                if self.writer.caller_disconnected:
                    raise StreamClosedError
                if result is not None and result.reusable:
                    context.pool.release(connection, parse_keep_alive_s(result.answer))
                    released = True
            finally:
                if not released:
                    connection.close()
            crashed = result is not None and await self._find_crash(placement, result)
            outcome = self._evaluate_result(placement, result, crashed)
            has_output = send.received_data or not self.writer.started
            is_answered = outcome is SendOutcome.DONE and is_success(result.answer)
            attempts.has_output = is_answered and has_output
            attempts.is_unlimited = is_answered and not result.answer.facts.states_limit
            return outcome

    async def _find_crash(self, placement: DispatchAnswer, result: ExchangeResult) -> bool:
        """Return whether the upstream, or a helper of it, has crashed, if a response is unclear.

        Notes
        -----
        A connection that the kernel closes for a crashed process looks like the orderly end of a
        response without framing.
        """
        broken = not result.complete or self.progress.events.incomplete
        unclear = broken or not result.framed
        if not unclear:
            return False
        # A crashed helper breaks the send too, and the engine itself goes on.
        involved = (placement, *placement.helpers) if broken else (placement,)
        addresses = {(one.host, one.port) for one in involved}
        pool = self.context.pool
        refused = await asyncio.gather(
            *(pool.is_refused(host, port, MAX_CRASH_CHECK_S) for host, port in addresses)
        )
        if not any(refused):
            return False
        self.writer.log(
            "upstream_crashed",
            upstream=placement.upstream_id,
            digest=self.digest,
            parts=self.request.shared_parts[:MAX_LOGGED_PARTS],
        )
        return True

    def _may_send(self, placement: DispatchAnswer) -> bool:
        """Whether neither the placement nor the deadline of the request has expired."""
        now_s = time.monotonic()
        age_s = now_s - self.placed_s
        if age_s <= MAX_PLACEMENT_AGE_S and now_s < self.deadline_s - MIN_REMAINING_S:
            return True
        self.writer.log("placement_expired", upstream=placement.upstream_id, age_s=round(age_s, 3))
        return False

    def _evaluate_result(
        self, placement: DispatchAnswer, result: ExchangeResult | None, crashed: bool
    ) -> SendOutcome:
        """Return the outcome of a send, and write the response if the outcome is final."""
        attempts = self.attempts
        writer = self.writer
        upstream = placement.upstream_id
        if result is None:
            writer.log("upstream_silent", upstream=upstream, attempt=attempts.sent)
            self.progress.events.discard_incomplete()
            return SendOutcome.SILENT
        response = result.answer
        if crashed or not result.complete:
            writer.log(
                "upstream_broke",
                upstream=upstream,
                detail=result.detail or "the upstream crashed",
                digest=self.digest,
                parts=self.request.shared_parts[:MAX_LOGGED_PARTS],
            )
            self.progress.events.discard_incomplete()
            return SendOutcome.CRASHED if crashed else SendOutcome.BROKEN
        if response.facts.proves_not_run:
            attempts.possible_runs -= 1
            attempts.last_response = response
            writer.log("upstream_refused", upstream=upstream, status=response.status)
            misdirected = response.facts.misdirected
            return SendOutcome.MISDIRECTED if misdirected else SendOutcome.REFUSED
        if writer.started:
            return self._finish_stream(placement, response)
        if is_success(response):
            writer.answer(response, attempts.sent)
            return SendOutcome.DONE
        attempts.last_response = response
        writer.log("upstream_error", upstream=upstream, status=response.status)
        if response.status < 500 and may_forward(response):
            writer.answer(response, attempts.sent)
            return SendOutcome.DONE
        return SendOutcome.ERROR

    def _finish_stream(self, placement: DispatchAnswer, response: UpstreamResponse) -> SendOutcome:
        progress = self.progress
        if not self.writer.may_continue(response):
            self.writer.log(
                "upstream_error", upstream=placement.upstream_id, status=response.status
            )
            return SendOutcome.ERROR
        if progress.events.incomplete:
            self.writer.log("stream_cut", upstream=placement.upstream_id)
            progress.events.discard_incomplete()
            return SendOutcome.BROKEN
        self.writer.finish_stream(response.status, self.attempts.sent, progress.longest_pause_s)
        return SendOutcome.DONE

    def _fail_after_attempts(self) -> None:
        """Write the error response that the evidence of the sends permits."""
        attempts = self.attempts
        if not self.writer.started and not attempts.may_have_run:
            self._fail(ErrorKind.NO_UPSTREAM, REFUSED_RETRY_AFTER_S)
        elif (
            not self.writer.started
            and attempts.last_response is not None
            and may_forward(attempts.last_response)
        ):
            self.writer.answer(attempts.last_response, attempts.sent)
        else:
            self._fail(ErrorKind.UPSTREAM_FAILED)

    def _refuse(self, placement: DispatchAnswer) -> None:
        """Write the refusal of the dispatcher, or the error that earlier sends require."""
        kind = ErrorKind(placement.refusal)
        if self.attempts.may_have_run and not self.writer.started:
            self._fail_after_attempts()
        else:
            self._fail(kind, placement.retry_after_s)

    def _fail(self, kind: ErrorKind, retry_after_s: float = 0.0) -> None:
        if self.writer.started:
            self.writer.abort(kind, self.progress.events.last_id)
        else:
            self.writer.fail(kind, self.attempts.may_have_run, retry_after_s)

    def _to_loop_time(self, monotonic_s: float) -> float:
        return asyncio.get_running_loop().time() + monotonic_s - time.monotonic()
