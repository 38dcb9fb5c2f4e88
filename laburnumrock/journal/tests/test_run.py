"""Tests of the operation run, in particular of its outcome after unanswered commands."""

import pytest
from result import Err, Ok

from laburnumrock.errors import ErrorKind, Failure, Outcome
from laburnumrock.journal import (
    DispatchStep,
    JournalPart,
    OperationRequest,
    OperationState,
    ProposeStep,
    QueryStep,
    RecordedAnswer,
    SettleOperation,
    StartDispatch,
    WaitStep,
    run_operation,
)

LOST = Err(Failure(ErrorKind.OUTCOME_UNKNOWN))


class _Driver:
    """Runs the steps against a journal; `losses` sets the fault of each command in turn."""

    def __init__(self, journal, losses=(), call=None, call_s=0.1):
        self.journal = journal
        self.losses = list(losses)
        self.call = call or Ok(RecordedAnswer(200, body=b"ok"))
        self.call_s = call_s
        self.now_s = 0.0
        self.dispatches = 0
        self.ids = 0

    def make_id(self):
        self.ids += 1
        return f"{id(self)}-{self.ids}"

    def run(self, deadline_s=10.0):
        request = OperationRequest("acme", "k", "f", deadline_s, "a1", "p1")
        steps = run_operation(request, self.make_id, lambda: self.now_s)
        value = None
        while True:
            try:
                step = steps.send(value)
            except StopIteration as stop:
                return stop.value
            value = self._perform(step)

    def _perform(self, step):
        self.now_s += 0.01
        if isinstance(step, ProposeStep):
            loss = self.losses.pop(0) if self.losses else "none"
            if loss == "not appended":
                return LOST
            answer = self.journal.apply(step.command, 1)
            if loss == "slow":
                self.now_s += 20.0
            return LOST if loss == "answer" else Ok(answer)
        if isinstance(step, QueryStep):
            return Ok(self.journal.query(step.question))
        if isinstance(step, WaitStep):
            self.now_s += step.duration_s
            return None
        assert isinstance(step, DispatchStep)
        self.dispatches += 1
        self.now_s += self.call_s
        return self.call


class TestRunOperation:
    @pytest.mark.parametrize("loss", ["not appended", "answer"])
    @pytest.mark.parametrize(("position", "outcome"), [(0, Outcome.UNKNOWN), (1, Outcome.NOT_RUN)])
    def test_unanswered_command_before_the_call_sends_nothing(self, loss, position, outcome):
        """Guards against a call that is sent, or a claim left open, after an unanswered command.

        If the claim was not answered, an earlier request with the same key may have run.
        """
        journal = JournalPart()
        driver = _Driver(journal, ["none"] * position + [loss])
        end = driver.run()
        assert driver.dispatches == 0
        assert end.result.unwrap_err().answer.outcome is outcome
        journal.apply(end.follow_up, 2)
        assert not journal.open_keys
        second = _Driver(journal)
        assert second.run().result.is_ok()
        assert second.dispatches == 1

    def test_late_start_of_a_settled_operation_is_refused(self):
        """Guards against a delayed duplicate start that marks a settled operation as dispatched."""
        journal = JournalPart()
        end = _Driver(journal, ["none", "not appended"]).run()
        journal.apply(end.follow_up, 2)
        late = journal.apply(StartDispatch("acme", "k", end.follow_up.claim_id), 3)
        assert not late.accepted
        assert journal.operations["acme", "k"].state is OperationState.NOT_RUN

    def test_no_call_after_the_deadline(self):
        """Guards against a call that is sent after other instances may treat the owner as dead."""
        journal = JournalPart()
        driver = _Driver(journal, ["none", "slow"])
        end = driver.run()
        assert driver.dispatches == 0
        assert end.result.unwrap_err().kind is ErrorKind.DEADLINE_UNREACHABLE
        assert isinstance(end.follow_up, SettleOperation)

    @pytest.mark.parametrize("loss", ["not appended", "answer"])
    def test_unrecorded_answer_is_not_reported_as_done(self, loss):
        """Guards against reporting success with an answer that a retry would not find."""
        journal = JournalPart()
        end = _Driver(journal, ["none", "none", loss]).run()
        assert end.result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        journal.apply(end.follow_up, 4)
        resend = _Driver(journal)
        recorded = resend.run().result.unwrap()
        assert (recorded.body, recorded.replayed, resend.dispatches) == (b"ok", True, 0)

    @pytest.mark.parametrize(
        ("kind", "state"),
        [
            (ErrorKind.CONNECTION_FAILED, OperationState.NOT_RUN),
            (ErrorKind.UPSTREAM_REJECTED, OperationState.REJECTED),
            (ErrorKind.UPSTREAM_FAILED, OperationState.UNKNOWN),
            (ErrorKind.DEADLINE_EXCEEDED, OperationState.UNKNOWN),
            (ErrorKind.INTERNAL, OperationState.UNKNOWN),
        ],
    )
    def test_outcome_follows_what_the_failure_proves(self, kind, state):
        """Guards against recording "not run" when the call may have run."""
        journal = JournalPart()
        _Driver(journal, call=Err(Failure(kind))).run()
        assert journal.operations["acme", "k"].state is state

    def test_resend_waits_half_the_deadline_for_a_running_operation(self):
        """Guards against a second dispatch, and a retry that gets no answer until the deadline."""
        journal = JournalPart()
        steps = run_operation(
            OperationRequest("acme", "k", "f", 10.0, "b1", "p1"), lambda: "first", lambda: 0.0
        )
        claim = next(steps)
        start = steps.send(Ok(journal.apply(claim.command, 1)))
        journal.apply(start.command, 2)
        driver = _Driver(journal)
        end = driver.run(deadline_s=10.0)
        assert end.result.unwrap_err().kind is ErrorKind.OPERATION_IN_PROGRESS
        assert driver.dispatches == 0
        assert 4.9 < driver.now_s < 5.5

    def test_overdue_owner_is_treated_as_dead_without_a_second_dispatch(self):
        """Guards against an operation that stays in progress forever after its owner died."""
        journal = JournalPart()
        steps = run_operation(
            OperationRequest("acme", "k", "f", 2.0, "b1", "p1"), lambda: "first", lambda: 0.0
        )
        start = steps.send(Ok(journal.apply(next(steps).command, 1)))
        journal.apply(start.command, 2)
        driver = _Driver(journal)
        end = driver.run(deadline_s=60.0)
        assert end.result.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert driver.dispatches == 0
