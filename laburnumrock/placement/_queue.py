"""Queue of requests that wait for a permit."""

import itertools
import math
from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from laburnumrock.placement._ledger import WaitingRequest

THROUGHPUT_WINDOW_S = 15.0
# Spans the pauses of a line while memory becomes free for a long or spanning prompt.
LONG_WINDOW_S = 60.0
WINDOWS_S = (THROUGHPUT_WINDOW_S, LONG_WINDOW_S)
# While the first request has waited less, the recent throughput only shows the recent demand.
BLOCKED_S = 5.0
# A request that has waited this part of the time until it is given up or checked again is served
# before younger ones.
URGENT_PART = 0.5
# Exceeds the largest difference of fair time stamps in a line, but not a step of priority.
URGENT_LEAD_S = 25.0
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
        self.urgencies: SortedList = SortedList()
        self.cost_s: dict[str, float] = {}
        self._granted: dict[tuple[str, float], tuple[float, float]] = {}
        self._places: dict[tuple[str, int], tuple] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self.by_key)

    def add(self, waiting: WaitingRequest, line: str, give_up_s: float) -> None:
        """Enter a request that is given up or checked again at `give_up_s` unless placed before."""
        self._sequence += 1
        place = (waiting.order, self._sequence)
        expiry = (give_up_s, self._sequence, waiting.key)
        self.lines.setdefault(line, SortedDict())[place] = waiting
        self.cost_s[line] = self.cost_s.get(line, 0.0) + waiting.cost_s
        urgent_s = waiting.arrived_s + URGENT_PART * (give_up_s - waiting.arrived_s)
        urgency = (urgent_s, self._sequence, waiting.key)
        self.expiries.add(expiry)
        self.urgencies.add(urgency)
        self.by_key[waiting.key] = waiting
        self._places[waiting.key] = (line, place, expiry, urgency)

    def remove(self, key: tuple[str, int]) -> WaitingRequest | None:
        """Take a request out; returns None if it is not queued."""
        waiting = self.by_key.pop(key, None)
        if waiting is None:
            return None
        line, place, expiry, urgency = self._places.pop(key)
        del self.lines[line][place]
        self.cost_s[line] -= waiting.cost_s
        if not self.lines[line]:
            self.cost_s[line] = 0.0
        self.expiries.remove(expiry)
        self.urgencies.discard(urgency)
        return waiting

    def promote_urgent(self, now_s: float) -> None:
        """Move requests that have used up half of their longest wait ahead in their lines."""
        while self.urgencies and self.urgencies[0][0] <= now_s:
            key = self.urgencies.pop(0)[2]
            waiting = self.by_key[key]
            line, place, expiry, urgency = self._places[key]
            del self.lines[line][place]
            waiting.order -= URGENT_LEAD_S
            place = (waiting.order, place[1])
            self.lines[line][place] = waiting
            self._places[key] = (line, place, expiry, urgency)

    def find_due(self, now_s: float) -> list[WaitingRequest]:
        """Return the requests whose time to be given up or checked again has come."""
        due = itertools.takewhile(lambda entry: entry[0] <= now_s, self.expiries)
        return [self.by_key[key] for _, _, key in due]

    def postpone(self, key: tuple[str, int], give_up_s: float) -> None:
        """Set another time at which a request is given up or checked again."""
        line, place, expiry, urgency = self._places[key]
        self.expiries.remove(expiry)
        expiry = (give_up_s, *expiry[1:])
        self.expiries.add(expiry)
        self._places[key] = (line, place, expiry, urgency)

    def pop_all(self) -> list[WaitingRequest]:
        """Take out everything, in order of arrival."""
        return [self.remove(key) for key in list(self.by_key)]

    def record_grant(self, line: str, cost_s: float, now_s: float) -> None:
        """Add a grant, queued before or not, to the throughput of a line."""
        for window_s in WINDOWS_S:
            rate = self._granted_rate(line, now_s, window_s) + cost_s / window_s
            self._granted[line, window_s] = (rate, now_s)

    def cost_ahead_s(self, line: str, order: float | None = None) -> float:
        """Return the expected cost of the requests that are served before a new one.

        Parameters
        ----------
        line : str
            Line that the new request would join.
        order : float, optional
            Its `WaitingRequest.order`; None for the end of the line.
        """
        waiting = self.lines.get(line)
        if not waiting:
            return 0.0
        if order is None:
            return self.cost_s[line]
        # The mean cost of the line stands for the cost of those ahead, to bound the decision cost.
        return self.cost_s[line] * waiting.bisect_right((order, math.inf)) / len(waiting)

    def expected_wait_s(
        self, line: str, upstreams: int, now_s: float, order: float | None = None
    ) -> float:
        """Return the expected wait of a request that joins a line, in seconds.

        Parameters
        ----------
        line : str
            The line.
        upstreams : int
            Upstreams that may serve it; together they serve at most this cost per second.
        now_s : float
            Clock reading in seconds.
        order : float, optional
            As for `cost_ahead_s`.
        """
        if not self.lines.get(line):
            return 0.0
        rate = max(min(self._granted_rates(line, now_s)), MIN_RATE)
        if now_s - self.first(line).arrived_s < BLOCKED_S:
            others = sum(max(self._granted_rates(name, now_s)) for name in self.lines)
            others -= max(self._granted_rates(line, now_s))
            rate = max(rate, upstreams - others)
        return self.cost_ahead_s(line, order) / rate

    def turn_wait_s(self, waiting: WaitingRequest, line: str, now_s: float) -> float:
        """Return the expected wait of a queued request, its own cost included, in seconds."""
        cost_s = max(waiting.cost_s, self.cost_ahead_s(line, waiting.order))
        return cost_s / max(*self._granted_rates(line, now_s), MIN_RATE)

    def _granted_rates(self, line: str, now_s: float) -> list[float]:
        return [self._granted_rate(line, now_s, window_s) for window_s in WINDOWS_S]

    def _granted_rate(self, line: str, now_s: float, window_s: float) -> float:
        rate, updated_s = self._granted.get((line, window_s), (0.0, now_s))
        return rate * math.exp(-(now_s - updated_s) / window_s)

    def heads(self, depth: int) -> Iterator[list[WaitingRequest]]:
        """Yield the first `depth` requests of each line, the line with the first head first."""
        lines = [line for line in self.lines.values() if line]
        lines.sort(key=lambda line: line.peekitem(0)[0])
        for line in lines:
            yield [line[place] for place in itertools.islice(line, depth)]

    def first(self, line: str) -> WaitingRequest:
        """Return the first request of a line that is not empty."""
        return self.lines[line].peekitem(0)[1]
