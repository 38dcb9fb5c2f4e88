"""State and settings that all forwarded requests share."""

import asyncio
import math
import random
import time
from dataclasses import dataclass, field
from typing import Protocol

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    LimitReport,
    SendEnded,
    SendStalled,
    SendStarted,
    StallAdvice,
    UpstreamStatement,
)
from laburnumrock.forwarding._connections import ConnectionPool
from laburnumrock.forwarding._durations import RouteDurations
from laburnumrock.forwarding._reservations import Reservations
from laburnumrock.forwarding._wire import WireFormat
from laburnumrock.metrics import NodeMetrics
from laburnumrock.periodic import StallDetector
from laburnumrock.routing import Route, RouteTable

MIN_STALL_S = 0.5
"""An upstream that has crashed takes longer than this to accept connections again."""


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Time limits of forwarded requests.

    Parameters
    ----------
    first_event_timeout_s : float, > 0
        Time limit for the first event of a send, beyond the multiple of the predicted time that
        `first_event_expected_factor` sets; then the request is sent to another upstream too.
    first_event_timeout_goals : float, > 0
        The same limit as a multiple of the latency target of the route, if that is shorter.
    first_event_expected_factor : float, >= 1
        Multiple of the predicted time to the first event that is added to the limit; first
        events arrive within 1.5 times the predicted time in 95 of 100 cases.
    gap_timeout_s : float, > 0
        Time without an event after which a stream is resumed on another upstream, unless the
        first one goes on before; callers disconnect after 2 s without an event.
    gap_timeout_factor : float, > 0
        The same limit as a multiple of the latency target for the time between events, if that is
        longer.
    stall_report_delay_s : float, > 0
        Delay beyond the expected time after which a stalled send is reported to the dispatcher.
    stall_report_interval_s : float, > 0
        Interval between further reports of the same send.
    long_prompt_tokens : int
        Requests with longer prompts are retried only if the dispatcher advises it or after the
        time limit for long prompts: a second prefill delays the other requests more than the wait
        delays this one.
    long_prompt_timeout_s, long_prompt_expected_factor : float
        Time limit for the first event with a long prompt, and multiple of the predicted time that
        is added to it.
    placement_retry_s : float, > 0
        Minimum time from a refused placement to the next one, while an earlier send of the request
        is overdue.
    default_timeout_s : float, > 0
        Time limit of requests whose route sets none.
    max_idle_timeout_s : float, > 0
        Maximum idle timeout of callers' connections; if the routes declare a longer one, responses
        announce this one in a Keep-Alive header.
    """

    first_event_timeout_s: float = 0.9
    first_event_timeout_goals: float = 2.0
    first_event_expected_factor: float = 1.6
    gap_timeout_s: float = 1.0
    gap_timeout_factor: float = 4.0
    stall_report_delay_s: float = 0.4
    stall_report_interval_s: float = 0.5
    long_prompt_tokens: int = 30_000
    long_prompt_timeout_s: float = 3.0
    long_prompt_expected_factor: float = 4.0
    placement_retry_s: float = 0.5
    default_timeout_s: float = 30.0
    max_idle_timeout_s: float = 900.0

    def __post_init__(self) -> None:
        if not 0.0 < self.max_idle_timeout_s < math.inf:
            raise ValueError(f"max_idle_timeout_s: expected > 0, got {self.max_idle_timeout_s}")


class DispatchClient(Protocol):
    """Interface to the dispatcher, which chooses upstreams and tracks the sends to them."""

    async def place(self, call: DispatchCall) -> DispatchAnswer:
        """Choose an upstream for a request."""

    def record_sent(self, call: DispatchCall, answer: DispatchAnswer) -> None:
        """Record that a send has begun."""

    def record_started(self, message: SendStarted) -> None:
        """Record that the first data of the response has arrived."""

    def record_limit(self, report: LimitReport) -> None:
        """Record that an upstream has just stated a limit on its requests."""

    def record_statement(self, statement: UpstreamStatement) -> None:
        """Record that an upstream has just stated that it wants no new requests."""

    async def report_stall(self, message: SendStalled) -> StallAdvice:
        """Report a send without data for longer than expected, and return what to do with it."""

    def record_ended(self, message: SendEnded) -> None:
        """Record that a send has ended."""


@dataclass(slots=True)
class ForwardingContext:
    """State and settings that all forwarded requests share.

    Parameters
    ----------
    settings : ForwardingSettings
        Time limits.
    wire : WireFormat
        Encoding of the HTTP headers.
    dispatcher : DispatchClient
        Chooses upstreams and tracks the sends to them.
    pool : ConnectionPool
        Pool of connections to upstreams.
    reservations : Reservations
        Leases on memory of the engines that process a part of a prompt.
    metrics : NodeMetrics
        Counters and histograms.
    source : random.Random
        Random number generator that selects services by weight and adds jitter to retry times.
    route_table : RouteTable, optional
        Current routes; None until they are known.
    ready : asyncio.Event
        Set once the routes and the leader of the dispatchers are known.
    ready_deadline_s : float
        Reading of the monotonic clock until which requests wait for the first routes.
    stopping : bool
        Whether this instance is shutting down.
    stop_deadline_s : float
        Reading of the monotonic clock at which a shutdown ends the requests still in progress.
    balancer_deadline_s : float
        Reading of the monotonic clock until which the load balancer may send connections to an
        instance that is shutting down.
    durations : RouteDurations
        Durations of recent requests.
    stalls : StallDetector
        Tells whether this process has run without a pause.
    """

    settings: ForwardingSettings
    wire: WireFormat
    dispatcher: DispatchClient
    pool: ConnectionPool
    reservations: Reservations
    metrics: NodeMetrics
    source: random.Random
    route_table: RouteTable | None = None
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    ready_deadline_s: float = -math.inf
    stopping: bool = False
    stop_deadline_s: float = math.inf
    balancer_deadline_s: float = -math.inf
    durations: RouteDurations = field(default_factory=RouteDurations)
    stalls: StallDetector = field(default_factory=lambda: StallDetector(MIN_STALL_S, 0.0))

    def begin_stop(self, balancer_grace_s: float, left_s: float) -> None:
        """Begin a shutdown that ends all requests in progress after a while.

        Parameters
        ----------
        balancer_grace_s : float, >= 0
            Time in which the load balancer may still send connections.
        left_s : float, >= 0
            Time until the requests in progress are ended.
        """
        now_s = time.monotonic()
        self.stopping = True
        self.balancer_deadline_s = now_s + balancer_grace_s
        self.stop_deadline_s = now_s + left_s

    def may_finish(self, route: Route) -> bool:
        """Return whether a new request will probably be answered before the end of a shutdown.

        Notes
        -----
        While the load balancer still sends connections, a caller that is refused may be sent here
        again, so a request is taken if recent ones of its route were fast enough. Afterwards other
        instances serve it at once, which is better for it than any risk of being cut.
        """
        now_s = time.monotonic()
        if now_s >= self.balancer_deadline_s:
            return False
        return now_s + self.durations.find_longest(route) <= self.stop_deadline_s
