"""One send of a request to an upstream, with the time limits of its progress."""

import asyncio
import time
from collections.abc import Callable

from laburnumrock.dispatch import DispatchAnswer, SendStalled, SendStarted
from laburnumrock.forwarding._channels import Channel
from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._events import EventSplitter
from laburnumrock.forwarding._exchange import Answer, ExchangeResult, exchange
from laburnumrock.forwarding._reply import CallerReply, is_good
from laburnumrock.forwarding._reservations import Hold
from laburnumrock.forwarding._wire import SendMetadata
from laburnumrock.routing import RequestKind

MIN_REMAINING_S = 0.02
"""A send with less time left could not be answered."""


class StallNotice:
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


class Progress:
    """What a caller has received of a stream, over all sends.

    Parameters
    ----------
    last_id : str, optional
        Last event that the caller had before the request.
    """

    def __init__(self, last_id: str | None) -> None:
        self.events = EventSplitter()
        self.events.last_id = last_id
        self.last_event_s = 0.0
        self.longest_pause_s = 0.0


class UpstreamSend:
    """One send.

    Parameters
    ----------
    context : ForwardingContext
        Shared parts.
    reply : CallerReply
        Receives the events of a stream.
    progress : Progress
        What the caller has.
    placed : DispatchAnswer
        Where the request goes.
    number : int
        Number of the send, from 1.
    ends_s : float
        Clock reading at which the caller stops waiting.
    """

    def __init__(
        self,
        context: ForwardingContext,
        reply: CallerReply,
        progress: Progress,
        placed: DispatchAnswer,
        number: int,
        ends_s: float,
    ) -> None:
        self.context = context
        self.reply = reply
        self.progress = progress
        self.placed = placed
        self.number = number
        self.ends_s = ends_s
        self.sent_s = time.monotonic()
        self.heard = False
        self.loop = asyncio.get_running_loop()
        route = reply.route
        self.may_retry = route.may_retry and number < route.max_attempts
        self.limit = asyncio.timeout(self._find_patience_s())
        self.stall = StallNotice(self.loop, self._start_stall)

    async def run(self, channel: Channel, helpers: list[Hold]) -> ExchangeResult | None:
        """Send the request and relay the answer; None if the upstream fell silent."""
        account = self.reply.account
        metadata = SendMetadata(
            self.placed.upstream_id,
            account.name if account is not None else None,
            self.ends_s - self.sent_s,
            self.progress.events.last_id,
            helpers,
        )
        wire = self.context.wire
        request = self.reply.request
        headers = wire.encode_request(request, metadata)
        settings = self.context.settings
        self.stall.set(self.placed.expected_first_s + settings.stall_notice_s)
        try:
            async with self.limit:
                return await exchange(
                    channel, request, headers, wire, self._start_relay, self._relay
                )
        except TimeoutError:
            if time.monotonic() >= self.ends_s - MIN_REMAINING_S:
                raise
            return None
        finally:
            self.stall.cancel()

    def _find_patience_s(self) -> float:
        """Return how long to wait for the first event."""
        if not self.may_retry:
            return self.ends_s - self.sent_s
        settings = self.context.settings
        expected_s = self.placed.expected_first_s
        if self.reply.request.prompt_tokens > settings.long_prompt_tokens:
            return settings.long_patience_s + settings.long_patience_factor * expected_s
        patience_s = min(settings.patience_s, settings.patience_goals * self.reply.route.goal_s)
        return patience_s + settings.patience_factor * expected_s

    def _start_relay(self, answer: Answer) -> bool:
        """Whether the body of an answer is relayed as events."""
        if self.reply.route.kind is not RequestKind.STREAMING or not is_good(answer):
            return False
        self.reply.start_stream(answer)
        return True

    async def _relay(self, chunk: bytes) -> None:
        progress = self.progress
        settings = self.context.settings
        gap_goal_s = self.reply.route.gap_goal_s
        whole = progress.events.feed(chunk)
        now_s = time.monotonic()
        if self.heard:
            pause_s = now_s - progress.last_event_s
            progress.longest_pause_s = max(progress.longest_pause_s, pause_s)
        else:
            self.heard = True
            self._note_first_event(now_s)
        progress.last_event_s = now_s
        self.stall.set(gap_goal_s + settings.stall_notice_s)
        if self.may_retry:
            gap_s = max(settings.gap_patience_s, settings.gap_patience_factor * gap_goal_s)
            self.limit.reschedule(self.loop.time() + gap_s)
        if whole:
            await self.reply.write_events(whole)

    def _note_first_event(self, now_s: float) -> None:
        placed = self.placed
        first_s = now_s - self.sent_s
        self.context.placer.record_started(SendStarted(placed.permit, first_s))
        metrics = self.context.metrics
        if placed.expected_first_s > 0 and placed.permit > 0:
            metrics.first_event_error_ratio.observe(first_s / placed.expected_first_s)
        if self.progress.last_event_s == 0.0:
            arrived_s = self.reply.request.arrived_s
            metrics.first_event.labels(*self.reply.labels()).observe(now_s - arrived_s)
        self.reply.log(
            "first_event",
            upstream=placed.upstream_id,
            first_s=round(first_s, 4),
            expected_first_s=round(placed.expected_first_s, 4),
        )

    def _start_stall(self) -> None:
        self.stall.task = asyncio.create_task(self._handle_stall())

    async def _handle_stall(self) -> None:
        """Ask the dispatcher about a send that stalls, and give it up if it advises so."""
        advice = await self.context.placer.report_stall(SendStalled(self.placed.permit))
        self.reply.log(
            "send_stalled",
            upstream=self.placed.upstream_id,
            attempt=self.number,
            give_up=advice.give_up,
        )
        if advice.give_up and self.may_retry:
            self.limit.reschedule(self.loop.time())
        else:
            self.stall.set(self.context.settings.stall_interval_s)
