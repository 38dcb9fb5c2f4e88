"""Queue of requests that wait for a permit."""

import itertools
import math
from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from laburnumrock.placement._ledger import WaitingRequest

THROUGHPUT_WINDOW_S = 15.0
# While the first request has waited less, the recent throughput only shows the recent demand.
BLOCKED_S = 5.0
MIN_RATE = 1e-3


class RequestQueue:
    """Waiting requests in several lines, each ordered by `WaitingRequest.order`.

    The expected wait of a line follows from its recent throughput, so that a request that would
    wait too long is refused on arrival and not after a long wait.

    A line whose first requests cannot be placed does not hold up the other lines.
    """

    def __init__(self) -> None:
        self.by_key: dict[tuple[str, int], WaitingRequest] = {}
        self.lines: dict[str, SortedDict] = {}
        self.expiries: SortedList = SortedList()
        self.cost_s: dict[str, float] = {}
        self._granted: dict[str, tuple[float, float]] = {}
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

    def record_grant(self, line: str, cost_s: float, now_s: float) -> None:
        """Add a grant, queued before or not, to the throughput of a line."""
        total, updated_s = self._granted.get(line, (0.0, now_s))
        decay = math.exp(-(now_s - updated_s) / THROUGHPUT_WINDOW_S)
        self._granted[line] = (total * decay + cost_s, now_s)

    def expected_wait_s(self, line: str, upstreams: int, now_s: float) -> float:
        """Return the expected wait of a request that joins a line, in seconds.

        Parameters
        ----------
        line : str
            The line.
        upstreams : int
            Upstreams that may serve it; together they serve at most this cost per second.
        now_s : float
            Clock reading in seconds.
        """
        if not self.lines.get(line):
            return 0.0
        rate = float(max(1, upstreams))
        if now_s - self.first(line).arrived_s >= BLOCKED_S:
            total, updated_s = self._granted.get(line, (0.0, now_s))
            decay = math.exp(-(now_s - updated_s) / THROUGHPUT_WINDOW_S)
            rate = min(rate, max(total * decay / THROUGHPUT_WINDOW_S, MIN_RATE))
        return self.cost_s[line] / rate

    def heads(self, depth: int) -> Iterator[list[WaitingRequest]]:
        """Yield the first `depth` requests of each line, the line with the first head first."""
        lines = [line for line in self.lines.values() if line]
        lines.sort(key=lambda line: line.peekitem(0)[0])
        for line in lines:
            yield [line[place] for place in itertools.islice(line, depth)]

    def first(self, line: str) -> WaitingRequest:
        """Return the first request of a line that is not empty."""
        return self.lines[line].peekitem(0)[1]
