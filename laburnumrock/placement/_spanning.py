"""Plans for prompts that need the KV memory of several upstreams, and earmarks.

Notes
-----
A blocked request earmarks memory on the upstreams that it will need: other work may use only what
is left beside the earmark, so that memory accumulates for it. At most one request of the pool
holds earmarks, and it keeps them until it is granted or leaves the queue; hence two large requests
never wait for each other, and the oldest one is served first.
"""

from laburnumrock.placement._ledger import UpstreamLedger, WaitingRequest
from laburnumrock.placement._messages import Placement
from laburnumrock.placement._table import UpstreamTable


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
    waiting: WaitingRequest, table: UpstreamTable
) -> list[tuple[UpstreamLedger, Placement]] | None:
    """Choose upstreams whose free memory together holds a request, or None.

    Nothing is reserved here; the caller enters all parts in the ledger in one step.
    """
    ledgers: list[UpstreamLedger] = []
    free: list[int] = []
    candidates = []
    for group in table.groups_for(waiting.request):
        for ledger in table.iterate_by_free(group, 1):
            own = ledger.earmarked_kv if ledger.earmarked_for == waiting.key else 0
            room = ledger.free_kv + own
            if room > 0 and ledger.is_open and ledger.serves(waiting.request):
                candidates.append((-room, ledger.upstream_id, ledger))
            if len(candidates) >= MAX_SPAN_CANDIDATES:
                break
    for negative_room, _, ledger in sorted(candidates, key=lambda entry: entry[:2]):
        ledgers.append(ledger)
        free.append(-negative_room)
    parts = split_tokens(waiting.kv_tokens, free)
    if parts is None or len(parts) > MAX_SPAN:
        return None
    return _make_placements(ledgers, parts)


MAX_SPAN = 8
MAX_SPAN_CANDIDATES = 64


def plan_earmarks(waiting: WaitingRequest, table: UpstreamTable) -> dict[str, int]:
    """Choose the upstreams on which a blocked request earmarks memory.

    Returns
    -------
    dict from str to int
        Tokens per upstream; empty if the pool as a whole is too small.
    """
    candidates = []
    for capacity, upstream_id in reversed(table.capacities):
        ledger = table.ledgers[upstream_id]
        if ledger.serves(waiting.request) and capacity > 0:
            candidates.append((-capacity, -ledger.free_kv, upstream_id))
        if len(candidates) >= MAX_SPAN_CANDIDATES:
            break
    candidates.sort()
    parts = split_tokens(waiting.kv_tokens, [-entry[0] for entry in candidates])
    if parts is None or len(parts) > MAX_SPAN:
        return {}
    return {entry[2]: tokens for entry, tokens in zip(candidates, parts, strict=False)}


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
