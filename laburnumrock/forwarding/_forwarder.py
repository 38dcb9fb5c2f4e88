"""Forwarding of one request: routing, retries on other upstreams and resumption of streams."""

import asyncio
import contextlib
import time

from tornado.http1connection import HTTP1Connection
from tornado.iostream import StreamClosedError

from laburnumrock.dispatch import DispatchAnswer, DispatchCall, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding._attempt import Attempt
from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._http_response import ResponseWriter, may_forward
from laburnumrock.forwarding._request_state import RequestState
from laburnumrock.forwarding._send import MIN_REMAINING_S, StreamProgress
from laburnumrock.forwarding._wire import CallerRequest
from laburnumrock.quarantine import DIGEST_DIGITS, digest_request, name_request

MAX_UNSENT_ATTEMPTS = 3
"""Maximum number of placements that fail before a byte is sent; they do not count as attempts."""
MAX_UNSENT_RESUMPTIONS = 8
"""The same maximum once the response has begun, when no refusal can be written. If an instance is
cut off from two fifths of the engines, 6 in 100 of three placements and 1 in 1,000 of eight find
only such engines."""
MAX_CONCURRENT_ATTEMPTS = 2
"""Maximum number of attempts at the same time: an overdue one, and one that may replace it."""
ROUTE_WAIT_FRACTION = 0.25
"""Fraction of its remaining time for which a request waits for the first routes of an instance."""
STOPPING_RETRY_AFTER_S = 0.2
"""Retry-After time of requests that a shutdown refuses or ends; other instances are ready."""
BODY_RETRY_AFTER_S = 1.0
"""Retry-After time of requests whose body was dropped; other large requests end meanwhile."""
REFUSED_RETRY_AFTER_S = 0.3
"""Retry-After time if all upstreams refused a request; their queues change within the duration of
one response."""


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
        progress = StreamProgress(request.last_event_id)
        self.state = RequestState(context, request, self.writer, progress)
        self.attempts: list[Attempt] = []
        self.changed = asyncio.Event()
        self.next_start_s = 0.0
        # Unexpected error of an attempt; it ends the request once no other attempt is under way.
        self.error: BaseException | None = None
        self.timeout: asyncio.Timeout | None = None
        # Whether a shutdown ends the request before its own deadline.
        self.ends_early = False

    async def run(self) -> None:
        """Forward the request and write the response."""
        try:
            async with asyncio.timeout(0.0 if self.ends_early else None) as self.timeout:
                if self.context.route_table is None:
                    await self._await_routes()
                failure = self._admit()
                if failure is not None:
                    self._fail(failure)
                    return
                self.timeout.reschedule(self._to_loop_time(self.state.deadline_s))
                await self._run_attempts()
        except TimeoutError:
            # An attempt may have completed the response just before.
            if not self.writer.ended:
                self._fail_at_deadline()
        except StreamClosedError:
            if not self.writer.caller_has_left:
                # It is the connection of an upstream or of another node.
                raise
            self.writer.record_disconnect(self.state.sent)
        except asyncio.CancelledError:
            self.writer.record_disconnect(self.state.sent)
            raise
        finally:
            # Its response is complete, so a shutdown cannot end it early any more.
            self.timeout = None

    def end_early(self) -> None:
        """End the request now, with a response if none has begun, because of a shutdown."""
        self.ends_early = True
        if self.timeout is not None and not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())

    def fail_unexpectedly(self) -> None:
        """End a request whose run raised an error, with a response if none has begun."""
        if self.writer.ended:
            return
        if self.writer.head_written:
            self.writer.abort(ErrorKind.INTERNAL, self.state.progress.last_id)
        else:
            self._fail(ErrorKind.INTERNAL)

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
        if request.is_body_dropped:
            return ErrorKind.CONCURRENCY_LIMITED
        if len(request.body) > route_table.limits.max_body_bytes:
            return ErrorKind.BODY_TOO_LARGE
        limit_s = writer.route.timeout_s or self.context.settings.default_timeout_s
        if request.remaining_s is not None:
            limit_s = min(limit_s, request.remaining_s)
        state = self.state
        state.deadline_s = request.arrived_s + limit_s
        if state.deadline_s > self.context.stop_deadline_s:
            if not self.context.may_finish(writer.route):
                return ErrorKind.STOPPING
            state.deadline_s = self.context.stop_deadline_s
            self.ends_early = True
        state.service = route_table.choose_service(writer.route, self.context.source)
        state.digest = self._compute_digest()
        return None

    def _compute_digest(self) -> str:
        """Return a digest that a repeat of this request has too, at any entry node."""
        request = self.request
        account = self.writer.account.name if self.writer.account is not None else ""
        texts = (account, request.method, request.host.lower(), request.target)
        return digest_request(*(text.encode() for text in texts), request.body)[:DIGEST_DIGITS]

    async def _run_attempts(self) -> None:
        """Send the request until it is answered, or no other send is possible.

        Notes
        -----
        While the upstream of a send is overdue, another one is sought. The first send ends only
        when another one makes progress, since nothing may be free, and its upstream may go on.
        """
        try:
            while not self._settle_attempts():
                if self._may_start():
                    self._start_attempt()
                await self._wait_for_change()
        finally:
            for attempt in self.attempts:
                attempt.task.cancel()
            tasks = [attempt.task for attempt in self.attempts]
            await asyncio.gather(*tasks, return_exceptions=True)

    def _settle_attempts(self) -> bool:
        """Evaluate the attempts that have ended, and return whether the response is written."""
        ended = [attempt for attempt in self.attempts if attempt.task.done()]
        for attempt in ended:
            self.attempts.remove(attempt)
        refusal = None
        for attempt in ended:
            if attempt.task.cancelled() or self._keep_error(attempt):
                continue
            outcome = attempt.task.result()
            if outcome is SendOutcome.DONE:
                return True
            if outcome is None:
                refusal = attempt.placement
            else:
                self.next_start_s = 0.0
        if refusal is not None:
            wait_s = max(self.context.settings.placement_retry_s, refusal.retry_after_s)
            self.next_start_s = time.monotonic() + wait_s
        if self.attempts or (refusal is not None and self._may_ask_again()):
            return False
        if self.error is not None:
            raise self.error
        if refusal is not None:
            self._refuse(refusal)
            return True
        return self._fail_if_exhausted()

    def _may_ask_again(self) -> bool:
        """Whether a refused placement is repeated, as no refusal can be written any more."""
        if not self.writer.started or self.error is not None:
            return False
        return self.next_start_s < self.state.deadline_s - MIN_REMAINING_S

    def _keep_error(self, attempt: Attempt) -> bool:
        """Keep an unexpected error of an attempt, which must not end the other one."""
        error = attempt.task.exception()
        if error is None or (isinstance(error, StreamClosedError) and self.writer.caller_has_left):
            return False
        self.error = error
        detail = f"{type(error).__name__}: {error}"
        self.writer.log("attempt_raised", attempt=attempt.call.attempt, error=detail)
        return True

    def _fail_if_exhausted(self) -> bool:
        """Write an error response if no send is under way and no other one is possible."""
        state = self.state
        if self.deadline_passed:
            self._fail_at_deadline()
            return True
        if self.is_exhausted or (state.may_have_run and not self.writer.route.may_retry):
            self._fail_after_attempts()
            return True
        return False

    @property
    def deadline_passed(self) -> bool:
        """Whether too little time is left for another send."""
        return self.state.deadline_s - time.monotonic() < MIN_REMAINING_S

    @property
    def is_exhausted(self) -> bool:
        """Whether the request was sent as often as it may be."""
        state = self.state
        max_unsent = MAX_UNSENT_RESUMPTIONS if self.writer.started else MAX_UNSENT_ATTEMPTS
        return state.sent >= self.writer.route.max_attempts or state.unsent >= max_unsent

    def _may_start(self) -> bool:
        """Whether no send is under way, or only one that is overdue."""
        if not self.attempts:
            return time.monotonic() >= self.next_start_s
        if len(self.attempts) >= MAX_CONCURRENT_ATTEMPTS or self.is_exhausted:
            return False
        if self.error is not None:
            return False
        return self.attempts[0].is_overdue and time.monotonic() >= self.next_start_s

    def _start_attempt(self) -> None:
        call = self._make_call()
        self.attempts.append(Attempt(self.state, call, self._take_over, self.changed.set))

    async def _wait_for_change(self) -> None:
        """Wait until an attempt ends or is overdue, or until the next one may start."""
        timeout_s = None
        now_s = time.monotonic()
        is_waiting = not self.attempts or self.attempts[0].is_overdue
        if is_waiting and now_s < self.next_start_s:
            timeout_s = self.next_start_s - now_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.changed.wait()
        self.changed.clear()

    def _take_over(self, attempt: Attempt) -> None:
        """End the other attempts, so that only one writes to the caller."""
        for other in self.attempts:
            if other is not attempt and not other.task.done():
                self.writer.log("send_replaced", upstream=other.upstream, by=attempt.upstream)
                other.task.cancel()

    def _make_call(self) -> DispatchCall:
        state = self.state
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
            state.sent + state.unsent + 1,
            state.service,
            account.name if account is not None else "",
            priority,
            request.prompt_tokens,
            request.output_tokens,
            max(0.1, route.goal_s - elapsed_s),
            route.gap_goal_s,
            state.deadline_s - now_s,
            [*state.excluded, *(attempt.upstream for attempt in self.attempts)],
            state.sent,
            [*request.shared_parts, name_request(state.digest)],
        )

    def _fail_after_attempts(self) -> None:
        """Write the error response that the evidence of the sends permits."""
        state = self.state
        if not self.writer.started and not state.may_have_run:
            self._fail(ErrorKind.NO_UPSTREAM, REFUSED_RETRY_AFTER_S)
        elif (
            not self.writer.started
            and state.last_response is not None
            and may_forward(state.last_response)
        ):
            self.writer.answer(state.last_response, state.sent)
        else:
            self._fail(ErrorKind.UPSTREAM_FAILED)

    def _refuse(self, placement: DispatchAnswer) -> None:
        """Write the refusal of the dispatcher, or the error that earlier sends require."""
        kind = ErrorKind(placement.refusal)
        if self.state.may_have_run and not self.writer.started:
            self._fail_after_attempts()
        else:
            self._fail(kind, placement.retry_after_s)

    def _fail_at_deadline(self) -> None:
        self._fail(ErrorKind.STOPPING if self.ends_early else ErrorKind.DEADLINE_EXCEEDED)

    def _fail(self, kind: ErrorKind, retry_after_s: float = 0.0) -> None:
        if kind is ErrorKind.STOPPING:
            retry_after_s = STOPPING_RETRY_AFTER_S
        if kind is ErrorKind.CONCURRENCY_LIMITED and self.request.is_body_dropped:
            retry_after_s = BODY_RETRY_AFTER_S
        if self.writer.started:
            self.writer.abort(kind, self.state.progress.last_id)
        else:
            self.writer.fail(kind, self.state.may_have_run, retry_after_s)

    def _to_loop_time(self, monotonic_s: float) -> float:
        return asyncio.get_running_loop().time() + monotonic_s - time.monotonic()
