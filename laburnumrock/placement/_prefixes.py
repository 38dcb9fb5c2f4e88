"""Hints about the prefixes that an engine has cached."""

from collections import OrderedDict
from collections.abc import Iterable

from laburnumrock.upstreams import CacheEvent

# Limits the memory for the hints of one upstream to about 400 KB.
MAX_PREFIXES = 4096


class PrefixHints:
    """Prefixes that one engine has cached according to its cache events.

    Hints only break ties between otherwise equal upstreams. They never shorten a predicted time,
    because events arrive late and the engine may have evicted a prefix already.
    """

    __slots__ = ("last_sequence", "stored")

    def __init__(self) -> None:
        self.stored: OrderedDict[str, None] = OrderedDict()
        self.last_sequence: int | None = None

    def observe(self, events: Iterable[CacheEvent]) -> None:
        """Apply events; a gap in the sequence numbers invalidates all earlier hints."""
        for event in events:
            if self.last_sequence is not None and event.sequence <= self.last_sequence:
                continue
            if self.last_sequence is not None and event.sequence != self.last_sequence + 1:
                self.stored.clear()
            self.last_sequence = event.sequence
            if event.event == "stored":
                self.stored[event.prefix_hash] = None
                self.stored.move_to_end(event.prefix_hash)
                if len(self.stored) > MAX_PREFIXES:
                    self.stored.popitem(last=False)
            else:
                self.stored.pop(event.prefix_hash, None)

    def clear(self) -> None:
        """Remove all hints, as after a restart of the engine."""
        self.stored.clear()
        self.last_sequence = None

    def match(self, prefix_hashes: list[str]) -> int:
        """Return how many of the prefixes, shortest first, are cached according to the hints."""
        for count in range(len(prefix_hashes), 0, -1):
            if prefix_hashes[count - 1] in self.stored:
                return count
        return 0
