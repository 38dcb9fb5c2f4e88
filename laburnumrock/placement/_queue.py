"""Queue of permit requests."""

import itertools
import math
from collections.abc import Iterator

from sortedcontainers import SortedDict, SortedList

from laburnumrock.placement._ledger import WaitingRequest

THROUGHPUT_WINDOW_S = 15.0
# Longer than the pauses in which a subqueue waits for memory for a long or spanning prompt.
LONG_WINDOW_S = 60.0
WINDOWS_S = (THROUGHPUT_WINDOW_S, LONG_WINDOW_S)
# Until its first request has waited this long, a subqueue is not assumed to be blocked: its recent
# throughput reflects only the recent demand.
BLOCKED_AFTER_S = 5.0
# A request is promoted ahead of younger ones after this fraction of the time to its first check.
PROMOTION_FRACTION = 0.5
# Exceeds the largest difference of fairness tags in a subqueue, but not a step of priority.
PROMOTION_LEAD_S = 25.0
MIN_RATE = 1e-3


class RequestQueue:
    """Waiting requests in several subqueues, each ordered by `WaitingRequest.order`.

    The expected wait of a subqueue is derived from its recent throughput, so that a request that
    would wait too long is refused on arrival and not after a long wait.

    A subqueue whose first requests cannot be placed does not block the other subqueues.
    """

    def __init__(self) -> None:
        self.by_key: dict[tuple[str, int], WaitingRequest] = {}
        self.subqueues: dict[str, SortedDict] = {}
        self.checks: SortedList = SortedList()
        self.promotions: SortedList = SortedList()
        self.cost_s: dict[str, float] = {}
        self._rate_states: dict[tuple[str, float], tuple[float, float]] = {}
        self._positions: dict[tuple[str, int], tuple] = {}
        self._sequence = 0

    def __len__(self) -> int:
        return len(self.by_key)

    def add(self, waiting: WaitingRequest, subqueue: str, check_s: float) -> None:
        """Add a request whose expected start is checked at `check_s` if it is still queued."""
        self._sequence += 1
        position = (waiting.order, self._sequence)
        check = (check_s, self._sequence, waiting.key)
        self.subqueues.setdefault(subqueue, SortedDict())[position] = waiting
        self.cost_s[subqueue] = self.cost_s.get(subqueue, 0.0) + waiting.cost_s
        promote_s = waiting.arrived_s + PROMOTION_FRACTION * (check_s - waiting.arrived_s)
        promotion = (promote_s, self._sequence, waiting.key)
        self.checks.add(check)
        self.promotions.add(promotion)
        self.by_key[waiting.key] = waiting
        self._positions[waiting.key] = (subqueue, position, check, promotion)

    def remove(self, key: tuple[str, int]) -> WaitingRequest | None:
        """Remove a request; returns None if it is not queued."""
        waiting = self.by_key.pop(key, None)
        if waiting is None:
            return None
        subqueue, position, check, promotion = self._positions.pop(key)
        del self.subqueues[subqueue][position]
        self.cost_s[subqueue] -= waiting.cost_s
        if not self.subqueues[subqueue]:
            self.cost_s[subqueue] = 0.0
        self.checks.remove(check)
        self.promotions.discard(promotion)
        return waiting

    def promote_aged(self, now_s: float) -> None:
        """Move requests ahead in their subqueues after `PROMOTION_FRACTION` of their wait."""
        while self.promotions and self.promotions[0][0] <= now_s:
            key = self.promotions.pop(0)[2]
            waiting = self.by_key[key]
            subqueue, position, check, promotion = self._positions[key]
            del self.subqueues[subqueue][position]
            waiting.order -= PROMOTION_LEAD_S
            position = (waiting.order, position[1])
            self.subqueues[subqueue][position] = waiting
            self._positions[key] = (subqueue, position, check, promotion)

    def due_for_check(self, now_s: float) -> list[WaitingRequest]:
        """Return the requests whose check is due."""
        due = itertools.takewhile(lambda entry: entry[0] <= now_s, self.checks)
        return [self.by_key[key] for _, _, key in due]

    def reschedule_check(self, key: tuple[str, int], check_s: float) -> None:
        """Set the time of the next check of a request."""
        subqueue, position, check, promotion = self._positions[key]
        self.checks.remove(check)
        check = (check_s, *check[1:])
        self.checks.add(check)
        self._positions[key] = (subqueue, position, check, promotion)

    def pop_all(self) -> list[WaitingRequest]:
        """Remove and return all requests, in order of arrival."""
        return [self.remove(key) for key in list(self.by_key)]

    def record_grant(self, subqueue: str, cost_s: float, now_s: float) -> None:
        """Add a grant to the throughput of a subqueue, whether the request was queued or not."""
        for window_s in WINDOWS_S:
            rate = self._grant_rate(subqueue, now_s, window_s) + cost_s / window_s
            self._rate_states[subqueue, window_s] = (rate, now_s)

    def cost_ahead_s(self, subqueue: str, order: float | None = None) -> float:
        """Return the expected cost of the requests that are served before a new one.

        Parameters
        ----------
        subqueue : str
            Subqueue that the new request would join.
        order : float, optional
            Its `WaitingRequest.order`; None for the end of the subqueue.
        """
        waiting = self.subqueues.get(subqueue)
        if not waiting:
            return 0.0
        if order is None:
            return self.cost_s[subqueue]
        # Multiplies by the mean cost instead of adding up the costs of the requests ahead, to bound
        # the cost of a decision.
        return self.cost_s[subqueue] * waiting.bisect_right((order, math.inf)) / len(waiting)

    def expected_wait_s(
        self, subqueue: str, upstreams: int, now_s: float, order: float | None = None
    ) -> float:
        """Return the expected wait of a request that joins a subqueue, in seconds.

        Parameters
        ----------
        subqueue : str
            Name of the subqueue.
        upstreams : int
            Number of upstreams; each serves a cost of at most one second per second.
        now_s : float
            Clock reading in seconds.
        order : float, optional
            As for `cost_ahead_s`.
        """
        if not self.subqueues.get(subqueue):
            return 0.0
        rate = max(min(self._grant_rates(subqueue, now_s)), MIN_RATE)
        if now_s - self.first(subqueue).arrived_s < BLOCKED_AFTER_S:
            others = sum(max(self._grant_rates(name, now_s)) for name in self.subqueues)
            others -= max(self._grant_rates(subqueue, now_s))
            rate = max(rate, upstreams - others)
        return self.cost_ahead_s(subqueue, order) / rate

    def remaining_wait_s(self, waiting: WaitingRequest, subqueue: str, now_s: float) -> float:
        """Return the expected remaining wait of a queued request, including its own cost."""
        cost_s = max(waiting.cost_s, self.cost_ahead_s(subqueue, waiting.order))
        return cost_s / max(*self._grant_rates(subqueue, now_s), MIN_RATE)

    def _grant_rates(self, subqueue: str, now_s: float) -> list[float]:
        return [self._grant_rate(subqueue, now_s, window_s) for window_s in WINDOWS_S]

    def _grant_rate(self, subqueue: str, now_s: float, window_s: float) -> float:
        rate, updated_s = self._rate_states.get((subqueue, window_s), (0.0, now_s))
        return rate * math.exp(-(now_s - updated_s) / window_s)

    def heads(self, depth: int) -> Iterator[list[WaitingRequest]]:
        """Yield the first `depth` requests of each subqueue, in the order of their first ones."""
        subqueues = [subqueue for subqueue in self.subqueues.values() if subqueue]
        subqueues.sort(key=lambda subqueue: subqueue.peekitem(0)[0])
        for subqueue in subqueues:
            yield [subqueue[position] for position in itertools.islice(subqueue, depth)]

    def first(self, subqueue: str) -> WaitingRequest:
        """Return the first request of a subqueue, which must not be empty."""
        return self.subqueues[subqueue].peekitem(0)[1]
