"""Members of the log that change by themselves as nodes come and go for good."""

from dataclasses import dataclass

from laburnumrock.messages import Effect
from laburnumrock.replication._node import RaftNode
from laburnumrock.replication._types import Role

MAX_VOTERS = 9
"""More voters make commits slower; the largest deployment has 8 cores."""
SILENT_S = 1.5
"""A member that did not answer for this long is removed while enough others remain."""
OUTSIDER_S = 3.0
"""An outsider counts as present for this long; spare instances ask every 2 s."""


@dataclass(frozen=True, slots=True)
class VoterChange:
    """Next change of the members.

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
        """Start the change on the leader; None if it cannot start now."""
        if self.action == "add":
            return node.add_learner(self.instance_id, now_s)
        return node.remove_member(self.instance_id, now_s)


class VoterPolicy:
    """Finds the next change of the members.

    Parameters
    ----------
    tolerated_losses : int, >= 1
        Disks that may be lost at once.

    Notes
    -----
    A lost voter is removed only while enough others remain to lose that many disks at once, so on
    the smallest deployments once its replacement has caught up. With fewer, the voters that are
    left with their disks would be no majority of the members, for good. A voter that was removed
    while it was cut off comes back as a learner when it is heard again.
    """

    def __init__(self, tolerated_losses: int = 1) -> None:
        self.tolerated_losses = tolerated_losses

    def next_change(self, node: RaftNode, now_s: float) -> VoterChange | None:
        """Return the change to start now, if any.

        Parameters
        ----------
        node : RaftNode
            Node of the leader; others change nothing.
        now_s : float
            Monotonic clock in seconds.
        """
        if node.role is not Role.LEADER or node.leader_state is None:
            return None
        members = node.members
        silent = self._find_silent(node, now_s)
        for voter_id in silent:
            if voter_id in members.learners:
                return VoterChange("remove", members.learners[voter_id])
        voters = members.voters
        least = 2 * self.tolerated_losses + 1
        if silent and len(voters) > least and len(silent) < len(voters) / 2:
            return VoterChange("remove", voters[silent[0]])
        if members.learners or len(voters) - len(silent) >= MAX_VOTERS:
            return None
        bootstrap = node.bootstrap
        for instance_id, heard_s in sorted(bootstrap.heard_s.items()):
            outside = bootstrap.identities[instance_id] not in members.voters_and_learners
            if outside and now_s - heard_s <= OUTSIDER_S:
                return VoterChange("add", instance_id)
        return None

    def _find_silent(self, node: RaftNode, now_s: float) -> list[str]:
        progress = node.leader_state.progress
        return [
            voter_id
            for voter_id in sorted(node.members.voters_and_learners)
            if voter_id in progress and now_s - progress[voter_id].acked_s > SILENT_S
        ]
