"""What must hold over all voters of a virtual cluster."""

from collections import Counter

from laburnumrock.replication import Entry, EntryKind, StoredState


class LogChecks:
    """Raises AssertionError as soon as a guarantee of the log is broken."""

    def __init__(self) -> None:
        self.leaders: dict[int, str] = {}
        self.entries: dict[int, tuple[int, EntryKind, bytes]] = {}
        self.highest_acknowledged = 0
        self.dispatches: Counter[tuple[str, str]] = Counter()
        self.allowed_dispatches: Counter[tuple[str, str]] = Counter()

    def became_leader(self, term: int, voter_id: str) -> None:
        """Check that a term has one leader."""
        known = self.leaders.setdefault(term, voter_id)
        if known != voter_id:
            raise AssertionError(f"term {term} has the leaders {known} and {voter_id}")

    def committed(self, entry: Entry) -> None:
        """Check that a committed entry never changes."""
        content = (entry.term, entry.kind, entry.data)
        known = self.entries.setdefault(entry.index, content)
        if known != content:
            raise AssertionError(f"committed entry {entry.index} changed: {known} to {content}")

    def acknowledged(self, index: int) -> None:
        """Record that a caller was told of an entry."""
        self.highest_acknowledged = max(self.highest_acknowledged, index)

    def loaded(self, stored: StoredState) -> None:
        """Check that a snapshot on disk ends at a committed entry of the same term."""
        snapshot = stored.snapshot
        known = self.entries.get(snapshot.index)
        if known is not None and known[0] != snapshot.term:
            raise AssertionError(f"snapshot {snapshot.index} has term {snapshot.term}")

    def read_confirmed(self, floor: int, index: int) -> None:
        """Check that a confirmed read covers what was acknowledged before it began."""
        if index < floor:
            raise AssertionError(f"read confirmed at {index}, acknowledged before it: {floor}")

    def dispatched(self, account: str, key: str) -> None:
        """Check that an operation is sent at most once, or again only after proof."""
        self.dispatches[account, key] += 1
        if self.dispatches[account, key] > 1 + self.allowed_dispatches[account, key]:
            raise AssertionError(f"operation {account}/{key} was dispatched twice")

    def proved_not_run(self, account: str, key: str) -> None:
        """Record that a dispatch was refused before it ran, so that one more is allowed."""
        self.allowed_dispatches[account, key] += 1
