"""Tests of the operation journal."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laburnumrock.journal import (
    MAX_RECORDED_BODY_BYTES,
    AbandonOperation,
    AbandonOwner,
    ClaimOperation,
    FindOperation,
    JournalPart,
    OperationOutcome,
    OperationState,
    ReconcileOperation,
    RecordedAnswer,
    SettleOperation,
    StartDispatch,
    VoidClaim,
)

ID = ("acme", "k")
DONE = OperationOutcome.DONE
NOT_RUN = OperationOutcome.NOT_RUN
UNKNOWN = OperationOutcome.UNKNOWN
ANSWER = RecordedAnswer(201, {"x": "y"}, b"booked")


def _claim(claim_id, now_s=0.0, fingerprint="f", process_id="p1"):
    return ClaimOperation(*ID, fingerprint, claim_id, "a1", process_id, 5.0, now_s)


def _journal(*commands):
    part = JournalPart()
    answers = [part.apply(command, index) for index, command in enumerate(commands, start=1)]
    return part, answers


def _accepted(*commands):
    return [answer.accepted for answer in _journal(*commands)[1]]


class TestJournalPart:
    def test_operation_from_claim_to_recorded_answer(self):
        """Guards against a recorded answer that is lost or changed."""
        part, answers = _journal(
            _claim("c1"), StartDispatch(*ID, "c1"), SettleOperation(*ID, "c1", DONE, ANSWER)
        )
        assert all(answer.accepted for answer in answers)
        assert part.query(FindOperation(*ID)).answer == ANSWER
        late = part.apply(_claim("c2"), 4)
        assert (late.accepted, late.state, late.answer) == (False, OperationState.DONE, ANSWER)

    def test_every_step_needs_the_current_claim(self):
        """Guards against two owners of one operation: an outdated claim must have no effect."""
        steps = [
            StartDispatch(*ID, "c1"),
            SettleOperation(*ID, "c1", DONE, ANSWER),
            VoidClaim(*ID, "c1"),
            AbandonOperation(*ID, "c1"),
        ]
        for step in steps:
            commands = (_claim("c1"), VoidClaim(*ID, "c1"), _claim("c2"), step)
            assert _accepted(*commands) == [True, True, True, False]
        assert _accepted(*steps) == [False] * 4

    def test_started_dispatch_cannot_be_voided_or_claimed(self):
        """Guards against a second dispatch when the first call may already have been sent."""
        started = (_claim("c1"), StartDispatch(*ID, "c1"))
        assert _accepted(*started, VoidClaim(*ID, "c1"), _claim("c2"))[2:] == [False, False]
        abandoned = (*started, AbandonOperation(*ID, "c1"), _claim("c2"))
        assert _accepted(*abandoned)[2:] == [True, False]

    def test_repeated_commands_give_the_same_answer(self):
        """Guards against rejecting a proposal that is retried because its answer was lost."""
        commands = [
            _claim("c1"),
            StartDispatch(*ID, "c1"),
            SettleOperation(*ID, "c1", UNKNOWN),
            ReconcileOperation(*ID, DONE, "ledger"),
        ]
        doubled = [command for command in commands for _ in range(2)]
        assert _accepted(*doubled) == [True] * 8

    def test_late_copy_of_an_ended_claim_does_not_claim_again(self):
        """Guards against an open claim without an owner, made by a delayed duplicate command."""
        first = (_claim("c1"), SettleOperation(*ID, "c1", NOT_RUN))
        assert _accepted(*first, _claim("c1"))[2] is False
        second = (*first, _claim("c2"), SettleOperation(*ID, "c2", NOT_RUN), _claim("c1"))
        assert _accepted(*second)[4] is False

    @pytest.mark.parametrize("end", [DONE, NOT_RUN, OperationOutcome.REJECTED])
    def test_final_states_do_not_regress(self, end):
        """Guards against a late command that changes a recorded final outcome."""
        others = [outcome for outcome in OperationOutcome if outcome is not end]
        late = [SettleOperation(*ID, "c1", outcome, ANSWER) for outcome in others]
        late += [StartDispatch(*ID, "c1"), ReconcileOperation(*ID, DONE, "x")]
        part, answers = _journal(
            _claim("c1"), StartDispatch(*ID, "c1"), SettleOperation(*ID, "c1", end), *late
        )
        assert [answer.accepted for answer in answers[3:]] == [False] * len(late)
        assert part.operations[ID].state == OperationState(end)
        assert part.operations[ID].answer is None

    def test_other_fingerprint_is_a_mismatch(self):
        """Guards against returning the answer of another request with the same key."""
        _, answers = _journal(_claim("c1"), _claim("c2", fingerprint="g"))
        assert (answers[1].accepted, answers[1].mismatch) == (False, True)

    def test_only_operations_of_a_dead_process_are_abandoned(self):
        """Guards against open operations of a dead process, and abandoning those of a live one."""
        part, _ = _journal(
            _claim("c1"),
            StartDispatch(*ID, "c1"),
            ClaimOperation("acme", "k2", "f", "c2", "a1", "p1", 5.0),
            ClaimOperation("acme", "k3", "f", "c3", "a1", "p2", 5.0),
            ClaimOperation("acme", "k4", "f", "c4", "b1", "p1", 5.0),
            AbandonOwner("a1", "p2"),
        )
        states = [operation.state.value for operation in part.operations.values()]
        assert states == ["unknown", "voided", "claimed", "claimed"]

    def test_finished_operations_are_kept_for_the_retention_and_unknown_ones_longer(self):
        """Guards against a second run within the retention time, and unbounded growth."""
        part = JournalPart(retention_s=100.0)
        part.apply(_claim("c1"), 1)
        part.apply(SettleOperation(*ID, "c1", NOT_RUN, stamped_at_s=10.0), 2)
        part.apply(ClaimOperation("acme", "u", "f", "c2", "a1", "p", 5.0, 10.0), 3)
        part.apply(StartDispatch("acme", "u", "c2", 10.0), 4)
        part.apply(SettleOperation("acme", "u", "c2", UNKNOWN, stamped_at_s=10.0), 5)
        part.apply(AbandonOwner("x", "", 110.0), 6)
        assert ID in part.operations
        part.apply(AbandonOwner("x", "", 110.1), 7)
        assert list(part.operations) == [("acme", "u")]

    def test_large_body_is_not_recorded(self):
        """Guards against a log whose size is dominated by large answers."""
        large = RecordedAnswer(200, body=b"x" * (MAX_RECORDED_BODY_BYTES + 1))
        part, _ = _journal(
            _claim("c1"), StartDispatch(*ID, "c1"), SettleOperation(*ID, "c1", DONE, large)
        )
        recorded = part.operations[ID].answer
        assert (recorded.body, recorded.body_omitted) == (b"", True)

    @given(st.lists(st.tuples(st.integers(0, 8), st.integers(1, 3)), max_size=40))
    def test_at_most_one_claim_starts_until_it_is_proved_not_run(self, choices):
        """Guards against any order of commands in which two claims start a dispatch."""
        part = JournalPart()
        running: str | None = None
        for index, (choice, number) in enumerate(choices, start=1):
            claim_id = f"c{number}-{index // 10}"
            command = [
                _claim(claim_id),
                StartDispatch(*ID, claim_id),
                SettleOperation(*ID, claim_id, DONE, ANSWER),
                SettleOperation(*ID, claim_id, NOT_RUN),
                SettleOperation(*ID, claim_id, UNKNOWN),
                VoidClaim(*ID, claim_id),
                AbandonOperation(*ID, claim_id),
                AbandonOwner("a1", "p2"),
                ReconcileOperation(*ID, DONE, "ledger"),
            ][choice]
            answer = part.apply(command, index)
            if isinstance(command, StartDispatch) and answer.accepted:
                assert running in (None, claim_id)
                running = claim_id
            if choice == 3 and answer.accepted and claim_id == running:
                running = None
            copy = JournalPart()
            copy.restore(part.to_plain())
            assert copy.to_plain() == part.to_plain()
