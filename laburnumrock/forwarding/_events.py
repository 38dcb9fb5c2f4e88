"""Events of a stream, passed on whole."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventBuffer:
    """Cuts a stream of server-sent events after its last whole event.

    Notes
    -----
    An upstream may break off in the middle of an event. What was passed on then ends with a whole
    event, so that another upstream can go on after its id.

    References
    ----------
    WHATWG HTML, section 9.2, "Server-sent events".
    """

    def __init__(self) -> None:
        self.incomplete = b""
        self.last_id: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; returns the whole events that they complete."""
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
        """Forget the event that was cut off."""
        self.incomplete = b""
