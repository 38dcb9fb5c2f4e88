"""Interfaces of the daemon tasks that the gateway depends on."""

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


class PermitClient(Protocol):
    """Obtains permits from pool owners."""

    async def acquire(self, request: PermitRequest) -> Result[PermitGrant, Failure]:
        """Return a permit, or the failure that describes the refusal."""

    def release(self, release: PermitRelease) -> None:
        """Release a permit and report the outcome."""

    def abandon(self, permit_id: str) -> None:
        """Stop renewing a permit whose request may still hold memory on an engine."""

    def revocation_event(self, permit_id: str) -> asyncio.Event | None:
        """Return the event that is set when the pool owner revokes a held permit."""


class QuotaClient(Protocol):
    """Acquires request quota of client accounts."""

    async def acquire(self, account: str, caller: str, tokens: int) -> Result[str, Failure]:
        """Return a quota id, or the failure that describes the refusal."""

    def release(self, quota_id: str) -> None:
        """Release the quota of a finished request."""


class OperationRunner(Protocol):
    """Runs non-idempotent operations."""

    async def run(
        self, account: str, key: str, fingerprint: str, deadline_s: float, dispatch: Dispatch
    ) -> Result[RecordedAnswer, Failure]:
        """Run an operation at most once and return its recorded response."""

    async def find(self, account: str, key: str) -> Result[OperationAnswer, Failure]:
        """Return the state of an operation."""


class Lifecycle(Protocol):
    """Lifecycle state of the instance as visible to callers.

    `requests_cut` is set when a planned stop ends the requests that still run.
    """

    requests_cut: asyncio.Event

    def is_stopping(self) -> bool:
        """Return whether a planned stop has begun."""

    def is_ready(self) -> bool:
        """Return whether the load balancer may send new requests."""

    def accepts_work(self) -> bool:
        """Return whether new requests are accepted."""

    def adjust_request_count(self, change: int) -> None:
        """Add `change`, which may be negative, to the number of running requests."""


@dataclass(frozen=True, slots=True)
class GatewayServices:
    """Services used by the HTTP handlers.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    declarations : DeclarationView
        Declarations currently applied by this instance.
    permits : PermitClient
        Client of the pool owners.
    quotas : QuotaClient
        Client of the quota managers.
    operations : OperationRunner
        Runner of non-idempotent operations.
    announce : callable
        Handles the announcement of an upstream in this failure domain.
    lifecycle : Lifecycle
        Lifecycle state of the instance.
    histograms : HistogramRegistry
        Latency histograms per client account and length class.
    counters : Counters
        statsd counters.
    retries : RetryBudget
        Budget that limits the retries of this instance.
    background_tasks : set of asyncio.Task
        Clean-up tasks that may outlive the response to the caller.
    """

    settings: InstanceSettings
    declarations: DeclarationView
    permits: PermitClient
    quotas: QuotaClient
    operations: OperationRunner
    announce: Callable[[UpstreamAnnouncement], None]
    lifecycle: Lifecycle
    histograms: HistogramRegistry
    counters: Counters
    retries: RetryBudget = field(default_factory=RetryBudget)
    background_tasks: set[asyncio.Task] = field(default_factory=set)
