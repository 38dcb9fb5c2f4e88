"""Raft messages between instances.

Notes
-----
`voter_id` is the identity of the sender and `target_id` the identity of the addressee. An identity
is a random id that is stored in the data folder. An instance that lost its data folder gets a new
identity, so it can't answer for the old one and is not counted as the old one in a quorum.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message


class EntryKind(StrEnum):
    """Content of a log entry."""

    NOOP = "noop"
    MEMBERS = "members"
    COMMAND = "command"


@dataclass(frozen=True, slots=True)
class Entry:
    """One entry of the log.

    Parameters
    ----------
    index : int
        Position in the log, from 1.
    term : int
        Term of the leader that appended the entry.
    kind : EntryKind
        Content of `data`.
    data : bytes
        Encoded membership or command; empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Members:
    """Membership of the Raft group: instance ids by identity.

    Parameters
    ----------
    voters : dict of str to str
        Members that count towards a quorum.
    learners : dict of str to str
        Members that receive the log but do not count towards a quorum yet.
    """

    voters: dict[str, str] = field(default_factory=dict)
    learners: dict[str, str] = field(default_factory=dict)

    @property
    def voters_and_learners(self) -> dict[str, str]:
        """Voters and learners."""
        return {**self.voters, **self.learners}


@dataclass(frozen=True, slots=True)
class VoteRequestBase:
    """Fields that `PreVote` and `Vote` share.

    Parameters
    ----------
    term : int
        Term for which the candidate stands.
    voter_id, target_id : str
        Identities of the candidate and of the voter.
    last_index, last_term : int
        Index and term of the last entry in the candidate's log.
    transfer : bool
        Whether the leader transferred its leadership to the candidate. Voters then grant the vote
        even if they heard from the leader recently.
    """

    term: int
    voter_id: str
    target_id: str
    last_index: int
    last_term: int
    transfer: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class PreVote(VoteRequestBase):
    """Asks whether a vote would be granted, without changing any term."""


@register_message
@dataclass(frozen=True, slots=True)
class Vote(VoteRequestBase):
    """Requests a vote for a term."""


@dataclass(frozen=True, slots=True)
class VoteAnswerBase:
    """Fields that `PreVoteAnswer` and `VoteAnswer` share.

    Parameters
    ----------
    term : int
        Term of the request if the vote is granted, else the current term of the voter.
    voter_id, target_id : str
        Identities of the voter and of the candidate.
    granted : bool
        Whether the vote is granted.
    """

    term: int
    voter_id: str
    target_id: str
    granted: bool


@register_message
@dataclass(frozen=True, slots=True)
class PreVoteAnswer(VoteAnswerBase):
    """Answer to `PreVote`."""


@register_message
@dataclass(frozen=True, slots=True)
class VoteAnswer(VoteAnswerBase):
    """Answer to `Vote`."""


@register_message
@dataclass(frozen=True, slots=True)
class Append:
    """AppendEntries request of the leader; without entries it serves as a heartbeat.

    Parameters
    ----------
    term : int
        Term of the leader.
    voter_id, target_id : str
        Identities of the leader and of the follower.
    previous_index, previous_term : int
        Index and term of the entry that precedes `entries`.
    entries : list of Entry
        Entries to store.
    commit_index : int
        Index of the last entry that the leader knows to be committed.
    round_number : int
        Sequence number of the leader's heartbeat round, echoed in the answer. It tells the leader
        which of its rounds a quorum has confirmed.
    """

    term: int
    voter_id: str
    target_id: str
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    round_number: int


@register_message
@dataclass(frozen=True, slots=True)
class AppendAnswer:
    """Answer to `Append`.

    Parameters
    ----------
    matched : bool
        Whether the follower's log contains the preceding entry.
    index : int
        Last stored entry that matches the leader's log; if not `matched`, the next entry that the
        leader should try to send.
    """

    term: int
    voter_id: str
    target_id: str
    matched: bool
    index: int
    round_number: int


@register_message
@dataclass(frozen=True, slots=True)
class InstallSnapshot:
    """Chunk of a snapshot, for a follower that needs entries that the leader has compacted.

    Parameters
    ----------
    index, index_term : int
        Index and term of the last entry that the snapshot covers.
    members : Members
        Membership as of that entry.
    offset : int
        Offset of `data` in the snapshot, in bytes.
    total_bytes : int
        Size of the whole snapshot.
    """

    term: int
    voter_id: str
    target_id: str
    index: int
    index_term: int
    members: Members
    offset: int
    total_bytes: int
    data: bytes
    round_number: int


@register_message
@dataclass(frozen=True, slots=True)
class InstallSnapshotAnswer:
    """Answer to `InstallSnapshot`: bytes received so far of the snapshot at `index`."""

    term: int
    voter_id: str
    target_id: str
    index: int
    received_bytes: int
    round_number: int


@register_message
@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Tells a voter with an up-to-date log to start an election at once (TimeoutNow in Raft)."""

    term: int
    voter_id: str
    target_id: str


@register_message
@dataclass(frozen=True, slots=True)
class IdentityQuery:
    """Sent by an identity that is no member of a Raft group, to bootstrap or join one.

    Parameters
    ----------
    voter_id : str
        Identity of the sender.
    has_log : bool
        Whether the sender belonged to a group, which has removed it.
    """

    voter_id: str
    has_log: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class IdentityAnswer:
    """Identity of an instance, and the initial membership if the group was bootstrapped.

    Parameters
    ----------
    voter_id : str
        Identity of the answering instance.
    has_log : bool
        Whether the answering instance belongs to a Raft group.
    first_members : Members, optional
        Membership with which the group was bootstrapped; None if the answering instance is in no
        group or has compacted that membership away.
    leader : str, optional
        Instance that the answering one follows as leader, if there is one.
    is_first_start : bool
        Whether the answering instance has run since the first start of the whole system without
        ever having belonged to a group.
    """

    voter_id: str
    has_log: bool
    first_members: Members | None = None
    leader: str | None = None
    is_first_start: bool = False
