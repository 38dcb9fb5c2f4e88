"""Replicated state machine, composed of registered parts."""

from laburnumrock.state._codec import (
    MAX_COMMAND_BYTES,
    decode_message,
    encode_array_header,
    encode_map_header,
    encode_message,
)
from laburnumrock.state._registry import PARTS, Part, discover_parts, register_part
from laburnumrock.state._state import ReplicatedState, with_timestamp

__all__ = [
    "MAX_COMMAND_BYTES",
    "PARTS",
    "Part",
    "ReplicatedState",
    "decode_message",
    "discover_parts",
    "encode_array_header",
    "encode_map_header",
    "encode_message",
    "register_part",
    "with_timestamp",
]
