"""Reconciliation of the ledgers with the requests that engines report."""

from laburnumrock.placement._ledger import UpstreamLedger
from laburnumrock.placement._permits import PermitRegistry
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import UpstreamTable


class EngineReconciler:
    """Reconciles the requests that engines hold with the granted permits.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    table : UpstreamTable
        Upstreams of the pool.
    registry : PermitRegistry
        Permits of the pool.
    """

    def __init__(
        self, settings: PoolSettings, table: UpstreamTable, registry: PermitRegistry
    ) -> None:
        self.settings = settings
        self.table = table
        self.registry = registry
        self.in_take_over = True
        self.unclaimed_until_s: float | None = None
        self.reported: set[str] = set()
        self.orphan_since_s: dict[tuple[str, str], float] = {}

    def has_report(self, ledger: UpstreamLedger) -> bool:
        """Return whether this upstream has reported its requests since the takeover."""
        return ledger.upstream_id in self.reported

    def finish_take_over(self, is_needed: bool, now_s: float) -> None:
        """Cancel unclaimed requests and stop assuming that upstreams without a report are full.

        Parameters
        ----------
        is_needed : bool
            Whether a request waits for capacity. Entry instances claim their permits within one
            permit TTL of the takeover; if one is late, its requests go on until then.
        now_s : float
            Clock reading in seconds.
        """
        if self.in_take_over:
            self.in_take_over = False
            self.unclaimed_until_s = now_s + self.settings.max_overdue_s
            for ledger in list(self.table.ledgers.values()):
                ledger.assumed_full = False
                self.table.reindex(ledger, now_s)
        if self.unclaimed_until_s is None or not (is_needed or now_s >= self.unclaimed_until_s):
            return
        self.unclaimed_until_s = None
        for ledger in self.table.ledgers.values():
            for request_id in ledger.unattributed:
                self.registry.schedule_cancel(ledger.upstream_id, request_id, now_s)

    def observe(
        self, upstream_id: str, held_tokens: dict[str, int], read_at_s: float, now_s: float
    ) -> None:
        """Reconcile one engine; see `PoolScheduler.observe_held_requests`."""
        ledger = self.table.get_or_add(upstream_id)
        self.reported.add(upstream_id)
        ledger.assumed_full = False
        self._confirm_ended(ledger, held_tokens, read_at_s, now_s)
        self._find_orphans(ledger, held_tokens, now_s)
        self.table.reindex(ledger, now_s)

    def _confirm_ended(
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
            # A request sent under an ended permit may still reach the engine within one permit TTL.
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
        for key in [key for key in self.orphan_since_s if key[0] == ledger.upstream_id]:
            if key[1] not in orphans:
                del self.orphan_since_s[key]
        for request_id in orphans:
            ledger.set_unattributed(request_id, held_tokens[request_id])
            seen_s = self.orphan_since_s.setdefault((ledger.upstream_id, request_id), now_s)
            is_overdue = now_s - seen_s >= self.settings.permit_ttl_s
            in_take_over = self.in_take_over or self.unclaimed_until_s is not None
            if is_overdue and not in_take_over and request_id not in ledger.cancelling:
                self.registry.schedule_cancel(ledger.upstream_id, request_id, now_s)
