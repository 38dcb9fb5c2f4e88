"""Prefix cache of one emulated engine, with delayed and lost cache events."""

import random
from collections import OrderedDict
from dataclasses import dataclass

EVENT_DELAY_MIN_S = 0.2
EVENT_DELAY_MAX_S = 2.0
EVENT_LOSS_PROBABILITY = 0.05
MAX_EVENTS_PER_REPORT = 64


@dataclass(frozen=True, slots=True)
class _PendingEvent:
    due_s: float
    sequence: int
    prefix_hash: str
    event: str


class PrefixCache:
    """Least-recently-used cache of prompt prefixes.

    Parameters
    ----------
    capacity_tokens : int
        Maximum number of cached tokens.
    rng : random.Random
        Random number generator for the delay and loss of events.
    """

    def __init__(self, capacity_tokens: int, rng: random.Random) -> None:
        self.capacity_tokens = capacity_tokens
        self.rng = rng
        self.entries: OrderedDict[str, int] = OrderedDict()
        self.used_tokens = 0
        self.sequence = 0
        self.pending: list[_PendingEvent] = []

    def find(self, prefixes: tuple[tuple[int, str], ...]) -> int:
        """Return the length of the longest cached prefix, in tokens."""
        for length, prefix_hash in reversed(prefixes):
            if prefix_hash in self.entries:
                self.entries.move_to_end(prefix_hash)
                return length
        return 0

    def store(self, prefixes: tuple[tuple[int, str], ...], limit_tokens: int, now_s: float) -> None:
        """Cache the prefixes of a computed prompt, within `limit_tokens` in total."""
        limit_tokens = min(limit_tokens, self.capacity_tokens)
        previous = 0
        for length, prefix_hash in prefixes:
            # A longer prefix shares the memory of the shorter one and needs only the difference.
            cost = length - previous
            if length > limit_tokens:
                break
            previous = length
            if prefix_hash in self.entries:
                self.entries.move_to_end(prefix_hash)
                continue
            self.entries[prefix_hash] = cost
            self.used_tokens += cost
            self._record(prefix_hash, "stored", now_s)
        self.shrink(limit_tokens, now_s)

    def shrink(self, limit_tokens: int, now_s: float) -> None:
        """Evict the least recently used prefixes until at most `limit_tokens` remain."""
        while self.entries and self.used_tokens > limit_tokens:
            prefix_hash, cost = self.entries.popitem(last=False)
            self.used_tokens -= cost
            self._record(prefix_hash, "evicted", now_s)

    def take_events(self, now_s: float) -> list[dict[str, object]]:
        """Remove and return due events, at most 64, ordered by sequence number."""
        due = [event for event in self.pending if event.due_s <= now_s][:MAX_EVENTS_PER_REPORT]
        due_sequences = {event.sequence for event in due}
        self.pending = [event for event in self.pending if event.sequence not in due_sequences]
        return [
            {"sequence": event.sequence, "prefix_hash": event.prefix_hash, "event": event.event}
            for event in sorted(due, key=lambda event: event.sequence)
        ]

    def _record(self, prefix_hash: str, event: str, now_s: float) -> None:
        self.sequence += 1
        if self.rng.random() < EVENT_LOSS_PROBABILITY:
            return
        due_s = now_s + self.rng.uniform(EVENT_DELAY_MIN_S, EVENT_DELAY_MAX_S)
        self.pending.append(_PendingEvent(due_s, self.sequence, prefix_hash, event))
