"""Encoding of commands and answers as bytes."""

import cbor2

from laburnumrock.messages import MESSAGE_TYPES, from_plain, to_plain

MAX_COMMAND_BYTES = 2 * 1024 * 1024


_MAP_TYPE = 5
_LIST_TYPE = 4


def encode_map_start(length: int) -> bytes:
    """Encode the start of a CBOR map (RFC 8949, section 3.1) whose entries follow."""
    return _encode_start(_MAP_TYPE, length)


def encode_list_start(length: int) -> bytes:
    """Encode the start of a CBOR array whose items follow."""
    return _encode_start(_LIST_TYPE, length)


def _encode_start(major_type: int, length: int) -> bytes:
    # An encoded whole number differs from the start of a map or list only in the major type.
    number = cbor2.dumps(length)
    return bytes([major_type << 5 | number[0]]) + number[1:]


def encode_message(message: object) -> bytes:
    """Encode an instance of a registered message class.

    Raises
    ------
    ValueError
        If the encoding exceeds `MAX_COMMAND_BYTES`.
    """
    data = cbor2.dumps({"t": type(message).__name__, "b": to_plain(message)})
    if len(data) > MAX_COMMAND_BYTES:
        raise ValueError(f"message of {len(data)} bytes exceeds {MAX_COMMAND_BYTES}")
    return data


def decode_message(data: bytes) -> object:
    """Decode what `encode_message` returned.

    Raises
    ------
    ValueError
        If the data are malformed or the class is unknown.
    """
    document = cbor2.loads(data)
    cls = MESSAGE_TYPES.get(document["t"])
    if cls is None:
        raise ValueError(f"unknown message type {document['t']!r}")
    return from_plain(cls, document["b"])
