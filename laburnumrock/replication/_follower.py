"""Follower role of `RaftNode`: receives entries and snapshots."""

from laburnumrock.replication._messages import (
    Append,
    AppendAnswer,
    InstallSnapshot,
    InstallSnapshotAnswer,
)
from laburnumrock.replication._types import Restore, SaveEntries, SaveSnapshot, Snapshot


class FollowerMixin:
    """Methods of `RaftNode` for the follower role."""

    def _receive_append(self, sender: str, message: Append, now_s: float) -> None:
        if not self._accept_leader(message, now_s):
            self._answer_append(sender, message, False, self.log.last_index + 1)
            return
        previous = message.previous_index
        if previous < self.log.snapshot.index:
            # A snapshot covers only committed entries, so its last entry matches the leader's log.
            self._store_entries(message, self.log.snapshot.index)
        elif self.log.term_at(previous) == message.previous_term:
            self._store_entries(message, previous)
        else:
            self._answer_append(sender, message, False, self._retry_index(previous))
            return
        matched = max(previous + len(message.entries), self.log.snapshot.index)
        committed = min(message.commit_index, matched)
        if committed > self.commit_index:
            self._commit(committed)
        self._answer_append(sender, message, True, matched)

    def _accept_leader(self, message: Append | InstallSnapshot, now_s: float) -> bool:
        if message.term < self.term:
            return False
        self._become_follower(message.term, message.voter_id, now_s)
        self.leader_contact_s = now_s
        self._reset_election_timer(now_s)
        return True

    def _retry_index(self, previous: int) -> int:
        if previous > self.log.last_index:
            return self.log.last_index + 1
        return max(self.log.first_index_of_term(previous), self.log.snapshot.index + 1)

    def _store_entries(self, message: Append, after: int) -> None:
        """Store the entries after an index, starting at the first one that conflicts or is new."""
        for position, entry in enumerate(message.entries):
            if entry.index > after and self.log.term_at(entry.index) != entry.term:
                new = message.entries[position:]
                self.log.store(new)
                self.effects.append(SaveEntries(new))
                return

    def _answer_append(self, sender: str, message: Append, matched: bool, index: int) -> None:
        answer = AppendAnswer(
            self.term, self.voter_id, message.voter_id, matched, index, message.round_number
        )
        self._send(sender, answer)

    def _receive_snapshot(self, sender: str, message: InstallSnapshot, now_s: float) -> None:
        received = 0
        if self._accept_leader(message, now_s):
            received = self._store_snapshot_chunk(message)
        answer = InstallSnapshotAnswer(
            self.term,
            self.voter_id,
            message.voter_id,
            message.index,
            received,
            message.round_number,
        )
        self._send(sender, answer)

    def _store_snapshot_chunk(self, message: InstallSnapshot) -> int:
        if message.index <= self.commit_index:
            return message.total_bytes
        partial = self.partial_snapshot
        is_same_snapshot = partial is not None and (partial.index, partial.term) == (
            message.index,
            message.index_term,
        )
        data = partial.data if is_same_snapshot else b""
        if len(data) == message.offset:
            data += message.data
        snapshot = Snapshot(message.index, message.index_term, message.members, data)
        self.partial_snapshot = snapshot
        if len(data) == message.total_bytes:
            self._install_snapshot(snapshot)
        return len(data)

    def _install_snapshot(self, snapshot: Snapshot) -> None:
        self.partial_snapshot = None
        self.log.compact(snapshot)
        self.commit_index = snapshot.index
        self.effects.append(SaveSnapshot(snapshot, list(self.log.entries)))
        self.effects.append(Restore(snapshot))
