"""Raft as a state machine without I/O.

Notes
-----
Effects are ordered: whoever runs them stores every save effect, syncs, and only then runs the
effects that follow it. So a message never tells of anything that is not durable.

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
from laburnumrock.replication._leader import LeaderState
from laburnumrock.replication._leading import LeadingMixin
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
# The first members are a snapshot at index 1, so that an empty learner always gets a snapshot
# with members before it gets entries.
FIRST_INDEX = 1
TICKS_PER_HEARTBEAT = 4


class RaftNode(VotingMixin, FollowerMixin, LeadingMixin):
    """One voter or learner of the replicated log.

    Parameters
    ----------
    instance_id : str
        Name of this instance.
    initial_voters : list of str
        Instances that form the log at first start.
    timing : TimingSettings
        `heartbeat_s`, `election_min_s` and `election_max_s` are used.
    stored : StoredState
        What the data folder holds.
    source : random.Random
        Source of election timeouts.
    may_bootstrap : bool
        Whether this instance may form a new log; False once the system has had one.
    """

    def __init__(
        self,
        instance_id: str,
        initial_voters: list[str],
        timing: TimingSettings,
        stored: StoredState,
        source: random.Random,
        may_bootstrap: bool = True,
    ) -> None:
        self.instance_id = instance_id
        self.timing = timing
        self.source = source
        self.voter_id = stored.voter_id
        self.term = stored.term
        self.vote = stored.vote
        self.log = RaftLog(stored.snapshot, stored.entries)
        self.commit_index = stored.snapshot.index
        self.role = Role.FOLLOWER
        self.leader_id: str | None = None
        self.leader_heard_s = float("-inf")
        self.election_due_s: float | None = None
        self.quiet_until_s: float | None = None
        self.votes: set[str] = set()
        self.leader_state: LeaderState | None = None
        self.bootstrap = Bootstrap(
            instance_id, self.voter_id, initial_voters, timing, may_bootstrap
        )
        self.partial_snapshot: Snapshot | None = None
        self.effects: list[Effect] = []
        self.receivers = {
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
        """Latest members in the log, committed or not."""
        return self.log.members

    @property
    def has_log(self) -> bool:
        """Whether this identity belongs to a log."""
        return bool(self.members.voters)

    @property
    def leader(self) -> str | None:
        """Instance that leads, as far as known."""
        if self.leader_id is None:
            return None
        return self.members.voters_and_learners.get(self.leader_id)

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a message from another instance.

        Parameters
        ----------
        sender : str
            Instance that sent it.
        message : object
            Message of this package.
        now_s : float
            Monotonic clock in seconds.

        Returns
        -------
        list of Effect
            To be run in order.
        """
        if self.has_log and message.voter_id not in self.members.voters_and_learners:
            # A new instance, or a voter that was removed while it was cut off.
            self.bootstrap.note_outsider(sender, message.voter_id, now_s)
        if isinstance(message, IdentityQuery):
            self.bootstrap.note_identity(sender, message.voter_id, self.has_log)
            self._send(sender, self._identity_answer())
        elif isinstance(message, IdentityAnswer):
            self._receive_identity(sender, message)
        elif message.target_id == self.voter_id:
            self.receivers[type(message)](sender, message, now_s)
        return self._take_effects()

    def tick(self, now_s: float) -> list[Effect]:
        """Handle the passing of time; to be called a few times per heartbeat interval."""
        if not self.has_log:
            for peer in self.bootstrap.queries_due(now_s):
                self._send(peer, IdentityQuery(self.voter_id))
            return self._take_effects()
        if self.election_due_s is None:
            self._reset_election(now_s)
            if self.quiet_until_s is None:
                self.quiet_until_s = now_s + self.timing.election_min_s
        if self.role is Role.LEADER:
            self._tick_leader(now_s)
        elif now_s >= self.election_due_s:
            self._reset_election(now_s)
            if self.voter_id in self.members.voters:
                self._start_pre_vote(now_s)
        return self._take_effects()

    def next_tick_s(self, now_s: float) -> float:
        """Return the clock reading at which a tick is needed next, in seconds."""
        if not self.has_log or self.election_due_s is None or self.members.learners:
            return now_s + self.timing.heartbeat_s / TICKS_PER_HEARTBEAT
        if self.role is not Role.LEADER:
            return self.election_due_s
        contact_s = self.leader_state.quorum_contact_s(self.members, now_s)
        due_s = min(self.leader_state.heartbeat_due_s, contact_s + self.timing.election_min_s)
        if self.leader_state.transfer_target is not None:
            due_s = min(due_s, self.leader_state.transfer_ends_s)
        return due_s

    def compact(self, index: int, data: bytes) -> list[Effect]:
        """Replace the entries up to an applied index by a snapshot of the state.

        Parameters
        ----------
        index : int
            Last applied entry that `data` contains.
        data : bytes
            Encoded state.
        """
        if index <= self.log.snapshot.index:
            return []
        term = self.log.term_at(index)
        snapshot = Snapshot(index, term, self.log.members_at(index), data)
        self.log.compact(snapshot)
        return [SaveSnapshot(snapshot, list(self.log.entries))]

    def _receive_identity(self, sender: str, message: IdentityAnswer) -> None:
        self.bootstrap.note_identity(sender, message.voter_id, message.has_log)
        if self.has_log or self.log.last_index:
            return
        first_members = self.bootstrap.form_members(message)
        if first_members is None:
            return
        snapshot = Snapshot(FIRST_INDEX, 0, first_members)
        self.commit_index = FIRST_INDEX
        self.log.compact(snapshot)
        self.effects.append(SaveSnapshot(snapshot, []))
        self.effects.append(Restore(snapshot))

    def _identity_answer(self) -> IdentityAnswer:
        snapshot = self.log.snapshot
        first_members = snapshot.members if snapshot.index == FIRST_INDEX else None
        return IdentityAnswer(self.voter_id, self.has_log, first_members)

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
            self._reset_election(now_s)
            self._report_role()

    def _end_leadership(self) -> None:
        if self.leader_state is None:
            return
        for read_id, _, _ in self.leader_state.reads:
            self.effects.append(ReadFailed(read_id))
        self.leader_state = None

    def _reset_election(self, now_s: float) -> None:
        timing = self.timing
        self.election_due_s = now_s + self.source.uniform(
            timing.election_min_s, timing.election_max_s
        )

    def _report_role(self) -> None:
        self.effects.append(RoleChanged(self.role, self.term, self.leader))

    def _send(self, peer: str | None, message: object) -> None:
        if peer is not None:
            self.effects.append(Send(peer, message))

    def _take_effects(self) -> list[Effect]:
        effects = self.effects
        self.effects = []
        return effects
