"""Registry of placement policies, their base class and the naive baseline."""

import itertools
import random
from collections.abc import Callable, Iterable, Iterator

from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import MAX_CANDIDATES, UpstreamTable
from laburnumrock.routing import LengthClass

POLICIES: dict[str, type["PlacementPolicy"]] = {}

# Expected wait while no upstream is open, in seconds.
DEFAULT_START_S = 5.0


def accept_all(ledger: UpstreamLedger) -> bool:
    """Accept any upstream."""
    return True


class PlacementPolicy:
    """Choice of an upstream and order of the queue.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    memory_reserve : int
        KV tokens of each engine that spanning prompts leave free.
    """

    predicts = True
    queue_depth = 4

    def __init__(self, settings: PoolSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.memory_reserve = 0

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
        found = self.choose_by_wait(waiting, table, now_s)
        return found or self.choose_by_memory(waiting, table, now_s)

    def expected_start_s(
        self, length_class: LengthClass, table: UpstreamTable, now_s: float
    ) -> float:
        """Return the expected wait for the prefill of a request that is granted now."""
        waits = []
        for group in table.groups.values():
            if group.idle:
                return 0.0
            if group.busy:
                waits.append(max(0.0, group.busy[0][0] - now_s))
        return min(waits, default=DEFAULT_START_S)

    def choose_by_wait(
        self,
        waiting: WaitingRequest,
        table: UpstreamTable,
        now_s: float,
        accepts: Callable[[UpstreamLedger], bool] = accept_all,
    ) -> UpstreamLedger | None:
        """Return the earliest expected finish among upstreams that start soonest."""
        best = None
        best_score: tuple = ()
        for group in table.groups_for(waiting.request):
            candidates = table.iterate_by_wait(group, now_s)
            for ledger in self._first_fitting(candidates, waiting, table, accepts):
                score = self._score(ledger, waiting, now_s)
                if best is None or score < best_score:
                    best = ledger
                    best_score = score
        return best

    def choose_by_memory(
        self,
        waiting: WaitingRequest,
        table: UpstreamTable,
        now_s: float,
        accepts: Callable[[UpstreamLedger], bool] = accept_all,
    ) -> UpstreamLedger | None:
        """Return the earliest expected finish among upstreams with the most free memory."""
        best = None
        best_score: tuple = ()
        for group in table.groups_for(waiting.request):
            candidates = table.iterate_by_free(group, waiting.kv_tokens)
            for ledger in self._first_fitting(candidates, waiting, table, accepts):
                score = self._score(ledger, waiting, now_s)
                if best is None or score < best_score:
                    best = ledger
                    best_score = score
        return best

    def _score(self, ledger: UpstreamLedger, waiting: WaitingRequest, now_s: float) -> tuple:
        """Return expected wait and decode time; a cached prefix decides between near equals."""
        request = waiting.request
        decode_s = request.max_output_tokens * ledger.step_s(len(ledger.permits) + 1)
        finish_s = round(ledger.wait_s(now_s) + decode_s, 2)
        hint = ledger.prefixes.match(request.prefix_hashes) if ledger.prefixes.stored else 0
        return (finish_s, -hint, len(ledger.permits), ledger.upstream_id)

    def _first_fitting(
        self,
        candidates: Iterable[UpstreamLedger],
        waiting: WaitingRequest,
        table: UpstreamTable,
        accepts: Callable[[UpstreamLedger], bool] = accept_all,
    ) -> Iterator[UpstreamLedger]:
        limit = MAX_CANDIDATES + len(waiting.request.excluded_upstreams)
        for ledger in itertools.islice(candidates, limit):
            if table.has_room(ledger, waiting) and accepts(ledger):
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
