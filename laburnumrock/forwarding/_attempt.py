"""One placement of a request and the send that follows it."""

import asyncio
import math
import time
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from laburnumrock.dispatch import DispatchAnswer, DispatchCall, SendEnded, SendOutcome
from laburnumrock.forwarding._connections import PortState
from laburnumrock.forwarding._exchange import ExchangeResult, UpstreamResponse, parse_keep_alive_s
from laburnumrock.forwarding._http_response import is_success, may_forward
from laburnumrock.forwarding._request_state import RequestState
from laburnumrock.forwarding._send import MIN_REMAINING_S, UpstreamSend
from laburnumrock.periodic import raise_if_cancelled

MAX_PLACEMENT_AGE_S = 1.0
"""Age from which a placement is not used. Reserving memory and connecting take 0.75 s at most, so
an older placement belongs to a process that was paused; its upstream may have left meanwhile."""
MAX_CRASH_CHECK_S = 0.1
"""Time limit for the connection that shows whether the upstream of a broken send has crashed; a
crashed one refuses it within a round trip."""
MAX_RESUMPTION_IDLE_S = 0.1
"""Maximum idle time of a connection that carries the rest of a stream. An older one may lead to an
upstream whose path has been cut; it breaks after the send, which counts as one of the attempts."""
MAX_LOGGED_PARTS = 8
"""Maximum number of parts of a prompt in a log line; the header that lists them may have 16 KiB."""


class Attempt:
    """One placement of a request and the send that follows it.

    Parameters
    ----------
    state : RequestState
        State that all attempts of the request share.
    call : DispatchCall
        The request as the dispatcher places it.
    take_over : callable
        Called with this attempt when its upstream makes progress; ends the other attempts, so that
        only one of them writes to the caller.
    notify : callable
        Called when the upstream is overdue, so that another one is sought.
    """

    def __init__(
        self,
        state: RequestState,
        call: DispatchCall,
        take_over: Callable[["Attempt"], None],
        notify: Callable[[], None],
    ) -> None:
        self.state = state
        self.call = call
        self.take_over = take_over
        self.notify = notify
        self.placement: DispatchAnswer | None = None
        self.placed_s = 0.0
        self.send: UpstreamSend | None = None
        self.sent_boot_s = 0.0
        # Helpers that did not respond to a reservation of memory.
        self.unresponsive: list[str] = []
        # Whether the send succeeded and its upstream wrote an answer or events.
        self.has_output = False
        # Whether the send succeeded and its upstream stated no limit on its requests.
        self.is_unlimited = False
        self.task = asyncio.create_task(self._run())
        self.task.add_done_callback(lambda _: notify())

    @property
    def is_overdue(self) -> bool:
        """Whether the upstream has sent nothing for longer than its time limit."""
        return self.send is not None and self.send.is_overdue

    @property
    def upstream(self) -> str:
        """Upstream of the send; empty before the placement."""
        return self.placement.upstream_id if self.placement is not None else ""

    async def _run(self) -> SendOutcome | None:
        """Place the request and send it; return None if the dispatcher refused it."""
        self.placement = await self._place()
        if not self.placement.permit:
            return None
        return await self._send_and_record()

    async def _place(self) -> DispatchAnswer:
        state = self.state
        asked_s = time.monotonic()
        placement = await state.context.dispatcher.place(self.call)
        decided_by = "leader" if placement.permit >= 0 else "entry"
        self.placed_s = time.monotonic()
        waited_s = self.placed_s - asked_s
        state.context.metrics.placement.labels(decided_by).observe(waited_s)
        state.writer.log(
            "request_placed" if placement.permit else "request_refused",
            attempt=self.call.attempt,
            service=self.call.service,
            upstream=placement.upstream_id,
            digest=state.digest,
            parts=state.request.shared_parts[:MAX_LOGGED_PARTS],
            expected_first_s=round(placement.expected_first_s, 4),
            helpers=len(placement.helpers),
            refusal=placement.refusal,
        )
        return placement

    async def _send_and_record(self) -> SendOutcome:
        """Send the request, and record the end of the send even if it is cancelled."""
        state = self.state
        state.context.dispatcher.record_sent(self.call, self.placement)
        began_s = time.monotonic()
        outcome = None
        try:
            raise_if_cancelled()
            outcome = await self._send()
        finally:
            if outcome is None:
                outcome = SendOutcome.SILENT if self.is_overdue else SendOutcome.CANCELLED
            has_evidence = self.has_output or outcome is SendOutcome.CRASHED
            ended = SendEnded(
                self.placement.permit,
                outcome,
                self.unresponsive,
                self.call.parts if has_evidence else [],
                time.monotonic() - began_s,
                self.is_unlimited,
                self.upstream if outcome is SendOutcome.CRASHED else "",
            )
            state.context.dispatcher.record_ended(ended)
            state.context.metrics.sends.labels(state.service, outcome.value).inc()
            if not self.unresponsive and outcome is not SendOutcome.CANCELLED:
                state.excluded.append(self.upstream)
        return outcome

    async def _send(self) -> SendOutcome:
        state = self.state
        context = state.context
        placement = self.placement
        name = f"{state.request.request_id}-{placement.permit}"
        async with context.reservations.hold(name, placement.helpers) as reserved:
            if reserved.is_err():
                state.unsent += 1
                self.unresponsive = reserved.unwrap_err()
                return SendOutcome.REFUSED
            left_s = state.deadline_s - time.monotonic()
            max_idle_s = MAX_RESUMPTION_IDLE_S if state.writer.started else math.inf
            opened = await context.pool.open(placement.host, placement.port, left_s, max_idle_s)
            if opened.is_err():
                state.unsent += 1
                state.writer.log("upstream_unreachable", upstream=self.upstream)
                return SendOutcome.UNREACHABLE
            connection = opened.unwrap()
            if not self._may_send():
                state.unsent += 1
                context.pool.release(connection, None)
                return SendOutcome.CANCELLED
            state.sent += 1
            state.possible_runs += 1
            released = False
            try:
                self.send = UpstreamSend(
                    context,
                    state.writer,
                    state.progress,
                    placement,
                    state.sent,
                    state.deadline_s,
                    lambda: self.take_over(self),
                    self.notify,
                )
                self.sent_boot_s = context.stalls.clock()
                result = await self.send.run(connection, reserved.unwrap())
                if state.writer.caller_disconnected:
                    raise StreamClosedError
                if result.reusable:
                    context.pool.release(connection, parse_keep_alive_s(result.answer))
                    released = True
            finally:
                if not released:
                    connection.close()
            crashed = await self._find_crash(result)
            outcome = self._evaluate_result(result, crashed)
            has_output = self.send.received_data or not state.writer.started
            is_answered = outcome is SendOutcome.DONE and is_success(result.answer)
            self.has_output = is_answered and has_output
            self.is_unlimited = is_answered and not result.answer.facts.states_limit
            return outcome

    def _may_send(self) -> bool:
        """Whether neither the placement nor the deadline of the request has expired."""
        now_s = time.monotonic()
        age_s = now_s - self.placed_s
        if age_s <= MAX_PLACEMENT_AGE_S and now_s < self.state.deadline_s - MIN_REMAINING_S:
            return True
        self.state.writer.log("placement_expired", upstream=self.upstream, age_s=round(age_s, 3))
        return False

    async def _find_crash(self, result: ExchangeResult) -> bool:
        """Return whether the upstream, or a helper of it, has crashed, if a response is unclear.

        Notes
        -----
        A connection that the kernel closes for a crashed process looks like the orderly end of a
        response without framing. Such a response counts as complete only if its upstream accepts a
        connection, and if this process has run all the while: otherwise the upstream may have
        crashed and started again before the end was read.
        """
        state = self.state
        broken = not result.complete or self.send.events.incomplete
        unclear = broken or not result.framed
        if not unclear:
            return False
        # A crashed helper breaks the send too, and the engine itself goes on.
        involved = (self.placement, *self.placement.helpers) if broken else (self.placement,)
        addresses = {(one.host, one.port) for one in involved}
        pool = state.context.pool
        states = await asyncio.gather(
            *(pool.probe(host, port, MAX_CRASH_CHECK_S) for host, port in addresses)
        )
        if PortState.REFUSED not in states:
            has_stalled = state.context.stalls.has_stalled_since(self.sent_boot_s)
            if not result.framed and (has_stalled or PortState.UNKNOWN in states):
                result.complete = False
                result.detail = "the upstream may have crashed before the end of the response"
            return False
        state.writer.log(
            "upstream_crashed",
            upstream=self.upstream,
            digest=state.digest,
            parts=state.request.shared_parts[:MAX_LOGGED_PARTS],
        )
        return True

    def _evaluate_result(self, result: ExchangeResult, crashed: bool) -> SendOutcome:
        """Return the outcome of a send, and write the response if the outcome is final."""
        state = self.state
        writer = state.writer
        response = result.answer
        if crashed or not result.complete:
            writer.log(
                "upstream_broke",
                upstream=self.upstream,
                detail=result.detail or "the upstream crashed",
                digest=state.digest,
                parts=state.request.shared_parts[:MAX_LOGGED_PARTS],
            )
            return SendOutcome.CRASHED if crashed else SendOutcome.BROKEN
        if response.facts.proves_not_run:
            state.possible_runs -= 1
            state.last_response = response
            writer.log("upstream_refused", upstream=self.upstream, status=response.status)
            misdirected = response.facts.misdirected
            return SendOutcome.MISDIRECTED if misdirected else SendOutcome.REFUSED
        if writer.started:
            return self._finish_stream(response)
        if is_success(response):
            return self._answer(response)
        state.last_response = response
        writer.log("upstream_error", upstream=self.upstream, status=response.status)
        if response.status < 500 and may_forward(response):
            return self._answer(response)
        return SendOutcome.ERROR

    def _answer(self, response: UpstreamResponse) -> SendOutcome:
        self.take_over(self)
        self.state.writer.answer(response, self.state.sent)
        return SendOutcome.DONE

    def _finish_stream(self, response: UpstreamResponse) -> SendOutcome:
        state = self.state
        if not state.writer.may_continue(response):
            state.writer.log("upstream_error", upstream=self.upstream, status=response.status)
            return SendOutcome.ERROR
        if self.send.events.incomplete:
            state.writer.log("stream_cut", upstream=self.upstream)
            return SendOutcome.BROKEN
        self.take_over(self)
        pause_s = state.progress.longest_pause_s
        state.writer.finish_stream(response.status, state.sent, pause_s)
        return SendOutcome.DONE
