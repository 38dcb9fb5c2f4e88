"""Steps of one non-idempotent operation, without I/O.

Notes
-----
`run_operation` is a generator. It yields a step, receives the result of the step, and finally
returns an `OperationEnd`. The caller runs one step at a time and never repeats a `DispatchStep`.

Outcome after a command without an answer: only the holder of a claim id sends the call, and only
after an accepted `StartDispatch`. So until the dispatch step is reached, the call has provably not
run, whether or not the commands were committed. The follow-up command then closes the claim.
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
# Another instance treats the owner of a claim as dead this long after the limit of the claim.
ABANDON_GRACE_S = 10.0
# Minimum timeout for recording an answer that has arrived, even if the deadline has passed.
SETTLE_MIN_S = 1.0
# Longer than an election. Without a quorum, the caller gets an error after this time rather than at
# its deadline.
COMMAND_TIMEOUT_S = 3.0


@dataclass(frozen=True, slots=True)
class ProposeStep:
    """Propose a command; the step result is ``Result[OperationAnswer, Failure]``."""

    command: object
    timeout_s: float


@dataclass(frozen=True, slots=True)
class QueryStep:
    """Query the journal with a linearizable read; the step result is as for `ProposeStep`."""

    question: FindOperation
    timeout_s: float


@dataclass(frozen=True, slots=True)
class WaitStep:
    """Wait for `duration_s`; there is no step result."""

    duration_s: float


@dataclass(frozen=True, slots=True)
class DispatchStep:
    """Send the call; the step result is ``Result[RecordedAnswer, Failure]``."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class OperationEnd:
    """Final result of `run_operation`.

    Parameters
    ----------
    result : Result
        Answer or failure to return to the caller.
    follow_up : object, optional
        Command to propose after the result was returned; retried until it is answered.
    """

    result: Result[RecordedAnswer, Failure]
    follow_up: object | None = None


@dataclass(slots=True)
class OperationRequest:
    """Request to run an operation.

    Parameters
    ----------
    account, key, fingerprint : str
        Client account, idempotency key and request hash of the operation.
    deadline_s : float
        Time allowed for the whole run, in seconds.
    owner, process_id : str
        This instance and the id of its process.
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
    """Claim, dispatch and settle an operation, or return the answer of an earlier run.

    Parameters
    ----------
    request : OperationRequest
        Operation to run.
    make_id : callable
        Generates a random claim id.
    clock : callable
        Returns the monotonic clock in seconds.
    """
    start_s = clock()
    end_s = start_s + request.deadline_s
    while True:
        claim_id = make_id()
        claim_result = yield ProposeStep(
            _make_claim(request, claim_id), _limit_timeout(end_s - clock())
        )
        void = VoidClaim(request.account, request.key, claim_id)
        if claim_result.is_err():
            return OperationEnd(_journal_unavailable(), void)
        answer = claim_result.unwrap()
        if answer.accepted and answer.claim_id == claim_id:
            if clock() >= end_s:
                return OperationEnd(_not_run(ErrorKind.DEADLINE_UNREACHABLE), void)
            end = yield from _dispatch(request, claim_id, end_s, clock)
        else:
            end = yield from _await_other_claim(request, answer, start_s, clock)
        if end is not None:
            return end
        if clock() >= end_s:
            return OperationEnd(_journal_unavailable())


def _dispatch(
    request: OperationRequest, claim_id: str, end_s: float, clock: Callable[[], float]
) -> Generator[Step, object, OperationEnd | None]:
    identity = (request.account, request.key, claim_id)
    settle_not_run = SettleOperation(*identity, OperationOutcome.NOT_RUN)
    start_result = yield ProposeStep(StartDispatch(*identity), _limit_timeout(end_s - clock()))
    if start_result.is_err():
        return OperationEnd(_not_run(ErrorKind.QUORUM_UNAVAILABLE), settle_not_run)
    answer = start_result.unwrap()
    if not answer.accepted:
        if answer.claim_id == claim_id and answer.state is OperationState.UNKNOWN:
            return OperationEnd(_not_run(ErrorKind.OWNER_UNAVAILABLE), settle_not_run)
        return None
    # Once the claim has expired, other instances may treat this owner as dead.
    if clock() >= end_s:
        return OperationEnd(_not_run(ErrorKind.DEADLINE_UNREACHABLE), settle_not_run)
    call_result = yield DispatchStep(end_s - clock())
    settle = _make_settle(identity, call_result)
    settle_result = yield ProposeStep(settle, max(SETTLE_MIN_S, end_s - clock()))
    return _finish(call_result, settle, settle_result)


def _finish(
    call_result: Result[RecordedAnswer, Failure],
    settle: SettleOperation,
    settle_result: Result[OperationAnswer, Failure],
) -> OperationEnd:
    follow_up = settle if settle_result.is_err() else None
    if settle.outcome is OperationOutcome.UNKNOWN:
        detail = str(call_result.unwrap_err())
        return OperationEnd(Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail)), follow_up)
    if call_result.is_err():
        return OperationEnd(call_result, follow_up)
    if settle_result.is_err() or not settle_result.unwrap().accepted:
        detail = "the operation ran, but its answer is not recorded"
        return OperationEnd(Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail)), follow_up)
    return OperationEnd(call_result)


def _await_other_claim(
    request: OperationRequest,
    answer: OperationAnswer,
    start_s: float,
    clock: Callable[[], float],
) -> Generator[Step, object, OperationEnd | None]:
    """Wait until the claim of another run ends; return None if a new claim may succeed."""
    wait_ends_s = start_s + request.deadline_s / 2
    poll_s = POLL_MIN_S
    first_answer = answer
    first_s = clock()
    while True:
        end = _end_if_finished(answer)
        if end is not None or not _is_open(answer):
            return end
        if answer.claim_id != first_answer.claim_id:
            first_answer = answer
            first_s = clock()
        # The clock of the replicated state advances only when a command is committed.
        age_s = max(answer.age_s, first_answer.age_s + clock() - first_s)
        abandon = _abandon_if_overdue(request, answer, age_s)
        remaining_s = wait_ends_s - clock()
        if remaining_s <= 0:
            failure = Failure(ErrorKind.OPERATION_IN_PROGRESS, retry_after_s=POLL_MAX_S)
            return OperationEnd(Err(failure), abandon)
        if abandon is not None:
            yield ProposeStep(abandon, remaining_s)
        else:
            yield WaitStep(min(poll_s, remaining_s))
            poll_s = min(2 * poll_s, POLL_MAX_S)
        found = yield QueryStep(FindOperation(request.account, request.key), remaining_s)
        if found.is_ok():
            answer = found.unwrap()


def _end_if_finished(answer: OperationAnswer) -> OperationEnd | None:
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


def _abandon_if_overdue(
    request: OperationRequest, answer: OperationAnswer, age_s: float
) -> object | None:
    if age_s < answer.limit_s + ABANDON_GRACE_S:
        return None
    return AbandonOperation(request.account, request.key, answer.claim_id)


def _make_claim(request: OperationRequest, claim_id: str) -> ClaimOperation:
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


def _make_settle(
    identity: tuple[str, str, str], call_result: Result[RecordedAnswer, Failure]
) -> SettleOperation:
    if call_result.is_ok():
        answer = replace(call_result.unwrap(), replayed=False)
        if len(answer.body) > MAX_RECORDED_BODY_BYTES:
            answer = replace(answer, body=b"", body_omitted=True)
        return SettleOperation(*identity, OperationOutcome.DONE, answer)
    outcome = call_result.unwrap_err().answer.outcome
    if outcome is Outcome.NOT_RUN:
        return SettleOperation(*identity, OperationOutcome.NOT_RUN)
    if outcome is Outcome.REJECTED:
        return SettleOperation(*identity, OperationOutcome.REJECTED)
    return SettleOperation(*identity, OperationOutcome.UNKNOWN)


def _limit_timeout(remaining_s: float) -> float:
    return min(remaining_s, COMMAND_TIMEOUT_S)


def _not_run(kind: ErrorKind) -> Err[Failure]:
    return Err(Failure(kind, "the call was not sent"))
