"""Tests of the buffering of server-sent events."""

import time

from hypothesis import given
from hypothesis import strategies as st

from laburnumrock.forwarding import EventBuffer

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n"


class TestEventBuffer:
    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_any_split_yields_complete_events(self, splits):
        """Guards against forwarding an incomplete event of an upstream that then fails."""
        buffer = EventBuffer()
        edges = [0, *sorted(splits), len(STREAM)]
        forwarded = b""
        for start, end in zip(edges, edges[1:], strict=False):
            forwarded += buffer.feed(STREAM[start:end])
            assert forwarded == b"" or forwarded.endswith((b"\n\n", b"\r\n\r\n"))
        assert forwarded == STREAM
        assert buffer.last_id == "3"

    def test_last_id_is_that_of_a_complete_event(self):
        """Guards against resuming a stream after an event that was truncated."""
        buffer = EventBuffer()
        assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert buffer.last_id == "1"
        buffer.discard_incomplete()
        assert buffer.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
        assert buffer.last_id == "2"

    def test_text_that_is_no_event(self):
        """Guards against the head of another response, or an error text, amid relayed events."""
        for text in (
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nid: 2\ndata: b\n\n",
            b"internal error\nid: 2\ndata: b\n\n",
            b"data: error\n\n",
            b"id: 1\ndata: a\n\n",
        ):
            buffer = EventBuffer()
            assert buffer.feed(b"id: 1\ndata: a\n\n" + text + b"id: 3\ndata: c\n\n") == (
                b"id: 1\ndata: a\n\n"
            )
            assert (buffer.is_invalid, buffer.last_id) == (True, "1")
            buffer.discard_incomplete()
            assert buffer.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"

    def test_other_forms_of_events(self):
        """Guards against valid streams that are cut since they use more than ids and data."""
        stream = (
            b": comment\n\nid: 1\nevent: piece\ndata: a\ndata\n\n:\n\n"
            b"weight-versions: 2\nid: 2\nretry: 10\ndata:b\n\nid: last\ndata: c\n\n"
        )
        assert EventBuffer().feed(stream) == stream
        assert EventBuffer().feed(b"data: a\n\ndata: b\n\n") == b"data: a\n\ndata: b\n\n"

    def test_hostile_events(self):
        """Guards against an exception, or seconds of work, for an id or event of extreme size."""
        digits = b"9" * 5_000
        stream = b"id: 1\ndata: a\n\nid: " + digits + b"\ndata: b\n\n"
        assert EventBuffer().feed(stream) == stream
        for text in (b"a" * 60_000 + b"!", b"a:\n" * 20_000 + b"!", b":" * 60_000, b"a\n" * 30_000):
            started_s = time.process_time()
            EventBuffer().feed(text + b"\n\n")
            assert time.process_time() - started_s < 0.5

    def test_id_in_the_data_is_ignored(self):
        """Guards against taking text inside an event's data for its id."""
        buffer = EventBuffer()
        buffer.feed(b"id: 7\ndata: x id: 9\n\n")
        assert buffer.last_id == "7"
