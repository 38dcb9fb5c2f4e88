"""Elections and leadership transfer of `RaftNode`."""

from laburnumrock.replication._messages import (
    PreVote,
    PreVoteAnswer,
    TransferLeadership,
    Vote,
    VoteAnswer,
    VoteAnswerBase,
    VoteRequestBase,
)
from laburnumrock.replication._types import Role, SaveHardState


class VotingMixin:
    """Methods of `RaftNode` for pre-vote, vote and leadership transfer."""

    def _start_pre_vote(self, now_s: float) -> None:
        self.role = Role.PRE_CANDIDATE
        self.leader_id = None
        self.votes = {self.voter_id}
        self.bootstrap.queried = {self.instance_id}
        self._report_role()
        self._request_votes(PreVote, self.term + 1, False)
        self._count_votes(now_s)

    def _start_election(self, transfer: bool, now_s: float) -> None:
        self.role = Role.CANDIDATE
        self.leader_id = None
        self.term += 1
        self.vote = self.voter_id
        self.votes = {self.voter_id}
        self.effects.append(SaveHardState(self.term, self.vote))
        self._reset_election_timer(now_s)
        self._request_votes(Vote, self.term, transfer)
        self._count_votes(now_s)

    def _request_votes(self, cls: type[VoteRequestBase], term: int, transfer: bool) -> None:
        log = self.log
        for target_id, peer in self.members.voters.items():
            if target_id != self.voter_id:
                request = cls(
                    term, self.voter_id, target_id, log.last_index, log.last_term, transfer
                )
                self._send(peer, request)

    def _count_votes(self, now_s: float) -> None:
        granted = len(self.votes & self.members.voters.keys())
        if granted <= len(self.members.voters) // 2:
            return
        if self.role is Role.PRE_CANDIDATE:
            self._start_election(False, now_s)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now_s)

    def _receive_pre_vote(self, sender: str, message: PreVote, now_s: float) -> None:
        granted = (
            message.term > self.term
            and self.has_log
            and not self._has_active_leader(now_s)
            and self._is_up_to_date(message)
        )
        term = message.term if granted else self.term
        self._send(sender, PreVoteAnswer(term, self.voter_id, message.voter_id, granted))

    def _receive_vote(self, sender: str, message: Vote, now_s: float) -> None:
        # While the leader is active, a vote request must not depose it by raising the term.
        if not self.has_log or (not message.transfer and self._has_active_leader(now_s)):
            return
        if message.term > self.term:
            self._become_follower(message.term, None, now_s)
        granted = (
            message.term == self.term
            and self.vote in (None, message.voter_id)
            and self._is_up_to_date(message)
        )
        if granted:
            if self.vote is None:
                self.vote = message.voter_id
                self.effects.append(SaveHardState(self.term, self.vote))
            self._reset_election_timer(now_s)
        self._send(sender, VoteAnswer(self.term, self.voter_id, message.voter_id, granted))

    def _receive_vote_answer(self, sender: str, message: VoteAnswerBase, now_s: float) -> None:
        if not message.granted:
            if message.term > self.term:
                self._become_follower(message.term, None, now_s)
            return
        pre_vote = isinstance(message, PreVoteAnswer)
        role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        term = self.term + 1 if pre_vote else self.term
        if self.role is role and message.term == term:
            self.votes.add(message.voter_id)
            self._count_votes(now_s)

    def _receive_transfer(self, sender: str, message: TransferLeadership, now_s: float) -> None:
        if message.term == self.term and self.voter_id in self.members.voters:
            self._start_election(True, now_s)

    def _has_active_leader(self, now_s: float) -> bool:
        if self.role is Role.LEADER:
            return True
        if self.no_vote_until_s is None:
            # A leader that this node acknowledged before its restart may still hold a lease.
            self.no_vote_until_s = now_s + self.timing.election_min_s
        if now_s < self.no_vote_until_s:
            return True
        since_contact_s = now_s - self.leader_contact_s
        return self.leader_id is not None and since_contact_s < self.timing.election_min_s

    def _is_up_to_date(self, message: VoteRequestBase) -> bool:
        theirs = (message.last_term, message.last_index)
        return theirs >= (self.log.last_term, self.log.last_index)
