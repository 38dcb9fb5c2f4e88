"""Tests of the log store and its disk format."""

import random

import pytest

from laburnumrock.errors import ErrorKind
from laburnumrock.replication import (
    Entry,
    EntryKind,
    FakeDisk,
    FolderDisk,
    LogStore,
    Members,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
)


def _entries(first, last, term=1):
    return [Entry(i, term, EntryKind.COMMAND, b"%d" % i) for i in range(first, last + 1)]


def _load(disk):
    return LogStore(disk).load(lambda: "new")


def _make_filled_store(disk):
    store = LogStore(disk)
    store.load(lambda: "old").unwrap()
    store.save(SaveHardState(3, "old"))
    for first in (1, 4, 7):
        store.save(SaveEntries(_entries(first, first + 2)))
        store.sync()
    return store


class TestLogStore:
    @pytest.mark.parametrize("kind", ["fake", "folder"])
    def test_synced_state_survives_a_restart(self, kind, tmp_path):
        """Guards against losing the identity, the vote or an entry in a restart."""
        disk = FakeDisk() if kind == "fake" else FolderDisk(tmp_path / "log")
        store = _make_filled_store(disk)
        store.save(SaveEntries(_entries(8, 8, term=2)))
        store.sync()
        state = _load(disk if kind == "fake" else FolderDisk(tmp_path / "log")).unwrap()
        assert (state.voter_id, state.term, state.vote) == ("old", 3, "old")
        assert state.entries == [*_entries(1, 7), *_entries(8, 8, term=2)]

    def test_torn_tail_is_truncated_at_every_length(self):
        """Guards against a failed start, or a partial entry, after a power loss (torn write)."""
        disk = FakeDisk()
        _make_filled_store(disk)
        intact = disk.durable["log"]
        last_frame_start = intact.rfind(b"LRF1")
        for length in range(last_frame_start, len(intact)):
            disk.durable["log"] = intact[:length]
            assert _load(disk).unwrap().entries == _entries(1, 6)
            assert len(disk.durable["log"]) == last_frame_start

    def test_corruption_before_the_last_frame_is_refused(self):
        """Guards against silently dropping acknowledged entries when the log file is corrupt."""
        disk = FakeDisk()
        _make_filled_store(disk)
        intact = disk.durable["log"]
        for position in range(intact.rfind(b"LRF1")):
            damaged = bytearray(intact)
            damaged[position] ^= 0x40
            disk.durable["log"] = bytes(damaged)
            assert _load(disk).unwrap_err().kind is ErrorKind.STORAGE_CORRUPT

    def test_corrupt_vote_snapshot_or_identity_is_refused(self):
        """Guards against a second vote in one term when a file is corrupt."""
        for name in ("vote", "snapshot", "identity"):
            disk = FakeDisk()
            _make_filled_store(disk).save(
                SaveSnapshot(Snapshot(2, 1, Members(), b"s"), _entries(3, 9))
            )
            disk.durable[name] = disk.durable[name][:-1] + b"\xff"
            assert _load(disk).unwrap_err().kind is ErrorKind.STORAGE_CORRUPT

    def test_log_without_identity_is_refused(self):
        """Guards against a new identity that takes over the log and vote of a lost one."""
        disk = FakeDisk()
        _make_filled_store(disk)
        del disk.durable["identity"]
        assert _load(disk).unwrap_err().kind is ErrorKind.STORAGE_CORRUPT

    def test_crash_between_snapshot_and_log(self):
        """Guards against a failed start after a crash during compaction."""
        for index, term, expected in ((5, 1, _entries(6, 9)), (5, 2, []), (20, 2, [])):
            disk = FakeDisk()
            store = _make_filled_store(disk)
            old = disk.durable["log"]
            store.save(SaveSnapshot(Snapshot(index, term, Members(), b"s"), expected))
            disk.durable["log"] = old
            store = LogStore(disk)
            assert store.load(lambda: "new").unwrap().entries == expected
            following = (expected[-1].index if expected else index) + 1
            store.save(SaveEntries(_entries(following, following, 3)))
            store.sync()
            assert _load(disk).unwrap().entries == expected + _entries(following, following, 3)

    def test_unsynced_entries_may_be_lost_but_no_others(self):
        """Guards against a missing sync: the fake disk drops unsynced writes in a crash."""
        rng = random.Random(1)
        disk = FakeDisk()
        store = _make_filled_store(disk)
        store.save(SaveEntries(_entries(10, 12)))
        disk.crash(rng)
        assert _load(disk).unwrap().entries == _entries(1, 9)
