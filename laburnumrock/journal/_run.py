"""Steps of one operation that may not be repeated, without I/O.

Notes
-----
`run_operation` is a generator. It yields a step, receives the result of the step, and returns an
`OperationEnd`. Whoever drives it runs at most one step at a time and never repeats a `Dispatch`.

What may be said after an unanswered command: only the holder of a claim id sends its call, and it
sends it only after an accepted `StartDispatch`. So as long as the dispatch step was not reached,
"not run" is proved, whatever became of the commands. The follow-up command then closes the claim.
"""

from collections.abc import Callable, Generator
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from laburnumrock.errors import ErrorKind, Failure, Outcome
from laburnumrock.journal._messages import (
    MAX_RECORDED_BODY_BYTES,
    AbandonOperation,
    ClaimOperation,
    FindOperation,
    OperationAnswer,
    OperationOutcome,
    OperationState,
    RecordedAnswer,
    SettleOperation,
    StartDispatch,
    VoidClaim,
)

POLL_MIN_S = 0.05
POLL_MAX_S = 1.0
RETRY_AFTER_S = 1.0
# Added to the limit of a claim before another instance treats its owner as dead.
ABANDON_GRACE_S = 10.0
# An answer in hand is worth a short wait for its record even when the deadline has passed.
SETTLE_MIN_S = 1.0
# Longer than an election; without a quorum the caller is refused after this time, not at its
# deadline.
COMMAND_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class ProposeStep:
    """Propose a command; the result is ``Result[OperationAnswer, Failure]``."""

    command: object
    timeout_s: float


@dataclass(frozen=True, slots=True)
class QueryStep:
    """Ask the journal with a confirmed read; the result is as for `ProposeStep`."""

    question: FindOperation
    timeout_s: float


@dataclass(frozen=True, slots=True)
class WaitStep:
    """Wait."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class DispatchStep:
    """Send the call; the result is ``Result[RecordedAnswer, Failure]``."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class OperationEnd:
    """End of a run.

    Parameters
    ----------
    result : Result
        Answer to the caller.
    follow_up : object, optional
        Command to propose until it is answered, after the caller has the result.
    """

    result: Result[RecordedAnswer, Failure]
    follow_up: object | None = None


@dataclass(slots=True)
class OperationRequest:
    """What is asked for.

    Parameters
    ----------
    account, key, fingerprint : str
        Identity and content of the operation.
    deadline_s : float
        Time for the whole run, in seconds.
    owner, process_id : str
        This instance and the run of its process.
    """

    account: str
    key: str
    fingerprint: str
    deadline_s: float
    owner: str
    process_id: str


Step = ProposeStep | QueryStep | WaitStep | DispatchStep
OperationRun = Generator[Step, object, OperationEnd]


def run_operation(
    request: OperationRequest, make_id: Callable[[], str], clock: Callable[[], float]
) -> OperationRun:
    """Claim, dispatch and settle an operation, or find the answer of an earlier run.

    Parameters
    ----------
    request : OperationRequest
        What is asked for.
    make_id : callable
        Returns a new random claim id.
    clock : callable
        Returns the monotonic clock in seconds.
    """
    start_s = clock()
    end_s = start_s + request.deadline_s
    while True:
        claim_id = make_id()
        claimed = yield ProposeStep(_claim(request, claim_id), _limit(end_s - clock()))
        void = VoidClaim(request.account, request.key, claim_id)
        if claimed.is_err():
            return OperationEnd(_journal_unavailable(), void)
        answer = claimed.unwrap()
        if answer.accepted and answer.claim_id == claim_id:
            if clock() >= end_s:
                return OperationEnd(_not_run(ErrorKind.DEADLINE_UNREACHABLE), void)
            end = yield from _dispatch(request, claim_id, end_s, clock)
        else:
            end = yield from _await_other(request, answer, start_s, clock)
        if end is not None:
            return end
        if clock() >= end_s:
            return OperationEnd(_journal_unavailable())


def _dispatch(
    request: OperationRequest, claim_id: str, end_s: float, clock: Callable[[], float]
) -> Generator[Step, object, OperationEnd | None]:
    identity = (request.account, request.key, claim_id)
    close = SettleOperation(*identity, OperationOutcome.NOT_RUN)
    started = yield ProposeStep(StartDispatch(*identity), _limit(end_s - clock()))
    if started.is_err():
        return OperationEnd(_not_run(ErrorKind.QUORUM_UNAVAILABLE), close)
    answer = started.unwrap()
    if not answer.accepted:
        if answer.claim_id == claim_id and answer.state is OperationState.UNKNOWN:
            return OperationEnd(_not_run(ErrorKind.OWNER_UNAVAILABLE), close)
        return None
    # After the limit of the claim other instances may treat this owner as dead.
    if clock() >= end_s:
        return OperationEnd(_not_run(ErrorKind.DEADLINE_UNREACHABLE), close)
    called = yield DispatchStep(end_s - clock())
    settle = _settle(identity, called)
    settled = yield ProposeStep(settle, max(SETTLE_MIN_S, end_s - clock()))
    return _finish(called, settle, settled)


def _finish(
    called: Result[RecordedAnswer, Failure],
    settle: SettleOperation,
    settled: Result[OperationAnswer, Failure],
) -> OperationEnd:
    follow_up = settle if settled.is_err() else None
    if settle.outcome is OperationOutcome.UNKNOWN:
        detail = str(called.unwrap_err())
        return OperationEnd(Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail)), follow_up)
    if called.is_err():
        return OperationEnd(called, follow_up)
    if settled.is_err() or not settled.unwrap().accepted:
        detail = "the operation ran, but its answer is not recorded"
        return OperationEnd(Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail)), follow_up)
    return OperationEnd(called)


def _await_other(
    request: OperationRequest,
    answer: OperationAnswer,
    start_s: float,
    clock: Callable[[], float],
) -> Generator[Step, object, OperationEnd | None]:
    """Wait for the claim of another run; None when a new claim may succeed."""
    wait_ends_s = start_s + request.deadline_s / 2
    poll_s = POLL_MIN_S
    first_answer = answer
    first_s = clock()
    while True:
        end = _answer_finished(answer)
        if end is not None or not _is_open(answer):
            return end
        if answer.claim_id != first_answer.claim_id:
            first_answer = answer
            first_s = clock()
        # The state's own time stands still while no command is committed.
        age_s = max(answer.age_s, first_answer.age_s + clock() - first_s)
        overdue = _close_overdue(request, answer, age_s)
        remaining_s = wait_ends_s - clock()
        if remaining_s <= 0:
            failure = Failure(ErrorKind.OPERATION_IN_PROGRESS, retry_after_s=POLL_MAX_S)
            return OperationEnd(Err(failure), overdue)
        if overdue is not None:
            yield ProposeStep(overdue, remaining_s)
        else:
            yield WaitStep(min(poll_s, remaining_s))
            poll_s = min(2 * poll_s, POLL_MAX_S)
        found = yield QueryStep(FindOperation(request.account, request.key), remaining_s)
        if found.is_ok():
            answer = found.unwrap()


def _answer_finished(answer: OperationAnswer) -> OperationEnd | None:
    if answer.mismatch:
        return OperationEnd(Err(Failure(ErrorKind.IDEMPOTENCY_MISMATCH)))
    if answer.state is OperationState.DONE:
        recorded = answer.answer or RecordedAnswer(200, body_omitted=True)
        return OperationEnd(Ok(replace(recorded, replayed=True)))
    if answer.state is OperationState.UNKNOWN:
        return OperationEnd(Err(Failure(ErrorKind.OUTCOME_UNKNOWN)))
    return None


def _is_open(answer: OperationAnswer) -> bool:
    return answer.state in (OperationState.CLAIMED, OperationState.DISPATCHED)


def _close_overdue(
    request: OperationRequest, answer: OperationAnswer, age_s: float
) -> object | None:
    if age_s < answer.limit_s + ABANDON_GRACE_S:
        return None
    return AbandonOperation(request.account, request.key, answer.claim_id)


def _claim(request: OperationRequest, claim_id: str) -> ClaimOperation:
    return ClaimOperation(
        request.account,
        request.key,
        request.fingerprint,
        claim_id,
        request.owner,
        request.process_id,
        request.deadline_s,
    )


def _journal_unavailable() -> Err[Failure]:
    detail = "this request was not sent; whether an earlier one with the key ran is not known"
    return Err(Failure(ErrorKind.JOURNAL_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S))


def _settle(
    identity: tuple[str, str, str], called: Result[RecordedAnswer, Failure]
) -> SettleOperation:
    if called.is_ok():
        answer = replace(called.unwrap(), replayed=False)
        if len(answer.body) > MAX_RECORDED_BODY_BYTES:
            answer = replace(answer, body=b"", body_omitted=True)
        return SettleOperation(*identity, OperationOutcome.DONE, answer)
    proved = called.unwrap_err().answer.outcome
    if proved is Outcome.NOT_RUN:
        return SettleOperation(*identity, OperationOutcome.NOT_RUN)
    if proved is Outcome.REJECTED:
        return SettleOperation(*identity, OperationOutcome.REJECTED)
    return SettleOperation(*identity, OperationOutcome.UNKNOWN)


def _limit(remaining_s: float) -> float:
    return min(remaining_s, COMMAND_TIMEOUT_S)


def _not_run(kind: ErrorKind) -> Err[Failure]:
    return Err(Failure(kind, "the call was not sent"))
