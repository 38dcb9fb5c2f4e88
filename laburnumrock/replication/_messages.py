"""Messages between voters.

Notes
-----
`voter_id` names the sending identity and `target_id` the identity that the message is meant for.
An instance that lost its data folder has a new identity, so that it neither answers for the old
one nor is counted as it.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message


class EntryKind(StrEnum):
    """What an entry of the log carries."""

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
        Term of the leader that appended it.
    kind : EntryKind
        What `data` holds.
    data : bytes
        Encoded members or command; empty for a no-op.
    """

    index: int
    term: int
    kind: EntryKind
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class Members:
    """Voters and learners, from identity to instance.

    Parameters
    ----------
    voters : dict of str to str
        Identities that count towards a quorum.
    learners : dict of str to str
        Identities that receive the log but do not count yet.
    """

    voters: dict[str, str] = field(default_factory=dict)
    learners: dict[str, str] = field(default_factory=dict)

    @property
    def voters_and_learners(self) -> dict[str, str]:
        """Voters and learners."""
        return {**self.voters, **self.learners}


@dataclass(frozen=True, slots=True)
class Candidacy:
    """Fields of the two vote requests.

    Parameters
    ----------
    term : int
        Term of the candidacy.
    voter_id, target_id : str
        Sending identity and the identity that is asked.
    last_index, last_term : int
        Last entry of the candidate's log.
    transfer : bool
        Whether the leader handed over its leadership, so that voters need not wait for silence.
    """

    term: int
    voter_id: str
    target_id: str
    last_index: int
    last_term: int
    transfer: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class PreVote(Candidacy):
    """Asks whether a vote would be granted; changes no term."""


@register_message
@dataclass(frozen=True, slots=True)
class Vote(Candidacy):
    """Asks for the vote of a term."""


@dataclass(frozen=True, slots=True)
class CandidacyAnswer:
    """Fields of the two vote answers.

    Parameters
    ----------
    term : int
        Term of the candidacy when granted, otherwise the voter's term.
    voter_id, target_id : str
        Answering identity and the candidate.
    granted : bool
        Whether the vote is given.
    """

    term: int
    voter_id: str
    target_id: str
    granted: bool


@register_message
@dataclass(frozen=True, slots=True)
class PreVoteAnswer(CandidacyAnswer):
    """Answer to `PreVote`."""


@register_message
@dataclass(frozen=True, slots=True)
class VoteAnswer(CandidacyAnswer):
    """Answer to `Vote`."""


@register_message
@dataclass(frozen=True, slots=True)
class Append:
    """Entries, or a heartbeat without entries.

    Parameters
    ----------
    term : int
        Term of the leader.
    voter_id, target_id : str
        Leader and follower.
    previous_index, previous_term : int
        Entry that precedes the sent ones.
    entries : list of Entry
        Entries to store.
    commit_index : int
        Last committed entry that the leader knows.
    round_number : int
        Number of the leader's confirmation round, echoed in the answer.
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
        Whether the preceding entry matched.
    index : int
        Last stored entry that matches the leader, or the next entry to try when not `matched`.
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
    """Part of a snapshot for a follower whose entries the leader no longer holds.

    Parameters
    ----------
    index, index_term : int
        Last entry that the snapshot contains.
    members : Members
        Members as of that entry.
    offset : int
        Position of `data` in the snapshot, in bytes.
    total_bytes : int
        Size of the snapshot.
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
    """Answer to `InstallSnapshot`: how many bytes of the snapshot at `index` are held."""

    term: int
    voter_id: str
    target_id: str
    index: int
    received_bytes: int
    round_number: int


@register_message
@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Tells a caught-up voter to stand for election at once."""

    term: int
    voter_id: str
    target_id: str


@register_message
@dataclass(frozen=True, slots=True)
class IdentityQuery:
    """Sent by an identity that belongs to no log yet, to form or join one."""

    voter_id: str


@register_message
@dataclass(frozen=True, slots=True)
class IdentityAnswer:
    """Identity of an instance, and the first members when a log was formed.

    Parameters
    ----------
    voter_id : str
        Identity of the answering instance.
    has_log : bool
        Whether the answering instance belongs to a log.
    first_members : Members, optional
        Members with which the log was formed, while the answering instance still knows them.
    """

    voter_id: str
    has_log: bool
    first_members: Members | None = None
