"""Limits per client account, kept by the coordinator of a failure domain."""

import heapq
from dataclasses import dataclass

from laburnumrock.admission._account import AccountLimits, AccountShare
from laburnumrock.admission._messages import (
    AccountDemand,
    QuotaGrant,
    QuotaRefusal,
    QuotaRelease,
    QuotaRenewal,
    QuotaRequest,
    ShareGrant,
    ShareReport,
)
from laburnumrock.admission._shares import ShareAllocator
from laburnumrock.errors import ErrorKind
from laburnumrock.messages import Effect, Send

REPORT_PERIOD_S = 1.0
MIN_REPORTED_DEMAND = 1e-3


@dataclass(slots=True)
class HeldQuota:
    """Granted quota that occupies a concurrency slot."""

    client_account: str
    expires_s: float


class QuotaManager:
    """Admission of requests under the account limits in one failure domain.

    Parameters
    ----------
    allocator : ShareAllocator
        The domain's shares.
    quota_ttl_s : float, > 0
        A slot that is not renewed ends after this time, in seconds.
    """

    def __init__(self, allocator: ShareAllocator, quota_ttl_s: float = 5.0) -> None:
        self.allocator = allocator
        self.quota_ttl_s = quota_ttl_s
        self.accounts: dict[str, AccountShare] = {}
        self.held: dict[str, HeldQuota] = {}
        self.coordinators: dict[str, str] = {}
        self.next_report_s = 0.0
        self._expiries: list[tuple[float, str]] = []

    def set_limits(self, limits: dict[str, AccountLimits], now_s: float) -> None:
        """Apply the limits of the templates in force; other accounts become unknown."""
        for account in self.accounts.keys() - limits.keys():
            del self.accounts[account]
        for account, account_limits in limits.items():
            known = self.accounts.get(account)
            if known is None:
                share = self.allocator.share(account, now_s)
                self.accounts[account] = AccountShare(account_limits, share, now_s)
            elif known.limits != account_limits:
                known.set_limits(account_limits, now_s)

    def set_coordinators(self, coordinators: dict[str, str]) -> None:
        """Set the coordinating instance of each failure domain."""
        self.coordinators = dict(coordinators)

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a message of an entry instance or of another coordinator."""
        match message:
            case QuotaRequest():
                return [Send(sender, self._admit(message, now_s))]
            case QuotaRelease():
                self._release(message)
            case QuotaRenewal():
                self._renew(message, now_s)
            case ShareReport():
                return self.allocator.lend(sender, message, self._own_demand(now_s), now_s)
            case ShareGrant():
                self.allocator.accept(message, now_s)
        return []

    def tick(self, now_s: float) -> list[Effect]:
        """End slots that were not renewed, and report demand to the other coordinators."""
        while self._expiries and self._expiries[0][0] <= now_s:
            _, quota_id = heapq.heappop(self._expiries)
            held = self.held.get(quota_id)
            if held is None:
                continue
            if held.expires_s > now_s:
                heapq.heappush(self._expiries, (held.expires_s, quota_id))
            else:
                self._drop(quota_id)
        if now_s < self.next_report_s:
            return []
        self.next_report_s = now_s + REPORT_PERIOD_S
        return self.allocator.make_reports(self.coordinators, self._demands(now_s), now_s)

    def _admit(self, request: QuotaRequest, now_s: float) -> QuotaGrant | QuotaRefusal:
        if request.quota_id in self.held:
            return QuotaGrant(request.quota_id, self.quota_ttl_s)
        account = self.accounts.get(request.client_account)
        if account is None:
            return QuotaRefusal(request.quota_id, ErrorKind.UNKNOWN_CLIENT_ACCOUNT)
        share = self.allocator.share(request.client_account, now_s)
        concurrency = self.allocator.concurrency_share(request.client_account, now_s)
        account.set_fraction(share, concurrency, now_s)
        refused = account.admit(request.caller, request.tokens, now_s)
        if refused is not None:
            return QuotaRefusal(request.quota_id, *refused)
        self._hold(request, now_s)
        return QuotaGrant(request.quota_id, self.quota_ttl_s)

    def _hold(self, request: QuotaRequest, now_s: float) -> None:
        expires_s = now_s + self.quota_ttl_s
        self.held[request.quota_id] = HeldQuota(request.client_account, expires_s)
        heapq.heappush(self._expiries, (expires_s, request.quota_id))

    def _renew(self, message: QuotaRenewal, now_s: float) -> None:
        for request in message.quotas:
            held = self.held.get(request.quota_id)
            if held is not None:
                held.expires_s = now_s + self.quota_ttl_s
            elif request.client_account in self.accounts:
                self.accounts[request.client_account].running += 1
                self._hold(request, now_s)

    def _release(self, message: QuotaRelease) -> None:
        account = self._drop(message.quota_id)
        if account is not None and message.unused_tokens > 0:
            account.tokens.give_back(message.unused_tokens)

    def _drop(self, quota_id: str) -> AccountShare | None:
        held = self.held.pop(quota_id, None)
        account = self.accounts.get(held.client_account) if held else None
        if account is not None:
            account.running = max(0, account.running - 1)
        return account

    def _own_demand(self, now_s: float) -> dict[str, float]:
        return {name: share.demand_fraction(now_s) for name, share in self.accounts.items()}

    def _demands(self, now_s: float) -> list[AccountDemand]:
        demands = []
        for name, share in self.accounts.items():
            fraction = share.demand_fraction(now_s)
            if fraction >= MIN_REPORTED_DEMAND:
                running = share.running / share.limits.concurrency
                demands.append(AccountDemand(name, fraction, running))
        return demands
