"""Registry of placement policies, their base class and the naive baseline."""

import random
from collections.abc import Callable

from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import MAX_CANDIDATES, UpstreamTable

POLICIES: dict[str, type["PlacementPolicy"]] = {}


class PlacementPolicy:
    """Choice of an upstream and order of the queue.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    rng : random.Random
        Source of randomness.
    """

    predicts = True
    queue_depth = 4

    def __init__(self, settings: PoolSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng

    def observe(self, table: UpstreamTable, now_s: float) -> None:
        """Take the state of the pool into account; called with every tick."""

    def record_arrival(self, waiting: WaitingRequest, now_s: float) -> None:
        """Take a new request into account before it is placed."""

    def rank(self, waiting: WaitingRequest, now_s: float) -> float:
        """Return the order of a request in its line; lower is served first."""
        return waiting.arrived_s

    def find_line(self, waiting: WaitingRequest) -> str:
        """Return the line of the queue in which a request waits."""
        return waiting.length_class.value

    def choose(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> UpstreamLedger | None:
        """Choose an upstream for a request.

        Parameters
        ----------
        waiting : WaitingRequest
            Request that fits one upstream.
        table : UpstreamTable
            Upstreams of the pool.
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        UpstreamLedger or None
            An upstream for which `UpstreamTable.can_take` holds, or None to wait.
        """
        raise NotImplementedError

    def choose_by_wait(
        self,
        waiting: WaitingRequest,
        table: UpstreamTable,
        now_s: float,
        lane: int | None = None,
        max_wait_s: float = float("inf"),
    ) -> UpstreamLedger | None:
        """Return the upstream with the earliest start; cached prefixes decide between equals."""
        best = None
        best_score: tuple = ()
        for group in table.groups_for(waiting.request, lane):
            iterator = table.iterate_by_wait(group, now_s)
            for ledger in self._first_fitting(iterator, waiting, table):
                wait_s = ledger.wait_s(now_s)
                if wait_s > max_wait_s:
                    break
                hint = ledger.prefixes.match(waiting.request.prefix_hashes)
                score = (round(wait_s, 3), -hint, len(ledger.permits), ledger.upstream_id)
                if best is None or score < best_score:
                    best = ledger
                    best_score = score
        return best

    def choose_by_memory(
        self,
        waiting: WaitingRequest,
        table: UpstreamTable,
        now_s: float,
        lane: int | None = None,
        accepts: Callable[[UpstreamLedger], bool] = lambda ledger: True,
    ) -> UpstreamLedger | None:
        """Return the upstream with the earliest start among those with most free memory."""
        best = None
        best_score: tuple = ()
        for group in table.groups_for(waiting.request, lane):
            iterator = table.iterate_by_free(group, waiting.kv_tokens)
            for ledger in self._first_fitting(iterator, waiting, table):
                if not accepts(ledger):
                    continue
                score = (ledger.wait_s(now_s), len(ledger.permits), ledger.upstream_id)
                if best is None or score < best_score:
                    best = ledger
                    best_score = score
        return best

    def _first_fitting(self, iterator, waiting: WaitingRequest, table: UpstreamTable):
        excluded = len(waiting.request.excluded_upstreams)
        for count, ledger in enumerate(iterator):
            if count >= MAX_CANDIDATES + excluded:
                return
            if table.can_take(ledger, waiting):
                yield ledger


def register_policy(name: str) -> Callable[[type[PlacementPolicy]], type[PlacementPolicy]]:
    """Register a policy class under a name.

    Raises
    ------
    ValueError
        If the name is taken.
    """

    def register(cls: type[PlacementPolicy]) -> type[PlacementPolicy]:
        if name in POLICIES:
            raise ValueError(f"policy {name} is registered twice")
        POLICIES[name] = cls
        return cls

    return register


@register_policy("round_robin")
class RoundRobinPolicy(PlacementPolicy):
    """Naive baseline: the next upstream, first in first out, no prediction, no reserves."""

    predicts = False
    queue_depth = 1

    def __init__(self, settings: PoolSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self.last = ""

    def find_line(self, waiting: WaitingRequest) -> str:
        """Return the only line."""
        return "all"

    def choose(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> UpstreamLedger | None:
        """Return the next upstream by name after the last choice."""
        best: tuple = ()
        for group in table.groups_for(waiting.request):
            start = group.by_id.bisect_right(self.last)
            size = len(group.by_id)
            names = (group.by_id[(start + offset) % size] for offset in range(size))
            ledgers = (table.ledgers[name] for name in names)
            for ledger in self._first_fitting(ledgers, waiting, table):
                key = (ledger.upstream_id <= self.last, ledger.upstream_id)
                best = min(best, key) if best else key
                break
        if not best:
            return None
        self.last = best[1]
        return table.ledgers[self.last]


@register_policy("shortest_wait")
class ShortestWaitPolicy(PlacementPolicy):
    """Upstream with the shortest expected wait; lines per class, served in order of arrival."""

    def choose(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> UpstreamLedger | None:
        """Return the upstream with the shortest wait and enough memory."""
        found = self.choose_by_wait(waiting, table, now_s)
        return found or self.choose_by_memory(waiting, table, now_s)
