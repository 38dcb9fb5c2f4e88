"""Tests of the replicated log under a virtual clock with seeded faults."""

import pytest

from laburnumrock.journal import JournalPart
from laburnumrock.replication import RaftNode, Role
from laburnumrock.replication._leader import LeaderState
from laburnumrock.scenarios import LogCluster, LogHost

SEEDS = 240
SEEDS_PER_TEST = 40
# Faulty variants must be noticed within this many schedules.
FAULTY_SEEDS = 60


class LyingDiskHost(LogHost):
    """Voter whose disk does not store what it was told to sync."""

    def start(self):
        self.disk.honours_sync = False
        super().start()


class ForgetfulNode(RaftNode):
    """Voter that votes again in the same term."""

    def _receive_vote(self, sender, message, now_s):
        self.vote = None
        super()._receive_vote(sender, message, now_s)


class HastyLeadership(LeaderState):
    """Leader that counts any single follower as a quorum."""

    def _majority(self, members, own, read):
        return own


class UnconfirmedReadNode(RaftNode):
    """Leader that answers reads without asking a quorum."""

    def _finish_reads(self):
        for progress in self.leader_state.progress.values():
            progress.acked_round = self.leader_state.round_number
        super()._finish_reads()


class OutdatedCandidateNode(RaftNode):
    """Voter that ignores how up to date a candidate is."""

    def _is_up_to_date(self, message):
        return True


def _host_with(node):
    return type("FaultyHost", (LogHost,), {"node_type": node})


def _find_fault(host_type, text=""):
    for seed in range(FAULTY_SEEDS):
        try:
            LogCluster(seed, host_type).run()
        except (AssertionError, ValueError, IndexError) as error:
            if text in str(error):
                return str(error)
    return None


class TestRaftNode:
    @pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
    def test_guarantees_hold_under_faults(self, first):
        """Guards against two leaders in a term, changed or lost entries and double dispatch."""
        for seed in range(first, first + SEEDS_PER_TEST):
            report = LogCluster(seed).run()
            assert report.commits > 0, f"seed {seed}"

    @pytest.mark.parametrize(
        "host_type",
        [
            LyingDiskHost,
            _host_with(ForgetfulNode),
            _host_with(UnconfirmedReadNode),
            _host_with(OutdatedCandidateNode),
        ],
        ids=["lying disk", "double vote", "unconfirmed read", "outdated candidate"],
    )
    def test_the_checks_notice_a_missing_mechanism(self, host_type):
        """Guards against a harness that passes whatever the log does."""
        assert _find_fault(host_type) is not None

    def test_the_checks_notice_commits_without_a_quorum(self, monkeypatch):
        """Guards against a harness that passes when a leader commits alone."""
        monkeypatch.setattr(LeaderState, "_majority", HastyLeadership._majority)
        assert _find_fault(LogHost) is not None

    def test_the_checks_notice_a_dispatch_without_the_current_claim(self, monkeypatch):
        """Guards against a harness that passes when any claim may start a dispatch."""

        def start(self, command):
            operation = self.operations[command.account, command.key]
            operation.claim_id = command.claim_id
            return JournalPart._fire(self, command, "start", operation.state)

        monkeypatch.setattr(JournalPart, "_start", start)
        assert _find_fault(LogHost, "dispatched twice") is not None

    def test_same_seed_gives_the_same_schedule(self):
        """Guards against failures that cannot be repeated from their seed."""
        assert LogCluster(7).run() == LogCluster(7).run()


def _calm_cluster():
    cluster = LogCluster(0)
    cluster.network.rates = type(cluster.network.rates)()
    for host in cluster.hosts.values():
        host.start()
    cluster.clock.run_until(cluster.clock.now_s + 3.0)
    return cluster


class TestElection:
    def test_isolated_voter_does_not_disturb_the_leader(self):
        """Guards against a term that grows while a voter is cut off (pre-vote)."""
        cluster = _calm_cluster()
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
        """Guards against a cut-off leader that still counts as one (check-quorum)."""
        cluster = _calm_cluster()
        leader = cluster.find_leader()
        cluster.network.cut({leader.name}, set(cluster.hosts) - {leader.name})
        cluster.clock.run_until(cluster.clock.now_s + 1.0)
        assert leader.node.role is not Role.LEADER

    def test_a_lease_never_overlaps_the_next_leader(self):
        """Guards against two order controllers at the same time."""
        for seed in range(20):
            cluster = _calm_cluster()
            cluster.rng.seed(seed)
            leader = cluster.find_leader()
            cluster.network.cut({leader.name}, set(cluster.hosts) - {leader.name})
            while cluster.find_leader() in (None, leader):
                cluster.clock.run_until(cluster.clock.now_s + 0.01)
            now_s = cluster.clock.now_s
            assert leader.node.lease_ends_s(now_s) <= now_s

    def test_new_leader_within_two_seconds(self):
        """Guards the target for the loss of the log leader."""
        cluster = _calm_cluster()
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
        """Guards against an empty voter that helps to elect an outdated leader."""
        cluster = _calm_cluster()
        lost = cluster.hosts["b1"]
        lost.kill(lose_disk=True)
        lost.start()
        cluster.hosts["c1"].kill()
        cluster.clock.run_until(cluster.clock.now_s + 10.0)
        assert cluster.find_leader() is None

    def test_first_voter_with_a_lost_disk_forms_no_second_log(self):
        """Guards against two logs after the founder lost its disk."""
        cluster = _calm_cluster()
        founder = cluster.hosts["a1"]
        founder.kill(lose_disk=True)
        founder.start()
        cluster.clock.run_until(cluster.clock.now_s + 10.0)
        assert not founder.node.has_log

    def test_replaced_disk_counts_only_after_it_caught_up(self):
        """Guards against a quorum that includes an empty voter."""
        cluster = _calm_cluster()
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
