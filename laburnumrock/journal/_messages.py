"""Commands and answers of the operation journal."""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message

MAX_RECORDED_BODY_BYTES = 1024 * 1024


class OperationState(StrEnum):
    """State of an operation; see ``_operation.json``."""

    CLAIMED = "claimed"
    DISPATCHED = "dispatched"
    DONE = "done"
    NOT_RUN = "not_run"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
    VOIDED = "voided"


class OperationOutcome(StrEnum):
    """How an operation is settled."""

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
        Headers to return.
    body : bytes
        Body; empty when `body_omitted`.
    body_omitted : bool
        Whether the body exceeded `MAX_RECORDED_BODY_BYTES` and was not recorded.
    replayed : bool
        Whether the answer was read from the journal; not part of the record.
    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    body_omitted: bool = False
    replayed: bool = False


@register_message
@dataclass(frozen=True, slots=True)
class ClaimOperation:
    """Claims an operation.

    Parameters
    ----------
    account, key : str
        Client account and idempotency key.
    fingerprint : str
        Hash of method, path and body.
    claim_id : str
        Random id of this claim.
    owner, process_id : str
        Instance that claims, and the run of its process.
    limit_s : float
        Longest time that the owner works on the operation.
    stamped_at_s : float
        Set by the leader.
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
    """Records that the call is about to be sent."""

    account: str
    key: str
    claim_id: str
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class SettleOperation:
    """Records the outcome, by the owner of the claim."""

    account: str
    key: str
    claim_id: str
    outcome: OperationOutcome
    answer: RecordedAnswer | None = None
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class VoidClaim:
    """Voids a claim whose dispatch did not start."""

    account: str
    key: str
    claim_id: str
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class AbandonOperation:
    """Records that the owner of a claim died: voids the claim, or makes the outcome unknown."""

    account: str
    key: str
    claim_id: str
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class AbandonOwner:
    """Abandons all open operations of an instance, except those of one run of its process.

    Parameters
    ----------
    owner : str
        Instance whose earlier processes are dead.
    process_id : str
        Run that lives; empty if none does.
    """

    owner: str
    process_id: str
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class ReconcileOperation:
    """Records what an operator found out about an unknown operation.

    Parameters
    ----------
    outcome : OperationOutcome
        ``done`` or ``not_run``.
    source : str
        Where the operator learned it.
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
    """Answer to every command and question of the journal.

    Parameters
    ----------
    accepted : bool
        Whether the command took effect, now or when it came the first time.
    state : OperationState, optional
        State of the operation; None if there is none.
    claim_id : str
        Current claim.
    mismatch : bool
        Whether the key was used with another fingerprint.
    answer : RecordedAnswer, optional
        Recorded answer of a finished operation.
    age_s : float
        Time since the claim, by the leaders' clocks.
    limit_s : float
        Longest time that the owner works on the operation.
    source : str
        Source of a reconciled outcome.
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
    """Question: state of one operation."""

    account: str
    key: str
