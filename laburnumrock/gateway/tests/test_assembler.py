"""Tests of event parsing and completion assembly."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from laburnumrock.gateway._assembler import CompletionAssembler
from laburnumrock.gateway._sse import DONE, EventParser, ServerEvent, format_event


def _token(index, *, request_id="r", attempt=1, finish_reason=None, text=None):
    return ServerEvent(
        "message",
        json.dumps(
            {
                "request_id": request_id,
                "attempt": attempt,
                "index": index,
                "text": text or f"t{index} ",
                "finish_reason": finish_reason,
            }
        ),
    )


@pytest.fixture
def assembler():
    assembler = CompletionAssembler("r")
    assembler.start_attempt(1)
    return assembler


class TestEventParser:
    @given(st.lists(st.integers(1, 20)))
    def test_events_survive_any_split(self, sizes):
        """Guards against events that are lost or merged at chunk boundaries."""
        data = b"".join(format_event({"i": index}) for index in range(10)) + format_event(DONE)
        parser = EventParser()
        events = []
        for size in sizes:
            events += parser.feed(data[:size])
            data = data[size:]
        events += parser.feed(data)
        assert [event.data for event in events] == [f'{{"i":{i}}}' for i in range(10)] + [DONE]

    def test_endless_event_is_refused(self):
        """Guards against unbounded memory when a stream never ends its first event."""
        with pytest.raises(ValueError, match="exceeds"):
            EventParser().feed(b"x" * 2_000_000)


class TestCompletionAssembler:
    def test_whole_answer(self, assembler):
        """Guards against a complete stream that is not recognized as complete."""
        assert assembler.accept(_token(0)).unwrap() == "t0 "
        assert assembler.accept(_token(1, finish_reason="length")).unwrap() == "t1 "
        assert assembler.accept(ServerEvent("message", DONE)).unwrap() is None
        assert assembler.complete

    @pytest.mark.parametrize(
        "event",
        [_token(1), ServerEvent("message", DONE), ServerEvent("message", "{}")],
        ids=["gap", "early end", "malformed"],
    )
    def test_broken_stream_fails(self, assembler, event):
        """Guards against a partial completion that is delivered as complete."""
        assert assembler.accept(event).is_err()
        assert not assembler.complete

    def test_other_requests_and_attempts_are_dropped(self, assembler):
        """Guards against tokens of another request or of an abandoned attempt."""
        assert assembler.accept(_token(0, request_id="other")).unwrap() is None
        assert assembler.accept(_token(0, attempt=7)).unwrap() is None
        assert assembler.next_index == 0
        assert assembler.dropped_events == 2

    def test_resume_delivers_each_token_once(self, assembler):
        """Guards against repeated tokens when another engine resumes after an engine failure."""
        assembler.accept(_token(0))
        assembler.start_attempt(2)
        assert assembler.accept(_token(0, attempt=2)).unwrap() is None
        assert assembler.accept(_token(1, attempt=2)).unwrap() == "t1 "
