"""Leader role of `RaftNode`: replication, reads, membership changes, leadership transfer."""

from laburnumrock.messages import Effect
from laburnumrock.replication._leader_state import LeaderState
from laburnumrock.replication._messages import (
    AppendAnswer,
    Entry,
    EntryKind,
    InstallSnapshotAnswer,
    Members,
    TransferLeadership,
)
from laburnumrock.replication._types import (
    Proposal,
    ReadReady,
    Role,
    SaveEntries,
    encode_members,
)

# A learner that lacks at most this many entries may be promoted to voter.
CAUGHT_UP_ENTRIES = 100


class LeaderMixin:
    """Methods of `RaftNode` for the leader role."""

    def propose(self, data: bytes, now_s: float) -> Proposal | None:
        """Append a command to the log and replicate it.

        Parameters
        ----------
        data : bytes
            Encoded command.
        now_s : float
            Monotonic clock in seconds.

        Returns
        -------
        Proposal, optional
            Position of the entry and the effects to run. None if this node does not accept
            commands because it is not the leader or is transferring leadership; nothing was
            appended then.
        """
        leader_state = self.leader_state
        if leader_state is None or leader_state.transfer_target is not None:
            return None
        entry = self._append_entry(EntryKind.COMMAND, data, now_s)
        return Proposal(entry.index, entry.term, self._take_effects())

    def read(self, read_id: int, now_s: float) -> list[Effect] | None:
        """Start a linearizable read by confirming leadership with a quorum (ReadIndex).

        Parameters
        ----------
        read_id : int
            Identifies the read in `ReadReady` or `ReadFailed`.

        Returns
        -------
        list of Effect, optional
            None if this node is not the leader or has not committed an entry of its term yet.
        """
        leader_state = self.leader_state
        if leader_state is None or self.commit_index < leader_state.term_start_index:
            return None
        leader_state.start_round(now_s)
        leader_state.pending_reads.append((read_id, leader_state.round_number, self.commit_index))
        for target_id, progress in leader_state.progress.items():
            heartbeat = None
            if progress.waiting:
                heartbeat = leader_state.make_heartbeat(target_id, self.log, self.commit_index)
            if heartbeat is None:
                self._replicate(target_id)
            else:
                self._send(self.members.voters_and_learners.get(target_id), heartbeat)
        self._finish_reads()
        return self._take_effects()

    def add_learner(self, instance_id: str, now_s: float) -> list[Effect] | None:
        """Add an instance as a learner, to be promoted to voter later.

        Returns
        -------
        list of Effect, optional
            None if a membership change cannot start now or the identity of the instance is unknown.

        Notes
        -----
        The learner is promoted once its log has caught up. A voter with an older identity of the
        same instance is removed before the promotion.
        """
        voter_id = self.bootstrap.identities.get(instance_id)
        if voter_id is None or not self._can_change_members():
            return None
        if voter_id not in self.members.voters_and_learners:
            learners = {**self.members.learners, voter_id: instance_id}
            self._change_members(Members(self.members.voters, learners), now_s)
        return self._take_effects()

    def remove_member(self, instance_id: str, now_s: float) -> list[Effect] | None:
        """Remove all identities of an instance; None if the change cannot start now."""
        if not self._can_change_members():
            return None
        voters = _without_instance(self.members.voters, instance_id)
        learners = _without_instance(self.members.learners, instance_id)
        if not voters or len(self.members.voters) - len(voters) > 1:
            return None
        if Members(voters, learners) != self.members:
            self._change_members(Members(voters, learners), now_s)
        return self._take_effects()

    def transfer(self, now_s: float) -> list[Effect]:
        """Transfer leadership to the most up-to-date voter; commands are rejected meanwhile."""
        leader_state = self.leader_state
        others = [
            voter_id
            for voter_id in self.members.voters
            if leader_state is not None and voter_id in leader_state.progress
        ]
        if others:
            best = max(others, key=lambda voter_id: leader_state.progress[voter_id].match_index)
            leader_state.transfer_target = best
            leader_state.transfer_ends_s = now_s + self.timing.election_max_s
            self._finish_transfer()
        return self._take_effects()

    def _request_successor(self) -> None:
        """Ask the best other voter to start an election, even if it lacks entries.

        The caller ends the lease of this leader in the same step.
        """
        progress = self.leader_state.progress
        others = [voter_id for voter_id in self.members.voters if voter_id in progress]
        if others:
            best = max(
                others, key=lambda name: (progress[name].match_index, progress[name].acked_s)
            )
            message = TransferLeadership(self.term, self.voter_id, best)
            self._send(self.members.voters[best], message)

    def lease_ends_s(self, now_s: float) -> float:
        """End of the leader lease: until then no other node can win an election without a transfer.

        Returns
        -------
        float
            Monotonic clock in seconds; minus infinity if this node is not the leader or is
            transferring leadership.
        """
        if self.leader_state is None or self.leader_state.transfer_target is not None:
            return float("-inf")
        contact_s = self.leader_state.quorum_contact_s(self.members, now_s)
        return contact_s + self.timing.election_min_s

    def _become_leader(self, now_s: float) -> None:
        self.role = Role.LEADER
        self.leader_id = self.voter_id
        term_start_index = self.log.last_index + 1
        self.leader_state = LeaderState(self.voter_id, self.term, now_s, term_start_index)
        self.leader_state.update_followers(self.members, term_start_index, now_s)
        self._report_role()
        self._append_entry(EntryKind.NOOP, b"", now_s)
        self._send_heartbeats(now_s)

    def _append_entry(self, kind: EntryKind, data: bytes, now_s: float) -> Entry:
        entry = Entry(self.log.last_index + 1, self.term, kind, data)
        self.log.store([entry])
        self.effects.append(SaveEntries([entry]))
        self.leader_state.update_followers(self.members, entry.index, now_s)
        for target_id, progress in self.leader_state.progress.items():
            if not progress.waiting:
                self._replicate(target_id)
        self._advance_commit(now_s)
        return entry

    def _tick_leader(self, now_s: float) -> None:
        leader_state = self.leader_state
        contact_s = leader_state.quorum_contact_s(self.members, now_s)
        if contact_s + self.timing.election_min_s < now_s:
            self._become_follower(self.term, None, now_s)
            return
        if leader_state.transfer_target is not None and now_s >= leader_state.transfer_ends_s:
            # The target may still receive `TransferLeadership` and be elected, which would violate
            # the lease, so the node steps down.
            self._become_follower(self.term, None, now_s)
            return
        if now_s >= leader_state.heartbeat_due_s:
            self._send_heartbeats(now_s)
        self._promote_learners(now_s)

    def _send_heartbeats(self, now_s: float) -> None:
        leader_state = self.leader_state
        leader_state.heartbeat_due_s = now_s + self.timing.heartbeat_s
        leader_state.start_round(now_s)
        leader_state.drop_old_rounds(now_s - 4 * self.timing.election_max_s)
        for target_id in leader_state.progress:
            self._replicate(target_id)

    def _replicate(self, target_id: str) -> None:
        message = self.leader_state.make_message(target_id, self.log, self.commit_index)
        self._send(self.members.voters_and_learners.get(target_id), message)

    def _receive_append_answer(self, sender: str, message: AppendAnswer, now_s: float) -> None:
        progress = self._record_answer(message, now_s)
        if progress is None:
            return
        if message.matched:
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(progress.next_index, progress.match_index + 1)
            self._advance_commit(now_s)
            self._finish_transfer()
        else:
            retry = min(message.index, progress.next_index - 1)
            progress.next_index = max(retry, progress.match_index + 1)
        self._send_next(message.voter_id, progress, not message.matched)

    def _receive_snapshot_answer(
        self, sender: str, message: InstallSnapshotAnswer, now_s: float
    ) -> None:
        progress = self._record_answer(message, now_s)
        if progress is None or message.index != progress.snapshot_index:
            return
        progress.snapshot_offset = message.received_bytes
        snapshot = self.log.snapshot
        done = message.index == snapshot.index and message.received_bytes >= len(snapshot.data)
        if done:
            progress.match_index = max(progress.match_index, message.index)
            progress.next_index = max(progress.next_index, message.index + 1)
            progress.snapshot_index = 0
        self._send_next(message.voter_id, progress, not done)

    def _record_answer(self, message: AppendAnswer | InstallSnapshotAnswer, now_s: float):
        if message.term > self.term:
            self._become_follower(message.term, None, now_s)
        leader_state = self.leader_state
        if leader_state is None or message.term != self.term:
            return None
        progress = leader_state.progress.get(message.voter_id)
        if progress is not None:
            leader_state.acknowledge(message.voter_id, message.round_number)
            if message.round_number >= progress.sent_round:
                progress.waiting = False
            self._finish_reads()
        return progress

    def _send_next(self, target_id: str, progress, must_send: bool) -> None:
        # The commit may have removed the follower or made this node step down.
        if self.leader_state is None or target_id not in self.leader_state.progress:
            return
        if progress.waiting:
            return
        if must_send or progress.next_index <= self.log.last_index:
            self._replicate(target_id)

    def _advance_commit(self, now_s: float) -> None:
        index = self.leader_state.quorum_match(self.members, self.log.last_index)
        # Only entries of the current term are committed by counting replicas (Ongaro, 3.6.2).
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return
        self._commit(index)
        removed = self.voter_id not in self.members.voters
        if removed and self.log.members_index <= self.commit_index:
            self._request_successor()
            self._become_follower(self.term, None, now_s)

    def _finish_reads(self) -> None:
        leader_state = self.leader_state
        confirmed = leader_state.quorum_round(self.members)
        unconfirmed = []
        for read_id, round_number, index in leader_state.pending_reads:
            if round_number <= confirmed:
                self.effects.append(ReadReady(read_id, index))
            else:
                unconfirmed.append((read_id, round_number, index))
        leader_state.pending_reads = unconfirmed

    def _finish_transfer(self) -> None:
        leader_state = self.leader_state
        if leader_state is None or leader_state.transfer_target is None:
            return
        target_id = leader_state.transfer_target
        progress = leader_state.progress.get(target_id)
        if progress is not None and progress.match_index == self.log.last_index:
            message = TransferLeadership(self.term, self.voter_id, target_id)
            self._send(self.members.voters.get(target_id), message)

    def _can_change_members(self) -> bool:
        leader_state = self.leader_state
        return (
            leader_state is not None
            and leader_state.transfer_target is None
            and self.commit_index >= leader_state.term_start_index
            and self.commit_index >= self.log.members_index
        )

    def _change_members(self, members: Members, now_s: float) -> None:
        self._append_entry(EntryKind.MEMBERS, encode_members(members), now_s)

    def _promote_learners(self, now_s: float) -> None:
        if not self._can_change_members():
            return
        for voter_id, instance_id in self.members.learners.items():
            match_index = self.leader_state.progress[voter_id].match_index
            needed = max(
                self.log.last_index - CAUGHT_UP_ENTRIES, self.leader_state.term_start_index
            )
            if match_index < needed:
                continue
            voters = _without_instance(self.members.voters, instance_id)
            learners = self.members.learners
            if voters == self.members.voters:
                voters = {**voters, voter_id: instance_id}
                learners = {key: name for key, name in learners.items() if key != voter_id}
            self._change_members(Members(voters, learners), now_s)
            return


def _without_instance(identities: dict[str, str], instance_id: str) -> dict[str, str]:
    return {key: name for key, name in identities.items() if name != instance_id}
