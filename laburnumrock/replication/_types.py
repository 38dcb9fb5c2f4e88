"""Persistent state of a Raft node and the effects that it returns."""

from dataclasses import dataclass, field
from enum import StrEnum

import cbor2

from laburnumrock.messages import Effect, from_plain, to_plain
from laburnumrock.replication._messages import Entry, Members


class Role(StrEnum):
    """Role of a Raft node in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Snapshot of the state machine; replaces all log entries up to `index`.

    Parameters
    ----------
    index, term : int
        Index and term of the last entry that the snapshot covers; 0 for an empty log.
    members : Members
        Membership as of that entry.
    data : bytes
        Encoded state of the state machine.
    """

    index: int = 0
    term: int = 0
    members: Members = field(default_factory=Members)
    data: bytes = b""


@dataclass(slots=True)
class StoredState:
    """Persistent state that a node reads from its data folder at start."""

    voter_id: str
    term: int = 0
    vote: str | None = None
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SaveHardState(Effect):
    """Persist term and vote before any later effect runs."""

    term: int
    vote: str | None


@dataclass(frozen=True, slots=True)
class SaveEntries(Effect):
    """Persist entries before any later effect runs.

    Stored entries from the index of the first new one on are replaced.
    """

    entries: list[Entry]


@dataclass(frozen=True, slots=True)
class SaveSnapshot(Effect):
    """Persist a snapshot and the entries after it before any later effect runs."""

    snapshot: Snapshot
    entries: list[Entry]


@dataclass(frozen=True, slots=True)
class Apply(Effect):
    """Apply committed entries to the state machine."""

    entries: list[Entry]


@dataclass(frozen=True, slots=True)
class Restore(Effect):
    """Replace the state of the state machine with a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady(Effect):
    """A linearizable read may be served once the entries up to `index` are applied."""

    read_id: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed(Effect):
    """The node lost leadership before a quorum confirmed the read."""

    read_id: int


@dataclass(frozen=True, slots=True)
class RoleChanged(Effect):
    """The role of the node or the leader that it knows changed."""

    role: Role
    term: int
    leader: str | None


@dataclass(frozen=True, slots=True)
class Proposal:
    """Index and term of a proposed entry, and the effects to run."""

    index: int
    term: int
    effects: list[Effect]


def encode_members(members: Members) -> bytes:
    """Encode the membership for a log entry."""
    return cbor2.dumps(to_plain(members))


def decode_members(data: bytes) -> Members:
    """Decode the membership from a log entry."""
    return from_plain(Members, cbor2.loads(data))
