"""Task of the membership inside the failure domain and of the digests between domains."""

import random
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from eliot import log_message

from laburnumrock.daemon._due_timer import DueTimer
from laburnumrock.membership import (
    Ack,
    DomainDigest,
    FactsReceived,
    MemberChanged,
    MemberTable,
    Ping,
    PingRequest,
)
from laburnumrock.messages import Effect, Send
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

DIGEST_PERIOD_S = 1.0
MAX_DIGESTS = 2
"""Digests per period; with more failure domains they take turns, so that the cost stays fixed."""
DIGEST_EXPIRY_S = 10.0
MS_PER_S = 1_000

FactsSource = Callable[[], dict[str, Any]]
FactsHandler = Callable[[str, dict[str, Any]], None]
ReportSource = Callable[[], list[Any]]
DigestHandler = Callable[[str, DomainDigest], None]


@dataclass(frozen=True, slots=True)
class _Received:
    digest: DomainDigest
    received_s: float


class MembershipTask:
    """Runs the member table of one instance and exchanges digests with other failure domains.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Links to the other instances.

    Attributes
    ----------
    facts_sources, facts_handlers : list of callable
        Provide and receive the plain data on probes, such as the declarations revision.
    find_coordinator : callable
        Returns the coordinator of the own failure domain, for digests.
    report_sources, digest_handlers : list of callable
        Provide the reports of digests, and receive the digests of other domains.
    """

    def __init__(self, settings: InstanceSettings, network: PeerNetwork) -> None:
        self.settings = settings
        self.network = network
        incarnation = int(time.time() * MS_PER_S)
        self.table = MemberTable(
            settings.instance_id,
            [peer.instance_id for peer in settings.list_domain_peers(settings.failure_domain)],
            settings.timing,
            random.Random(f"{settings.seed}/{settings.instance_id}/{incarnation}"),
            incarnation,
        )
        self.facts_sources: list[FactsSource] = []
        self.facts_handlers: list[FactsHandler] = []
        self.report_sources: list[ReportSource] = []
        self.digest_handlers: list[DigestHandler] = []
        self.find_coordinator: Callable[[], str | None] = lambda: None
        self.digests: dict[str, _Received] = {}
        self.other_domains = sorted(
            {peer.failure_domain for peer in settings.peers} - {settings.failure_domain}
        )
        self.digest_turn = self._own_position()
        self.next_domain = self.digest_turn
        self.next_digest_s = 0.0
        self.timer = DueTimer(self._tick, self._find_due_s)

    async def start(self) -> None:
        """Answer probes and start to probe."""
        for message_type in (Ping, PingRequest, Ack):
            self.network.handle(message_type, self._receive)
        self.network.handle(DomainDigest, self._receive_digest)
        self.timer.start()

    async def stop(self) -> None:
        """Announce the planned stop and end."""
        self._carry_out(self.table.leave())
        self.timer.stop()

    def live_members(self, failure_domain: str) -> list[str]:
        """Return the instances of a failure domain that are probably live.

        For another domain this is its last digest, or all configured instances without a recent
        one.
        """
        if failure_domain == self.settings.failure_domain:
            return self.table.live_members()
        received = self.digests.get(failure_domain)
        if received is None or time.monotonic() - received.received_s > DIGEST_EXPIRY_S:
            return [peer.instance_id for peer in self.settings.list_domain_peers(failure_domain)]
        return list(received.digest.live)

    def _find_due_s(self) -> float:
        return min(self.table.next_tick_s(), self.next_digest_s)

    def _tick(self) -> None:
        now_s = time.monotonic()
        self._update_facts()
        self._carry_out(self.table.tick(now_s))
        if now_s >= self.next_digest_s:
            self.next_digest_s = now_s + DIGEST_PERIOD_S
            self._send_digests()

    def _update_facts(self) -> None:
        self.table.facts = {
            key: value for source in self.facts_sources for key, value in source().items()
        }

    def _send_digests(self) -> None:
        """Send one digest to one instance of each of the next other domains.

        Instances of a domain start at different positions and move on together, so that their
        digests reach different instances of the other domain.
        """
        self.digest_turn += 1
        reports = [report for source in self.report_sources for report in source()]
        digest = DomainDigest(
            self.settings.failure_domain,
            self.table.version,
            self.table.live_members(),
            reports,
            self.find_coordinator(),
        )
        for _ in range(min(MAX_DIGESTS, len(self.other_domains))):
            domain = self.other_domains[self.next_domain % len(self.other_domains)]
            self.next_domain += 1
            targets = self.live_members(domain)
            if targets:
                self.network.send(targets[self.digest_turn % len(targets)], digest)

    def _receive(self, sender: str, message: object) -> None:
        self._update_facts()
        self._carry_out(self.table.receive(sender, message, time.monotonic()))
        self.timer.update()

    def _receive_digest(self, sender: str, message: DomainDigest) -> None:
        peer = self.network.peers.get(sender)
        if peer is None or peer.failure_domain != message.failure_domain:
            return
        self.digests[message.failure_domain] = _Received(message, time.monotonic())
        for handler in self.digest_handlers:
            handler(sender, message)

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(effect.destination, effect.message)
            elif isinstance(effect, FactsReceived):
                for handler in self.facts_handlers:
                    handler(effect.instance_id, effect.facts)
            elif isinstance(effect, MemberChanged):
                log_message("member_changed", member=effect.instance_id, state=effect.state.value)

    def _own_position(self) -> int:
        names = [
            peer.instance_id
            for peer in self.settings.list_domain_peers(self.settings.failure_domain)
        ]
        return names.index(self.settings.instance_id)
