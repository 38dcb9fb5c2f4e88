"""Plans for prompts that need the KV memory of several upstreams, and earmarks.

Notes
-----
A blocked request earmarks memory on the upstreams that it will need: other work may use only what
is left beside the earmark, so that memory accumulates for it. At most one spanning request and one
long request of the pool hold earmarks, on different upstreams, and they keep them until they are
granted or leave the queue. A long request takes no new earmark while a spanning one waits for its
own; hence no two requests wait for each other, and the oldest one is served first.
"""

import itertools

from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._messages import Placement
from laburnumrock.placement._table import UpstreamTable

MAX_SPAN = 8
# The size of a shard; larger pools offer enough choice among these.
MAX_SPAN_CANDIDATES = 32


class EarmarkHolder:
    """The request that holds earmarks, and the upstreams that carry them.

    Parameters
    ----------
    table : UpstreamTable
        Upstreams of the pool.
    """

    def __init__(self, table: UpstreamTable) -> None:
        self.table = table
        self.key: tuple[str, int] | None = None
        self.upstream_ids: list[str] = []

    def place(self, waiting: WaitingRequest, shares: dict[str, int], now_s: float) -> None:
        """Earmark memory for a blocked request; does nothing if another one holds earmarks."""
        if self.key is not None or not shares:
            return
        self.key = waiting.key
        self.upstream_ids = list(shares)
        for upstream_id, tokens in shares.items():
            ledger = self.table.ledgers[upstream_id]
            ledger.earmarked_for = waiting.key
            ledger.earmarked_kv = tokens
            self.table.reindex(ledger, now_s)

    def is_free(self, waiting: WaitingRequest) -> bool:
        """Return whether all earmarked memory has become free."""
        for upstream_id in self.upstream_ids:
            ledger = self.table.ledgers[upstream_id]
            if not (ledger.is_open and ledger.fits(waiting, ledger.earmarked_kv)):
                return False
        return True

    def clear(self, now_s: float, key: tuple[str, int] | None = None) -> None:
        """Remove all earmarks, or only those of one request."""
        if self.key is None or (key is not None and key != self.key):
            return
        for upstream_id in self.upstream_ids:
            ledger = self.table.ledgers.get(upstream_id)
            if ledger is not None:
                ledger.earmarked_for = None
                ledger.earmarked_kv = 0
                self.table.reindex(ledger, now_s)
        self.key = None
        self.upstream_ids = []


def split_tokens(total: int, capacities: list[int]) -> list[int] | None:
    """Split a request over as few of the given capacities as possible, in order.

    Parameters
    ----------
    total : int
        Tokens to place.
    capacities : list of int
        Capacity of each upstream in tokens, largest first.

    Returns
    -------
    list of int or None
        Tokens per upstream, in proportion to the capacities; None if they do not suffice.
    """
    used: list[int] = []
    for capacity in capacities:
        if capacity <= 0:
            break
        used.append(capacity)
        if sum(used) >= total:
            break
    available = sum(used)
    if available < total:
        return None
    parts = [total * capacity // available for capacity in used]
    rest = total - sum(parts)
    for index, capacity in enumerate(used):
        extra = min(rest, capacity - parts[index])
        parts[index] += extra
        rest -= extra
    return parts


def plan_span(
    waiting: WaitingRequest, table: UpstreamTable, reserve: int = 0
) -> list[tuple[UpstreamLedger, Placement]] | None:
    """Choose upstreams whose free memory together holds a request, or None.

    Nothing is reserved here; the caller enters all parts in the ledger in one step.

    Parameters
    ----------
    waiting : WaitingRequest
        Request that exceeds one engine.
    table : UpstreamTable
        Upstreams of the pool.
    reserve : int
        KV tokens to leave free on each upstream; earmarked memory may be used fully.
    """
    candidates = []
    for group in table.groups_for(waiting.request):
        for ledger in itertools.islice(table.iterate_by_free(group, 1), MAX_SPAN_CANDIDATES):
            if ledger.earmarked_for == waiting.key:
                room = max(ledger.earmarked_kv, ledger.room_for(waiting) - reserve)
            else:
                room = ledger.free_kv - reserve
            if room > 0 and ledger.serves(waiting.request):
                candidates.append((room, ledger.upstream_id, ledger))
    candidates.sort(key=lambda entry: entry[:2], reverse=True)
    parts = split_tokens(waiting.kv_tokens, [entry[0] for entry in candidates])
    if parts is None or len(parts) > MAX_SPAN:
        return None
    return _make_placements([entry[2] for entry in candidates], parts)


def can_span(waiting: WaitingRequest, table: UpstreamTable) -> bool:
    """Return whether the pool can hold a request once its upstreams are free."""
    capacities = [capacity for capacity, _ in _largest(waiting, table)]
    parts = split_tokens(waiting.kv_tokens, capacities)
    return parts is not None and len(parts) <= MAX_SPAN


def plan_earmarks(
    waiting: WaitingRequest, table: UpstreamTable, reserve: int = 0
) -> dict[str, int]:
    """Choose the upstreams on which a blocked request earmarks memory.

    Parameters
    ----------
    waiting : WaitingRequest
        Request that exceeds one engine.
    table : UpstreamTable
        Upstreams of the pool.
    reserve : int
        KV tokens to leave free on each upstream if the rest suffices.

    Returns
    -------
    dict from str to int
        Tokens per upstream; empty if the upstreams without an earmark are too small.
    """
    free = [entry for entry in _largest(waiting, table) if entry[1].earmarked_for is None]
    free.sort(key=lambda entry: (-entry[0], -entry[1].free_kv, entry[1].upstream_id))
    capacities = [capacity for capacity, _ in free]
    parts = split_tokens(waiting.kv_tokens, [capacity - reserve for capacity in capacities])
    if parts is None:
        parts = split_tokens(waiting.kv_tokens, capacities)
    if parts is None or len(parts) > MAX_SPAN:
        return {}
    return {entry[1].upstream_id: tokens for entry, tokens in zip(free, parts, strict=False)}


def _largest(waiting: WaitingRequest, table: UpstreamTable) -> list[tuple[int, UpstreamLedger]]:
    found = []
    for capacity, upstream_id in reversed(table.capacities):
        ledger = table.ledgers[upstream_id]
        if capacity > 0 and ledger.serves(waiting.request):
            found.append((capacity, ledger))
        if len(found) >= MAX_SPAN_CANDIDATES:
            break
    return found


def plan_long_earmark(
    waiting: WaitingRequest, table: UpstreamTable, reserve: int = 0
) -> dict[str, int]:
    """Choose the upstream on which a blocked long request earmarks memory.

    Parameters
    ----------
    waiting : WaitingRequest
        Request that fits one engine.
    table : UpstreamTable
        Upstreams of the pool.
    reserve : int
        KV tokens that the request leaves free on an upstream without its earmark.

    Returns
    -------
    dict from str to int
        Empty if memory is free somewhere, so that the request waits for something else.
    """
    best: tuple = ()
    for group in table.groups_for(waiting.request):
        for ledger in itertools.islice(table.iterate_by_free(group, 0), MAX_SPAN_CANDIDATES):
            if ledger.earmarked_for is not None or ledger.kv_capacity < waiting.kv_tokens:
                continue
            left = min(reserve, ledger.kv_capacity - waiting.kv_tokens)
            if ledger.free_kv >= waiting.kv_tokens + left:
                return {}
            if ledger.serves(waiting.request):
                best = max(best, (ledger.free_kv, ledger.upstream_id))
    return {best[1]: waiting.kv_tokens} if best else {}


def _make_placements(
    ledgers: list[UpstreamLedger], parts: list[int]
) -> list[tuple[UpstreamLedger, Placement]]:
    placements = []
    first_token_index = 0
    for ledger, tokens in zip(ledgers, parts, strict=False):
        placement = Placement(ledger.upstream_id, ledger.base_url, tokens, first_token_index)
        placements.append((ledger, placement))
        first_token_index += tokens
    return placements
