"""Invariants of the replicated log and the operation journal in a simulated cluster."""

from collections import Counter

from laburnumrock.replication import Entry, EntryKind, StoredState


class LogChecks:
    """Raises AssertionError as soon as an invariant of the log or the journal is violated."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.entries: dict[int, tuple[int, EntryKind, bytes]] = {}
        self.highest_acknowledged_index = 0
        self.dispatches: Counter[tuple[str, str]] = Counter()
        self.allowed_dispatches: Counter[tuple[str, str]] = Counter()

    def became_leader(self, term: int, voter_id: str) -> None:
        """Check that a term has at most one leader."""
        known = self.leaders.setdefault(term, voter_id)
        if known != voter_id:
            raise AssertionError(f"term {term} has two leaders: {known} and {voter_id}")

    def committed(self, entry: Entry) -> None:
        """Check that a committed entry never changes."""
        content = (entry.term, entry.kind, entry.data)
        known = self.entries.setdefault(entry.index, content)
        if known != content:
            raise AssertionError(f"committed entry {entry.index} changed from {known} to {content}")

    def acknowledged(self, index: int) -> None:
        """Record that a caller was told that an entry is committed."""
        self.highest_acknowledged_index = max(self.highest_acknowledged_index, index)

    def snapshot_loaded(self, stored: StoredState) -> None:
        """Check that a loaded snapshot ends at the committed entry of the same index and term."""
        snapshot = stored.snapshot
        known = self.entries.get(snapshot.index)
        if known is not None and known[0] != snapshot.term:
            raise AssertionError(
                f"snapshot at entry {snapshot.index} has wrong term {snapshot.term}"
            )

    def read_confirmed(self, acknowledged_index: int, index: int) -> None:
        """Check that a confirmed read covers every entry acknowledged before the read began."""
        if index < acknowledged_index:
            raise AssertionError(
                f"read confirmed at {index}, but {acknowledged_index} was already acknowledged"
            )

    def dispatched(self, account: str, key: str) -> None:
        """Check that an operation is dispatched again only after proof that it did not run."""
        self.dispatches[account, key] += 1
        if self.dispatches[account, key] > 1 + self.allowed_dispatches[account, key]:
            raise AssertionError(f"operation {account}/{key} was dispatched twice")

    def proved_not_run(self, account: str, key: str) -> None:
        """Record that a dispatch failed before it ran, which allows one more dispatch."""
        self.allowed_dispatches[account, key] += 1
