"""Table of the upstreams of a pool with indices for placement."""

from collections.abc import Iterator

from sortedcontainers import SortedList

from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest, matches_signature
from laburnumrock.placement._messages import PermitRequest
from laburnumrock.placement._settings import PoolSettings

# Limits the cost of one placement decision; later decisions try the other upstreams.
MAX_CANDIDATES = 12
# An upstream with less free memory is too small for most requests, so it is left out of the index
# by wait and found only through the index by free memory.
MIN_READY_KV_TOKENS = 16_000
# Sorts after every upstream id.
MAX_UPSTREAM_ID = "\U0010ffff"


class UpstreamGroup:
    """Open upstreams with the same models, adapters and versions, sorted by several keys."""

    __slots__ = ("busy", "by_free", "by_id", "idle")

    def __init__(self) -> None:
        self.idle: SortedList = SortedList()
        self.busy: SortedList = SortedList()
        self.by_free: SortedList = SortedList()
        self.by_id: SortedList = SortedList()


class UpstreamTable:
    """Upstreams of a pool with indices by wait, free KV memory and id.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    """

    def __init__(self, settings: PoolSettings) -> None:
        self.settings = settings
        self.ledgers: dict[str, UpstreamLedger] = {}
        self.groups: dict[tuple, UpstreamGroup] = {}
        self.capacities: SortedList = SortedList()
        self.usable_counts: dict[tuple, int] = {}
        self.limited: set[str] = set()

    @property
    def largest_engine_tokens(self) -> int:
        """KV memory of the largest usable engine, in tokens."""
        return self.capacities[-1][0] if self.capacities else 0

    def get_or_add(self, upstream_id: str) -> UpstreamLedger:
        """Return the ledger of an upstream, creating it if needed."""
        ledger = self.ledgers.get(upstream_id)
        if ledger is None:
            ledger = UpstreamLedger(upstream_id, self.settings)
            self.ledgers[upstream_id] = ledger
        return ledger

    def discard(self, ledger: UpstreamLedger) -> None:
        """Remove an upstream."""
        self._unindex(ledger)
        self.ledgers.pop(ledger.upstream_id, None)
        self.limited.discard(ledger.upstream_id)

    def set_limit(self, ledger: UpstreamLedger, requests_per_s: float | None, now_s: float) -> None:
        """Apply the limit that an upstream states on its requests; None if it states none."""
        ledger.set_limit(requests_per_s, now_s)
        (self.limited.discard if requests_per_s is None else self.limited.add)(ledger.upstream_id)

    def refresh_limits(self, now_s: float) -> None:
        """Update the indices for the upstreams whose limits permit a request again."""
        for upstream_id in self.limited:
            ledger = self.ledgers[upstream_id]
            if ledger.update_at_limit(now_s):
                self.reindex(ledger, now_s)

    def predict_limited_wait_s(self, request: PermitRequest, waiting: int, now_s: float) -> float:
        """Predict how long a request waits if all its upstreams are at their limits; 0 if not.

        Parameters
        ----------
        request : PermitRequest
            The request.
        waiting : int
            Requests that wait already.
        now_s : float
            Clock reading in seconds.
        """
        at_limit = [
            ledger
            for ledger in map(self.ledgers.__getitem__, self.limited)
            if ledger.at_limit and ledger.is_usable and ledger.serves(request)
        ]
        if not at_limit or len(at_limit) < self.count_usable(request):
            return 0.0
        return (waiting + 1) / sum(ledger.limit.rate for ledger in at_limit)

    def reindex(self, ledger: UpstreamLedger, now_s: float) -> None:
        """Update the indices for a changed ledger."""
        keys = self._make_keys(ledger, now_s)
        known = ledger.index_keys
        if known is None or known[:3] != keys[:3] or keys[2] is None:
            self._unindex(ledger)
            self._index(ledger, keys)
            return
        # Most decisions change only the wait and the free memory.
        group = self.groups[keys[2]]
        if known[3] != keys[3]:
            _remove_wait(group, known[3])
            _add_wait(group, keys[3])
        if known[4] != keys[4]:
            group.by_free.remove(known[4])
            group.by_free.add(keys[4])
        ledger.index_keys = keys

    def _make_keys(self, ledger: UpstreamLedger, now_s: float) -> tuple:
        """Return the index keys: capacity, signature, group, wait and free memory."""
        capacity_key = (ledger.kv_capacity, ledger.upstream_id) if ledger.is_usable else None
        if not ledger.is_open:
            return (capacity_key, ledger.signature, None, None, None)
        wait_key = None
        free_kv = ledger.free_kv
        if not ledger.kv_capacity or free_kv >= MIN_READY_KV_TOKENS:
            busy = ledger.prefill_end_s > now_s
            order = ledger.prefill_end_s if busy else len(ledger.permits)
            wait_key = (busy, (order, ledger.upstream_id))
        free_key = (free_kv + ledger.reserved_kv, ledger.upstream_id)
        return (capacity_key, ledger.signature, ledger.signature, wait_key, free_key)

    def _index(self, ledger: UpstreamLedger, keys: tuple) -> None:
        capacity_key, signature, group_key, wait_key, free_key = keys
        if capacity_key:
            self.capacities.add(capacity_key)
            self.usable_counts[signature] = self.usable_counts.get(signature, 0) + 1
        if group_key is not None:
            group = self.groups.get(group_key)
            if group is None:
                group = self.groups[group_key] = UpstreamGroup()
            _add_wait(group, wait_key)
            group.by_free.add(free_key)
            group.by_id.add(ledger.upstream_id)
        ledger.index_keys = keys

    def count_usable(self, request: PermitRequest) -> int:
        """Return how many usable upstreams serve a request that does not exclude them."""
        count = sum(
            n for key, n in self.usable_counts.items() if n and matches_signature(key, request)
        )
        for upstream_id in set(request.excluded_upstreams):
            ledger = self.ledgers.get(upstream_id)
            if ledger and ledger.is_usable and matches_signature(ledger.signature, request):
                count -= 1
        return count

    def groups_for(self, request: PermitRequest) -> list[UpstreamGroup]:
        """Return the groups whose models, adapters and versions match a request."""
        return [
            group
            for signature, group in self.groups.items()
            if matches_signature(signature, request)
        ]

    def count_ready(self, group: UpstreamGroup, until_s: float) -> int:
        """Return how many upstreams of a group have finished their prefills by `until_s`."""
        return len(group.idle) + group.busy.bisect_right((until_s, MAX_UPSTREAM_ID))

    def iterate_by_wait(self, group: UpstreamGroup, now_s: float) -> Iterator[UpstreamLedger]:
        """Yield idle upstreams by fewest permits, then busy ones by earliest end of prefill."""
        self._promote_idle(group, now_s)
        for index in (group.idle, group.busy):
            for _, upstream_id in index:
                yield self.ledgers[upstream_id]

    def iterate_by_free(self, group: UpstreamGroup, kv_tokens: int) -> Iterator[UpstreamLedger]:
        """Yield upstreams with at least `kv_tokens` free or reserved, most free first."""
        for free, upstream_id in reversed(group.by_free):
            if free < kv_tokens:
                return
            yield self.ledgers[upstream_id]

    def can_take(self, ledger: UpstreamLedger, waiting: WaitingRequest) -> bool:
        """Return whether a request may be placed on an upstream; no policy may override this.

        Considers the service state, the limits, the free memory and the exclusions.
        """
        return (
            ledger.is_open
            and ledger.serves(waiting.request)
            and ledger.fits(waiting, waiting.kv_tokens)
        )

    def has_room(self, ledger: UpstreamLedger, waiting: WaitingRequest) -> bool:
        """Like `can_take`, for an upstream of a matching group, which is known to be open."""
        request = waiting.request
        if waiting.kv_tokens > ledger.room_for(waiting):
            return False
        if request.excluded_upstreams and ledger.upstream_id in request.excluded_upstreams:
            return False
        return request.request_id not in ledger.cancelling

    def _promote_idle(self, group: UpstreamGroup, now_s: float) -> None:
        while group.busy and group.busy[0][0] <= now_s:
            self.reindex(self.ledgers[group.busy[0][1]], now_s)

    def _unindex(self, ledger: UpstreamLedger) -> None:
        if ledger.index_keys is None:
            return
        capacity_key, signature, group_key, wait_key, free_key = ledger.index_keys
        ledger.index_keys = None
        if capacity_key:
            self.capacities.remove(capacity_key)
            self.usable_counts[signature] -= 1
        if group_key is None:
            return
        group = self.groups[group_key]
        _remove_wait(group, wait_key)
        group.by_free.remove(free_key)
        group.by_id.remove(ledger.upstream_id)
        if not group.by_id:
            del self.groups[group_key]


def _add_wait(group: UpstreamGroup, wait_key: tuple | None) -> None:
    if wait_key is not None:
        (group.busy if wait_key[0] else group.idle).add(wait_key[1])


def _remove_wait(group: UpstreamGroup, wait_key: tuple | None) -> None:
    if wait_key is not None:
        (group.busy if wait_key[0] else group.idle).remove(wait_key[1])
