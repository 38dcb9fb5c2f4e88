"""Buffering of server-sent events, so that only complete events are forwarded."""

import re

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_FIELD = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
_FIELDS = re.compile(rb"(?:[a-z_-]*(?::[^\r\n]*)?(?:\r?\n|\Z))*")
_DATA_FIELD = re.compile(rb"^data:", re.MULTILINE)
MAX_ID_DIGITS = 18
"""Maximum length of ids that are compared as numbers; Python converts up to 4,300 digits."""
MAX_EVENT_BYTES = 64 * 1024
"""Maximum size of one event; events of the services of the users have less than 1 KiB."""


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
        # Complete events with an id or data; comments and blank lines are no progress of a stream.
        self.count = 0
        # Whether text arrived that is none of the stream's events.
        self.is_invalid = False

    @property
    def is_oversized(self) -> bool:
        """Whether the incomplete event exceeds the maximum size of an event."""
        return len(self.incomplete) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> bytes:
        """Add received bytes and return all events that are now complete.

        Notes
        -----
        Text that is no event of the stream, such as the head of another response, makes the buffer
        invalid. It is not returned, nor is anything after it.
        """
        data = self.incomplete + chunk
        end = 0
        for match in _EVENT_END.finditer(data):
            event = data[end : match.start()]
            found = _ID_FIELD.search(event)
            if not self._follows(event, found):
                self.is_invalid = True
                return data[:end]
            if found is not None:
                self.last_id = found[1].decode("latin1")
            self.count += found is not None or _DATA_FIELD.search(event) is not None
            end = match.end()
        self.incomplete = data[end:]
        return data[:end]

    def _follows(self, event: bytes, found: re.Match | None) -> bool:
        """Return whether an event consists of fields and its id follows the last one."""
        if _FIELDS.fullmatch(event) is None:
            return False
        if self.last_id is None:
            return True
        if found is None:
            # Only comments may come between events with ids.
            return _DATA_FIELD.search(event) is None
        ids = self.last_id, found[1].decode("latin1")
        if not all(one.isdecimal() and len(one) <= MAX_ID_DIGITS for one in ids):
            return True
        last_number, number = map(int, ids)
        return number > last_number

    def discard_incomplete(self) -> None:
        """Discard the incomplete or invalid event of an upstream that failed."""
        self.incomplete = b""
        self.is_invalid = False
