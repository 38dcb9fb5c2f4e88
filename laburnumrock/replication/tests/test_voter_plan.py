"""Members of the log that change by themselves."""

import random

from laburnumrock.messages import Send
from laburnumrock.replication import Proposal, RaftNode, Role, StoredState, VoterPolicy
from laburnumrock.settings import TimingSettings

STEP_S = 0.02
FIRST = ["a", "b", "c"]


class Cluster:
    """Nodes that exchange messages without loss, and a plan that runs on the leader."""

    def __init__(self, tolerated_losses: int = 1) -> None:
        self.nodes: dict[str, RaftNode] = {}
        self.down: set[str] = set()
        self.now_s = 0.0
        self.plan = VoterPolicy(tolerated_losses)
        for name in FIRST:
            self.start(name, f"{name}1", may_bootstrap=True)

    def start(self, name: str, identity: str, may_bootstrap: bool = False) -> None:
        source = random.Random(f"{name}{identity}")
        state = StoredState(identity)
        self.nodes[name] = RaftNode(name, FIRST, TimingSettings(), state, source, may_bootstrap)
        self.down.discard(name)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            for name, node in list(self.nodes.items()):
                if name not in self.down:
                    self._deliver(name, node.tick(self.now_s))
            leader = self.leader()
            change = self.plan.next_change(leader, self.now_s) if leader else None
            if change is not None:
                self._deliver(leader.instance_id, change.start(leader, self.now_s) or [])

    def _deliver(self, sender: str, effects: list) -> None:
        for effect in effects:
            if isinstance(effect, Send) and self._is_up(effect.destination):
                node = self.nodes[effect.destination]
                answers = node.receive(sender, effect.message, self.now_s)
                self._deliver(effect.destination, answers)

    def _is_up(self, name: str) -> bool:
        return name in self.nodes and name not in self.down

    def leader(self) -> RaftNode | None:
        leading = [
            node
            for name, node in self.nodes.items()
            if node.role is Role.LEADER and name not in self.down
        ]
        return max(leading, key=lambda node: node.term, default=None)

    def propose(self) -> int:
        leader = self.leader()
        proposal = leader.propose(b"x", self.now_s)
        assert isinstance(proposal, Proposal)
        self._deliver(leader.instance_id, proposal.effects)
        return proposal.index

    def voters(self) -> list[str]:
        return sorted(self.leader().members.voters.values())

    def follower(self) -> str:
        leader = self.leader().instance_id
        return next(name for name in self.voters() if name != leader and name not in self.down)


class TestVoterPlan:
    def test_lost_voter_is_replaced(self):
        """Guards against a log that stays one loss from its end after a core was replaced."""
        cluster = Cluster()
        cluster.run(3.0)
        lost = cluster.follower()
        cluster.down.add(lost)
        cluster.run(3.0)
        assert lost in cluster.voters()
        cluster.start("d", "d1")
        cluster.run(6.0)
        assert cluster.voters() == sorted({*FIRST, "d"} - {lost})

    def test_second_loss_after_the_replacement(self):
        """Guards against a replacement that counts before it has caught up."""
        cluster = Cluster()
        cluster.run(3.0)
        first = cluster.follower()
        cluster.down.add(first)
        cluster.start("d", "d1")
        cluster.run(6.0)
        second = next(name for name in cluster.voters() if name != "d")
        cluster.down.add(second)
        cluster.run(4.0)
        index = cluster.propose()
        cluster.run(0.5)
        assert cluster.leader().commit_index >= index

    def test_wiped_voter_votes_under_a_new_identity(self):
        """Guards against a voter that lost its disk and votes as before."""
        cluster = Cluster()
        cluster.run(3.0)
        wiped = cluster.follower()
        cluster.start(wiped, f"{wiped}2")
        cluster.run(6.0)
        voters = cluster.leader().members.voters
        assert voters.get(f"{wiped}2") == wiped
        assert f"{wiped}1" not in voters

    def test_spare_core_joins(self):
        """Guards against cores beyond the first three that hold no copy."""
        cluster = Cluster()
        cluster.run(3.0)
        for name in "defgh":
            cluster.start(name, f"{name}1")
        cluster.run(12.0)
        assert cluster.voters() == list("abcdefgh")

    def test_removed_voter_comes_back(self):
        """Guards against a voter that was cut off, removed, and stays outside when it returns."""
        cluster = Cluster()
        cluster.run(3.0)
        cluster.start("d", "d1")
        cluster.run(5.0)
        cut = cluster.follower()
        cluster.down.add(cut)
        cluster.run(4.0)
        assert cut not in cluster.voters()
        cluster.down.discard(cut)
        cluster.run(6.0)
        assert cut in cluster.voters()

    def test_disks_that_may_be_lost_leave_a_majority(self):
        """Guards against a log that ends when voters are cut off and others lose their disks."""
        cluster = Cluster(tolerated_losses=2)
        cluster.run(3.0)
        for name in "def":
            cluster.start(name, f"{name}1")
        cluster.run(12.0)
        assert cluster.voters() == list("abcdef")
        cut = [name for name in "abcdef" if name != cluster.leader().instance_id][:2]
        cluster.down.update(cut)
        cluster.run(4.0)
        index = cluster.propose()
        cluster.run(0.5)
        assert cluster.leader().commit_index >= index
        alive = [name for name in "abcdef" if name not in cut]
        for name in alive[:2]:
            cluster.start(name, f"{name}2")
        cluster.down.difference_update(cut)
        cluster.run(12.0)
        assert cluster.leader() is not None
        assert cluster.leader().log.last_index >= index

    def test_no_second_log_without_the_first_start(self):
        """Guards against wiped cores that form an empty log of their own."""
        cluster = Cluster()
        cluster.run(3.0)
        for name in FIRST:
            cluster.start(name, f"{name}2", may_bootstrap=False)
        cluster.run(5.0)
        assert cluster.leader() is None
