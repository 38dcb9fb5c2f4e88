"""Tests of the Raft node on a virtual clock with seeded faults."""

import pytest

from laburnumrock.journal import JournalPart
from laburnumrock.replication import RaftNode, Role
from laburnumrock.replication._leader_state import LeaderState
from laburnumrock.scenarios import LogCluster, LogHost

SEEDS = 240
SEEDS_PER_TEST = 40
# A faulty variant must fail a check within this many seeds.
MUTATION_SEEDS = 60


class IgnoredSyncHost(LogHost):
    """Voter whose disk acknowledges a sync without performing it."""

    def start(self):
        self.disk.honours_sync = False
        super().start()


class DoubleVoteNode(RaftNode):
    """Voter that may vote twice in one term."""

    def _receive_vote(self, sender, message, now_s):
        self.vote = None
        super()._receive_vote(sender, message, now_s)


class SelfQuorumState(LeaderState):
    """Leader that counts itself as a quorum."""

    def _quorum_value(self, members, own, get_value):
        return own


class UnconfirmedReadNode(RaftNode):
    """Leader that serves reads without confirming its leadership with a quorum."""

    def _finish_reads(self):
        for progress in self.leader_state.progress.values():
            progress.acked_round = self.leader_state.round_number
        super()._finish_reads()


class OutdatedCandidateNode(RaftNode):
    """Voter that grants its vote to a candidate with an outdated log."""

    def _is_up_to_date(self, message):
        return True


def _host_with(node):
    return type("FaultyHost", (LogHost,), {"node_type": node})


def _find_violation(host_type, text=""):
    for seed in range(MUTATION_SEEDS):
        try:
            LogCluster(seed, host_type).run()
        except (AssertionError, ValueError, IndexError) as error:
            if text in str(error):
                return str(error)
    return None


class TestRaftNode:
    @pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
    def test_guarantees_hold_under_faults(self, first):
        """Guards against two leaders in one term, lost or changed entries, and double dispatch."""
        for seed in range(first, first + SEEDS_PER_TEST):
            report = LogCluster(seed).run()
            assert report.commits > 0, f"seed {seed}"

    @pytest.mark.parametrize(
        "host_type",
        [
            IgnoredSyncHost,
            _host_with(DoubleVoteNode),
            _host_with(UnconfirmedReadNode),
            _host_with(OutdatedCandidateNode),
        ],
        ids=["lying disk", "double vote", "unconfirmed read", "outdated candidate"],
    )
    def test_checks_detect_a_broken_safety_rule(self, host_type):
        """Guards against checks that pass although a Raft safety rule is broken."""
        assert _find_violation(host_type) is not None

    def test_checks_detect_commits_without_a_quorum(self, monkeypatch):
        """Guards against checks that pass although a leader commits without a quorum."""
        monkeypatch.setattr(LeaderState, "_quorum_value", SelfQuorumState._quorum_value)
        assert _find_violation(LogHost) is not None

    def test_checks_detect_a_dispatch_without_the_current_claim(self, monkeypatch):
        """Guards against checks that pass although an outdated claim may start a dispatch."""

        def start(self, command):
            operation = self.operations[command.account, command.key]
            operation.claim_id = command.claim_id
            return JournalPart._apply_event(self, command, "start", operation.state)

        monkeypatch.setattr(JournalPart, "_start", start)
        assert _find_violation(LogHost, "dispatched twice") is not None

    def test_same_seed_gives_the_same_schedule(self):
        """Guards against failures that cannot be reproduced from their seed."""
        assert LogCluster(7).run() == LogCluster(7).run()


def _stable_cluster():
    cluster = LogCluster(0)
    cluster.network.rates = type(cluster.network.rates)()
    for host in cluster.hosts.values():
        host.start()
    cluster.clock.run_until(cluster.clock.now_s + 3.0)
    return cluster


class TestElection:
    def test_isolated_voter_does_not_disturb_the_leader(self):
        """Guards against a partitioned voter whose raised term deposes the leader (pre-vote)."""
        cluster = _stable_cluster()
        leader = cluster.find_leader()
        other = next(host for host in cluster.hosts.values() if host is not leader)
        term = leader.node.term
        cluster.network.cut({other.name}, set(cluster.hosts) - {other.name})
        cluster.clock.run_until(cluster.clock.now_s + 20.0)
        cluster.network.heal()
        cluster.clock.run_until(cluster.clock.now_s + 5.0)
        assert cluster.find_leader() is leader
        assert leader.node.term == term

    def test_leader_without_a_quorum_steps_down(self):
        """Guards against a partitioned leader that does not step down (check-quorum)."""
        cluster = _stable_cluster()
        leader = cluster.find_leader()
        cluster.network.cut({leader.name}, set(cluster.hosts) - {leader.name})
        cluster.clock.run_until(cluster.clock.now_s + 1.0)
        assert leader.node.role is not Role.LEADER

    def test_a_lease_never_overlaps_the_next_leader(self):
        """Guards against two active order controllers: each runs only under a leader lease."""
        for seed in range(20):
            cluster = _stable_cluster()
            cluster.rng.seed(seed)
            leader = cluster.find_leader()
            cluster.network.cut({leader.name}, set(cluster.hosts) - {leader.name})
            while cluster.find_leader() in (None, leader):
                cluster.clock.run_until(cluster.clock.now_s + 0.01)
            now_s = cluster.clock.now_s
            assert leader.node.lease_ends_s(now_s) <= now_s

    def test_new_leader_within_two_seconds(self):
        """Guards the target for failover after the loss of the Raft leader."""
        cluster = _stable_cluster()
        for _ in range(10):
            leader = cluster.find_leader()
            leader.kill()
            started_s = cluster.clock.now_s
            while cluster.find_leader() is None:
                cluster.clock.run_until(cluster.clock.now_s + 0.01)
            assert cluster.clock.now_s - started_s < 2.0
            leader.start()
            cluster.clock.run_until(cluster.clock.now_s + 3.0)


class TestMembers:
    def test_lost_disk_gets_a_new_identity_that_does_not_vote(self):
        """Guards against a voter with a wiped disk that helps to elect an outdated leader."""
        cluster = _stable_cluster()
        lost = cluster.hosts["b1"]
        lost.kill(lose_disk=True)
        lost.start()
        cluster.hosts["c1"].kill()
        cluster.clock.run_until(cluster.clock.now_s + 10.0)
        assert cluster.find_leader() is None

    def test_bootstrapper_with_a_lost_disk_creates_no_second_group(self):
        """Guards against a second group after the bootstrapping instance lost its disk."""
        cluster = _stable_cluster()
        bootstrapper = cluster.hosts["a1"]
        bootstrapper.kill(lose_disk=True)
        bootstrapper.start()
        cluster.clock.run_until(cluster.clock.now_s + 10.0)
        assert not bootstrapper.node.has_log

    def test_replaced_disk_counts_only_after_it_caught_up(self):
        """Guards against a quorum that includes a voter whose log has not caught up."""
        cluster = _stable_cluster()
        lost = cluster.hosts["b1"]
        lost.kill(lose_disk=True)
        lost.start()
        cluster.clock.run_until(cluster.clock.now_s + 2.0)
        cluster.lost_voter = "b1"
        cluster._replace_lost_voter()
        leader = cluster.find_leader()
        assert lost.node.voter_id in leader.node.members.learners
        cluster.clock.run_until(cluster.clock.now_s + 3.0)
        assert lost.node.voter_id in leader.node.members.voters
        assert len(leader.node.members.voters) == 3
        assert lost.applied_index == leader.applied_index
