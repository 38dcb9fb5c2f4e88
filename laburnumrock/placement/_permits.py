"""Permits of a pool: grant, renewal, expiry, cancellation and takeover."""

import heapq
from collections.abc import Iterable

from laburnumrock.messages import Effect
from laburnumrock.placement._effects import CancelOnUpstream
from laburnumrock.placement._ledger import Permit, UpstreamLedger, WaitingRequest
from laburnumrock.placement._messages import (
    PermitGrant,
    PermitRelease,
    PermitRenewal,
    Placement,
    make_permit_id,
)
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.placement._table import UpstreamTable
from laburnumrock.routing import LengthClass, classify_length


class PermitRegistry:
    """Registry of all permits of a pool.

    Parameters
    ----------
    settings : PoolSettings
        Settings of the pool.
    table : UpstreamTable
        Upstreams with the ledgers in which the permits are recorded.
    """

    def __init__(self, settings: PoolSettings, table: UpstreamTable) -> None:
        self.settings = settings
        self.table = table
        self.permits: dict[str, Permit] = {}
        self.by_key: dict[tuple[str, int], str] = {}
        self.overdue: dict[str, Permit] = {}
        self.cancels: list[tuple[float, str, str]] = []
        self._expiries: list[tuple[float, str]] = []
        self._sequence = 0

    def grant(
        self,
        waiting: WaitingRequest,
        parts: list[tuple[UpstreamLedger, Placement]],
        now_s: float,
    ) -> PermitGrant:
        """Grant a permit and record it in the ledgers of all its upstreams in one step."""
        self._sequence += 1
        settings = self.settings
        grant = PermitGrant(
            permit_id=make_permit_id(settings.pool_id, settings.owner_epoch, self._sequence),
            request_id=waiting.request.request_id,
            attempt=waiting.request.attempt,
            owner_epoch=settings.owner_epoch,
            placements=[placement for _, placement in parts],
            ttl_s=settings.permit_ttl_s,
        )
        for ledger, _ in parts:
            ledger.count_request(now_s)
        self._insert(waiting.sender, grant, waiting.length_class, now_s)
        return grant

    def find_active(self, key: tuple[str, int]) -> Permit | None:
        """Return the permit of an attempt that has not ended, or None."""
        permit = self.permits.get(self.by_key.get(key, ""))
        return permit if permit and not permit.ended else None

    def release(self, message: PermitRelease, now_s: float) -> Permit | None:
        """Free the capacity of a permit; returns None for an unknown permit."""
        permit = self.permits.get(message.permit_id)
        if permit is None:
            return None
        for placement in permit.grant.placements:
            self._free(permit, placement.upstream_id, now_s)
        self._delete(permit)
        return permit

    def renew(
        self, sender: str, message: PermitRenewal, accepts_unknown: bool, now_s: float
    ) -> list[str]:
        """Extend permits; returns the ids of those that are rejected.

        Parameters
        ----------
        sender : str
            Entry instance that holds the permits.
        message : PermitRenewal
            Permits in use.
        accepts_unknown : bool
            Whether to accept all unknown permits of an earlier owner, as during a takeover. Later,
            one is accepted if the engines still hold its request and its memory is not granted.
        now_s : float
            Clock reading in seconds.
        """
        revoked = self._renew_by_number(sender, message, now_s)
        for grant in message.grants:
            permit = self.permits.get(grant.permit_id)
            if permit is not None and not permit.ended:
                self._extend(permit, sender, now_s)
            elif (
                permit is None
                and self._is_from_earlier_owner(grant)
                and (accepts_unknown or self._may_adopt_late(grant))
            ):
                self._adopt(sender, grant, now_s)
            else:
                revoked.append(grant.permit_id)
        return revoked

    def _renew_by_number(self, sender: str, message: PermitRenewal, now_s: float) -> list[str]:
        settings = self.settings
        if message.owner_epoch != settings.owner_epoch:
            # The message was meant for another owner. The entry instance sends its grants in full
            # once it knows this owner, so nothing is revoked here.
            return []
        revoked = []
        for number in message.numbers:
            permit_id = make_permit_id(settings.pool_id, settings.owner_epoch, number)
            permit = self.permits.get(permit_id)
            if permit is None or permit.ended:
                revoked.append(permit_id)
            else:
                self._extend(permit, sender, now_s)
        return revoked

    def _extend(self, permit: Permit, sender: str, now_s: float) -> None:
        permit.expires_s = now_s + self.settings.permit_ttl_s
        permit.holder = sender
        permit_id = permit.grant.permit_id
        if self.overdue.pop(permit_id, None) is not None:
            heapq.heappush(self._expiries, (permit.expires_s, permit_id))

    def end(self, permit: Permit, now_s: float) -> None:
        """End a permit whose request may still run; its memory stays allocated until confirmed."""
        if permit.ended:
            return
        permit.ended = True
        self.overdue.pop(permit.grant.permit_id, None)
        self.by_key.pop((permit.grant.request_id, permit.grant.attempt), None)
        for placement in permit.grant.placements:
            ledger = self.table.ledgers.get(placement.upstream_id)
            if ledger is None or permit.grant.permit_id not in ledger.permits:
                continue
            permit.unconfirmed_upstreams.add(placement.upstream_id)
            ledger.cancelling.add(permit.grant.request_id)
            self.schedule_cancel(placement.upstream_id, permit.grant.request_id, now_s)
        permit.ended_s = now_s
        if not permit.unconfirmed_upstreams:
            self._delete(permit)

    def expire(self, is_needed: bool, now_s: float) -> None:
        """End the permits that were not renewed in time.

        Parameters
        ----------
        is_needed : bool
            Whether a request waits for capacity. Otherwise overdue permits are kept for a while: a
            renewal may be late because its entry instance or a link was silent, and the request may
            still run.
        now_s : float
            Clock reading in seconds.
        """
        while self._expiries and self._expiries[0][0] <= now_s:
            _, permit_id = heapq.heappop(self._expiries)
            permit = self.permits.get(permit_id)
            if permit is None or permit.ended:
                continue
            if permit.expires_s > now_s:
                heapq.heappush(self._expiries, (permit.expires_s, permit_id))
            else:
                self.overdue[permit_id] = permit
        if is_needed:
            self.end_overdue(now_s)
        for permit in list(self.overdue.values()):
            if now_s >= permit.expires_s + self.settings.max_overdue_s:
                self.end(permit, now_s)

    def end_overdue(self, now_s: float, request_id: str | None = None) -> None:
        """End the overdue permits of a request, or all of them, because of another attempt."""
        for permit in list(self.overdue.values()):
            if request_id in (None, permit.grant.request_id):
                self.end(permit, now_s)

    def schedule_cancel(self, upstream_id: str, request_id: str, now_s: float) -> None:
        """Cancel a request on an upstream, repeatedly until the upstream confirms it."""
        self.table.get_or_add(upstream_id).cancelling.add(request_id)
        heapq.heappush(self.cancels, (now_s, upstream_id, request_id))

    def due_cancels(self, now_s: float) -> list[Effect]:
        """Return the cancels that are due and schedule their repetition."""
        effects: list[Effect] = []
        while self.cancels and self.cancels[0][0] <= now_s:
            _, upstream_id, request_id = heapq.heappop(self.cancels)
            ledger = self.table.ledgers.get(upstream_id)
            if ledger is None or request_id not in ledger.cancelling:
                continue
            repeat_s = now_s + self.settings.cancel_repeat_s
            heapq.heappush(self.cancels, (repeat_s, upstream_id, request_id))
            if ledger.base_url:
                effects.append(CancelOnUpstream(upstream_id, ledger.base_url, request_id))
        return effects

    def confirm_cancel(self, upstream_id: str, request_id: str, now_s: float) -> None:
        """Free the memory of the ended permits of a request that an upstream no longer runs."""
        ledger = self.table.ledgers.get(upstream_id)
        if ledger is None:
            return
        ledger.cancelling.discard(request_id)
        ledger.set_unattributed(request_id, None)
        for permit_id in self._permits_of(ledger, request_id):
            permit = self.permits[permit_id]
            if permit.ended:
                self._free(permit, upstream_id, now_s)
                permit.unconfirmed_upstreams.discard(upstream_id)
                if not permit.unconfirmed_upstreams:
                    self._delete(permit)
        self.table.reindex(ledger, now_s)

    def free_upstream(self, ledger: UpstreamLedger, now_s: float) -> None:
        """Free all capacity of an upstream that was restarted or removed."""
        for permit_id in list(ledger.permits):
            permit = self.permits[permit_id]
            ledger.remove(permit_id)
            permit.unconfirmed_upstreams.discard(ledger.upstream_id)
            self.end(permit, now_s)
            if not permit.unconfirmed_upstreams:
                self._delete(permit)
        ledger.cancelling.clear()
        for request_id in list(ledger.unattributed):
            ledger.set_unattributed(request_id, None)
        ledger.clear_prefills(now_s)
        self.table.reindex(ledger, now_s)

    def _permits_of(self, ledger: UpstreamLedger, request_id: str) -> Iterable[str]:
        return [
            permit_id
            for permit_id in ledger.permits
            if self.permits[permit_id].grant.request_id == request_id
        ]

    def _is_from_earlier_owner(self, grant: PermitGrant) -> bool:
        return grant.owner_epoch < self.settings.owner_epoch

    def _may_adopt_late(self, grant: PermitGrant) -> bool:
        """Return whether all engines still hold a request, and its memory is not granted."""
        for placement in grant.placements:
            ledger = self.table.ledgers.get(placement.upstream_id)
            if ledger is None or grant.request_id in ledger.cancelling:
                return False
            held_tokens = ledger.unattributed.get(grant.request_id)
            if held_tokens is None or placement.kv_tokens > ledger.free_kv + held_tokens:
                return False
        return True

    def _adopt(self, sender: str, grant: PermitGrant, now_s: float) -> None:
        tokens = sum(placement.kv_tokens for placement in grant.placements)
        length_class = classify_length(tokens, 0, self.table.largest_engine_tokens)
        if len(grant.placements) > 1:
            length_class = LengthClass.SPANNING
        for placement in grant.placements:
            ledger = self.table.get_or_add(placement.upstream_id)
            ledger.set_unattributed(grant.request_id, None)
        self._insert(sender, grant, length_class, now_s)
        for placement in grant.placements:
            ledger = self.table.ledgers[placement.upstream_id]
            ledger.slow_start.record_running(len(ledger.permits))

    def _insert(
        self, sender: str, grant: PermitGrant, length_class: LengthClass, now_s: float
    ) -> Permit:
        expires_s = now_s + self.settings.permit_ttl_s
        permit = Permit(sender, grant, length_class, expires_s)
        self.permits[grant.permit_id] = permit
        self.by_key[(grant.request_id, grant.attempt)] = grant.permit_id
        heapq.heappush(self._expiries, (expires_s, grant.permit_id))
        for placement in grant.placements:
            ledger = self.table.get_or_add(placement.upstream_id)
            ledger.add(grant.permit_id, placement)
            self.table.reindex(ledger, now_s)
        return permit

    def _free(self, permit: Permit, upstream_id: str, now_s: float) -> None:
        ledger = self.table.ledgers.get(upstream_id)
        if ledger is None or not ledger.remove(permit.grant.permit_id):
            return
        if upstream_id in permit.unconfirmed_upstreams:
            ledger.cancelling.discard(permit.grant.request_id)
        if not ledger.permits:
            ledger.clear_prefills(now_s)
        self.table.reindex(ledger, now_s)

    def _delete(self, permit: Permit) -> None:
        self.permits.pop(permit.grant.permit_id, None)
        self.overdue.pop(permit.grant.permit_id, None)
        key = (permit.grant.request_id, permit.grant.attempt)
        if self.by_key.get(key) == permit.grant.permit_id:
            del self.by_key[key]
