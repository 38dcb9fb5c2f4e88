"""Bootstrap of a new Raft group.

Notes
-----
Only the first instance listed in the settings bootstraps the group, and only after all initial
voters have reported identities that belong to no group. So an instance that lost its data folder
never creates a second group while another initial voter still belongs to the first one. It waits
until it is added as a learner.

An instance that restarts during the first start of the whole system has settings that deny the
first start. It may bootstrap the group if all other initial voters have run since the first start
without a group: then no command was ever committed, as that takes one of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from laburnumrock.replication._messages import IdentityAnswer, Members

if TYPE_CHECKING:
    from laburnumrock.settings import TimingSettings

QUERY_INTERVAL_HEARTBEATS = 2
# A spare instance, which is no initial voter, only announces its identity so that it can be added.
SPARE_QUERY_INTERVAL_HEARTBEATS = 20


class Bootstrap:
    """Collects the identities of the initial voters and decides when to bootstrap the group.

    Parameters
    ----------
    instance_id, voter_id : str
        Id of this instance and its Raft identity.
    initial_voters : list of str
        Instances that form the group at the first start.
    timing : TimingSettings
        Sets the interval between identity queries.
    may_bootstrap : bool
        Whether this instance may create a new group.
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
        self.last_seen_s: dict[str, float] = {}
        self.unbootstrapped: set[str] = {instance_id}
        self.first_starts: set[str] = set()
        self.next_query_s = float("-inf")
        self.queried: set[str] = set()

    def record_identity(self, instance_id: str, voter_id: str, has_log: bool) -> None:
        """Record the identity that an instance reported and whether it belongs to a group."""
        self.identities[instance_id] = voter_id
        if has_log:
            self.unbootstrapped.discard(instance_id)
        else:
            self.unbootstrapped.add(instance_id)

    def record_first_start(self, instance_id: str, is_first_start: bool) -> None:
        """Record whether an instance runs since the first start and belongs to no group."""
        if is_first_start:
            self.first_starts.add(instance_id)
        else:
            self.first_starts.discard(instance_id)

    def record_non_member(self, instance_id: str, voter_id: str, now_s: float) -> None:
        """Record that an identity that is not a member sent a message."""
        self.identities[instance_id] = voter_id
        self.last_seen_s[instance_id] = now_s

    def instances_to_query(self, now_s: float) -> list[str]:
        """Return the instances to send an identity query to now."""
        if now_s < self.next_query_s:
            return []
        heartbeats = SPARE_QUERY_INTERVAL_HEARTBEATS
        if self.instance_id in self.initial_voters:
            heartbeats = QUERY_INTERVAL_HEARTBEATS
        self.next_query_s = now_s + heartbeats * self.timing.heartbeat_s
        self.unbootstrapped = {self.instance_id}
        self.first_starts = set()
        others = [name for name in self.initial_voters if name != self.instance_id]
        self.queried = {self.instance_id, *others}
        if not others and self.initial_voters:
            return [self.instance_id]
        return others

    def claim_query(self, instance_id: str | None) -> bool:
        """Return whether to send a query to an instance that has not got one in this interval."""
        if instance_id is None or instance_id in self.queried:
            return False
        self.queried.add(instance_id)
        return True

    def find_initial_members(self, answer: IdentityAnswer) -> Members | None:
        """Return the initial membership of the group, if it is known now.

        Parameters
        ----------
        answer : IdentityAnswer
            Identity answer that was just received.
        """
        first = answer.first_members
        if first is not None:
            return first if self.voter_id in first.voters else None
        is_bootstrapper = self.initial_voters[:1] == [self.instance_id]
        if (
            not (self.may_bootstrap or self._is_first_start_of_others())
            or not is_bootstrapper
            or not self.unbootstrapped.issuperset(self.initial_voters)
        ):
            return None
        return Members({self.identities[name]: name for name in self.initial_voters})

    def _is_first_start_of_others(self) -> bool:
        others = set(self.initial_voters) - {self.instance_id}
        return bool(others) and others <= self.first_starts
