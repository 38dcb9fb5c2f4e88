"""In-memory log of a Raft node."""

from laburnumrock.replication._messages import Entry, EntryKind, Members
from laburnumrock.replication._types import Snapshot, decode_members


class RaftLog:
    """Latest snapshot and the entries after it.

    Parameters
    ----------
    snapshot : Snapshot
        Snapshot that precedes the first entry.
    entries : list of Entry
        Consecutive entries after the snapshot.
    """

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot = snapshot
        self.entries = list(entries)
        self.members_index = 0
        self.members = snapshot.members
        self._load_members()

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """Term of an entry, or None if the log does not contain it."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.snapshot.index < index <= self.last_index:
            return None
        return self.entries[index - self.snapshot.index - 1].term

    def slice(self, first: int, last: int) -> list[Entry]:
        """Entries from `first` to `last`, both inclusive."""
        start = max(0, first - self.snapshot.index - 1)
        return self.entries[start : last - self.snapshot.index]

    def slice_up_to_bytes(self, first: int, limit_bytes: int) -> list[Entry]:
        """Entries from `first` on, up to about `limit_bytes`; at least one if there is any."""
        result: list[Entry] = []
        size = 0
        for position in range(first - self.snapshot.index - 1, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.data) + 32
            if result and size > limit_bytes:
                break
            result.append(entry)
        return result

    def store(self, entries: list[Entry]) -> None:
        """Append entries after truncating the log at the index of the first one."""
        keep = entries[0].index - self.snapshot.index - 1
        replaced = keep < len(self.entries)
        del self.entries[keep:]
        self.entries.extend(entries)
        if replaced:
            self._load_members()
            return
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                self.members = decode_members(entry.data)
                self.members_index = entry.index

    def compact(self, snapshot: Snapshot) -> None:
        """Replace the entries up to a snapshot with it.

        Later entries stay only if the log contains the last entry that the snapshot covers.
        """
        matches = self.term_at(snapshot.index) == snapshot.term
        self.entries = self.slice(snapshot.index + 1, self.last_index) if matches else []
        self.snapshot = snapshot
        self._load_members()

    def members_at(self, index: int) -> Members:
        """Membership as of an entry that the log contains."""
        for entry in reversed(self.slice(self.snapshot.index + 1, index)):
            if entry.kind is EntryKind.MEMBERS:
                return decode_members(entry.data)
        return self.snapshot.members

    def first_index_of_term(self, index: int) -> int:
        """Index of the first entry with the same term as the entry at `index`."""
        term = self.term_at(index)
        while index > self.snapshot.index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def _load_members(self) -> None:
        self.members = self.snapshot.members
        self.members_index = self.snapshot.index
        for entry in reversed(self.entries):
            if entry.kind is EntryKind.MEMBERS:
                self.members = decode_members(entry.data)
                self.members_index = entry.index
                return
