"""Events of a stream."""

from hypothesis import given
from hypothesis import strategies as st

from laburnumrock.forwarding import EventBuffer

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\n"


class TestEventSplitter:
    @given(st.lists(st.integers(0, len(STREAM)), max_size=6))
    def test_any_cut_gives_whole_events(self, cuts):
        """Guards against half an event that reaches a caller before the upstream breaks."""
        buffer = EventBuffer()
        edges = [0, *sorted(cuts), len(STREAM)]
        passed = b""
        for start, end in zip(edges, edges[1:], strict=False):
            passed += buffer.feed(STREAM[start:end])
            assert passed == b"" or passed.endswith((b"\n\n", b"\r\n\r\n"))
        assert passed == STREAM
        assert buffer.last_id == "3"

    def test_last_id_is_that_of_a_whole_event(self):
        """Guards against a resumption that skips the event that was cut off."""
        buffer = EventBuffer()
        assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
        assert buffer.last_id == "1"
        buffer.discard_incomplete()
        assert buffer.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
        assert buffer.last_id == "2"

    def test_id_in_the_data_is_no_id(self):
        """Guards against an id that is read out of the text of an answer."""
        buffer = EventBuffer()
        buffer.feed(b"id: 7\ndata: x id: 9\n\n")
        assert buffer.last_id == "7"
