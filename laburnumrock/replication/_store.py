"""Persistent storage of a Raft node.

Notes
-----
The file ``log`` is a sequence of frames ``magic, length, crc32c, payload``. One frame holds the
entries of one synced write, and the next frame is written only after that sync, so only the last
frame can be torn by a crash. A damaged frame that is followed by an intact one is corruption. An
entry whose index is already present overwrites that entry and all later ones. Damage to the last
synced frame cannot be distinguished from a torn write, so the frame is truncated in both cases.
"""

import struct
from collections.abc import Callable

import cbor2
import crc32c
from result import Err, Ok, Result

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import from_plain, to_plain
from laburnumrock.replication._disk import Disk
from laburnumrock.replication._messages import Entry, EntryKind
from laburnumrock.replication._types import (
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
    StoredState,
)

MAGIC = b"LRF1"
HEADER = struct.Struct("<4sII")

LOG_FILE = "log"
VOTE_FILE = "vote"
SNAPSHOT_FILE = "snapshot"
IDENTITY_FILE = "identity"


class LogStore:
    """Stores identity, term, vote, entries and snapshot of one node.

    Parameters
    ----------
    disk : Disk
        `FolderDisk` for the data folder, or a `FakeDisk` in tests.
    """

    def __init__(self, disk: Disk) -> None:
        self.disk = disk
        self.unsynced: list[Entry] = []

    def load(self, make_identity: Callable[[], str]) -> Result[StoredState, Failure]:
        """Read the stored state; an empty folder is given a new identity.

        Parameters
        ----------
        make_identity : callable
            Returns a new random identity.

        Returns
        -------
        Result
            The stored state, or a failure of kind ``storage_corrupt``.
        """
        try:
            return Ok(self._load(make_identity))
        except (ValueError, KeyError, TypeError, EOFError, cbor2.CBORDecodeError) as error:
            return Err(Failure(ErrorKind.STORAGE_CORRUPT, f"{error}"))

    def save(self, effect: SaveHardState | SaveEntries | SaveSnapshot) -> None:
        """Carry out a save effect; entries are durable only after `sync`."""
        if isinstance(effect, SaveEntries):
            self.unsynced.extend(effect.entries)
            return
        if isinstance(effect, SaveHardState):
            document = {"term": effect.term, "vote": effect.vote}
            self.disk.replace(VOTE_FILE, _frame(cbor2.dumps(document)))
            return
        # `effect.entries` includes the unsynced entries that are still in the log.
        self.unsynced.clear()
        self.disk.replace(SNAPSHOT_FILE, _frame(cbor2.dumps(to_plain(effect.snapshot))))
        self.disk.replace(LOG_FILE, _frame_entries(effect.entries) if effect.entries else b"")

    def sync(self) -> None:
        """Write the buffered entries and make them durable."""
        if not self.unsynced:
            return
        self.disk.append(LOG_FILE, _frame_entries(self.unsynced))
        self.disk.sync(LOG_FILE)
        self.unsynced.clear()

    def rewrite(self, state: StoredState, with_snapshot: bool) -> None:
        """Replace the stored state after a save has failed; raises OSError if this fails too.

        Parameters
        ----------
        state : StoredState
            State that results from all saves so far, the failed ones included.
        with_snapshot : bool
            Whether a failed or pending save contains a snapshot.

        Notes
        -----
        Appending again is not possible. A refused write may have left a part of a frame behind,
        which the next frame would turn into corruption, and after a refused sync the kernel may
        have dropped the bytes that it had accepted.
        """
        self.save(SaveHardState(state.term, state.vote))
        if with_snapshot:
            self.disk.replace(SNAPSHOT_FILE, _frame(cbor2.dumps(to_plain(state.snapshot))))
        self.disk.replace(LOG_FILE, _frame_entries(state.entries) if state.entries else b"")
        self.unsynced.clear()

    def _load(self, make_identity: Callable[[], str]) -> StoredState:
        identity = self._read(IDENTITY_FILE)
        if identity is None:
            if any(self.disk.read(name) for name in (VOTE_FILE, SNAPSHOT_FILE, LOG_FILE)):
                raise ValueError("identity file is missing, but vote, snapshot or log exists")
            identity = make_identity()
            self.disk.replace(IDENTITY_FILE, _frame(cbor2.dumps(identity)))
        state = StoredState(identity)
        vote = self._read(VOTE_FILE)
        if vote is not None:
            state.term, state.vote = vote["term"], vote["vote"]
        snapshot = self._read(SNAPSHOT_FILE)
        if snapshot is not None:
            state.snapshot = from_plain(Snapshot, snapshot)
        state.entries = self._read_entries(state.snapshot)
        return state

    def _read(self, name: str) -> object | None:
        data = self.disk.read(name)
        if data is None:
            return None
        payload = _read_frame(data, 0)
        if payload is None or len(payload) + HEADER.size != len(data):
            raise ValueError(f"{name}: checksum or length mismatch")
        return cbor2.loads(payload)

    def _read_entries(self, snapshot: Snapshot) -> list[Entry]:
        data = self.disk.read(LOG_FILE) or b""
        entries: list[Entry] = []
        offset = 0
        while offset < len(data):
            payload = _read_frame(data, offset)
            if payload is None:
                self._truncate_torn_tail(data, offset)
                break
            for index, term, kind, content in cbor2.loads(payload):
                _add_entry(entries, Entry(index, term, EntryKind(kind), content))
            offset += HEADER.size + len(payload)
        following = _entries_after_snapshot(entries, snapshot)
        if len(following) != len(entries):
            # A crash occurred after the snapshot was stored and before the log was truncated.
            self.disk.replace(LOG_FILE, _frame_entries(following) if following else b"")
        return following

    def _truncate_torn_tail(self, data: bytes, offset: int) -> None:
        following = data.find(MAGIC, offset + 1)
        while following >= 0:
            if _read_frame(data, following) is not None:
                raise ValueError(
                    f"{LOG_FILE}: corrupt frame at byte {offset} is followed by an intact one"
                )
            following = data.find(MAGIC, following + 1)
        self.disk.replace(LOG_FILE, data[:offset])


def _add_entry(entries: list[Entry], entry: Entry) -> None:
    if entries:
        keep = entry.index - entries[0].index
        if keep > len(entries):
            raise ValueError(f"{LOG_FILE}: entry {entry.index} follows entry {entries[-1].index}")
        del entries[max(0, keep) :]
    entries.append(entry)


def _entries_after_snapshot(entries: list[Entry], snapshot: Snapshot) -> list[Entry]:
    """Return the entries after a snapshot; none if the log lacks the last entry it covers."""
    if not entries or entries[-1].index <= snapshot.index:
        return []
    if entries[0].index == snapshot.index + 1:
        return entries
    if entries[0].index > snapshot.index + 1:
        raise ValueError(f"{LOG_FILE}: entries after snapshot index {snapshot.index} are missing")
    last_covered = entries[snapshot.index - entries[0].index]
    if last_covered.term != snapshot.term:
        return []
    return entries[snapshot.index - entries[0].index + 1 :]


def _frame_entries(entries: list[Entry]) -> bytes:
    rows = [[entry.index, entry.term, entry.kind.value, entry.data] for entry in entries]
    return _frame(cbor2.dumps(rows))


def _frame(payload: bytes) -> bytes:
    return HEADER.pack(MAGIC, len(payload), _checksum(payload)) + payload


def _read_frame(data: bytes, offset: int) -> bytes | None:
    if offset + HEADER.size > len(data):
        return None
    magic, length, checksum = HEADER.unpack_from(data, offset)
    payload = data[offset + HEADER.size : offset + HEADER.size + length]
    if magic != MAGIC or len(payload) != length or _checksum(payload) != checksum:
        return None
    return payload


def _checksum(payload: bytes) -> int:
    return crc32c.crc32c(len(payload).to_bytes(4, "little") + payload)
