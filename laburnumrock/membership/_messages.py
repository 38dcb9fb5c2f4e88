"""Messages of the membership protocol."""

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from laburnumrock.messages import register_message


class MemberState(StrEnum):
    """State of a member, as another instance knows it."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class MemberUpdate:
    """State change of one member.

    Parameters
    ----------
    instance_id : str
        Instance id of the member.
    state : MemberState
        State of the member.
    incarnation : int
        Incarnation of the member to which the state belongs.
    """

    instance_id: str
    state: MemberState
    incarnation: int


@register_message
@dataclass(frozen=True, slots=True)
class Ping:
    """Probe of a member.

    Parameters
    ----------
    sequence : int
        Sequence number of the probe, echoed in the answer.
    incarnation : int
        Incarnation of the sender.
    updates : list of MemberUpdate
        Membership updates: at most `MAX_UPDATES`, and possibly one more about the receiver.
    facts : dict
        Plain data of other packages, such as the revision of the declarations.
    """

    sequence: int
    incarnation: int
    updates: list[MemberUpdate] = field(default_factory=list)
    facts: dict[str, Any] = field(default_factory=dict)


@register_message
@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request to probe a member on behalf of the sender.

    Parameters
    ----------
    sequence : int
        Sequence number of the sender's probe.
    incarnation : int
        Incarnation of the sender.
    target : str
        Member to probe.
    updates : list of MemberUpdate
        Membership updates as in `Ping`.
    """

    sequence: int
    incarnation: int
    target: str
    updates: list[MemberUpdate] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class Ack:
    """Answer to a probe, sent by the probed member or relayed by another one.

    Parameters
    ----------
    sequence : int
        Sequence number of the probe.
    member : str
        Member that was probed.
    incarnation : int
        Incarnation of that member.
    updates : list of MemberUpdate
        Membership updates as in `Ping`.
    facts : dict
        Plain data as in `Ping`; empty in a relayed ack.
    """

    sequence: int
    member: str
    incarnation: int
    updates: list[MemberUpdate] = field(default_factory=list)
    facts: dict[str, Any] = field(default_factory=dict)


@register_message
@dataclass(frozen=True, slots=True)
class DomainDigest:
    """Summary of one failure domain, sent to instances of the other failure domains.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the sender.
    version : int
        Increases with every change of the sender's member table.
    live : list of str
        Live instances of the failure domain, as the sender sees them.
    reports : list
        Plain data of other packages, such as the load of pools.
    coordinator : str, optional
        Coordinator of the failure domain as far as the sender knows.
    """

    failure_domain: str
    version: int
    live: list[str]
    reports: list[Any] = field(default_factory=list)
    coordinator: str | None = None
