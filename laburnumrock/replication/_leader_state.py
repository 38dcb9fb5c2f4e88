"""Volatile state of a Raft leader, with the replication progress of its followers."""

from dataclasses import dataclass, field

from laburnumrock.replication._log import RaftLog
from laburnumrock.replication._messages import Append, InstallSnapshot, Members

MAX_APPEND_BYTES = 512 * 1024
SNAPSHOT_CHUNK_BYTES = 256 * 1024


@dataclass(slots=True)
class Progress:
    """Replication progress of one follower.

    Parameters
    ----------
    next_index : int
        Index of the next entry to send.
    match_index : int
        Index of the last entry known to be stored by the follower.
    waiting : bool
        Whether the answer to the last append or snapshot chunk is outstanding.
    sent_round : int
        Heartbeat round in which that message was sent. Answers to older rounds trigger no further
        message, since each of them would start another chain of duplicate messages.
    snapshot_index, snapshot_offset : int
        Index of the snapshot that is being sent, and the bytes that the follower has received.
    acked_round : int
        Latest heartbeat round that the follower acknowledged.
    acked_s : float
        Time at which that round was sent.
    """

    next_index: int
    match_index: int = 0
    waiting: bool = False
    sent_round: int = 0
    snapshot_index: int = 0
    snapshot_offset: int = 0
    acked_round: int = 0
    acked_s: float = 0.0


@dataclass(slots=True)
class LeaderState:
    """State of a leader, created at its election and discarded when it steps down.

    Parameters
    ----------
    voter_id : str
        Identity of the leader.
    term : int
        Term of the leader.
    started_s : float
        Time at which the node became leader.
    term_start_index : int
        Index of the no-op entry that opens the leader's term. Reads and membership changes are
        rejected until it is committed.
    """

    voter_id: str
    term: int
    started_s: float
    term_start_index: int
    progress: dict[str, Progress] = field(default_factory=dict)
    round_number: int = 0
    round_sent_s: dict[int, float] = field(default_factory=dict)
    heartbeat_due_s: float = 0.0
    pending_reads: list[tuple[int, int, int]] = field(default_factory=list)
    transfer_target: str | None = None
    transfer_ends_s: float = 0.0

    def update_followers(self, members: Members, next_index: int, now_s: float) -> None:
        """Add and remove followers so that they match the membership."""
        wanted = members.voters_and_learners.keys() - {self.voter_id}
        for voter_id in sorted(wanted - self.progress.keys()):
            self.progress[voter_id] = Progress(next_index, acked_s=now_s)
        for voter_id in sorted(self.progress.keys() - wanted):
            del self.progress[voter_id]

    def start_round(self, now_s: float) -> None:
        """Start a heartbeat round."""
        self.round_number += 1
        self.round_sent_s[self.round_number] = now_s

    def acknowledge(self, voter_id: str, round_number: int) -> None:
        """Record that a follower acknowledged a round."""
        progress = self.progress[voter_id]
        progress.acked_round = max(progress.acked_round, round_number)
        sent_s = self.round_sent_s.get(round_number)
        if sent_s is not None:
            progress.acked_s = max(progress.acked_s, sent_s)

    def drop_old_rounds(self, oldest_s: float) -> None:
        """Discard the send times of rounds that were sent before `oldest_s`."""
        old = [number for number, sent_s in self.round_sent_s.items() if sent_s < oldest_s]
        for number in old:
            del self.round_sent_s[number]

    def quorum_match(self, members: Members, own_index: int) -> int:
        """Highest index that a majority of the voters has stored."""
        return self._quorum_value(members, own_index, lambda progress: progress.match_index)

    def quorum_round(self, members: Members) -> int:
        """Latest heartbeat round that a majority of the voters has acknowledged."""
        own = self.round_number
        return self._quorum_value(members, own, lambda progress: progress.acked_round)

    def quorum_contact_s(self, members: Members, now_s: float) -> float:
        """Latest time at which a majority of the voters still recognized this leader.

        The send times of the acknowledged rounds count, not the arrival of the answers.
        """
        return self._quorum_value(members, now_s, lambda progress: progress.acked_s)

    def make_message(
        self, target_id: str, log: RaftLog, commit_index: int
    ) -> Append | InstallSnapshot:
        """Build the next append or snapshot chunk for a follower."""
        progress = self.progress[target_id]
        progress.waiting = True
        progress.sent_round = self.round_number
        previous_index = progress.next_index - 1
        previous_term = log.term_at(previous_index)
        if previous_term is None:
            return self._make_snapshot_chunk(target_id, log)
        return Append(
            self.term,
            self.voter_id,
            target_id,
            previous_index,
            previous_term,
            log.slice_up_to_bytes(progress.next_index, MAX_APPEND_BYTES),
            commit_index,
            self.round_number,
        )

    def make_heartbeat(self, target_id: str, log: RaftLog, commit_index: int) -> Append | None:
        """Build an append without entries; None if the log no longer has the matching entry."""
        match_index = self.progress[target_id].match_index
        term = log.term_at(match_index)
        if term is None:
            return None
        commit_index = min(commit_index, match_index)
        return Append(
            self.term,
            self.voter_id,
            target_id,
            match_index,
            term,
            [],
            commit_index,
            self.round_number,
        )

    def _make_snapshot_chunk(self, target_id: str, log: RaftLog) -> InstallSnapshot:
        progress = self.progress[target_id]
        snapshot = log.snapshot
        if progress.snapshot_index != snapshot.index:
            progress.snapshot_index = snapshot.index
            progress.snapshot_offset = 0
        offset = progress.snapshot_offset
        return InstallSnapshot(
            self.term,
            self.voter_id,
            target_id,
            snapshot.index,
            snapshot.term,
            snapshot.members,
            offset,
            len(snapshot.data),
            snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES],
            self.round_number,
        )

    def _quorum_value(self, members: Members, own, get_value) -> float | int:
        values = []
        for voter_id in members.voters:
            if voter_id == self.voter_id:
                values.append(own)
            elif voter_id in self.progress:
                values.append(get_value(self.progress[voter_id]))
        values.sort(reverse=True)
        return values[len(members.voters) // 2]
