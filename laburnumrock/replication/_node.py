"""Raft consensus as a state machine without I/O.

Notes
-----
Effects are ordered: the caller stores every save effect, syncs, and only then runs the effects that
follow it. So no message reveals state that is not durable yet.

References
----------
D. Ongaro, "Consensus: Bridging Theory and Practice", 2014, chapters 3, 4, 6 and 9.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from laburnumrock.messages import Effect, Send
from laburnumrock.replication._bootstrap import Bootstrap
from laburnumrock.replication._follower import FollowerMixin
from laburnumrock.replication._leader_state import LeaderState
from laburnumrock.replication._leading import LeaderMixin
from laburnumrock.replication._log import RaftLog
from laburnumrock.replication._messages import (
    Append,
    AppendAnswer,
    IdentityAnswer,
    IdentityQuery,
    InstallSnapshot,
    InstallSnapshotAnswer,
    Members,
    PreVote,
    PreVoteAnswer,
    TransferLeadership,
    Vote,
    VoteAnswer,
)
from laburnumrock.replication._types import (
    Apply,
    ReadFailed,
    Restore,
    Role,
    RoleChanged,
    SaveHardState,
    SaveSnapshot,
    Snapshot,
    StoredState,
)
from laburnumrock.replication._voting import VotingMixin

if TYPE_CHECKING:
    from laburnumrock.settings import TimingSettings

APPLY_BATCH_ENTRIES = 1_000
# The initial membership is stored as a snapshot at index 1, so an empty learner always receives a
# snapshot with the membership before it receives entries.
INITIAL_SNAPSHOT_INDEX = 1
TICKS_PER_HEARTBEAT = 4


class RaftNode(VotingMixin, FollowerMixin, LeaderMixin):
    """One voter or learner of the Raft group.

    Parameters
    ----------
    instance_id : str
        Id of this instance.
    initial_voters : list of str
        Instances that form the group at the first start.
    timing : TimingSettings
        `heartbeat_s`, `election_min_s` and `election_max_s` are used.
    stored : StoredState
        State read from the data folder.
    rng : random.Random
        Randomizes the election timeouts.
    may_bootstrap : bool
        Whether this instance may bootstrap a new group; False once the deployment has had one.
    """

    def __init__(
        self,
        instance_id: str,
        initial_voters: list[str],
        timing: TimingSettings,
        stored: StoredState,
        rng: random.Random,
        may_bootstrap: bool = True,
    ) -> None:
        self.instance_id = instance_id
        self.timing = timing
        self.rng = rng
        self.voter_id = stored.voter_id
        self.term = stored.term
        self.vote = stored.vote
        self.log = RaftLog(stored.snapshot, stored.entries)
        self.commit_index = stored.snapshot.index
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leader_contact_s = float("-inf")
        self.election_due_s: float | None = None
        self.no_vote_until_s: float | None = None
        self.votes: set[str] = set()
        self.leader_state: LeaderState | None = None
        self.bootstrap = Bootstrap(
            instance_id, self.voter_id, initial_voters, timing, may_bootstrap
        )
        self.partial_snapshot: Snapshot | None = None
        self.is_departing = False
        self.effects: list[Effect] = []
        self.handlers = {
            PreVote: self._receive_pre_vote,
            PreVoteAnswer: self._receive_vote_answer,
            Vote: self._receive_vote,
            VoteAnswer: self._receive_vote_answer,
            Append: self._receive_append,
            AppendAnswer: self._receive_append_answer,
            InstallSnapshot: self._receive_snapshot,
            InstallSnapshotAnswer: self._receive_snapshot_answer,
            TransferLeadership: self._receive_transfer,
        }

    @property
    def members(self) -> Members:
        """Latest membership in the log, committed or not."""
        return self.log.members

    @property
    def has_log(self) -> bool:
        """Whether this identity belongs to a Raft group."""
        return bool(self.members.voters)

    @property
    def leader(self) -> str | None:
        """Instance id of the leader, or None if it is unknown."""
        if self.leader_id is None:
            return None
        return self.members.voters_and_learners.get(self.leader_id)

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a message from another instance.

        Parameters
        ----------
        sender : str
            Instance that sent the message.
        message : object
            One of the messages of this package.
        now_s : float
            Monotonic clock in seconds.

        Returns
        -------
        list of Effect
            Effects to run in order.
        """
        asks_to_join = isinstance(message, (IdentityQuery, PreVote))
        if self.has_log and asks_to_join and not self._is_member(message.voter_id):
            # The sender is a new instance, or a voter that was removed during a network partition.
            # Other messages may be late ones of a voter that was removed because it stops.
            self.bootstrap.record_non_member(sender, message.voter_id, now_s)
            if isinstance(message, PreVote):
                # The sender does not know of its removal, and may not know the leader either.
                self._send(sender, self._identity_answer())
        if isinstance(message, IdentityQuery):
            self.bootstrap.record_identity(sender, message.voter_id, message.has_log)
            self._send(sender, self._identity_answer())
        elif isinstance(message, IdentityAnswer):
            self._receive_identity_answer(sender, message)
        elif message.target_id == self.voter_id:
            self.handlers[type(message)](sender, message, now_s)
        return self._take_effects()

    def tick(self, now_s: float) -> list[Effect]:
        """Run the election and heartbeat timers.

        Call this at the time that `next_tick_s` returns, or a few times per heartbeat interval.
        """
        if self._asks_to_join(now_s):
            for peer in self.bootstrap.instances_to_query(now_s):
                self._send(peer, IdentityQuery(self.voter_id, self.has_log))
        if not self.has_log:
            return self._take_effects()
        if self.election_due_s is None:
            self._reset_election_timer(now_s)
            if self.no_vote_until_s is None:
                self.no_vote_until_s = now_s + self.timing.election_min_s
        if self.role is Role.LEADER:
            self._tick_leader(now_s)
        elif now_s >= self.election_due_s:
            self._reset_election_timer(now_s)
            if self.voter_id in self.members.voters and not self.is_departing:
                self._start_pre_vote(now_s)
        return self._take_effects()

    def prepare_departure(self) -> None:
        """Start no more elections and ask for no membership, since this node is about to stop."""
        self.is_departing = True

    def next_tick_s(self, now_s: float) -> float:
        """Return the monotonic clock time of the next required tick, in seconds."""
        is_joining = not self._is_member(self.voter_id) or bool(self.members.learners)
        if self.election_due_s is None or is_joining:
            return now_s + self.timing.heartbeat_s / TICKS_PER_HEARTBEAT
        if self.role is not Role.LEADER:
            return self.election_due_s
        contact_s = self.leader_state.quorum_contact_s(self.members, now_s)
        due_s = min(self.leader_state.heartbeat_due_s, contact_s + self.timing.election_min_s)
        if self.leader_state.transfer_target is not None:
            due_s = min(due_s, self.leader_state.transfer_ends_s)
        return due_s

    def suspend(self, now_s: float) -> list[Effect]:
        """Give up any role while the storage is unavailable.

        Until `resume`, the caller must not call any other method. Term, vote and log do not change
        here, so the effects need no storage.

        Notes
        -----
        A leader asks the voter with the longest log to start an election at once, whether or not
        that voter has all entries: the missing ones are not stored here either. The other voters
        accept the election as a transfer, since the lease of this leader ends here.
        """
        if self.role is Role.LEADER:
            self._request_successor()
        elif self.no_vote_until_s is not None:
            # The leader that this node forgets here may hold a lease until then.
            lease_end_s = self.leader_contact_s + self.timing.election_min_s
            self.no_vote_until_s = max(self.no_vote_until_s, lease_end_s)
        self._become_follower(self.term, None, now_s)
        return self._take_effects()

    def resume(self, now_s: float) -> None:
        """Take part again, without an election before a leader had the time to make contact."""
        if self.election_due_s is not None:
            self._reset_election_timer(now_s)

    @property
    def state_to_store(self) -> StoredState:
        """State that the disk contains once all save effects so far are carried out."""
        return StoredState(
            self.voter_id, self.term, self.vote, self.log.snapshot, list(self.log.entries)
        )

    def compact(self, index: int, data: bytes) -> list[Effect]:
        """Replace the entries up to an applied index with a snapshot of the state.

        Parameters
        ----------
        index : int
            Index of the last applied entry that `data` covers.
        data : bytes
            Encoded state of the state machine.
        """
        if index <= self.log.snapshot.index:
            return []
        term = self.log.term_at(index)
        snapshot = Snapshot(index, term, self.log.members_at(index), data)
        self.log.compact(snapshot)
        return [SaveSnapshot(snapshot, list(self.log.entries))]

    def _asks_to_join(self, now_s: float) -> bool:
        """Return whether to ask the others for membership.

        A learner that hears from no leader may have been removed without being told.
        """
        if self.is_departing or self.voter_id in self.members.voters:
            return False
        since_contact_s = now_s - self.leader_contact_s
        return not self._is_member(self.voter_id) or since_contact_s > self.timing.election_max_s

    def _is_member(self, voter_id: str) -> bool:
        return voter_id in self.members.voters_and_learners

    def _receive_identity_answer(self, sender: str, message: IdentityAnswer) -> None:
        self.bootstrap.record_identity(sender, message.voter_id, message.has_log)
        self.bootstrap.record_first_start(sender, message.is_first_start)
        may_be_removed = self.role is Role.PRE_CANDIDATE or self.voter_id not in self.members.voters
        if may_be_removed and self.bootstrap.claim_query(message.leader):
            # Only the leader adds members, and it need not be among the initial voters.
            self._send(message.leader, IdentityQuery(self.voter_id, self.has_log))
        if self.has_log or self.log.last_index:
            return
        first_members = self.bootstrap.find_initial_members(message)
        if first_members is None:
            return
        snapshot = Snapshot(INITIAL_SNAPSHOT_INDEX, 0, first_members)
        self.commit_index = INITIAL_SNAPSHOT_INDEX
        self.log.compact(snapshot)
        self.effects.append(SaveSnapshot(snapshot, []))
        self.effects.append(Restore(snapshot))

    def _identity_answer(self) -> IdentityAnswer:
        snapshot = self.log.snapshot
        first_members = snapshot.members if snapshot.index == INITIAL_SNAPSHOT_INDEX else None
        is_first_start = self.bootstrap.may_bootstrap and not self.log.last_index
        return IdentityAnswer(
            self.voter_id, self.has_log, first_members, self.leader, is_first_start
        )

    def _commit(self, index: int) -> None:
        first = self.commit_index + 1
        self.commit_index = index
        while first <= index:
            last = min(index, first + APPLY_BATCH_ENTRIES - 1)
            self.effects.append(Apply(self.log.slice(first, last)))
            first = last + 1

    def _become_follower(self, term: int, leader_id: str | None, now_s: float) -> None:
        if term > self.term:
            self.term = term
            self.vote = None
            self.effects.append(SaveHardState(term, None))
        self._end_leadership()
        changed = self.role is not Role.FOLLOWER or self.leader_id != leader_id
        self.role = Role.FOLLOWER
        self.leader_id = leader_id
        if changed:
            self._reset_election_timer(now_s)
            self._report_role()

    def _end_leadership(self) -> None:
        if self.leader_state is None:
            return
        for read_id, _, _ in self.leader_state.pending_reads:
            self.effects.append(ReadFailed(read_id))
        self.leader_state = None

    def _reset_election_timer(self, now_s: float) -> None:
        timing = self.timing
        self.election_due_s = now_s + self.rng.uniform(timing.election_min_s, timing.election_max_s)

    def _report_role(self) -> None:
        self.effects.append(RoleChanged(self.role, self.term, self.leader))

    def _send(self, peer: str | None, message: object) -> None:
        if peer is not None:
            self.effects.append(Send(peer, message))

    def _take_effects(self) -> list[Effect]:
        effects = self.effects
        self.effects = []
        return effects
