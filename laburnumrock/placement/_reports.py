"""Reconciliation of the ledger with lists read from the engines."""

from laburnumrock.placement._ledger import UpstreamLedger
from laburnumrock.placement._permits import PermitRegistry
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import UpstreamTable


class ReportReader:
    """Compares what engines hold with what permits allow.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    table : UpstreamTable
        Upstreams of the pool.
    book : PermitRegistry
        Permits of the pool.
    """

    def __init__(
        self, settings: PoolSettings, table: UpstreamTable, registry: PermitRegistry
    ) -> None:
        self.settings = settings
        self.table = table
        self.registry = registry
        self.in_take_over = True
        self.read: set[str] = set()
        self.first_seen: dict[tuple[str, str], float] = {}

    def was_read(self, ledger: UpstreamLedger) -> bool:
        """Return whether a report of this upstream was read since the take-over."""
        return ledger.upstream_id in self.read

    def finish_take_over(self, now_s: float) -> None:
        """Count as free what no entry instance has claimed within the ttl of a permit."""
        if not self.in_take_over:
            return
        self.in_take_over = False
        for ledger in list(self.table.ledgers.values()):
            ledger.assumed_full = False
            for request_id in ledger.unattributed:
                self.registry.schedule_cancel(ledger.upstream_id, request_id, now_s)
            self.table.reindex(ledger, now_s)

    def observe(
        self, upstream_id: str, held_tokens: dict[str, int], read_at_s: float, now_s: float
    ) -> None:
        """Reconcile one engine; see `PoolScheduler.observe_held_requests`."""
        ledger = self.table.get_or_add(upstream_id)
        self.read.add(upstream_id)
        ledger.assumed_full = False
        self._confirm_absent(ledger, held_tokens, read_at_s, now_s)
        self._find_orphans(ledger, held_tokens, now_s)
        self.table.reindex(ledger, now_s)

    def _confirm_absent(
        self, ledger: UpstreamLedger, held_tokens: dict[str, int], read_at_s: float, now_s: float
    ) -> None:
        ended_s: dict[str, float] = {}
        for permit_id in ledger.permits:
            permit = self.registry.permits[permit_id]
            if permit.ended:
                request_id = permit.grant.request_id
                ended_s[request_id] = max(permit.ended_s, ended_s.get(request_id, 0.0))
        for request_id in list(ledger.cancelling):
            if request_id in held_tokens:
                continue
            # A grant may still be on its way to the engine for one ttl after it ended.
            if read_at_s >= ended_s.get(request_id, read_at_s) + self.settings.permit_ttl_s or (
                request_id not in ended_s
            ):
                self.registry.confirm_cancel(ledger.upstream_id, request_id, now_s)
        for request_id in list(ledger.unattributed):
            if request_id not in held_tokens:
                ledger.set_unattributed(request_id, None)

    def _find_orphans(
        self, ledger: UpstreamLedger, held_tokens: dict[str, int], now_s: float
    ) -> None:
        known = {self.registry.permits[permit_id].grant.request_id for permit_id in ledger.permits}
        orphans = held_tokens.keys() - known
        for key in [key for key in self.first_seen if key[0] == ledger.upstream_id]:
            if key[1] not in orphans:
                del self.first_seen[key]
        for request_id in orphans:
            ledger.set_unattributed(request_id, held_tokens[request_id])
            seen_s = self.first_seen.setdefault((ledger.upstream_id, request_id), now_s)
            waited = now_s - seen_s >= self.settings.permit_ttl_s
            if waited and not self.in_take_over and request_id not in ledger.cancelling:
                self.registry.schedule_cancel(ledger.upstream_id, request_id, now_s)
