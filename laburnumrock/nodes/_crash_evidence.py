"""Requests under which upstreams crashed, as an entry node learns and tells of them."""

import random
import time

from eliot import log_message

from laburnumrock.dispatch import SendEnded, SendOutcome, record_parts
from laburnumrock.nodes._messages import CrashedRequests
from laburnumrock.quarantine import CrashedRequest, CrashQuarantine, is_request
from laburnumrock.transport import PeerNetwork

MAX_TOLD_ENTRIES = 16
"""Maximum number of entry nodes that a node tells at a time; with more of them, those that learn
something new pass it on."""


class CrashEvidence:
    """Keeps the evidence of an entry node, and shares it with the others while there is no leader.

    Parameters
    ----------
    quarantine : CrashQuarantine
        Quarantine of this node.
    network : PeerNetwork
        Links to the other entry nodes.
    rng : random.Random
        Chooses the entry nodes that are told if there are many.

    Notes
    -----
    The leader learns of all crashes from the ends of sends. An entry node keeps those of its own
    requests as well, so that a new leader does not have to see as many again.
    """

    def __init__(
        self, quarantine: CrashQuarantine, network: PeerNetwork, rng: random.Random
    ) -> None:
        self.quarantine = quarantine
        self.network = network
        self.rng = rng
        self.entries: list[str] = []

    def record(self, message: SendEnded) -> None:
        """Record the end of a send that the leader placed."""
        # Parts also occur in requests of other nodes, whose successes this one does not see.
        record_parts(self.quarantine, message, time.monotonic(), is_request)

    def tell_others(self, message: SendEnded) -> None:
        """Tell other entry nodes of the crash in which a send ended that no leader placed."""
        if message.outcome is SendOutcome.CRASHED:
            known = self.quarantine.list_crashed_requests(time.monotonic())
            self._tell([report for report in known if report.name in message.parts])

    def receive(self, sender: str, message: CrashedRequests) -> None:
        """Apply what another entry node tells, and pass on what is new if there are many nodes."""
        now_s = time.monotonic()
        news = [report for report in message.requests if self.quarantine.merge(report, now_s)]
        if not news:
            return
        log_message("crashes_told", peer=sender, requests=[report.name for report in news])
        if len(self.entries) > MAX_TOLD_ENTRIES:
            self._tell(news)

    def list_for_leader(self) -> list[CrashedRequest]:
        """Return what a leader that has not received the ends of all sends should know."""
        return self.quarantine.list_crashed_requests(time.monotonic())

    def _tell(self, reports: list[CrashedRequest]) -> None:
        others = [name for name in self.entries if name != self.network.settings.instance_id]
        told = self.rng.sample(others, min(len(others), MAX_TOLD_ENTRIES))
        if reports:
            self.network.broadcast(told, CrashedRequests(reports))
