"""Tests of what is left after cores are replaced, a disk is lost and all others lose power."""

import pytest

from laburnumrock.replication import RaftNode, Role
from laburnumrock.replication.tests import core_losses
from laburnumrock.replication.tests.core_losses import EVENTS, CoreFaults, CoreLosses
from laburnumrock.replication.tests.power_loss import recorded_disks

SEEDS_OF_LOST_QUORUMS = (1200, 1448)
"""A disk was lost between SIGTERM of the replaced core and its removal, and the log stopped."""


class TestCoreLosses:
    @pytest.mark.parametrize("kind", sorted(EVENTS))
    @pytest.mark.parametrize("seed", range(4))
    def test_acknowledged_changes_survive(self, tmp_path, kind, seed):
        """Guards against changes that are gone, or a log without leader, after the final fault."""
        with recorded_disks(tmp_path) as disks:
            CoreLosses(seed, disks, kind).run()

    @pytest.mark.parametrize("seed", SEEDS_OF_LOST_QUORUMS)
    def test_replaced_core_is_gone_and_a_disk_is_lost(self, tmp_path, seed):
        """Guards against a log that stops if a disk is lost while a replaced core stops."""
        with recorded_disks(tmp_path) as disks:
            CoreLosses(seed, disks, "replaced_as_planned").run()

    def test_unsynced_votes_and_entries_are_found(self, tmp_path, monkeypatch):
        """Guards against a simulation that finds nothing: a store that never syncs must fail."""
        monkeypatch.setattr(core_losses.FolderDisk, "sync", lambda disk, name: None)
        with pytest.raises(AssertionError):
            for seed in range(20):
                with recorded_disks(tmp_path / str(seed)) as disks:
                    CoreLosses(seed, disks, "nothing").run()


class TestCoreFaults:
    @pytest.mark.parametrize("seed", range(8))
    def test_no_two_leaders_and_no_lost_change(self, tmp_path, seed):
        """Guards against quorums that do not overlap in groups with an even number of voters."""
        with recorded_disks(tmp_path) as disks:
            CoreFaults(seed, disks).run()

    def test_quorum_of_half_of_the_voters_is_found(self, tmp_path, monkeypatch):
        """Guards against a simulation that finds nothing: elections by half of them must fail."""

        def count_votes(node, now_s):
            if len(node.votes & node.members.voters.keys()) < len(node.members.voters) / 2:
                return
            if node.role is Role.PRE_CANDIDATE:
                node._start_election(False, now_s)
            elif node.role is Role.CANDIDATE:
                node._become_leader(now_s)

        monkeypatch.setattr(RaftNode, "_count_votes", count_votes)
        with pytest.raises(AssertionError):
            for seed in range(40):
                with recorded_disks(tmp_path / str(seed)) as disks:
                    CoreFaults(seed, disks).run()
