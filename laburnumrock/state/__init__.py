"""Replicated state machine that joins registered parts."""

from laburnumrock.state._codec import (
    MAX_COMMAND_BYTES,
    decode_message,
    encode_list_start,
    encode_map_start,
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
    "encode_list_start",
    "encode_map_start",
    "encode_message",
    "register_part",
    "with_timestamp",
]
