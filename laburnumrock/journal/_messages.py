"""Commands, queries and answers of the operation journal."""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message

MAX_RECORDED_BODY_BYTES = 1024 * 1024


class OperationState(StrEnum):
    """State of an operation; ``_operation.json`` defines the transitions."""

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    DONE = "done"
    NOT_RUN = "not_run"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
    VOIDED = "voided"


class OperationOutcome(StrEnum):
    """Outcome with which an operation is settled."""

    DONE = "done"
    NOT_RUN = "not_run"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RecordedAnswer:
    """Answer of an application engine.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : dict of str to str
        Response headers to return to the caller.
    body : bytes
        Response body; empty if `body_omitted`.
    body_omitted : bool
        Whether the body exceeded `MAX_RECORDED_BODY_BYTES` and was not recorded.
    replayed : bool
        Whether the answer was read from the journal; False in the journal itself.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    body_omitted: bool = False
    replayed: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class ClaimOperation:
    """Claims the exclusive right to run an operation.

    Parameters
    ----------
    account, key : str
        Client account and idempotency key.
    fingerprint : str
        Hash of the method, path and body of the request.
    claim_id : str
        Random id of the claim.
    owner, process_id : str
        Instance that makes the claim, and the id of its process.
    limit_s : float
        Maximum time for which the owner works on the operation.
    stamped_at_s : float
        Time in seconds since 1970, set by the leader.
    """

    account: str
    key: str
    fingerprint: str
    claim_id: str
    owner: str
    process_id: str
    limit_s: float
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class StartDispatch:
    """Records that the owner of the claim is about to send the call."""

    account: str
    key: str
    claim_id: str
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class SettleOperation:
    """Records the outcome; sent by the owner of the claim."""

    account: str
    key: str
    claim_id: str
    outcome: OperationOutcome
    answer: RecordedAnswer | None = None
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class VoidClaim:
    """Voids a claim whose call has not been dispatched."""

    account: str
    key: str
    claim_id: str
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class AbandonOperation:
    """Records that the owner of a claim is dead.

    Voids the claim, or sets the outcome to unknown if the call may have been dispatched.
    """

    account: str
    key: str
    claim_id: str
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class AbandonOwner:
    """Abandons all open operations of an instance except those of its live process.

    Parameters
    ----------
    owner : str
        Instance whose earlier processes are dead.
    process_id : str
        Id of the live process; empty if there is none.
    before_index : int, optional
        Operations that were claimed at a higher log index stay open: they belong to a process that
        started after the command was proposed. None abandons all of them.
    """

    owner: str
    process_id: str
    stamped_at_s: float = 0.0
    before_index: int | None = None


@register_message
@dataclass(frozen=True, slots=True)
class ReconcileOperation:
    """Records the outcome that an operator established for an operation in state unknown.

    Parameters
    ----------
    outcome : OperationOutcome
        ``done`` or ``not_run``.
    source : str
        Operator's evidence for the outcome.
    """

    account: str
    key: str
    outcome: OperationOutcome
    source: str
    answer: RecordedAnswer | None = None
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class OperationAnswer:
    """Answer to every command and query of the journal.

    Parameters
    ----------
    accepted : bool
        Whether the command took effect, now or when it was first applied.
    state : OperationState, optional
        State of the operation; None if the journal has no such operation.
    claim_id : str
        Id of the current claim.
    mismatch : bool
        Whether the key was used for a request with another fingerprint.
    answer : RecordedAnswer, optional
        Recorded answer of a finished operation.
    age_s : float
        Time since the claim, measured by the clocks of the leaders.
    limit_s : float
        Maximum time for which the owner works on the operation.
    source : str
        Operator's evidence for a reconciled outcome.
    """

    accepted: bool
    state: OperationState | None = None
    claim_id: str = ""
    mismatch: bool = False
    answer: RecordedAnswer | None = None
    age_s: float = 0.0
    limit_s: float = 0.0
    source: str = ""


@register_message
@dataclass(frozen=True, slots=True)
class FindOperation:
    """Queries the state of one operation."""

    account: str
    key: str
