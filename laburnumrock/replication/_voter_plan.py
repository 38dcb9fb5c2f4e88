"""Members of the log that change by themselves as nodes come and go for good."""

from dataclasses import dataclass

from laburnumrock.messages import Effect
from laburnumrock.replication._node import RaftNode
from laburnumrock.replication._types import Role

MAX_VOTERS = 5
"""Bears the loss of two voters at once; more voters only make commits slower."""
SILENT_S = 1.5
"""A voter that did not answer for this long is replaced if a spare one has caught up."""


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


class VoterPlan:
    """Finds the next change of the members.

    Parameters
    ----------
    instance_id : str
        This instance.

    Notes
    -----
    A voter is removed only when more than three remain, so that a lost one goes once its
    replacement has caught up, and never before.
    """

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id

    def next_change(self, node: RaftNode, now_s: float) -> VoterChange | None:
        """Return the change to start now, if any.

        Parameters
        ----------
        node : RaftNode
            Node of the leader; others change nothing.
        now_s : float
            Monotonic clock in seconds.
        """
        if node.role is not Role.LEADER or node.leadership is None:
            return None
        silent = self._find_silent(node, now_s)
        voters = node.members.voters
        if silent and len(voters) > 3 and len(silent) < len(voters) / 2:
            return VoterChange("remove", voters[silent[0]])
        members = node.members.everyone
        for instance_id, voter_id in sorted(node.bootstrap.identities.items()):
            if voter_id in members or instance_id == self.instance_id:
                continue
            replaces = instance_id in voters.values()
            if replaces or len(voters) - len(silent) < MAX_VOTERS:
                return VoterChange("add", instance_id)
        return None

    def _find_silent(self, node: RaftNode, now_s: float) -> list[str]:
        progress = node.leadership.progress
        return [
            voter_id
            for voter_id in sorted(node.members.voters)
            if voter_id in progress and now_s - progress[voter_id].acked_s > SILENT_S
        ]
