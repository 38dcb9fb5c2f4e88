"""CBOR encoding of commands and answers."""

import cbor2

from laburnumrock.messages import MESSAGE_TYPES, from_plain, to_plain

MAX_COMMAND_BYTES = 2 * 1024 * 1024


_MAP_TYPE = 5
_ARRAY_TYPE = 4


def encode_map_header(length: int) -> bytes:
    """Encode the header of a CBOR map (RFC 8949, section 3.1); the entries follow it."""
    return _encode_header(_MAP_TYPE, length)


def encode_array_header(length: int) -> bytes:
    """Encode the header of a CBOR array; the items follow it."""
    return _encode_header(_ARRAY_TYPE, length)


def _encode_header(major_type: int, length: int) -> bytes:
    # A map or array header is encoded like an unsigned integer, but with its own major type.
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
    """Decode a message that `encode_message` encoded.

    Raises
    ------
    ValueError
        If the data is malformed or the message class is unknown.
    """
    document = cbor2.loads(data)
    cls = MESSAGE_TYPES.get(document["t"])
    if cls is None:
        raise ValueError(f"unknown message type {document['t']!r}")
    return from_plain(cls, document["b"])
