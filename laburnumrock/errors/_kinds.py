"""Error kinds, and the table of their HTTP answers.

Notes
-----
Phase and outcome are independent: the phase states where a request stopped, the outcome states what
is proved about remote execution. A cause such as a timeout proves nothing about the outcome.

References
----------
"Secret broker errors need proof before retries", sections "A cause is not an outcome" and
"The error envelope should carry evidence".
"""

from dataclasses import dataclass
from enum import StrEnum


class Phase(StrEnum):
    """Stage at which a request stopped."""

    VALIDATION = "validation"
    ADMISSION = "admission"
    PLACEMENT = "placement"
    CONNECTION_SETUP = "connection_setup"
    REMOTE_EXECUTION = "remote_execution"
    RESULT_DELIVERY = "result_delivery"


class Outcome(StrEnum):
    """What is proved about remote execution."""

    NOT_RUN = "not_run"
    REJECTED = "rejected"
    DONE = "done"
    UNKNOWN = "unknown"


class RetryAdvice(StrEnum):
    """Advice to the caller about a retry."""

    NEVER = "never"
    AFTER_CORRECTION = "after_correction"
    BACKOFF = "backoff"
    SAME_IDEMPOTENCY_KEY = "same_idempotency_key"
    RECONCILE = "reconcile"


class ErrorKind(StrEnum):
    """Kinds of errors that the system reports."""

    INVALID_REQUEST = "invalid_request"
    INVALID_SETTINGS = "invalid_settings"
    INVALID_DECLARATION = "invalid_declaration"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_CLIENT_ACCOUNT = "unknown_client_account"
    UNKNOWN_MODEL = "unknown_model"
    NOT_FOUND = "not_found"
    BODY_TOO_LARGE = "body_too_large"
    PROMPT_TOO_LONG = "prompt_too_long"
    IDEMPOTENCY_KEY_MISSING = "idempotency_key_missing"
    IDEMPOTENCY_MISMATCH = "idempotency_mismatch"
    OPERATION_IN_PROGRESS = "operation_in_progress"
    OUTCOME_UNKNOWN = "outcome_unknown"
    JOURNAL_UNAVAILABLE = "journal_unavailable"
    STALE_REVISION = "stale_revision"
    RATE_LIMITED = "rate_limited"
    CONCURRENCY_LIMITED = "concurrency_limited"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    NO_UPSTREAM = "no_upstream"
    OWNER_UNAVAILABLE = "owner_unavailable"
    QUORUM_UNAVAILABLE = "quorum_unavailable"
    STOPPING = "stopping"
    CONNECTION_FAILED = "connection_failed"
    UPSTREAM_REJECTED = "upstream_rejected"
    UPSTREAM_FAILED = "upstream_failed"
    MALFORMED_MESSAGE = "malformed_message"
    PEER_UNREACHABLE = "peer_unreachable"
    STORAGE_CORRUPT = "storage_corrupt"
    INTERNAL = "internal"


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """HTTP answer to a caller for one error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    phase : Phase
        Stage at which the request stopped.
    outcome : Outcome
        What is proved about remote execution.
    retry : RetryAdvice
        Advice to the caller about a retry.
    title : str
        Short human-readable summary.
    """

    status: int
    phase: Phase
    outcome: Outcome
    retry: RetryAdvice
    title: str


def _refuse(status: int, phase: Phase, retry: RetryAdvice, title: str) -> ErrorAnswer:
    return ErrorAnswer(status, phase, Outcome.NOT_RUN, retry, title)


_CORRECT = RetryAdvice.AFTER_CORRECTION
_BACKOFF = RetryAdvice.BACKOFF
_VALIDATION = Phase.VALIDATION
_ADMISSION = Phase.ADMISSION
_PLACEMENT = Phase.PLACEMENT

ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.INVALID_REQUEST: _refuse(400, _VALIDATION, _CORRECT, "Invalid request"),
    ErrorKind.INVALID_SETTINGS: _refuse(400, _VALIDATION, _CORRECT, "Invalid settings"),
    ErrorKind.INVALID_DECLARATION: _refuse(400, _VALIDATION, _CORRECT, "Invalid declaration"),
    ErrorKind.UNAUTHENTICATED: _refuse(401, _VALIDATION, _CORRECT, "Invalid credentials"),
    ErrorKind.UNKNOWN_CLIENT_ACCOUNT: _refuse(403, _VALIDATION, _CORRECT, "Unknown client account"),
    ErrorKind.UNKNOWN_MODEL: _refuse(404, _VALIDATION, _CORRECT, "Unknown model"),
    ErrorKind.NOT_FOUND: _refuse(404, _VALIDATION, _CORRECT, "Not found"),
    ErrorKind.BODY_TOO_LARGE: _refuse(413, _VALIDATION, _CORRECT, "Body too large"),
    ErrorKind.PROMPT_TOO_LONG: _refuse(
        413, _VALIDATION, _CORRECT, "Prompt exceeds the memory of the fleet"
    ),
    ErrorKind.IDEMPOTENCY_KEY_MISSING: _refuse(
        400, _VALIDATION, _CORRECT, "Idempotency-Key is required"
    ),
    # This request was refused, but the earlier request with the same key may have run.
    ErrorKind.IDEMPOTENCY_MISMATCH: ErrorAnswer(
        422,
        _VALIDATION,
        Outcome.REJECTED,
        RetryAdvice.NEVER,
        "Idempotency-Key was used with another request",
    ),
    ErrorKind.OPERATION_IN_PROGRESS: ErrorAnswer(
        409,
        Phase.REMOTE_EXECUTION,
        Outcome.UNKNOWN,
        RetryAdvice.SAME_IDEMPOTENCY_KEY,
        "The operation is still running",
    ),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(
        502,
        Phase.REMOTE_EXECUTION,
        Outcome.UNKNOWN,
        RetryAdvice.RECONCILE,
        "The operation may have run",
    ),
    # This request was not sent, but without the journal nothing proves that an earlier request with
    # the same key did not run, so the outcome of the operation is unknown.
    ErrorKind.JOURNAL_UNAVAILABLE: ErrorAnswer(
        503,
        Phase.ADMISSION,
        Outcome.UNKNOWN,
        RetryAdvice.SAME_IDEMPOTENCY_KEY,
        "The journal of operations has no reachable quorum",
    ),
    ErrorKind.STALE_REVISION: _refuse(
        409, _VALIDATION, _CORRECT, "The change was planned against an old revision"
    ),
    ErrorKind.RATE_LIMITED: _refuse(429, _ADMISSION, _BACKOFF, "Rate limit reached"),
    ErrorKind.CONCURRENCY_LIMITED: _refuse(429, _ADMISSION, _BACKOFF, "Concurrency limit reached"),
    ErrorKind.DEADLINE_UNREACHABLE: _refuse(
        503, _ADMISSION, _BACKOFF, "The request cannot finish before its deadline"
    ),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(
        504,
        Phase.REMOTE_EXECUTION,
        Outcome.UNKNOWN,
        _BACKOFF,
        "The request did not finish before its deadline",
    ),
    ErrorKind.PROMPT_QUARANTINED: _refuse(
        503, _ADMISSION, _BACKOFF, "A part of the prompt crashed several upstreams"
    ),
    ErrorKind.REQUEST_QUARANTINED: _refuse(
        503, _ADMISSION, _BACKOFF, "The same request crashed several upstreams"
    ),
    ErrorKind.NO_UPSTREAM: _refuse(503, _PLACEMENT, _BACKOFF, "No upstream is available"),
    ErrorKind.OWNER_UNAVAILABLE: _refuse(
        503, _PLACEMENT, _BACKOFF, "The owner of the upstream pool is unreachable"
    ),
    ErrorKind.QUORUM_UNAVAILABLE: _refuse(
        503, _ADMISSION, _BACKOFF, "The replicated log has no reachable quorum"
    ),
    ErrorKind.STOPPING: _refuse(503, _ADMISSION, _BACKOFF, "The instance is stopping"),
    ErrorKind.CONNECTION_FAILED: _refuse(
        503, Phase.CONNECTION_SETUP, _BACKOFF, "The upstream refused the connection"
    ),
    ErrorKind.UPSTREAM_REJECTED: ErrorAnswer(
        502, Phase.REMOTE_EXECUTION, Outcome.REJECTED, _BACKOFF, "The upstream refused the request"
    ),
    ErrorKind.UPSTREAM_FAILED: ErrorAnswer(
        502, Phase.REMOTE_EXECUTION, Outcome.UNKNOWN, _BACKOFF, "The upstream failed"
    ),
    ErrorKind.MALFORMED_MESSAGE: _refuse(400, _VALIDATION, _CORRECT, "Malformed message"),
    ErrorKind.PEER_UNREACHABLE: _refuse(503, _PLACEMENT, _BACKOFF, "A peer is unreachable"),
    ErrorKind.STORAGE_CORRUPT: _refuse(
        500, _VALIDATION, RetryAdvice.NEVER, "Stored state is corrupt"
    ),
    ErrorKind.INTERNAL: ErrorAnswer(
        500, Phase.REMOTE_EXECUTION, Outcome.UNKNOWN, RetryAdvice.RECONCILE, "Internal error"
    ),
}
