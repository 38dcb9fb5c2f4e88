"""Server-sent events: incremental parser and formatter."""

import json
from dataclasses import dataclass

MAX_EVENT_BYTES = 1024 * 1024
DONE = "[DONE]"
COMMENT = b":\n\n"
"""Line that every parser of server-sent events ignores."""


@dataclass(frozen=True, slots=True)
class ServerEvent:
    """One event.

    Parameters
    ----------
    name : str
        Event type; ``message`` when the sender gave none.
    data : str
        Data lines of the event, joined by line breaks.
    """

    name: str
    data: str


class EventParser:
    """Splits a byte stream into server-sent events."""

    def __init__(self) -> None:
        self.buffer = b""

    def feed(self, chunk: bytes) -> list[ServerEvent]:
        """Append bytes and return the events completed by them.

        Parameters
        ----------
        chunk : bytes
            Next bytes of the stream.

        Returns
        -------
        list of ServerEvent
            Complete events in stream order.

        Raises
        ------
        ValueError
            If one event exceeds `MAX_EVENT_BYTES` or is not UTF-8.
        """
        *blocks, self.buffer = (self.buffer + chunk.replace(b"\r\n", b"\n")).split(b"\n\n")
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return [_parse_event(block) for block in blocks if block.strip()]


def _parse_event(block: bytes) -> ServerEvent:
    name = "message"
    data = []
    for line in block.decode("utf-8").split("\n"):
        field, _, value = line.partition(":")
        if field == "event":
            name = value.strip()
        elif field == "data":
            data.append(value.removeprefix(" "))
    return ServerEvent(name, "\n".join(data))


def format_event(data: object, name: str | None = None) -> bytes:
    """Format one event.

    Parameters
    ----------
    data : object
        Text, or a value to serialize as JSON.
    name : str, optional
        Event type; omitted from the output when not given.
    """
    text = data if isinstance(data, str) else json.dumps(data, separators=(",", ":"))
    prefix = f"event: {name}\n" if name else ""
    return f"{prefix}data: {text}\n\n".encode()
