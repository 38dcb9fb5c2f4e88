"""Automatic membership changes of the Raft group as instances join and fail permanently."""

from dataclasses import dataclass
from enum import StrEnum

from laburnumrock.messages import Effect
from laburnumrock.replication._node import RaftNode
from laburnumrock.replication._types import Role

MAX_VOTERS = 9
"""More voters slow down commits; the largest deployment has 8 core instances."""
MEMBER_TIMEOUT_S = 1.5
"""A member that did not answer for this long is removed if enough others remain."""
NON_MEMBER_EXPIRY_S = 3.0
"""A non-member that sent a message counts as present for this long; spare instances send an
identity query every 2 s."""


@dataclass(frozen=True, slots=True)
class VoterChange:
    """Next membership change.

    Parameters
    ----------
    action : str
        ``add`` or ``remove``.
    instance_id : str
        Instance to add or remove.
    """

    action: str
    instance_id: str

    def start(self, node: RaftNode, now_s: float) -> list[Effect] | None:
        """Start the change on the leader; returns None if it cannot start now."""
        if self.action == "add":
            return node.add_learner(self.instance_id, now_s)
        return node.remove_member(self.instance_id, now_s)


class Departure(StrEnum):
    """What to do about a voter that is about to stop."""

    REMOVE = "remove"
    WAIT = "wait"
    DONE = "done"


class VoterPolicy:
    """Decides on the next membership change.

    Parameters
    ----------
    tolerated_losses : int, >= 1
        Number of disks that may be lost at the same time.

    Notes
    -----
    A failed voter is removed only if enough voters remain to tolerate the loss of
    `tolerated_losses` disks at the same time. The smallest deployments reach that number only once
    a replacement has caught up. With fewer voters, those that keep their disks would not be a
    majority of the members, and the group would lose its quorum permanently. A voter that was
    removed during a network partition rejoins as a learner when it sends a message again.

    A voter that stops as planned is removed before it exits, under the same condition. Four voters
    of which one has stopped need all others for a commit, so they could not bear the loss of a disk
    until the stopped one has been unresponsive for `MEMBER_TIMEOUT_S`.
    """

    def __init__(self, tolerated_losses: int = 1) -> None:
        self.tolerated_losses = tolerated_losses

    @property
    def min_voters(self) -> int:
        """Smallest group that keeps a quorum when the tolerated disks are lost."""
        return 2 * self.tolerated_losses + 1

    def may_depart(self, node: RaftNode) -> bool:
        """Return whether a node that is about to stop should ask the leader for its removal."""
        members = node.members
        if node.voter_id not in members.voters:
            return False
        return len(members.voters) > self.min_voters or bool(members.learners)

    def plan_departure(self, node: RaftNode, voter_id: str, now_s: float) -> Departure:
        """Return what to do about a voter that is about to stop.

        Parameters
        ----------
        node : RaftNode
            Node of this instance; unless it leads, the voter has to wait.
        voter_id : str
            Identity of the voter.
        now_s : float
            Monotonic clock in seconds.

        Returns
        -------
        Departure
            ``remove`` to start its removal and ask again, ``wait`` to ask again, and ``done`` once
            the voter may stop: its removal is committed, or the group cannot do without it.
        """
        members = node.members
        if node.role is not Role.LEADER or node.commit_index < node.log.members_index:
            return Departure.WAIT
        if voter_id not in members.voters:
            return Departure.DONE
        unresponsive = self._find_unresponsive(node, now_s)
        remaining = members.voters.keys() - {voter_id}
        if len(remaining) < self.min_voters:
            is_growing = bool(members.learners.keys() - set(unresponsive))
            return Departure.WAIT if is_growing else Departure.DONE
        if len(remaining - set(unresponsive)) <= len(remaining) / 2:
            # The remaining voters could not commit the removal.
            return Departure.WAIT
        return Departure.REMOVE

    def next_change(self, node: RaftNode, now_s: float) -> VoterChange | None:
        """Return the membership change to start now, if any.

        Parameters
        ----------
        node : RaftNode
            Node of this instance; only a leader gets a change.
        now_s : float
            Monotonic clock in seconds.
        """
        if node.role is not Role.LEADER or node.leader_state is None:
            return None
        members = node.members
        unresponsive = self._find_unresponsive(node, now_s)
        for voter_id in unresponsive:
            if voter_id in members.learners:
                return VoterChange("remove", members.learners[voter_id])
        voters = members.voters
        is_spare = len(voters) > self.min_voters
        if unresponsive and is_spare and len(unresponsive) < len(voters) / 2:
            return VoterChange("remove", voters[unresponsive[0]])
        if members.learners or len(voters) - len(unresponsive) >= MAX_VOTERS:
            return None
        bootstrap = node.bootstrap
        for instance_id, last_seen_s in sorted(bootstrap.last_seen_s.items()):
            is_non_member = bootstrap.identities[instance_id] not in members.voters_and_learners
            if is_non_member and now_s - last_seen_s <= NON_MEMBER_EXPIRY_S:
                return VoterChange("add", instance_id)
        return None

    def _find_unresponsive(self, node: RaftNode, now_s: float) -> list[str]:
        progress = node.leader_state.progress
        return [
            voter_id
            for voter_id in sorted(node.members.voters_and_learners)
            if voter_id in progress and now_s - progress[voter_id].acked_s > MEMBER_TIMEOUT_S
        ]
