"""Tests of the error kinds and problem documents."""

import pytest

from laburnumrock.errors import ANSWERS, ErrorKind, Failure, Outcome, Phase, problem_document


class TestErrorTable:
    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_every_kind_has_an_answer(self, kind):
        """Guards against an error kind without an entry in the table."""
        assert 400 <= ANSWERS[kind].status < 600

    @pytest.mark.parametrize("kind", list(ErrorKind))
    def test_no_not_run_outcome_after_dispatch(self, kind):
        """Guards against a "not run" answer for a request that may have reached an upstream."""
        answer = ANSWERS[kind]
        if answer.phase in (Phase.REMOTE_EXECUTION, Phase.RESULT_DELIVERY):
            assert answer.outcome is not Outcome.NOT_RUN


class TestProblemDocument:
    def test_contains_the_field_path(self):
        """Guards against a validation error that does not identify the invalid field."""
        failure = Failure(ErrorKind.INVALID_REQUEST, "must be > 0", field_path="max_tokens")
        document = problem_document(failure, "r1")
        assert document["field_path"] == "max_tokens"
        assert document["outcome"] == "not_run"
        assert document["request_id"] == "r1"
