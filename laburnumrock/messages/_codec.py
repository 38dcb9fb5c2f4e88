"""Frames on the links between instances.

A frame is a CBOR map ``{"v": version, "t": type name, "n": call number, "r": answered call
number, "b": body}``; an absent number counts as null, and the body is the list of the message's
field values.
"""

from dataclasses import dataclass

import cbor2
from result import Err, Ok, Result

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages._registry import MESSAGE_TYPES
from laburnumrock.messages._wire import from_wire, to_wire

FRAME_VERSION = 1
MAX_FRAME_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Frame:
    """Message on a link, with its call numbers.

    Parameters
    ----------
    message : object
        Instance of a registered message class.
    call_number : int, optional
        Set when the sender waits for an answer.
    answered_call : int, optional
        Call number that this message answers.
    """

    message: object
    call_number: int | None = None
    answered_call: int | None = None


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR.

    Raises
    ------
    ValueError
        If the frame exceeds `MAX_FRAME_BYTES`.
    """
    document = {"v": FRAME_VERSION, "t": type(frame.message).__name__}
    if frame.call_number is not None:
        document["n"] = frame.call_number
    if frame.answered_call is not None:
        document["r"] = frame.answered_call
    document["b"] = to_wire(frame.message)
    data = cbor2.dumps(document)
    if len(data) > MAX_FRAME_BYTES:
        raise ValueError(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    return data


def decode_frame(data: bytes) -> Result[Frame, Failure]:
    """Decode a frame from CBOR.

    Parameters
    ----------
    data : bytes
        One frame as received.

    Returns
    -------
    Result
        The frame, or a failure of kind ``malformed_message`` with the path of the invalid value.
    """
    if len(data) > MAX_FRAME_BYTES:
        return _malformed(f"frame of {len(data)} bytes exceeds {MAX_FRAME_BYTES}")
    try:
        # cbor2 raises several exception classes for nested or truncated input.
        document = cbor2.loads(data)
    except Exception as error:
        return _malformed(f"not CBOR: {error}")
    if not isinstance(document, dict) or document.get("v") != FRAME_VERSION:
        return _malformed("not a frame of a known version")
    message_type = document.get("t")
    cls = MESSAGE_TYPES.get(message_type) if isinstance(message_type, str) else None
    if cls is None:
        return _malformed(f"unknown message type {message_type!r}")
    numbers = (document.get("n"), document.get("r"))
    if any(number is not None and type(number) is not int for number in numbers):
        return _malformed("call numbers must be integers")
    try:
        return Ok(Frame(from_wire(cls, document.get("b")), *numbers))
    except (ValueError, TypeError) as error:
        return _malformed(f"{message_type}: {error}")


def _malformed(detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.MALFORMED_MESSAGE, detail))
