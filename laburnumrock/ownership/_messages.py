"""Messages for the coordinator lease and for pool assignments."""

from dataclasses import dataclass, field

from laburnumrock.messages import register_message


@register_message
@dataclass(frozen=True, slots=True)
class LeaseRequest:
    """Request to grant or renew the coordinator lease.

    Parameters
    ----------
    round_number : int
        Number of the sender's request; never reused, not even after a restart.
    term : int
        Requested term.
    is_holder : bool
        Whether the sender holds the lease, so that this is a renewal.
    """

    round_number: int
    term: int
    is_holder: bool


@register_message
@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """Grant of the lease for `lease_s`, measured from the receipt of the request."""

    round_number: int


@register_message
@dataclass(frozen=True, slots=True)
class LeaseRefusal:
    """Refusal to grant the lease.

    Parameters
    ----------
    round_number : int
        The refused request.
    highest_term : int
        Highest term known to the sender.
    retry_after_s : float
        Time in seconds after which the sender can grant the lease: its grant to another candidate
        has expired then, as has its waiting period after a restart.
    """

    round_number: int
    highest_term: int
    retry_after_s: float


@register_message
@dataclass(frozen=True, slots=True)
class LeaseRelease:
    """Release of the sender's grants for this round and all earlier ones."""

    round_number: int


@dataclass(frozen=True, slots=True)
class HeldPool:
    """A pool and the epoch of its assignment to the sender."""

    pool_id: str
    epoch: int


@dataclass(frozen=True, slots=True)
class PoolSplit:
    """A pool to be replaced by ``2 ** depth`` shards."""

    pool_id: str
    depth: int


@register_message
@dataclass(frozen=True, slots=True)
class AssignmentRequest:
    """Periodic request of an instance to the coordinator to assign pools and renew assignments.

    Parameters
    ----------
    sequence : int
        Number of the request, echoed in the response.
    incarnation : int
        Changes with every start of the sender.
    accepting : bool
        Whether the sender accepts new pools.
    held, released : list of HeldPool
        Pools that the sender owns, and pools that it has released.
    wanted : list of str
        Pools with upstreams that, as far as the sender knows, have no owner.
    known_version : int
        Version of the sender's copy of the owner map.
    period_s : float, optional
        Time until the sender's next request; if absent, the period of an instance with pools.
    splits : list of PoolSplit
        Released pools with more upstreams than one owner should handle.
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
    """Notification that the owner map has changed; the receiver then requests the new one."""

    version: int


@dataclass(frozen=True, slots=True)
class PoolAssignment:
    """Assignment of one pool to the receiver.

    Parameters
    ----------
    pool_id : str
        The pool.
    epoch : int
        Increases with every change of the owner.
    validity_s : float
        Duration in seconds, measured from the time at which the receiver sent its request.
    """

    pool_id: str
    epoch: int
    validity_s: float


@dataclass(frozen=True, slots=True)
class PoolOwner:
    """Owner of a pool as known to the coordinator; a routing hint that may be out of date."""

    instance_id: str
    epoch: int


@register_message
@dataclass(frozen=True, slots=True)
class PoolAssignments:
    """Response of the coordinator to an `AssignmentRequest`.

    Parameters
    ----------
    sequence, incarnation : int
        Number and incarnation of the request.
    assignments : list of PoolAssignment
        Pools that the receiver owns.
    version : int
        Version of the owner map.
    owners : dict from pool id to PoolOwner, optional
        Owner map of the failure domain; omitted if the receiver already has this version.
    give_back : list of str
        Pools that the receiver must release to balance the number of pools per instance.
    """

    sequence: int
    incarnation: int
    assignments: list[PoolAssignment]
    version: int
    owners: dict[str, PoolOwner] | None = None
    give_back: list[str] = field(default_factory=list)
