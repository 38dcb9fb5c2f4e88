"""Tests of what is durable on real files when a machine loses power at any file operation."""

import random
from pathlib import Path

import pytest

from laburnumrock.replication import (
    Entry,
    EntryKind,
    FolderDisk,
    LogStore,
    Members,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
)
from laburnumrock.replication.tests.power_loss import Machine, PowerLostError, recorded_disks

SEEDS = 60


class Writer:
    """Saves random effects, and remembers the state that the last completed save left."""

    def __init__(self, machine: Machine, rng: random.Random, folder: Path) -> None:
        self.machine = machine
        self.rng = rng
        self.folder = folder
        self.identity: str | None = None
        self.hard_state = (0, None)
        self.snapshot = Snapshot()
        self.entries: list[Entry] = []
        # States that a save in progress may leave behind: it was not acknowledged.
        self.possible: list[tuple] = []

    def start(self) -> None:
        """Open the disk and check that it has a state that was saved."""
        self.disk = FolderDisk(self.folder)
        self.store = LogStore(self.disk)
        loaded = self.store.load(lambda: f"{self.rng.getrandbits(32):08x}")
        assert loaded.is_ok(), loaded
        stored = loaded.unwrap()
        if self.identity is not None:
            assert stored.voter_id == self.identity
        found = ((stored.term, stored.vote), stored.snapshot, stored.entries)
        allowed = [self._state(), *self.possible]
        assert found[0] in [state[0] for state in allowed]
        assert found[1] in [state[1] for state in allowed]
        self._check_entries(stored.snapshot, stored.entries, allowed)
        self.identity = stored.voter_id
        self.hard_state, self.snapshot, self.entries = found
        self.possible = []

    def save(self) -> None:
        """Save a random effect and sync."""
        term, vote = self.hard_state
        kind = self.rng.choice(["vote", "entries", "entries", "overwrite", "snapshot"])
        after = self._state()
        if kind == "vote":
            effect = SaveHardState(term + 1, self.rng.choice([None, "x", "y"]))
            after = ((effect.term, effect.vote), *after[1:])
        elif kind == "snapshot" and self.entries:
            count = self.rng.randrange(1, len(self.entries) + 1)
            last = self.entries[count - 1]
            snapshot = Snapshot(last.index, last.term, Members({"a": "a"}), b"s" * 50)
            effect = SaveSnapshot(snapshot, self.entries[count:])
            after = (after[0], snapshot, self.entries[count:])
        else:
            keep = len(self.entries)
            if kind == "overwrite":
                keep = self.rng.randrange(keep + 1)
            first = self.snapshot.index + keep + 1
            new = [
                Entry(first + position, term, EntryKind.COMMAND, self.rng.randbytes(20))
                for position in range(self.rng.randrange(1, 4))
            ]
            effect = SaveEntries(new)
            after = (*after[:2], [*self.entries[:keep], *new])
        self.possible = [after]
        self.store.save(effect)
        self.store.sync()
        self.possible = []
        self.hard_state, self.snapshot, self.entries = after

    def _state(self) -> tuple:
        return (self.hard_state, self.snapshot, self.entries)

    def _check_entries(self, snapshot: Snapshot, entries: list[Entry], allowed: list) -> None:
        for _, _, expected in allowed:
            following = [entry for entry in expected if entry.index > snapshot.index]
            if entries == following:
                return
        raise AssertionError(f"entries {entries} were never saved; allowed: {allowed}")


def write_and_lose_power(root: Path, folder: str, seed: int) -> None:
    """Save random effects, and lose power or kill the process at random operations."""
    rng = random.Random(seed)
    with recorded_disks(root) as recorded:
        machine = recorded.add("a")
        writer = Writer(machine, rng, root / "a" / folder)
        for _ in range(25):
            machine.operations_left = rng.randrange(40)
            try:
                writer.start()
                while True:
                    writer.save()
            except PowerLostError:
                pass
            writer.disk.close()
            if rng.random() < 0.7:
                machine.lose_power(rng)


class TestPowerLoss:
    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_saved_state_survives_at_any_operation(self, tmp_path, seed):
        """Guards against a save that returns before its bytes and its names are durable."""
        write_and_lose_power(tmp_path, "log", seed)

    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_created_data_folder_is_durable(self, tmp_path, seed):
        """Guards against a log that is gone because the name of its data folder was not synced."""
        write_and_lose_power(tmp_path, "data/node/log", seed)

    def test_folder_without_synced_name_loses_the_log(self, tmp_path, monkeypatch):
        """Guards against a model that finds no fault: a store that syncs no names must fail."""
        monkeypatch.setattr("laburnumrock.replication._disk._sync_folder", lambda folder: None)
        with pytest.raises(AssertionError):
            for seed in range(20):
                write_and_lose_power(tmp_path / str(seed), "log", seed)
