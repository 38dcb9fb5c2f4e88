"""Hints on the prefixes that an engine has cached."""

from collections import OrderedDict
from collections.abc import Iterable

from laburnumrock.upstreams import CacheEvent

# Bounds the memory of one upstream's hints to about 400 KB.
MAX_PREFIXES = 4096


class PrefixHints:
    """Cached prefixes of one engine, as far as its events tell.

    Hints only order upstreams that are otherwise equal. They never shorten a prediction, because
    events arrive late and the engine may have evicted a prefix already.
    """

    __slots__ = ("last_sequence", "stored")

    def __init__(self) -> None:
        self.stored: OrderedDict[str, None] = OrderedDict()
        self.last_sequence: int | None = None

    def observe(self, events: Iterable[CacheEvent]) -> None:
        """Apply events; a gap in the sequence makes all earlier hints unknown."""
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
        """Forget everything, as after a restart of the engine."""
        self.stored.clear()
        self.last_sequence = None

    def match(self, prefix_hashes: list[str]) -> int:
        """Return how many of the prefixes, shortest first, seem to be cached."""
        for count in range(len(prefix_hashes), 0, -1):
            if prefix_hashes[count - 1] in self.stored:
                return count
        return 0
