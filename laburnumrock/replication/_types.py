"""Stored state and effects of a voter."""

from dataclasses import dataclass, field
from enum import StrEnum

import cbor2

from laburnumrock.messages import Effect, from_plain, to_plain
from laburnumrock.replication._messages import Entry, Members


class Role(StrEnum):
    """Role of a voter in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Snapshot:
    """State after an entry; replaces all entries up to it.

    Parameters
    ----------
    index, term : int
        Last entry that the state contains; 0 for an empty log.
    members : Members
        Members as of that entry.
    data : bytes
        State as the state machine encodes it.
    """

    index: int = 0
    term: int = 0
    members: Members = field(default_factory=Members)
    data: bytes = b""


@dataclass(slots=True)
class StoredState:
    """What a voter reads from its data folder at start."""

    voter_id: str
    term: int = 0
    vote: str | None = None
    snapshot: Snapshot = field(default_factory=Snapshot)
    entries: list[Entry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class SaveHardState(Effect):
    """Store term and vote before any later effect."""

    term: int
    vote: str | None


@dataclass(frozen=True, slots=True)
class SaveEntries(Effect):
    """Store entries, replacing all from the first one's index on, before any later effect."""

    entries: list[Entry]


@dataclass(frozen=True, slots=True)
class SaveSnapshot(Effect):
    """Store a snapshot and the entries after it before any later effect."""

    snapshot: Snapshot
    entries: list[Entry]


@dataclass(frozen=True, slots=True)
class Apply(Effect):
    """Apply committed entries to the state machine."""

    entries: list[Entry]


@dataclass(frozen=True, slots=True)
class Restore(Effect):
    """Replace the state of the state machine by a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class ReadReady(Effect):
    """A read is confirmed: state up to `index` answers it."""

    read_id: int
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed(Effect):
    """The instance stopped leading before the read was confirmed."""

    read_id: int


@dataclass(frozen=True, slots=True)
class RoleChanged(Effect):
    """The role or the known leader changed."""

    role: Role
    term: int
    leader: str | None


@dataclass(frozen=True, slots=True)
class Proposal:
    """Position of a proposed entry, and the effects to run."""

    index: int
    term: int
    effects: list[Effect]


def encode_members(members: Members) -> bytes:
    """Encode members for a log entry."""
    return cbor2.dumps(to_plain(members))


def decode_members(data: bytes) -> Members:
    """Decode the members of a log entry."""
    return from_plain(Members, cbor2.loads(data))
