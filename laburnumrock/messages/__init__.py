"""Messages between instances, and their CBOR codec."""

from laburnumrock.messages._codec import (
    FRAME_VERSION,
    MAX_FRAME_BYTES,
    Frame,
    decode_frame,
    encode_frame,
)
from laburnumrock.messages._effects import Effect, Send
from laburnumrock.messages._registry import MESSAGE_TYPES, from_plain, register_message, to_plain

__all__ = [
    "FRAME_VERSION",
    "MAX_FRAME_BYTES",
    "MESSAGE_TYPES",
    "Effect",
    "Frame",
    "Send",
    "decode_frame",
    "encode_frame",
    "from_plain",
    "register_message",
    "to_plain",
]
