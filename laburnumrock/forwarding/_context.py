"""What the runs of all requests share."""

import asyncio
import math
import random
from dataclasses import dataclass, field
from typing import Protocol

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    SendEnded,
    SendStalled,
    SendStarted,
    StallAdvice,
)
from laburnumrock.forwarding._channels import ConnectionPool
from laburnumrock.forwarding._reservations import Reservations
from laburnumrock.forwarding._wire import WireFormat
from laburnumrock.metrics import NodeMetrics
from laburnumrock.routing import RouteTable


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
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

    def record_sent(self, call: DispatchCall, answer: DispatchAnswer) -> None:
        """Record that a send begins."""

    def record_started(self, message: SendStarted) -> None:
        """Record that a send was answered."""

    async def report_stall(self, message: SendStalled) -> StallAdvice:
        """Ask what to do with a send from which nothing has come for longer than expected."""

    def record_ended(self, message: SendEnded) -> None:
        """Record that a send ended."""


@dataclass(slots=True)
class ForwardingContext:
    """What runs share.

    Parameters
    ----------
    settings : ForwardingSettings
        Time limits.
    wire : WireFormat
        Names on the wire.
    placer : Placer
        Choice of upstreams.
    pool : ConnectionPool
        Connections to upstreams.
    reservations : Reservations
        Memory on engines.
    metrics : NodeMetrics
        Counters and histograms.
    source : random.Random
        Draws services by weight.
    table : RouteTable, optional
        Routes in force; None until some are known.
    ready : asyncio.Event
        Set once routes are known, and who places requests by them.
    ready_deadline_s : float
        Clock reading until which requests wait for the first routes.
    stopping : bool
        Whether this instance is in a planned stop.
    stop_deadline_s : float
        Clock reading at which a planned stop cuts what still runs.
    """

    settings: ForwardingSettings
    wire: WireFormat
    placer: Placer
    pool: ConnectionPool
    reservations: Reservations
    metrics: NodeMetrics
    source: random.Random
    route_table: RouteTable | None = None
    ready: asyncio.Event = field(default_factory=asyncio.Event)
    ready_deadline_s: float = -math.inf
    stopping: bool = False
    stop_deadline_s: float = math.inf
