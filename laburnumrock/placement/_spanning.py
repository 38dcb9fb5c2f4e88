"""Placement of prompts that span several upstreams, and reservations for blocked requests.

Notes
-----
A blocked request reserves memory on the upstreams that it will need. Other requests may only use
the rest, so that freed memory accumulates for the blocked one. At most one spanning request and one
long request of the pool hold reservations, on different upstreams, and they keep them until they
are granted or leave the queue. A long request makes no new reservation while a spanning request
waits to make one. Hence no two requests wait for each other (no deadlock), and the oldest one is
served first.
"""

import itertools

from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._messages import Placement
from laburnumrock.placement._table import UpstreamTable

MAX_SPAN_UPSTREAMS = 8
# The size of a pool shard; in a larger pool, this many candidates are enough.
MAX_SPAN_CANDIDATES = 32


class ReservationHolder:
    """The request that holds a reservation, and the upstreams on which memory is reserved.

    Parameters
    ----------
    table : UpstreamTable
        Upstreams of the pool.
    """

    def __init__(self, table: UpstreamTable) -> None:
        self.table = table
        self.key: tuple[str, int] | None = None
        self.upstream_ids: list[str] = []

    def place(self, waiting: WaitingRequest, kv_by_upstream: dict[str, int], now_s: float) -> None:
        """Reserve memory for a blocked request, unless another one holds a reservation."""
        if self.key is not None or not kv_by_upstream:
            return
        self.key = waiting.key
        self.upstream_ids = list(kv_by_upstream)
        for upstream_id, tokens in kv_by_upstream.items():
            ledger = self.table.ledgers[upstream_id]
            ledger.reserved_for = waiting.key
            ledger.reserved_kv = tokens
            self.table.reindex(ledger, now_s)

    def is_available(self, waiting: WaitingRequest) -> bool:
        """Return whether all reserved memory has become free."""
        for upstream_id in self.upstream_ids:
            ledger = self.table.ledgers[upstream_id]
            if not (ledger.is_open and ledger.fits(waiting, ledger.reserved_kv)):
                return False
        return True

    def clear(self, now_s: float, key: tuple[str, int] | None = None) -> None:
        """Remove the reservation; with a key, only if that request holds it."""
        if self.key is None or (key is not None and key != self.key):
            return
        for upstream_id in self.upstream_ids:
            ledger = self.table.ledgers.get(upstream_id)
            if ledger is not None:
                ledger.reserved_for = None
                ledger.reserved_kv = 0
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
        Tokens per upstream, in proportion to the capacities; None if the total exceeds them.
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
    waiting: WaitingRequest, table: UpstreamTable, headroom: int = 0
) -> list[tuple[UpstreamLedger, Placement]] | None:
    """Choose upstreams whose combined free memory holds a request; None if there are not enough.

    Nothing is allocated here; the caller adds all parts to the ledgers in one step.

    Parameters
    ----------
    waiting : WaitingRequest
        Request that exceeds one engine.
    table : UpstreamTable
        Upstreams of the pool.
    headroom : int
        KV tokens to leave free on each upstream; memory reserved for the request may be used in
        full.
    """
    candidates = []
    for group in table.groups_for(waiting.request):
        for ledger in itertools.islice(table.iterate_by_free(group, 1), MAX_SPAN_CANDIDATES):
            if ledger.reserved_for == waiting.key:
                room = max(ledger.reserved_kv, ledger.room_for(waiting) - headroom)
            else:
                room = ledger.free_kv - headroom
            if room > 0 and ledger.serves(waiting.request):
                candidates.append((room, ledger.upstream_id, ledger))
    candidates.sort(key=lambda entry: entry[:2], reverse=True)
    parts = split_tokens(waiting.kv_tokens, [entry[0] for entry in candidates])
    if parts is None or len(parts) > MAX_SPAN_UPSTREAMS:
        return None
    return _make_placements([entry[2] for entry in candidates], parts)


def can_span(waiting: WaitingRequest, table: UpstreamTable) -> bool:
    """Return whether the pool could hold a request if all its upstreams were idle."""
    capacities = [capacity for capacity, _ in _largest_upstreams(waiting, table)]
    parts = split_tokens(waiting.kv_tokens, capacities)
    return parts is not None and len(parts) <= MAX_SPAN_UPSTREAMS


def plan_spanning_reservation(
    waiting: WaitingRequest, table: UpstreamTable, headroom: int = 0
) -> dict[str, int]:
    """Choose the upstreams on which to reserve memory for a blocked spanning request.

    Parameters
    ----------
    waiting : WaitingRequest
        Request that exceeds one engine.
    table : UpstreamTable
        Upstreams of the pool.
    headroom : int
        KV tokens to leave free on each upstream if the rest is enough.

    Returns
    -------
    dict from str to int
        Tokens per upstream; empty if the upstreams without a reservation are too small.
    """
    free = [entry for entry in _largest_upstreams(waiting, table) if entry[1].reserved_for is None]
    free.sort(key=lambda entry: (-entry[0], -entry[1].free_kv, entry[1].upstream_id))
    capacities = [capacity for capacity, _ in free]
    parts = split_tokens(waiting.kv_tokens, [capacity - headroom for capacity in capacities])
    if parts is None:
        parts = split_tokens(waiting.kv_tokens, capacities)
    if parts is None or len(parts) > MAX_SPAN_UPSTREAMS:
        return {}
    return {entry[1].upstream_id: tokens for entry, tokens in zip(free, parts, strict=False)}


def _largest_upstreams(
    waiting: WaitingRequest, table: UpstreamTable
) -> list[tuple[int, UpstreamLedger]]:
    found = []
    for capacity, upstream_id in reversed(table.capacities):
        ledger = table.ledgers[upstream_id]
        if capacity > 0 and ledger.serves(waiting.request):
            found.append((capacity, ledger))
        if len(found) >= MAX_SPAN_CANDIDATES:
            break
    return found


def plan_long_reservation(
    waiting: WaitingRequest, table: UpstreamTable, headroom: int = 0
) -> dict[str, int]:
    """Choose the upstream on which to reserve memory for a blocked long request.

    Parameters
    ----------
    waiting : WaitingRequest
        Request that fits one engine.
    table : UpstreamTable
        Upstreams of the pool.
    headroom : int
        KV tokens that the request must leave free on an upstream without its reservation.

    Returns
    -------
    dict from str to int
        Tokens on the chosen upstream; empty if some upstream has enough free memory, so that the
        request is blocked for another reason, or if no upstream is suitable.
    """
    best: tuple = ()
    for group in table.groups_for(waiting.request):
        for ledger in itertools.islice(table.iterate_by_free(group, 0), MAX_SPAN_CANDIDATES):
            if ledger.reserved_for is not None or ledger.kv_capacity < waiting.kv_tokens:
                continue
            left = min(headroom, ledger.kv_capacity - waiting.kv_tokens)
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
