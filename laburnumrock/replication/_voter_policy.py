"""Automatic membership changes of the Raft group as instances join and fail permanently."""

from dataclasses import dataclass

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
    """

    def __init__(self, tolerated_losses: int = 1) -> None:
        self.tolerated_losses = tolerated_losses

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
        min_voters = 2 * self.tolerated_losses + 1
        if unresponsive and len(voters) > min_voters and len(unresponsive) < len(voters) / 2:
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
