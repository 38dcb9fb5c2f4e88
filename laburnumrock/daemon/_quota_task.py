"""Task that enforces the limits of the client accounts while this instance is the coordinator."""

import asyncio
import time

from laburnumrock.admission import (
    AccountLimits,
    QuotaManager,
    QuotaRelease,
    QuotaRenewal,
    QuotaRequest,
    ShareAllocator,
    ShareGrant,
    ShareReport,
)
from laburnumrock.daemon._ownership_task import OwnershipTask
from laburnumrock.declarations import DeclarationView, Limits
from laburnumrock.membership import DomainDigest
from laburnumrock.messages import Effect, Send
from laburnumrock.periodic import run_periodically
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

TICK_S = 0.25
# Without a digest within this time, the coordinator of another failure domain is considered
# unknown and no shares are requested from it.
COORDINATOR_EXPIRY_S = 10.0
MICROSECONDS_PER_SECOND = 1_000_000


class QuotaTask:
    """Runs the quota manager of the failure domain on its coordinator.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Connections to the other instances.
    ownership : OwnershipTask
        Used to check whether this instance is the coordinator.
    view : DeclarationView
        Declarations with the limits of the client accounts.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network: PeerNetwork,
        ownership: OwnershipTask,
        view: DeclarationView,
    ) -> None:
        self.settings = settings
        self.network = network
        self.ownership = ownership
        self.view = view
        self.manager: QuotaManager | None = None
        self.limits_revision = -1
        self.coordinators: dict[str, tuple[str, float]] = {}
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Register the message handlers and start the quota manager."""
        self.network.handle(QuotaRequest, self._answer)
        for message_type in (QuotaRelease, QuotaRenewal, ShareReport, ShareGrant):
            self.network.handle(message_type, self._receive)
        self.task = asyncio.create_task(run_periodically("quotas", self._run, lambda: TICK_S))

    async def stop(self) -> None:
        """Stop; a new coordinator rebuilds the quotas in use from renewals."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def receive_digest(self, sender: str, digest: DomainDigest) -> None:
        """Record the coordinator of another failure domain."""
        if digest.coordinator is not None:
            self.coordinators[digest.failure_domain] = (digest.coordinator, time.monotonic())

    async def _run(self) -> None:
        now_s = time.monotonic()
        manager = self._find_manager(now_s)
        if manager is not None:
            manager.set_coordinators(self._live_coordinators(now_s))
            self._send(manager.tick(now_s))

    def _find_manager(self, now_s: float) -> QuotaManager | None:
        """Return the quota manager, or None if this instance is not the coordinator."""
        if not self.ownership.is_coordinator():
            self.manager = None
            return None
        if self.manager is None:
            self.manager = self._make_manager(now_s)
            self.limits_revision = -1
        if self.limits_revision != self.view.revision:
            self.limits_revision = self.view.revision
            templates = self.view.current.templates
            limits = {name: _read_limits(template.limits) for name, template in templates.items()}
            self.manager.set_limits(limits, now_s)
        return self.manager

    def _make_manager(self, now_s: float) -> QuotaManager:
        domains = sorted({peer.failure_domain for peer in self.settings.peers})
        allocator = ShareAllocator(
            self.settings.failure_domain,
            domains,
            # Start at the wall-clock time, so that the sequence numbers exceed those of an earlier
            # coordinator.
            first_sequence=int(time.time() * MICROSECONDS_PER_SECOND),
            started_s=now_s,
        )
        return QuotaManager(allocator)

    def _live_coordinators(self, now_s: float) -> dict[str, str]:
        return {
            domain: name
            for domain, (name, received_s) in self.coordinators.items()
            if now_s - received_s < COORDINATOR_EXPIRY_S
        }

    def _answer(self, sender: str, message: QuotaRequest) -> object | None:
        """Return the answer to an entry instance; None if this is not the coordinator."""
        now_s = time.monotonic()
        manager = self._find_manager(now_s)
        if manager is None:
            return None
        answers = manager.receive(sender, message, now_s)
        return next(effect.message for effect in answers if effect.destination == sender)

    def _receive(self, sender: str, message: object) -> None:
        now_s = time.monotonic()
        manager = self._find_manager(now_s)
        if manager is not None:
            self._send(manager.receive(sender, message, now_s))

    def _send(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(effect.destination, effect.message)


def _read_limits(limits: Limits) -> AccountLimits:
    return AccountLimits(limits.requests_per_s, limits.tokens_per_s, limits.concurrency)
