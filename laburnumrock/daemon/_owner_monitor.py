"""Task that closes the open operations of failed instances."""

import asyncio
import time
from collections.abc import Callable

from eliot import log_message

from laburnumrock.daemon._log_task import LogTask
from laburnumrock.daemon._operations import OperationClient
from laburnumrock.journal import JournalPart
from laburnumrock.membership import DeadInstanceDetector, DomainDigest
from laburnumrock.periodic import run_periodically
from laburnumrock.settings import InstanceSettings

PERIOD_S = 0.5


class OwnerMonitor:
    """Closes the open operations of owners confirmed dead, while this instance leads the log.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance, with its peers.
    log : LogTask
        Replicated log that contains the journal.
    operations : OperationClient
        Client of the operation journal.
    live_members : callable
        Returns the live instances of a failure domain; called for the local one.

    Notes
    -----
    A false positive only causes delay: if the owner is alive, a claim that it has not started is
    voided, so that its start is rejected, and the answer of a started operation is still recorded.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        log: LogTask,
        operations: OperationClient,
        live_members: Callable[[str], list[str]],
    ) -> None:
        self.settings = settings
        self.log = log
        self.operations = operations
        self.live_members = live_members
        names = dict.fromkeys(peer.failure_domain for peer in settings.peers)
        domains = {
            domain: [peer.instance_id for peer in settings.list_domain_peers(domain)]
            for domain in names
        }
        self.dead_instance_detector = DeadInstanceDetector(
            domains, settings.failure_domain, time.monotonic()
        )
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Start monitoring on instances that can become leader of the log."""
        if self.log.runner is not None:
            self.task = asyncio.create_task(
                run_periodically("owner_monitor", self._run, lambda: PERIOD_S)
            )

    async def stop(self) -> None:
        """Stop monitoring."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def receive_digest(self, sender: str, digest: DomainDigest) -> None:
        """Record the live instances reported by another failure domain."""
        self.dead_instance_detector.observe_digest(
            digest.failure_domain, sender, digest.live, time.monotonic()
        )

    def find_dead_owners(self, now_s: float) -> list[str]:
        """Return the instances confirmed dead that own open operations."""
        journal: JournalPart = self.log.state.parts["journal"]
        owners = dict.fromkeys(journal.operations[key].owner for key in journal.open_keys)
        return [owner for owner in owners if self.dead_instance_detector.is_dead(owner, now_s)]

    async def _run(self) -> None:
        now_s = time.monotonic()
        domain = self.settings.failure_domain
        self.dead_instance_detector.observe_own_domain(self.live_members(domain), now_s)
        if self.log.is_leader:
            for owner in self.find_dead_owners(now_s):
                answer = await self.operations.abandon_owner(owner)
                log_message("owner_abandoned", owner=owner, accepted=answer.is_ok())
