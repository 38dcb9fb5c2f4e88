"""Messages of the coordinator lease and of the pool assignments."""

from dataclasses import dataclass, field

from laburnumrock.messages import register_message


@register_message
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request for a grant of the coordinator lease, or for its extension.

    Parameters
    ----------
    round_number : int
        Number of the sender's request; never used twice, also across restarts.
    term : int
        Term that the sender asks for.
    is_holder : bool
        Whether the sender holds the lease.
    """

    round_number: int
    term: int
    is_holder: bool


@register_message
@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grant of the lease for `lease_s`, counted from the receipt of the request."""

    round_number: int


@register_message
@dataclass(frozen=True, slots=True)
class LeaseRefusal:
    """Refusal of the lease.

    Parameters
    ----------
    round_number : int
        The refused request.
    highest_term : int
        Highest term that the sender knows.
    retry_after_s : float
        Time until the sender's grant to another candidate ends, in seconds.
    """

    round_number: int
    highest_term: int
    retry_after_s: float


@register_message
@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """Early end of the grants for this round and all earlier ones."""

    round_number: int


@dataclass(frozen=True, slots=True)
class HeldPool:
    """A pool and the epoch under which its owner holds it."""

    pool_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PoolSplit:
    """A pool that shall be replaced by ``2 ** depth`` shards."""

    pool_id: str
    depth: int


@register_message
@dataclass(frozen=True, slots=True)
class AssignmentRequest:
    """Request of an instance to own pools, sent to the coordinator at a fixed interval.

    Parameters
    ----------
    sequence : int
        Number of the request, repeated in the answer.
    incarnation : int
        Changes with every start of the sender.
    accepting : bool
        Whether the sender may become owner of more pools.
    held, released : list of HeldPool
        Pools that the sender owns, or gives back.
    wanted : list of str
        Pools with upstreams that the sender knows to be without an owner.
    known_version : int
        Version of the owner map that the sender has.
    period_s : float, optional
        Time until the sender's next request; without it, that of an owner.
    splits : list of PoolSplit
        Released pools that have more upstreams than one owner should have.
    """

    sequence: int
    incarnation: int
    accepting: bool
    held: list[HeldPool] = field(default_factory=list)
    released: list[HeldPool] = field(default_factory=list)
    wanted: list[str] = field(default_factory=list)
    known_version: int = 0
    period_s: float | None = None
    splits: list[PoolSplit] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class OwnersChanged:
    """Tells an instance to ask the coordinator at once; sent when the owner map changed."""

    version: int


@dataclass(frozen=True, slots=True)
class PoolAssignment:
    """Ownership of one pool by the receiver.

    Parameters
    ----------
    pool_id : str
        The pool.
    epoch : int
        Grows with every change of the owner.
    validity_s : float
        Duration, counted from the time at which the receiver sent its request, in seconds.
    """

    pool_id: str
    epoch: int
    validity_s: float


@dataclass(frozen=True, slots=True)
class PoolOwner:
    """Owner of a pool as known by the coordinator; a hint for routing."""

    instance_id: str
    epoch: int


@register_message
@dataclass(frozen=True, slots=True)
class PoolAssignments:
    """Answer of the coordinator to an `AssignmentRequest`.

    Parameters
    ----------
    sequence, incarnation : int
        Number and incarnation of the request.
    assignments : list of PoolAssignment
        Pools that the receiver owns.
    version : int
        Version of the owner map.
    owners : dict from pool id to PoolOwner, optional
        Owner map of the failure domain; left out when the receiver has this version.
    give_back : list of str
        Pools that the receiver shall release, since it owns more than its part.
    """

    sequence: int
    incarnation: int
    assignments: list[PoolAssignment]
    version: int
    owners: dict[str, PoolOwner] | None = None
    give_back: list[str] = field(default_factory=list)
