"""Forming of a new log by identities that belong to none.

Notes
-----
The first instance of the settings forms the log, and only when all first voters answered with
identities that belong to no log. An instance whose folder was lost therefore never forms a second
log while any other first voter still has the first one. It waits until it is added.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumrock.replication._messages import IdentityAnswer, Members

if TYPE_CHECKING:
    from laburnumrock.settings import TimingSettings

QUERY_INTERVAL_HEARTBEATS = 2
# An instance that may be added later only makes its identity known.
SPARE_QUERY_INTERVAL_HEARTBEATS = 20


class Bootstrap:
    """Identities of the first voters.

    Parameters
    ----------
    instance_id, voter_id : str
        This instance and its identity.
    initial_voters : list of str
        Instances that form the log at first start.
    timing : TimingSettings
        Interval of the queries.
    may_bootstrap : bool
        Whether this instance may form a new log.
    """

    def __init__(
        self,
        instance_id: str,
        voter_id: str,
        initial_voters: list[str],
        timing: TimingSettings,
        may_bootstrap: bool = True,
    ) -> None:
        self.may_bootstrap = may_bootstrap
        self.instance_id = instance_id
        self.voter_id = voter_id
        self.initial_voters = initial_voters
        self.timing = timing
        self.identities: dict[str, str] = {instance_id: voter_id}
        self.heard_s: dict[str, float] = {}
        self.fresh: set[str] = {instance_id}
        self.query_due_s = float("-inf")

    def note_identity(self, instance_id: str, voter_id: str, has_log: bool) -> None:
        """Record the identity that an instance reported."""
        self.identities[instance_id] = voter_id
        if has_log:
            self.fresh.discard(instance_id)
        else:
            self.fresh.add(instance_id)

    def note_outsider(self, instance_id: str, voter_id: str, now_s: float) -> None:
        """Record that an identity that is no member asked for something."""
        self.identities[instance_id] = voter_id
        self.heard_s[instance_id] = now_s

    def queries_due(self, now_s: float) -> list[str]:
        """Return the instances to ask now."""
        if now_s < self.query_due_s:
            return []
        heartbeats = SPARE_QUERY_INTERVAL_HEARTBEATS
        if self.instance_id in self.initial_voters:
            heartbeats = QUERY_INTERVAL_HEARTBEATS
        self.query_due_s = now_s + heartbeats * self.timing.heartbeat_s
        self.fresh = {self.instance_id}
        others = [name for name in self.initial_voters if name != self.instance_id]
        if not others and self.initial_voters:
            return [self.instance_id]
        return others

    def form_members(self, answer: IdentityAnswer) -> Members | None:
        """Return the first members of the log, if they are now known.

        Parameters
        ----------
        answer : IdentityAnswer
            Answer that was just received.
        """
        first = answer.first_members
        if first is not None:
            return first if self.voter_id in first.voters else None
        is_founder = self.initial_voters[:1] == [self.instance_id]
        if (
            not self.may_bootstrap
            or not is_founder
            or not self.fresh.issuperset(self.initial_voters)
        ):
            return None
        return Members({self.identities[name]: name for name in self.initial_voters})
