"""What the gateway needs from the tasks of the daemon."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from result import Result

from laburnumrock.admission import RetryBudget
from laburnumrock.declarations import DeclarationView
from laburnumrock.errors import Failure
from laburnumrock.journal import OperationAnswer, RecordedAnswer
from laburnumrock.metrics import Counters, HistogramRegistry
from laburnumrock.placement import PermitGrant, PermitRelease, PermitRequest
from laburnumrock.settings import InstanceSettings
from laburnumrock.upstreams import UpstreamAnnouncement

Dispatch = Callable[[], Awaitable[Result[RecordedAnswer, Failure]]]


class PermitSource(Protocol):
    """Obtains permits from pool owners."""

    async def acquire(self, request: PermitRequest) -> Result[PermitGrant, Failure]:
        """Return a permit, or the reason of the refusal."""

    def release(self, release: PermitRelease) -> None:
        """Report the end of the work under a permit."""

    def revocation_event(self, permit_id: str) -> asyncio.Event | None:
        """Return the event that is set when the owner revokes a held permit."""


class QuotaSource(Protocol):
    """Obtains quota of a client account."""

    async def acquire(self, account: str, caller: str, tokens: int) -> Result[str, Failure]:
        """Return a quota id, or the reason of the refusal."""

    def release(self, quota_id: str) -> None:
        """Report the end of the request."""


class OperationRunner(Protocol):
    """Runs operations that may not be repeated."""

    async def run(
        self, account: str, key: str, fingerprint: str, deadline_s: float, dispatch: Dispatch
    ) -> Result[RecordedAnswer, Failure]:
        """Run an operation at most once and return its recorded answer."""

    async def find(self, account: str, key: str) -> Result[OperationAnswer, Failure]:
        """Return the state of an operation."""


class Lifecycle(Protocol):
    """State of the instance as far as callers see it."""

    def is_ready(self) -> bool:
        """Whether the balancer may send new work."""

    def accepts_work(self) -> bool:
        """Whether new work is accepted."""

    def adjust_request_count(self, change: int) -> None:
        """Add to the number of running requests."""


@dataclass(frozen=True, slots=True)
class GatewayServices:
    """Everything that the handlers use.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    declarations : DeclarationView
        Declarations in force at this instance.
    permits : PermitSource
        Source of permits.
    quotas : QuotaSource
        Source of quota.
    operations : OperationRunner
        Runner of operations that may not be repeated.
    announce : callable
        Takes an announcement of an upstream of this failure domain.
    lifecycle : Lifecycle
        State of the instance.
    histograms : HistogramRegistry
        Histograms per client account and length class.
    counters : Counters
        statsd counters.
    retries : RetryBudget
        Limit on the retries of this instance.
    background : set of asyncio.Task
        Clean-up that goes on after the answer.
    """

    settings: InstanceSettings
    declarations: DeclarationView
    permits: PermitSource
    quotas: QuotaSource
    operations: OperationRunner
    announce: Callable[[UpstreamAnnouncement], None]
    lifecycle: Lifecycle
    histograms: HistogramRegistry
    counters: Counters
    retries: RetryBudget = field(default_factory=RetryBudget)
    background: set[asyncio.Task] = field(default_factory=set)
