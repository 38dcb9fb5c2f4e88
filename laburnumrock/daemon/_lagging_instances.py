"""Finds the instances that have not applied a revision of the declarations.

Notes
-----
One instance of each failure domain is queried, which in turn queries the others of its domain. The
cost per instance grows with the size of its own domain and arises only on an operator's request.
"""

import asyncio
import time
from collections.abc import Callable

from laburnumrock.declarations import (
    DeclarationView,
    InForceAnswer,
    InForceQuery,
    RevisionTracker,
)
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

INSTANCE_TIMEOUT_S = 0.5
DOMAIN_TIMEOUT_S = 1.0
# Number of instances of a domain that are queried in turn before the whole domain is reported as
# lagging.
DOMAIN_ATTEMPTS = 3


class LaggingInstanceFinder:
    """Finds the instances that have not applied a revision.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Connections to the other instances.
    view : DeclarationView
        Declarations applied on this instance.
    clock : callable
        Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network: PeerNetwork,
        view: DeclarationView,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.network = network
        self.view = view
        self.clock = clock
        self.tracker = RevisionTracker()

    def register_handlers(self) -> None:
        """Register the handler for revision queries of other instances."""
        self.network.handle(InForceQuery, self._answer)

    def record(self, instance_id: str, revision: int) -> None:
        """Record the revision that an instance reported in another message."""
        self.tracker.record(instance_id, revision, self.clock())

    async def find_lagging_instances(self, revision: int) -> list[str]:
        """Return the lagging instances of all failure domains, sorted by name."""
        domains = sorted({peer.failure_domain for peer in self.settings.peers})
        found = await asyncio.gather(
            *(self._find_in_domain(domain, revision) for domain in domains)
        )
        return sorted(name for names in found for name in names)

    async def _find_in_domain(self, domain: str, revision: int) -> list[str]:
        if domain == self.settings.failure_domain:
            return await self._find_in_own_domain(revision)
        names = [peer.instance_id for peer in self.settings.list_domain_peers(domain)]
        query = InForceQuery(revision, whole_domain=True)
        for name in names[:DOMAIN_ATTEMPTS]:
            answer = await self.network.call(name, query, DOMAIN_TIMEOUT_S)
            if answer.is_ok():
                return answer.unwrap().lagging
        return names

    async def _find_in_own_domain(self, revision: int) -> list[str]:
        own_id = self.settings.instance_id
        self.record(own_id, self.view.revision)
        names = [
            peer.instance_id
            for peer in self.settings.list_domain_peers(self.settings.failure_domain)
        ]
        queried = self.tracker.find_lagging_instances(revision, names, self.clock())
        await asyncio.gather(*(self._query(name, revision) for name in queried if name != own_id))
        return self.tracker.find_lagging_instances(revision, names, self.clock())

    async def _query(self, name: str, revision: int) -> None:
        answer = await self.network.call(name, InForceQuery(revision), INSTANCE_TIMEOUT_S)
        if answer.is_ok():
            self.record(name, answer.unwrap().revision)

    async def _answer(self, sender: str, query: InForceQuery) -> InForceAnswer:
        if not query.whole_domain:
            return InForceAnswer(self.view.revision)
        lagging = await self._find_in_own_domain(query.revision)
        return InForceAnswer(self.view.revision, lagging)
