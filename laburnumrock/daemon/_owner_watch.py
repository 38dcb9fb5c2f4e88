"""Task that closes the open operations of dead instances."""

import asyncio
import time
from collections.abc import Callable

from eliot import log_message

from laburnumrock.daemon._log_task import LogTask
from laburnumrock.daemon._operations import OperationClient
from laburnumrock.journal import JournalPart
from laburnumrock.membership import DeadInstanceDetector, DomainDigest
from laburnumrock.settings import InstanceSettings

PERIOD_S = 0.5


class OwnerWatch:
    """Has the open operations of certainly dead owners closed while this instance leads the log.

    Parameters
    ----------
    settings : InstanceSettings
        Instances of the system.
    log : LogTask
        Replicated log with the journal.
    operations : OperationClient
        Way to the journal.
    live_members : callable
        Returns the live instances of a failure domain; asked for the own one.

    Notes
    -----
    An owner that is alive after all loses nothing but time: a claim that it has not started is
    voided, so that its start is refused, and the answer of a started operation is still recorded.
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
        self.deaths = DeadInstanceDetector(domains, settings.failure_domain, time.monotonic())
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Watch on an instance that may lead the log."""
        if self.log.runner is not None:
            self.task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Stop watching."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def receive_digest(self, sender: str, digest: DomainDigest) -> None:
        """Take over the live instances of another failure domain."""
        self.deaths.observe_digest(digest.failure_domain, sender, digest.live, time.monotonic())

    def find_dead_owners(self, now_s: float) -> list[str]:
        """Return the certainly dead instances that own open operations."""
        journal: JournalPart = self.log.state.parts["journal"]
        owners = dict.fromkeys(journal.operations[key].owner for key in journal.open_keys)
        return [owner for owner in owners if self.deaths.is_dead(owner, now_s)]

    async def _run(self) -> None:
        while True:
            now_s = time.monotonic()
            domain = self.settings.failure_domain
            self.deaths.observe_own_domain(self.live_members(domain), now_s)
            if self.log.is_leader:
                for owner in self.find_dead_owners(now_s):
                    answer = await self.operations.abandon_owner(owner)
                    log_message("owner_abandoned", owner=owner, accepted=answer.is_ok())
            await asyncio.sleep(PERIOD_S)
