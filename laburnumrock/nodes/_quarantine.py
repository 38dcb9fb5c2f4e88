"""Replication of the quarantined requests and prompt parts by the cores."""

import asyncio
import time

from laburnumrock.daemon import LogTask
from laburnumrock.metrics import NodeMetrics
from laburnumrock.nodes._decision_log import log_change
from laburnumrock.quarantine import CrashedRequest, CrashQuarantine
from laburnumrock.routing import SetQuarantine

COMMIT_TIMEOUT_S = 2.5
"""Time limit of a proposal; housekeeping makes the next one."""


class QuarantineReplicator:
    """Commits what a leader has quarantined, and applies what another one has committed.

    A leader refuses the parts that it has found before they are committed. The replicated state
    reaches entry nodes that place requests alone, and later leaders.

    Parameters
    ----------
    quarantine : CrashQuarantine
        Quarantine of the dispatcher of this core.
    log : LogTask
        The replicated log.
    metrics : NodeMetrics
        Counts commits and quarantined groups.
    """

    def __init__(self, quarantine: CrashQuarantine, log: LogTask, metrics: NodeMetrics) -> None:
        self.quarantine = quarantine
        self.log = log
        self.metrics = metrics
        self.metrics.quarantined.set_function(lambda: len(quarantine.groups))
        self.applied_groups: list[list[str]] = []
        self.proposal: asyncio.Task | None = None
        self.sequence = 0

    def apply(self, groups: list[list[str]], is_leading: bool) -> bool:
        """Apply the replicated groups, and return whether they changed."""
        if groups == self.applied_groups:
            return False
        self.applied_groups = groups
        if not is_leading:
            self.quarantine.restore(groups, time.monotonic())
        return True

    def adopt(self, reports: list[CrashedRequest]) -> None:
        """Apply what an entry node that had no leader, or another one, knows of requests."""
        now_s = time.monotonic()
        if any([self.quarantine.merge(report, now_s) for report in reports]):
            self.propose_changes()

    def propose_changes(self) -> None:
        """Propose the groups of this core, which leads, if they differ from the replicated ones."""
        is_proposing = self.proposal is not None and not self.proposal.done()
        groups = self.quarantine.list_groups()
        if not is_proposing and groups != self.log.state.parts["routes"].current.quarantined:
            self.proposal = asyncio.create_task(self._propose(groups))

    async def _propose(self, groups: list[list[str]]) -> None:
        self.sequence += 1
        command = SetQuarantine(groups, self.log.term, self.sequence)
        with self.metrics.commits.labels("quarantine").time():
            answer = await self.log.propose(command, COMMIT_TIMEOUT_S)
        log_change("quarantine", str(groups), answer)
