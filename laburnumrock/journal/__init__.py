"""Journal of non-idempotent operations, each of which must run at most once."""

from laburnumrock.journal._messages import (
    MAX_RECORDED_BODY_BYTES,
    AbandonOperation,
    AbandonOwner,
    ClaimOperation,
    FindOperation,
    OperationAnswer,
    OperationOutcome,
    OperationState,
    ReconcileOperation,
    RecordedAnswer,
    SettleOperation,
    StartDispatch,
    VoidClaim,
)
from laburnumrock.journal._part import (
    OPERATION_RETENTION_S,
    RECONCILE_GRACE_S,
    JournalPart,
    Operation,
)
from laburnumrock.journal._run import (
    DispatchStep,
    OperationEnd,
    OperationRequest,
    ProposeStep,
    QueryStep,
    WaitStep,
    run_operation,
)

__all__ = [
    "MAX_RECORDED_BODY_BYTES",
    "OPERATION_RETENTION_S",
    "RECONCILE_GRACE_S",
    "AbandonOperation",
    "AbandonOwner",
    "ClaimOperation",
    "DispatchStep",
    "FindOperation",
    "JournalPart",
    "Operation",
    "OperationAnswer",
    "OperationEnd",
    "OperationOutcome",
    "OperationRequest",
    "OperationState",
    "ProposeStep",
    "QueryStep",
    "ReconcileOperation",
    "RecordedAnswer",
    "SettleOperation",
    "StartDispatch",
    "VoidClaim",
    "WaitStep",
    "run_operation",
]
