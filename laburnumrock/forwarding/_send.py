"""One send of a request to an upstream, with its timeouts and the relay of its response."""

import asyncio
import time
from collections.abc import Callable

from tornado.httputil import HTTPInputError

from laburnumrock.dispatch import DispatchAnswer, LimitReport, SendStalled, SendStarted
from laburnumrock.forwarding._connections import UpstreamConnection
from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._events import EventBuffer
from laburnumrock.forwarding._exchange import ExchangeResult, UpstreamResponse, exchange
from laburnumrock.forwarding._http_response import ResponseWriter
from laburnumrock.forwarding._reservations import HelperReservation
from laburnumrock.forwarding._wire import ResponseMetadata, SendMetadata, find_statement
from laburnumrock.routing import RequestKind

MIN_REMAINING_S = 0.02
"""Minimum time before the deadline at which a send can still be answered."""

LATE_THRESHOLD_S = 0.05
"""A timer that fires later than this indicates a busy event loop or a process that did not run."""
DEFER_S = 0.01
"""Time in which the event loop reads what has arrived meanwhile."""


class StallTimer:
    """Timer that is restarted with each event of a stream.

    Notes
    -----
    A timer that fires late is deferred once: the events that it waits for may have arrived while
    the process did not run, and be unread.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, notify: Callable[[], None]) -> None:
        self.loop = loop
        self.notify = notify
        self.due_s = 0.0
        self.handle: asyncio.TimerHandle | None = None
        self.task: asyncio.Task | None = None
        self.cancelled = False
        self.deferred = False

    def set(self, delay_s: float) -> None:
        """Restart the timer, so that it notifies after a delay from now."""
        self.due_s = self.loop.time() + delay_s
        # A pending timer checks the due time when it fires. Events are far more frequent than that,
        # so rescheduling the timer for each of them would cost more.
        if self.handle is None and not self.cancelled:
            self.handle = self.loop.call_at(self.due_s, self._fire)

    def pause(self) -> None:
        """Stop the timer until it is set again."""
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None
        self.deferred = False

    def cancel(self) -> None:
        """Cancel the timer and a notification in progress."""
        self.cancelled = True
        self.pause()
        if self.task is not None:
            self.task.cancel()

    def _fire(self) -> None:
        late_s = self.loop.time() - self.due_s
        self.deferred = late_s > LATE_THRESHOLD_S and not self.deferred
        if late_s < 0.0:
            self.handle = self.loop.call_at(self.due_s, self._fire)
        elif self.deferred:
            self.handle = self.loop.call_later(DEFER_S, self._fire)
        else:
            self.handle = None
            self.notify()


class StreamProgress:
    """Part of a stream that a caller has received, over all sends of its request.

    Parameters
    ----------
    last_id : str, optional
        Last event that the caller had received before the request.
    """

    def __init__(self, last_id: str | None) -> None:
        self.last_id = last_id
        self.last_event_s = 0.0
        self.longest_pause_s = 0.0
        # Send that wrote the last event; the comments of another one are discarded.
        self.writing_send: UpstreamSend | None = None


class UpstreamSend:
    """One send of a request to an upstream.

    Parameters
    ----------
    context : ForwardingContext
        State and settings that all forwarded requests share.
    writer : ResponseWriter
        Writes the events of a stream to the caller.
    progress : StreamProgress
        Part of the stream that the caller has received.
    placement : DispatchAnswer
        Upstream that the dispatcher chose.
    number : int
        Number of the send, from 1.
    deadline_s : float
        Reading of the monotonic clock at the deadline of the request.
    take_over : callable
        Called before an event is written; ends the other sends of the request.
    notify : callable
        Called when the upstream is overdue.

    Notes
    -----
    A send whose upstream is overdue goes on, since a sound upstream may be silent for a while. It
    ends when another send makes progress, or at the deadline.
    """

    def __init__(
        self,
        context: ForwardingContext,
        writer: ResponseWriter,
        progress: StreamProgress,
        placement: DispatchAnswer,
        number: int,
        deadline_s: float,
        take_over: Callable[[], None],
        notify: Callable[[], None],
    ) -> None:
        self.context = context
        self.writer = writer
        self.progress = progress
        self.placement = placement
        self.number = number
        self.deadline_s = deadline_s
        self.take_over = take_over
        self.notify = notify
        self.sent_s = time.monotonic()
        self.received_data = False
        self.is_overdue = False
        self.events = EventBuffer()
        self.events.last_id = progress.last_id
        self.loop = asyncio.get_running_loop()
        route = writer.route
        self.may_retry = route.may_retry and number < route.max_attempts
        self.overdue_timer = StallTimer(self.loop, self._on_overdue)
        self.stall_timer = StallTimer(self.loop, self._on_stall)

    async def run(
        self, connection: UpstreamConnection, helpers: list[HelperReservation]
    ) -> ExchangeResult:
        """Send the request and relay the response."""
        account = self.writer.account
        metadata = SendMetadata(
            self.placement.upstream_id,
            account.name if account is not None else None,
            self.deadline_s - self.sent_s,
            self.progress.last_id,
            helpers,
        )
        wire = self.context.wire
        request = self.writer.request
        headers = wire.encode_request(request, metadata)
        settings = self.context.settings
        self.stall_timer.set(self.placement.expected_first_s + settings.stall_report_delay_s)
        if self.may_retry:
            self.overdue_timer.set(self._compute_first_event_timeout_s())
        try:
            return await exchange(
                connection, request, headers, wire, self._start_relay, self._relay
            )
        finally:
            self.overdue_timer.cancel()
            self.stall_timer.cancel()

    def _compute_first_event_timeout_s(self) -> float:
        """Return the time after which the first event is overdue."""
        settings = self.context.settings
        expected_s = self.placement.expected_first_s
        if self.writer.request.prompt_tokens > settings.long_prompt_tokens:
            return (
                settings.long_prompt_timeout_s + settings.long_prompt_expected_factor * expected_s
            )
        first_event_timeout_s = min(
            settings.first_event_timeout_s,
            settings.first_event_timeout_goals * self.writer.route.goal_s,
        )
        return first_event_timeout_s + settings.first_event_expected_factor * expected_s

    def _start_relay(self, response: UpstreamResponse) -> bool:
        """Start the relay of a stream of events; return whether the response is one."""
        self._record_limit(response.facts)
        self._record_statement(response.facts)
        is_streaming = self.writer.route.kind is RequestKind.STREAMING
        if not is_streaming or not self.writer.may_continue(response):
            return False
        self.writer.start_stream(response)
        return True

    def _record_limit(self, facts: ResponseMetadata) -> None:
        """Record the limit that the upstream states on its requests, if there is one."""
        limit = facts.max_requests_per_s
        # A misdirected request was answered by another upstream than the one it was placed on.
        if limit is None or facts.misdirected:
            return
        upstream = self.placement.upstream_id
        self.writer.log("upstream_limited", upstream=upstream, requests_per_s=limit)
        self.context.dispatcher.record_limit(LimitReport(upstream, limit))

    def _record_statement(self, facts: ResponseMetadata) -> None:
        """Record that the upstream wants no new requests, if it states so."""
        statement = find_statement(self.placement.upstream_id, facts)
        if statement is None:
            return
        self.writer.log(
            "upstream_declines",
            upstream=statement.upstream_id,
            leaving=statement.is_leaving,
            refusal_s=statement.refusal_s,
        )
        self.context.dispatcher.record_statement(statement)

    async def _relay(self, chunk: bytes) -> None:
        events = self.events
        known = events.count
        complete_events = events.feed(chunk)
        if events.is_oversized:
            raise HTTPInputError("event exceeds the maximum size")
        if events.count > known:
            self.take_over()
            self.progress.writing_send = self
            self.progress.last_id = events.last_id
            self._record_progress()
        if complete_events and self.progress.writing_send in (None, self):
            await self._write_events(complete_events)
        if events.is_invalid:
            raise HTTPInputError("text in the stream that is none of its events")

    def _record_progress(self) -> None:
        """Record that a whole event arrived; bytes and comments do not extend the timeout."""
        progress = self.progress
        now_s = time.monotonic()
        if self.received_data:
            pause_s = now_s - progress.last_event_s
            progress.longest_pause_s = max(progress.longest_pause_s, pause_s)
        else:
            self.received_data = True
            self._record_first_event(now_s)
        progress.last_event_s = now_s
        self._expect_next_event()

    def _expect_next_event(self) -> None:
        """Restart the timers for the next event."""
        settings = self.context.settings
        gap_goal_s = self.writer.route.gap_goal_s
        self.stall_timer.set(gap_goal_s + settings.stall_report_delay_s)
        self.is_overdue = False
        if self.may_retry:
            gap_timeout_s = max(settings.gap_timeout_s, settings.gap_timeout_factor * gap_goal_s)
            self.overdue_timer.set(gap_timeout_s)

    async def _write_events(self, complete_events: bytes) -> None:
        """Write events to the caller, without blaming the upstream if the caller reads slowly."""
        write = self.writer.start_events(complete_events)
        blocked = self.may_retry and self.writer.is_blocked
        if blocked:
            self.overdue_timer.pause()
        await self.writer.finish_events(write)
        if blocked:
            self._expect_next_event()

    def _record_first_event(self, now_s: float) -> None:
        placement = self.placement
        first_s = now_s - self.sent_s
        self.context.dispatcher.record_started(SendStarted(placement.permit, first_s))
        metrics = self.context.metrics
        if placement.expected_first_s > 0 and placement.permit > 0:
            metrics.first_event_error_ratio.observe(first_s / placement.expected_first_s)
        if self.progress.last_event_s == 0.0:
            arrived_s = self.writer.request.arrived_s
            metrics.first_event.labels(*self.writer.labels()).observe(now_s - arrived_s)
        self.writer.log(
            "first_event",
            upstream=placement.upstream_id,
            first_s=round(first_s, 4),
            expected_first_s=round(placement.expected_first_s, 4),
        )

    def _on_overdue(self) -> None:
        """Let another upstream be sought while this send goes on."""
        if not self.is_overdue:
            self.is_overdue = True
            self.writer.log(
                "upstream_silent", upstream=self.placement.upstream_id, attempt=self.number
            )
            self.notify()

    def _on_stall(self) -> None:
        self.stall_timer.task = asyncio.create_task(self._report_stall())

    async def _report_stall(self) -> None:
        """Report a stalled send to the dispatcher, and look for another upstream on its advice."""
        advice = await self.context.dispatcher.report_stall(SendStalled(self.placement.permit))
        self.writer.log(
            "send_stalled",
            upstream=self.placement.upstream_id,
            attempt=self.number,
            give_up=advice.give_up,
        )
        if advice.give_up and self.may_retry:
            self._on_overdue()
        self.stall_timer.set(self.context.settings.stall_report_interval_s)
