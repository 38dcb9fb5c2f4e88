"""Queue of requests that wait for a permit."""

import itertools
from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from laburnumrock.placement._ledger import WaitingRequest


class RequestQueue:
    """Waiting requests in several lines, each ordered by `WaitingRequest.order`.

    A line whose first requests cannot be placed does not hold up the other lines.
    """

    def __init__(self) -> None:
        self.by_key: dict[tuple[str, int], WaitingRequest] = {}
        self.lines: dict[str, SortedDict] = {}
        self.expiries: SortedList = SortedList()
        self.cost_s: dict[str, float] = {}
        self._places: dict[tuple[str, int], tuple] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self.by_key)

    def add(self, waiting: WaitingRequest, line: str, give_up_s: float) -> None:
        """Enter a request that is given up at `give_up_s` unless it is placed before."""
        self._sequence += 1
        place = (waiting.order, self._sequence)
        expiry = (give_up_s, self._sequence, waiting.key)
        self.lines.setdefault(line, SortedDict())[place] = waiting
        self.cost_s[line] = self.cost_s.get(line, 0.0) + waiting.cost_s
        self.expiries.add(expiry)
        self.by_key[waiting.key] = waiting
        self._places[waiting.key] = (line, place, expiry)

    def remove(self, key: tuple[str, int]) -> WaitingRequest | None:
        """Take a request out; returns None if it is not queued."""
        waiting = self.by_key.pop(key, None)
        if waiting is None:
            return None
        line, place, expiry = self._places.pop(key)
        del self.lines[line][place]
        self.cost_s[line] -= waiting.cost_s
        if not self.lines[line]:
            self.cost_s[line] = 0.0
        self.expiries.remove(expiry)
        return waiting

    def pop_given_up(self, now_s: float) -> list[WaitingRequest]:
        """Take out the requests whose latest start has passed."""
        given_up = []
        while self.expiries and self.expiries[0][0] <= now_s:
            given_up.append(self.remove(self.expiries[0][2]))
        return given_up

    def pop_all(self) -> list[WaitingRequest]:
        """Take out everything, in order of arrival."""
        return [self.remove(key) for key in list(self.by_key)]

    def heads(self, depth: int) -> Iterator[list[WaitingRequest]]:
        """Yield the first `depth` requests of each line, the line with the first head first."""
        lines = [line for line in self.lines.values() if line]
        lines.sort(key=lambda line: line.peekitem(0)[0])
        for line in lines:
            yield [line[place] for place in itertools.islice(line, depth)]

    def first(self, line: str) -> WaitingRequest:
        """Return the first request of a line that is not empty."""
        return self.lines[line].peekitem(0)[1]
