"""Tests of the frame codec."""

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import MESSAGE_TYPES, Frame, decode_frame, encode_frame
from laburnumrock.transport import PeerHello

HELLO = PeerHello(instance_id="a1", nonce=b"0" * 16, version=1)


def _frame(**changes):
    document = {
        "v": 1,
        "t": "PeerHello",
        "n": None,
        "r": None,
        "b": ["a1", b"0" * 16, 1],
    }
    document.update(changes)
    return cbor2.dumps(document)


class TestFrameCodec:
    def test_round_trip(self):
        """Guards against a field that is lost in encoding."""
        frame = Frame(HELLO, call_number=7)
        assert decode_frame(encode_frame(frame)).unwrap() == frame

    @pytest.mark.parametrize(
        ("data", "part"),
        [
            (b"\xff\x00", "not CBOR"),
            (_frame(v=2), "version"),
            (_frame(t="NoSuch"), "unknown message type"),
            (_frame(t=[1]), "unknown message type"),
            (_frame(n="1"), "call numbers"),
            (_frame(b=[3, b"", 1]), "instance_id: expected str"),
            (_frame(b=["a1"]), "nonce: missing"),
            (_frame(b=["a1", b"", 1, 1]), "unknown field"),
            (_frame(b={"instance_id": "a1", "nonce": b"", "version": 1}), "expected a list"),
        ],
    )
    def test_malformed_frame_is_described(self, data, part):
        """Guards against malformed frames that raise an exception or are accepted."""
        failure = decode_frame(data).unwrap_err()
        assert failure.kind is ErrorKind.MALFORMED_MESSAGE
        assert part in failure.detail

    @given(st.binary(max_size=64))
    def test_arbitrary_bytes_do_not_raise(self, data):
        """Guards against exceptions on arbitrary input."""
        decode_frame(data)

    def test_registered_types_have_docstrings(self):
        """Guards against undocumented messages."""
        assert all(cls.__doc__ for cls in MESSAGE_TYPES.values())
