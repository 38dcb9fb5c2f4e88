"""Messages between entry instances and the owners of pools."""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import register_message


class PermitOutcome(StrEnum):
    """Outcome of the attempt for which a permit was granted."""

    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    OVERLOADED = "overloaded"
    COLD = "cold"
    CRASHED = "crashed"


@dataclass(frozen=True, slots=True)
class Placement:
    """Part of a request on one upstream.

    Parameters
    ----------
    upstream_id, base_url : str
        Id and HTTP address of the upstream.
    kv_tokens : int
        KV memory allocated on the upstream, in tokens.
    first_token_index : int
        Index of the first prompt token of this part; 0 unless the prompt spans upstreams.
    """

    upstream_id: str
    base_url: str
    kv_tokens: int = 0
    first_token_index: int = 0


@register_message
@dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request for a permit to send one attempt of a request to an upstream.

    Parameters
    ----------
    request_id : str
        Id of the caller's request.
    attempt : int
        Number of the attempt, from 1.
    client_account, caller : str
        Client account and the caller inside it.
    model : str
        Name of the model, or of a service other than a model engine.
    prompt_tokens, max_output_tokens : int
        Sizes in tokens; 0 for such a service.
    remaining_s : float
        Time until the deadline, in seconds.
    priority : int
        Higher is more urgent.
    adapter, version : str, optional
        Required adapter and model version.
    prefix_hashes : list of str
        Hashes of the prompt's prefixes, shortest first.
    excluded_upstreams : list of str
        Upstreams on which earlier attempts failed.
    pool_id : str
        Requested pool; empty if the receiver owns a single pool.
    request_name : str
        Name of the request in the quarantine, which its repeats have too.
    """

    request_id: str
    attempt: int
    client_account: str
    caller: str
    model: str
    prompt_tokens: int
    max_output_tokens: int
    remaining_s: float
    priority: int = 0
    adapter: str | None = None
    version: str | None = None
    prefix_hashes: list[str] = field(default_factory=list)
    excluded_upstreams: list[str] = field(default_factory=list)
    pool_id: str = ""
    request_name: str = ""

    @property
    def crash_names(self) -> list[str]:
        """Names under which the quarantine knows the request and the prefixes of its prompt."""
        return [*self.prefix_hashes, self.request_name] if self.request_name else self.prefix_hashes


@register_message
@dataclass(frozen=True, slots=True)
class PermitGrant:
    """Permit to send one attempt of a request to the named upstreams.

    Parameters
    ----------
    permit_id : str
        Unique id of the permit.
    request_id : str
        Id of the caller's request.
    attempt : int
        Attempt for which the permit is valid.
    owner_epoch : int
        Epoch of the pool owner that granted it.
    placements : list of Placement
        Parts of the request; more than one for a prompt that spans upstreams.
    ttl_s : float
        Time after which the permit expires unless it is renewed, in seconds.
    """

    permit_id: str
    request_id: str
    attempt: int
    owner_epoch: int
    placements: list[Placement]
    ttl_s: float


@register_message
@dataclass(frozen=True, slots=True)
class PermitRefusal:
    """Final refusal of a permit; nothing was sent to an upstream.

    Parameters
    ----------
    request_id : str
        Id of the caller's request.
    kind : ErrorKind
        Reason for the refusal.
    retry_after_s : float, optional
        Time after which a retry may succeed, in seconds.
    detail : str
        Reason as text.
    attempt : int
        Attempt that is refused.
    """

    request_id: str
    kind: ErrorKind
    retry_after_s: float | None = None
    detail: str = ""
    attempt: int = 1


@register_message
@dataclass(frozen=True, slots=True)
class PermitRenewal:
    """Renewal of the permits of an entry instance, with the state that a new owner needs.

    Parameters
    ----------
    pool_id : str
        Pool of the permits.
    grants : list of PermitGrant
        Permits in use that were granted by other owners, sent in full.
    owner_epoch : int
        Epoch of the owner as the entry instance knows it.
    numbers : list of int
        Sequence numbers of the permits in use that were granted in this epoch.

    Notes
    -----
    A number takes 3 bytes and a grant 124 bytes. With 325 running requests, an entry instance sent
    60 KB/s when it sent all grants in full.
    """

    pool_id: str
    grants: list[PermitGrant]
    owner_epoch: int = 0
    numbers: list[int] = field(default_factory=list)


def make_permit_id(pool_id: str, owner_epoch: int, number: int) -> str:
    """Return the id of a permit from its pool, owner epoch and sequence number."""
    return f"{pool_id}/{owner_epoch}/{number}"


def make_renewal(pool_id: str, owner_epoch: int, grants: list[PermitGrant]) -> PermitRenewal:
    """Return the smallest renewal message for an owner.

    Parameters
    ----------
    pool_id : str
        Pool that is now responsible for the permits.
    owner_epoch : int
        Epoch of its owner.
    grants : list of PermitGrant
        Permits in use, including those of earlier owners.
    """
    others = []
    numbers = []
    for grant in grants:
        last = grant.permit_id.rpartition("/")[2]
        number = int(last) if last.isdecimal() else 0
        if grant.permit_id == make_permit_id(pool_id, owner_epoch, number):
            numbers.append(number)
        else:
            others.append(grant)
    return PermitRenewal(pool_id, others, owner_epoch, numbers)


@register_message
@dataclass(frozen=True, slots=True)
class PermitRenewalAnswer:
    """Answer to a renewal.

    Parameters
    ----------
    revoked_permits : list of str
        Permits that the owner rejects; the requests under them must be cancelled.
    """

    revoked_permits: list[str] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class PermitRelease:
    """Release of a permit whose attempt has ended.

    Parameters
    ----------
    permit_id : str
        Id of the permit.
    outcome : PermitOutcome
        How the attempt ended.
    first_token_s : float, optional
        Time from dispatch to the first token, in seconds.
    output_tokens : int
        Number of tokens received.
    crash_names : list of str
        As in `PermitRequest`, if the attempt finished or crashed its upstream.
    duration_s : float
        Time since the attempt began, in seconds.
    """

    permit_id: str
    outcome: PermitOutcome
    first_token_s: float | None = None
    output_tokens: int = 0
    crash_names: list[str] = field(default_factory=list)
    duration_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class PermitCancel:
    """Withdrawal of a permit request whose answer the entry instance has not received.

    The entry instance must not use a grant that arrives after it has sent this message.

    Parameters
    ----------
    request_id : str
        Id of the caller's request.
    attempt : int
        Attempt that is withdrawn.
    pool_id : str
        Pool that received the request.
    """

    request_id: str
    attempt: int
    pool_id: str = ""


@register_message
@dataclass(frozen=True, slots=True)
class PoolSummary:
    """Load of one pool.

    Parameters
    ----------
    pool_id : str
        Id of the pool.
    owner_epoch : int
        Epoch of its owner.
    in_service : bool
        False while the failure domain is drained.
    upstreams : int
        Number of upstreams that may receive new requests.
    free_kv_tokens : int
        Free KV memory of these upstreams in total, in tokens.
    queued : int
        Number of requests that wait for a permit.
    expected_wait_s : dict from str to float
        Expected wait by length class in seconds; a class that cannot be served is absent.
    largest_engine_tokens : int
        KV memory of the largest upstream, in tokens.
    prefill_tokens_per_s, decode_step_s : float
        Prefill rate and decode step time announced by that upstream.
    """

    pool_id: str
    owner_epoch: int
    in_service: bool
    upstreams: int
    free_kv_tokens: int
    queued: int
    expected_wait_s: dict[str, float] = field(default_factory=dict)
    largest_engine_tokens: int = 0
    prefill_tokens_per_s: float = 0.0
    decode_step_s: float = 0.0
