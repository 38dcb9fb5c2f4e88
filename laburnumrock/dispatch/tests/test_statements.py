"""Tests of what upstreams state of themselves."""

import random

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchSettings,
    Helper,
    UpstreamStatement,
    UpstreamStatements,
)
from laburnumrock.dispatch._statements import MAX_STATEMENTS, RETURN_SPREAD_S

SETTINGS = DispatchSettings(max_leaving_s=300.0, max_refusal_s=60.0)


def make_statements(*recorded: UpstreamStatement) -> UpstreamStatements:
    statements = UpstreamStatements(SETTINGS)
    for statement in recorded:
        statements.record(statement, 0.0)
    return statements


class TestStatements:
    def test_refusal_ends_with_its_time(self):
        """Guards against an upstream that is avoided for less, or for longer, than it stated."""
        statements = make_statements(UpstreamStatement("u1", refusal_s=4.0))
        assert statements.list_avoided(3.9) == ["u1"]
        assert statements.list_avoided(4.0) == []

    def test_shorter_refusal_does_not_end_a_longer_one(self):
        """Guards against responses that are read in another order than they were written."""
        statements = make_statements(
            UpstreamStatement("u1", refusal_s=9.0), UpstreamStatement("u1", refusal_s=1.0)
        )
        assert statements.list_avoided(8.0) == ["u1"]

    def test_time_is_bounded(self):
        """Guards against an upstream that bars itself for ever."""
        statements = make_statements(
            UpstreamStatement("u1", refusal_s=1e9), UpstreamStatement("u2", is_leaving=True)
        )
        assert sorted(statements.list_avoided(59.0)) == ["u1", "u2"]
        assert statements.list_avoided(61.0) == ["u2"]
        assert statements.list_avoided(301.0) == []

    def test_new_incarnation(self):
        """Guards against a new incarnation that is avoided for what the one before has said."""
        statements = make_statements(UpstreamStatement("u1", True, 5.0))
        statements.remove("u1")
        assert statements.list_avoided(1.0) == []

    def test_number_is_bounded(self):
        """Guards against statements that use up the memory of the process."""
        names = [f"u{number}" for number in range(MAX_STATEMENTS + 5)]
        statements = make_statements(*(UpstreamStatement(name, True, 5.0) for name in names))
        assert len(statements.list_avoided(1.0)) == MAX_STATEMENTS


class TestRefusals:
    def test_wait_until_the_first_upstream_takes_requests(self):
        """Guards against callers that wait for what cannot come, or return when it is of no use."""
        statements = make_statements(
            UpstreamStatement("u1", refusal_s=4.0),
            UpstreamStatement("u2", refusal_s=9.0),
            UpstreamStatement("u3", is_leaving=True),
        )

        def refuse(*names: str, now_s: float = 1.0):
            return statements.refuse(names, random.Random(1), now_s)

        assert 3.0 <= refuse("u1", "u2", "u3").retry_after_s <= 3.0 + RETURN_SPREAD_S
        assert 8.0 <= refuse("u2", "u3").retry_after_s <= 8.0 + RETURN_SPREAD_S
        assert refuse("u1", "u2").refusal == "concurrency_limited"
        assert refuse("u3").refusal == "no_upstream"
        assert refuse("u1", "u4") is None
        assert refuse("u1", now_s=4.5) is None
        assert refuse() is None

    def test_callers_do_not_return_in_one_moment(self):
        """Guards against a burst at the moment at which an upstream takes requests again."""
        statements = make_statements(UpstreamStatement("u1", refusal_s=4.0))
        rng = random.Random(1)
        delays = {statements.refuse(["u1"], rng, 1.0).retry_after_s for _ in range(20)}
        assert len(delays) > 10

    def test_placement_that_was_made_before(self):
        """Guards against a request that waited for an upstream which declines it meanwhile."""
        statements = make_statements(UpstreamStatement("u1", refusal_s=4.0))
        helped = DispatchAnswer(7, "u2", helpers=[Helper("u1", "127.0.0.1", 1)])
        assert statements.declines(DispatchAnswer(7, "u1"), 1.0)
        assert statements.declines(helped, 1.0)
        assert not statements.declines(DispatchAnswer(7, "u2"), 1.0)
        assert not statements.declines(DispatchAnswer(refusal="no_upstream"), 1.0)
