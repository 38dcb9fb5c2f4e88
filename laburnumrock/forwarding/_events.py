"""Buffering of server-sent events, so that only complete events are forwarded."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventBuffer:
    """Holds back the incomplete last event of a stream of server-sent events.

    Notes
    -----
    An upstream may fail in the middle of an event. The forwarded part of the stream then still
    ends with a complete event, so another upstream can resume the stream after the id of that
    event.

    References
    ----------
    WHATWG HTML, section 9.2, "Server-sent events".
    """

    def __init__(self) -> None:
        self.incomplete = b""
        self.last_id: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes and return all events that are now complete."""
        data = self.incomplete + chunk
        end = 0
        for match in _EVENT_END.finditer(data):
            found = _ID_FIELD.search(data[end : match.start()])
            if found is not None:
                self.last_id = found[1].decode("latin1")
            end = match.end()
        self.incomplete = data[end:]
        return data[:end]

    def discard_incomplete(self) -> None:
        """Discard the incomplete event of an upstream that failed."""
        self.incomplete = b""
