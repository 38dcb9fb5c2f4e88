"""Events of a stream, passed on whole."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
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
        self.rest = b""
        self.last_id: str | None = None

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes; returns the whole events that they complete."""
        data = self.rest + chunk
        end = 0
        for match in _END.finditer(data):
            found = _ID.search(data[end : match.start()])
            if found is not None:
                self.last_id = found[1].decode("latin1")
            end = match.end()
        self.rest = data[end:]
        return data[:end]

    def drop_rest(self) -> None:
        """Forget the event that was cut off."""
        self.rest = b""
