"""Tests of the replicated log on disks that are full for a while, with seeded faults."""

import os
import random

import pytest
from result import UnwrapError

from laburnumrock.messages import Send
from laburnumrock.replication import (
    Apply,
    Entry,
    EntryKind,
    FolderDisk,
    LogStore,
    RaftNode,
    Restore,
    Role,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    TransferLeadership,
)
from laburnumrock.scenarios import LogCluster, LogHost

SEEDS = 240
SEEDS_PER_TEST = 40
RETRY_S = 0.25


class FullDiskHost(LogHost):
    """Voter that suspends its node while its disk refuses writes."""

    waiting: list | None = None

    def start(self):
        self.waiting = None
        self.disk.rng = random.Random(self.rng.random())
        try:
            super().start()
        except OSError:
            self.node = None
            self.clock.after(RETRY_S, self.start_again)

    def start_again(self):
        if self.node is None:
            self.start()

    def kill(self, lose_disk=False):
        full = self.disk.full
        super().kill(lose_disk)
        self.disk.full = full
        self.waiting = None

    def receive(self, sender, message):
        if self.waiting is None:
            super().receive(sender, message)

    def propose(self, command, on_response):
        return self.waiting is None and super().propose(command, on_response)

    def read(self, on_finished):
        return self.waiting is None and super().read(on_finished)

    def change(self, effects):
        if self.waiting is None:
            super().change(effects)

    def _tick(self):
        if self.waiting is None:
            super()._tick()
            return
        self.clock.after(RETRY_S, self._tick)
        if self.node is None or self.frozen:
            return
        with_snapshot = any(isinstance(effect, SaveSnapshot) for effect in self.waiting)
        try:
            self.store.rewrite(self.node.state_to_store, with_snapshot)
        except OSError:
            return
        self.node.resume(self.clock.now_s)
        effects, self.waiting = self.waiting, None
        for effect in effects:
            if isinstance(effect, (Apply, Restore)):
                self._run_effect(effect)

    def _run(self, effects):
        try:
            for effect in effects:
                self._save(effect)
            self.store.sync()
        except OSError:
            self.waiting = list(effects)
            self.pending_proposals.clear()
            suspended = self.node.suspend(self.clock.now_s)
            assert not any(hasattr(effect, "entries") for effect in suspended)
            for effect in suspended:
                self._run_effect(effect)
            for _, on_finished in self.pending_reads.values():
                on_finished(False)
            self.pending_reads.clear()
            return
        for effect in effects:
            self._run_effect(effect)
        if self.node is not None and self.waiting is None:
            self._compact()

    def _save(self, effect):
        if type(effect).__name__.startswith("Save"):
            self.store.save(effect)

    def _compact(self):
        if self.applied_index - 40 > self.node.log.snapshot.index:
            effects = self.node.compact(self.applied_index, self.state.snapshot())
            if effects:
                self._run(effects)


class ForgetfulHost(FullDiskHost):
    """Voter that goes on after a refused write as if nothing had to be stored."""

    def _run(self, effects):
        try:
            super()._run(effects)
        finally:
            if self.waiting is not None:
                waiting, self.waiting = self.waiting, None
                for effect in waiting:
                    self._run_effect(effect)


class FullDiskCluster(LogCluster):
    """Voters whose disks are full for a while, beside the other faults."""

    def _inject_fault(self):
        if self.rng.random() < 0.6:
            self.faults += 1
            host = self.rng.choice(list(self.hosts.values()))
            disk = host.disk
            disk.full = True
            self.clock.after(self.rng.uniform(0.05, 3.0), lambda: setattr(disk, "full", False))
            if self.rng.random() < 0.3:
                self._kill(host, 0.2)
        else:
            super()._inject_fault()

    def _end_faults(self):
        for host in self.hosts.values():
            host.disk.full = False
        super()._end_faults()


class TestFullDisks:
    @pytest.mark.parametrize("first", range(0, SEEDS, SEEDS_PER_TEST))
    def test_guarantees_hold(self, first):
        """Guards against lost entries, second votes in a term, and damaged logs on full disks."""
        for seed in range(first, first + SEEDS_PER_TEST):
            report = FullDiskCluster(seed, FullDiskHost).run()
            assert report.commits > 0, f"seed {seed}"

    def test_checks_detect_effects_before_their_saves(self):
        """Guards against checks that pass although a refused write is ignored."""
        for seed in range(40):
            try:
                FullDiskCluster(seed, ForgetfulHost).run()
            except (AssertionError, ValueError, IndexError, KeyError, UnwrapError):
                return
        pytest.fail("no check failed")


def _stable_cluster():
    cluster = LogCluster(0)
    cluster.network.rates = type(cluster.network.rates)()
    for host in cluster.hosts.values():
        host.start()
    cluster.clock.run_until(cluster.clock.now_s + 3.0)
    return cluster


class TestSuspension:
    def test_leader_stores_nothing_and_names_a_successor(self):
        """Guards against a leader that needs its disk, or an election timeout, to hand over."""
        cluster = _stable_cluster()
        leader = cluster.find_leader()
        term, vote = leader.node.term, leader.node.vote
        effects = leader.node.suspend(cluster.clock.now_s)
        assert (leader.node.role, leader.node.leader) == (Role.FOLLOWER, None)
        assert (leader.node.term, leader.node.vote) == (term, vote)
        assert not any(type(effect).__name__.startswith("Save") for effect in effects)
        [send] = [effect for effect in effects if isinstance(effect, Send)]
        assert isinstance(send.message, TransferLeadership)
        cluster.network.cut({leader.name}, {"none"})
        for effect in effects:
            if isinstance(effect, Send):
                cluster.hosts[effect.destination].receive(leader.name, effect.message)
        cluster.clock.run_until(cluster.clock.now_s + 0.2)
        assert cluster.find_leader() not in (None, leader)

    def test_follower_honours_the_lease_of_its_leader(self):
        """Guards against a vote that a node gives right after an outage, within a lease."""
        cluster = _stable_cluster()
        leader = cluster.find_leader()
        follower, other = [host for host in cluster.hosts.values() if host is not leader]
        now_s = cluster.clock.now_s
        follower.node.suspend(now_s)
        follower.node.resume(now_s)
        assert follower.node._has_active_leader(now_s)
        later_s = follower.node.leader_contact_s + follower.timing.election_min_s + 0.01
        assert not follower.node._has_active_leader(later_s)


class RefusingFolder(FolderDisk):
    """Folder whose syncs of names fail while `refuses` is set."""

    refuses = False

    def _sync_names(self):
        if self.refuses:
            raise OSError("names are not durable")
        super()._sync_names()


class TestFolderDisk:
    def test_folder_is_created_with_the_first_write(self, tmp_path):
        """Guards against a process that cannot start since its folder cannot be created."""
        (tmp_path / "file").write_text("")
        disk = FolderDisk(tmp_path / "file" / "log")
        with pytest.raises(OSError):
            disk.replace("vote", b"v")
        (tmp_path / "file").unlink()
        disk.replace("vote", b"v")
        assert disk.read("vote") == b"v"

    def test_replacement_that_is_not_durable_is_not_read(self, tmp_path):
        """Guards against a start from files that a loss of power may still undo."""
        disk = RefusingFolder(tmp_path / "log")
        disk.replace("identity", b"i")
        disk.refuses = True
        with pytest.raises(OSError):
            disk.replace("vote", b"v")
        with pytest.raises(OSError):
            disk.read("vote")
        disk.refuses = False
        assert disk.read("vote") == b"v"
        assert not disk.unsynced_names

    def test_incomplete_copy_is_removed(self, tmp_path, monkeypatch):
        """Guards against copies that take up the room which the next attempt needs."""
        disk = FolderDisk(tmp_path / "log")
        disk.replace("log", b"old")

        def refuse(handle):
            raise OSError("no space left on device")

        monkeypatch.setattr("os.fsync", refuse)
        with pytest.raises(OSError):
            disk.replace("log", b"new" * 100)
        monkeypatch.undo()
        assert [file.name for file in (tmp_path / "log").iterdir()] == ["log"]
        assert disk.read("log") == b"old"


class TestPredecessor:
    def test_bytes_of_a_killed_process_are_synced(self, tmp_path, monkeypatch):
        """Guards against votes and entries that are taken as stored, and undone by a power loss.

        A process that is killed between a write and its sync leaves bytes which its successor can
        read, and which are not durable.
        """
        before = LogStore(FolderDisk(tmp_path / "log"))
        before.load(lambda: "identity").unwrap()
        before.save(SaveHardState(3, "identity"))
        before.save(SaveEntries([Entry(1, 3, EntryKind.NOOP, b"")]))
        before.sync()
        synced = []
        fsync = os.fsync

        def record(handle):
            synced.append(os.fstat(handle).st_ino)
            fsync(handle)

        monkeypatch.setattr("os.fsync", record)
        stored = LogStore(FolderDisk(tmp_path / "log")).load(lambda: "none").unwrap()
        assert (stored.term, len(stored.entries)) == (3, 1)
        for path in (tmp_path / "log", *(tmp_path / "log").iterdir()):
            assert path.stat().st_ino in synced, path.name


class TestRewrite:
    def test_log_stays_readable_at_any_failure(self):
        """Guards against stored states that a crash in the middle of a rewrite leaves behind."""
        for seed in range(200):
            self._check_one(random.Random(seed))

    def _check_one(self, rng):
        cluster = LogCluster(rng.randrange(8))
        for host in cluster.hosts.values():
            host.start()
        cluster.clock.run_until(1.5)
        host = cluster.hosts["a1"]
        node: RaftNode = host.node
        before = (node.term, node.log.last_index)
        host.disk.rng = rng
        host.disk.full = True
        node._become_follower(node.term + 1, None, cluster.clock.now_s)
        for effect in node._take_effects():
            with pytest.raises(OSError):
                host._run([effect])
                host.store.rewrite(node.state_to_store, rng.random() < 0.5)
        host.disk.crash(rng)
        host.disk.full = False
        stored = LogStore(host.disk).load(lambda: "none").unwrap()
        assert stored.voter_id == node.voter_id
        assert before[0] <= stored.term <= node.term
        assert stored.snapshot.index + len(stored.entries) == before[1]
