"""Tests of the automatic membership changes."""

import random

import pytest

from laburnumrock.messages import Send
from laburnumrock.replication import (
    Departure,
    IdentityQuery,
    Members,
    Proposal,
    RaftNode,
    Role,
    Snapshot,
    StoredState,
    TransferLeadership,
    VoterChange,
    VoterPolicy,
)
from laburnumrock.replication._voter_policy import MEMBER_TIMEOUT_S
from laburnumrock.settings import TimingSettings

STEP_S = 0.02
FIRST = ["a", "b", "c"]


class Cluster:
    """Nodes connected without message loss; the leader applies the changes of a `VoterPolicy`."""

    def __init__(self, tolerated_losses: int = 1) -> None:
        self.nodes: dict[str, RaftNode] = {}
        self.down: set[str] = set()
        self.now_s = 0.0
        self.policy = VoterPolicy(tolerated_losses)
        for name in FIRST:
            self.start(name, f"{name}1", may_bootstrap=True)

    def start(self, name: str, identity: str, may_bootstrap: bool = False) -> None:
        rng = random.Random(f"{name}{identity}")
        state = StoredState(identity)
        self.nodes[name] = RaftNode(name, FIRST, TimingSettings(), state, rng, may_bootstrap)
        self.down.discard(name)

    def run(self, seconds: float) -> None:
        for _ in range(int(seconds / STEP_S)):
            self.now_s += STEP_S
            for name, node in list(self.nodes.items()):
                if name not in self.down:
                    self._deliver(name, node.tick(self.now_s))
            leader = self.leader()
            change = self.policy.next_change(leader, self.now_s) if leader else None
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

    def depart(self, *names: str, seconds: float = 2.0) -> None:
        """Let nodes that are about to stop ask for their removal; each is down once it is done."""
        for name in names:
            self.nodes[name].prepare_departure()
        waiting = set(names)
        ends_s = self.now_s + seconds
        while waiting and self.now_s < ends_s:
            self.run(2 * STEP_S)
            for name in sorted(waiting):
                leader = self.leader()
                identity = self.nodes[name].voter_id
                if leader is None:
                    continue
                step = self.policy.plan_departure(leader, identity, self.now_s)
                if step is Departure.DONE:
                    waiting.discard(name)
                    self.down.add(name)
                elif step is Departure.REMOVE:
                    change = VoterChange("remove", name)
                    self._deliver(leader.instance_id, change.start(leader, self.now_s) or [])
        assert not waiting

    def commits(self) -> bool:
        """Return whether a command is committed within two seconds."""
        if self.leader() is None:
            self.run(1.5)
        if self.leader() is None:
            return False
        index = self.propose()
        self.run(0.5)
        return self.leader() is not None and self.leader().commit_index >= index

    def voters(self) -> list[str]:
        return sorted(self.leader().members.voters.values())

    def follower(self) -> str:
        leader = self.leader().instance_id
        return next(name for name in self.voters() if name != leader and name not in self.down)


class TestVoterPolicy:
    def test_lost_voter_is_replaced(self):
        """Guards against a failed voter that is not replaced, so one more loss ends the quorum."""
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
        """Guards against a replacement that becomes a voter before its log has caught up."""
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

    @pytest.mark.parametrize("wipes_leader", [False, True])
    def test_lost_disk_while_a_replaced_voter_stops(self, wipes_leader):
        """Guards against a log that stops for good: the replaced voter is gone and no longer counts
        for the operator, another one loses its disk, and two of the four voters are left.
        """
        cluster = Cluster()
        cluster.run(3.0)
        cluster.start("d", "d1")
        cluster.run(2.0)
        assert cluster.voters() == [*FIRST, "d"]
        index = cluster.propose()
        leader = cluster.leader().instance_id
        wiped = leader if wipes_leader else next(name for name in FIRST if name != leader)
        replaced = next(name for name in FIRST if name not in (leader, wiped))
        cluster.down.update([replaced, wiped])
        cluster.run(1.0)
        cluster.start(wiped, f"{wiped}2")
        cluster.run(6.0)
        assert cluster.commits()
        assert cluster.leader().commit_index > index
        assert cluster.voters() == sorted({*FIRST, "d"} - {replaced})

    def test_removed_voter_finds_a_leader_that_it_does_not_know(self):
        """Guards against a core that is cut off during a replacement and never votes again."""
        cluster = Cluster()
        cluster.run(3.0)
        away = cluster.follower()
        cluster.down.add(away)
        cluster.start("d", "d1")
        cluster.run(6.0)
        assert away not in cluster.voters()
        leader = cluster.leader()
        message = TransferLeadership(leader.term, leader.voter_id, "d1")
        cluster._deliver(leader.instance_id, [Send("d", message)])
        cluster.run(1.0)
        assert cluster.leader().instance_id == "d"
        cluster.down.discard(away)
        cluster.run(4.0)
        assert cluster.leader().instance_id == "d"
        assert away in cluster.voters()

    def test_learner_without_a_leader_asks_to_join(self):
        """Guards against a learner that was removed while it was cut off and waits for good."""
        members = Members({f"{name}1": name for name in FIRST}, {"d1": "d"})
        stored = StoredState("d1", snapshot=Snapshot(5, 1, members))
        timing = TimingSettings()
        node = RaftNode("d", FIRST, timing, stored, random.Random(0), False)
        node.tick(0.0)
        sent = node.tick(10 * timing.election_max_s)
        asked = [effect.destination for effect in sent if isinstance(effect.message, IdentityQuery)]
        assert asked == FIRST

    def test_half_of_the_voters_elects_no_leader(self):
        """Guards against two leaders: without a lost disk, half of the voters is no quorum."""
        cluster = Cluster()
        cluster.run(3.0)
        cluster.start("d", "d1")
        cluster.run(2.0)
        cluster.down.update(cluster.voters()[:2])
        cluster.run(6.0)
        assert cluster.leader() is None

    def test_wiped_voter_votes_under_a_new_identity(self):
        """Guards against a voter that lost its disk and still votes under its old identity."""
        cluster = Cluster()
        cluster.run(3.0)
        wiped = cluster.follower()
        cluster.start(wiped, f"{wiped}2")
        cluster.run(6.0)
        voters = cluster.leader().members.voters
        assert voters.get(f"{wiped}2") == wiped
        assert f"{wiped}1" not in voters

    def test_spare_core_joins(self):
        """Guards against core instances beyond the initial three that never become voters."""
        cluster = Cluster()
        cluster.run(3.0)
        for name in "defgh":
            cluster.start(name, f"{name}1")
        cluster.run(12.0)
        assert cluster.voters() == list("abcdefgh")

    def test_removed_voter_rejoins(self):
        """Guards against a voter that was removed during a partition and never rejoins."""
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

    @pytest.mark.parametrize("spare", ["", "d", "de"])
    def test_full_disks_one_after_another(self, spare):
        """Guards against a quorum that is lost to removals while disks are full in turn."""
        cluster = Cluster()
        cluster.run(3.0)
        for name in spare:
            cluster.start(name, f"{name}1")
        cluster.run(8.0)
        names = sorted([*FIRST, *spare])
        assert cluster.voters() == names
        for full in [cluster.leader().instance_id, *names]:
            effects = cluster.nodes[full].suspend(cluster.now_s)
            cluster.down.add(full)
            cluster._deliver(full, effects)
            cluster.run(0.2)
            assert cluster.leader() is not None
            cluster.run(2.8)
            index = cluster.propose()
            cluster.run(0.2)
            assert cluster.leader().commit_index >= index
            cluster.nodes[full].resume(cluster.now_s)
            cluster.down.discard(full)
            cluster.run(0.4)
        cluster.run(8.0)
        assert cluster.voters() == names
        assert {node.commit_index for node in cluster.nodes.values()} == {
            cluster.leader().commit_index
        }

    def test_quorum_survives_the_tolerated_disk_losses(self):
        """Guards against a lost quorum when voters are partitioned and others lose their disks."""
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

    @pytest.mark.parametrize("leads", [True, False])
    def test_disk_lost_right_after_a_planned_departure(self, leads):
        """Guards against a stopped voter that still counts, so that one lost disk ends the log."""
        cluster = Cluster()
        cluster.run(3.0)
        cluster.start("d", "d1")
        cluster.run(6.0)
        assert cluster.voters() == list("abcd")
        leader = cluster.leader().instance_id
        cluster.depart(leader if leads else cluster.follower())
        assert len(cluster.voters() if cluster.leader() else "") in (0, 3)
        cluster.run(0.1)
        lost = cluster.follower()
        cluster.start(lost, f"{lost}2")
        assert cluster.commits()

    def test_all_replaced_voters_depart_at_once(self):
        """Guards against a quorum that is lost when all replaced voters stop at the same time."""
        cluster = Cluster()
        cluster.run(3.0)
        for name in "def":
            cluster.start(name, f"{name}1")
            cluster.run(6.0)
        assert cluster.voters() == list("abcdef")
        cluster.depart(*FIRST)
        assert cluster.commits()
        assert cluster.voters() == list("def")

    def test_departure_keeps_the_smallest_group(self):
        """Guards against a rolling restart that removes voters the group cannot do without."""
        cluster = Cluster()
        cluster.run(3.0)
        cluster.depart(cluster.follower())
        assert cluster.voters() == FIRST
        assert cluster.commits()

    def test_departure_waits_for_a_successor_that_catches_up(self):
        """Guards against a replaced voter that stops just before its successor becomes a voter."""
        cluster = Cluster()
        cluster.run(3.0)
        cluster.start("d", "d1")
        for _ in range(200):
            if not cluster.leader().members.learners:
                cluster.run(STEP_S)
        assert cluster.leader().members.learners
        cluster.depart("a")
        assert cluster.commits()
        assert cluster.voters() == list("bcd")

    def test_departure_that_could_not_be_committed(self):
        """Guards against a removal that only unresponsive voters could commit."""
        cluster = Cluster()
        cluster.run(3.0)
        for name in "de":
            cluster.start(name, f"{name}1")
        cluster.run(6.0)
        leader = cluster.leader()
        others = [name for name in "abcde" if name != leader.instance_id]
        # Both are unresponsive from the same moment, before the policy removes either.
        cluster.down.update(others[:2])
        cluster.run(MEMBER_TIMEOUT_S / 2)
        for name in others[:2]:
            leader.leader_state.progress[f"{name}1"].acked_s = float("-inf")
        step = cluster.policy.plan_departure(leader, f"{others[2]}1", cluster.now_s)
        assert step is Departure.WAIT

    def test_new_core_joins_a_leader_that_is_no_seed(self):
        """Guards against a wiped core that never rejoins, as it asks only seeds for the group."""
        cluster = Cluster()
        cluster.run(3.0)
        for name in "def":
            cluster.start(name, f"{name}1")
        cluster.run(8.0)
        old = cluster.leader()
        request = TransferLeadership(old.term, old.voter_id, "d1")
        cluster._deliver(old.instance_id, [Send("d", request)])
        assert cluster.leader().instance_id == "d"
        cluster.start("a", "a2")
        cluster.run(6.0)
        assert cluster.leader().instance_id == "d"
        assert cluster.leader().members.voters.get("a2") == "a"

    @pytest.mark.parametrize("identity", ["a1", "a2"])
    def test_first_seed_is_restarted_during_the_first_start(self, identity):
        """Guards against a system without a log because the core that forms it was killed early."""
        cluster = Cluster()
        cluster.down.add("a")
        cluster.run(0.5)
        cluster.start("a", identity, may_bootstrap=False)
        cluster.run(3.0)
        assert cluster.leader() is not None
        assert cluster.commits()

    def test_restarted_seed_bootstraps_no_second_group(self):
        """Guards against a second group if one of the other cores has run before."""
        cluster = Cluster()
        cluster.run(3.0)
        cluster.start("a", "a2", may_bootstrap=False)
        cluster.start("b", "b2", may_bootstrap=False)
        cluster.start("c", "c2", may_bootstrap=True)
        cluster.run(5.0)
        assert cluster.leader() is None

    def test_wiped_voters_bootstrap_no_second_group(self):
        """Guards against core instances with wiped disks that bootstrap a new, empty group."""
        cluster = Cluster()
        cluster.run(3.0)
        for name in FIRST:
            cluster.start(name, f"{name}2", may_bootstrap=False)
        cluster.run(5.0)
        assert cluster.leader() is None
