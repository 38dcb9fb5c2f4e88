"""Placement policies: registry, base class and baselines."""

import itertools
import random
from collections.abc import Callable, Iterable, Iterator

from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import MAX_CANDIDATES, UpstreamTable
from laburnumrock.routing import LengthClass

POLICIES: dict[str, type["PlacementPolicy"]] = {}

# Expected wait while no upstream accepts requests.
DEFAULT_PREFILL_WAIT_S = 5.0


def accept_all(ledger: UpstreamLedger) -> bool:
    """Accept every upstream."""
    return True


class PlacementPolicy:
    """Base class of the policies that choose upstreams and order the queue.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    rng : random.Random
        Source of randomness.

    Attributes
    ----------
    kv_headroom : int
        KV tokens that all but short prompts leave free on each engine.
    uses_predictions : bool
        Whether predicted times decide on refusals and blocked requests reserve memory.
    lookahead : int
        Number of requests at the head of each subqueue that may be granted out of order.
    """

    uses_predictions = True
    lookahead = 4

    def __init__(self, settings: PoolSettings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.kv_headroom = 0

    def observe(self, table: UpstreamTable, now_s: float) -> None:
        """Update the policy from the state of the pool; called on every tick."""

    def record_arrival(self, waiting: WaitingRequest, now_s: float) -> None:
        """Update the policy from a new request before it is placed."""

    def rank(self, waiting: WaitingRequest, now_s: float) -> float:
        """Return the sort key of a request in its subqueue; lower is served first."""
        return waiting.arrived_s

    def subqueue_name(self, waiting: WaitingRequest) -> str:
        """Return the name of the subqueue in which a request waits."""
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
            An upstream for which `UpstreamTable.can_take` is true; None if the request must wait.
        """
        found = self.choose_by_wait(waiting, table, now_s)
        return found or self.choose_by_memory(waiting, table, now_s)

    def expected_prefill_wait_s(
        self, length_class: LengthClass, table: UpstreamTable, now_s: float
    ) -> float:
        """Return the expected wait of a request granted now until its prefill, in seconds."""
        waits = []
        for group in table.groups.values():
            if group.idle:
                return 0.0
            if group.busy:
                waits.append(max(0.0, group.busy[0][0] - now_s))
        return min(waits, default=DEFAULT_PREFILL_WAIT_S)

    def choose_by_wait(
        self,
        waiting: WaitingRequest,
        table: UpstreamTable,
        now_s: float,
        accepts: Callable[[UpstreamLedger], bool] = accept_all,
    ) -> UpstreamLedger | None:
        """Return the upstream of earliest expected finish among those with the shortest waits."""
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
        """Return the upstream of earliest expected finish among those with most free memory."""
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
        """Return a sort key: expected finish, then cached prefixes if finishes are nearly equal."""
        request = waiting.request
        decode_s = request.max_output_tokens * ledger.step_s(len(ledger.permits) + 1)
        finish_s = round(ledger.wait_s(now_s) + decode_s, 2)
        cached_prefixes = (
            ledger.prefixes.match(request.prefix_hashes) if ledger.prefixes.stored else 0
        )
        return (finish_s, -cached_prefixes, len(ledger.permits), ledger.upstream_id)

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
    """Baseline: round robin over upstreams, FIFO queue, no predictions and no headroom."""

    uses_predictions = False
    lookahead = 1

    def __init__(self, settings: PoolSettings, rng: random.Random) -> None:
        super().__init__(settings, rng)
        self.last_upstream_id = ""

    def subqueue_name(self, waiting: WaitingRequest) -> str:
        """Return the name of the only subqueue."""
        return "all"

    def choose(
        self, waiting: WaitingRequest, table: UpstreamTable, now_s: float
    ) -> UpstreamLedger | None:
        """Return the next suitable upstream by id after the last choice."""
        best: tuple = ()
        for group in table.groups_for(waiting.request):
            start_index = group.by_id.bisect_right(self.last_upstream_id)
            size = len(group.by_id)
            names = (group.by_id[(start_index + offset) % size] for offset in range(size))
            ledgers = (table.ledgers[name] for name in names)
            for ledger in self._first_fitting(ledgers, waiting, table):
                key = (ledger.upstream_id <= self.last_upstream_id, ledger.upstream_id)
                best = min(best, key) if best else key
                break
        if not best:
            return None
        self.last_upstream_id = best[1]
        return table.ledgers[self.last_upstream_id]


@register_policy("shortest_wait")
class ShortestWaitPolicy(PlacementPolicy):
    """Chooses the shortest expected wait; one FIFO subqueue per length class."""
