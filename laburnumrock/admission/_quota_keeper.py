"""Enforcement of client account limits by the coordinator of a failure domain."""

import heapq
from dataclasses import dataclass

from laburnumrock.admission._account import AccountLimiter, AccountLimits
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
# Accounts with a smaller demand, as a fraction of their limits, are left out of reports.
MIN_REPORTED_DEMAND = 1e-3


@dataclass(slots=True)
class HeldQuota:
    """Granted quota that occupies a concurrency slot."""

    client_account: str
    expires_s: float


class QuotaManager:
    """Admits requests within the account limits of one failure domain.

    Parameters
    ----------
    allocator : ShareAllocator
        Shares of the limits that the domain may use.
    quota_ttl_s : float, > 0
        Time after which a concurrency slot expires unless it is renewed, in seconds.
    """

    def __init__(self, allocator: ShareAllocator, quota_ttl_s: float = 5.0) -> None:
        self.allocator = allocator
        self.quota_ttl_s = quota_ttl_s
        self.accounts: dict[str, AccountLimiter] = {}
        self.held: dict[str, HeldQuota] = {}
        self.coordinators: dict[str, str] = {}
        self.next_report_s = 0.0
        self._expiries: list[tuple[float, str]] = []

    def set_limits(self, limits: dict[str, AccountLimits], now_s: float) -> None:
        """Apply the limits of the active templates; accounts without limits are removed."""
        for account in self.accounts.keys() - limits.keys():
            del self.accounts[account]
        for account, account_limits in limits.items():
            limiter = self.accounts.get(account)
            if limiter is None:
                share = self.allocator.share(account, now_s)
                self.accounts[account] = AccountLimiter(account_limits, share, now_s)
            elif limiter.limits != account_limits:
                limiter.set_limits(account_limits, now_s)

    def set_coordinators(self, coordinators: dict[str, str]) -> None:
        """Set the coordinator instance of each failure domain."""
        self.coordinators = dict(coordinators)

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a message from an entry instance or another coordinator."""
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
        """Expire slots that were not renewed and report demand to the other coordinators."""
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
        limiter = self.accounts.get(request.client_account)
        if limiter is None:
            return QuotaRefusal(request.quota_id, ErrorKind.UNKNOWN_CLIENT_ACCOUNT)
        share = self.allocator.share(request.client_account, now_s)
        concurrency_share = self.allocator.concurrency_share(request.client_account, now_s)
        limiter.set_fraction(share, concurrency_share, now_s)
        refusal = limiter.admit(request.caller, request.tokens, now_s)
        if refusal is not None:
            return QuotaRefusal(request.quota_id, *refusal)
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
        limiter = self._drop(message.quota_id)
        if limiter is not None and message.unused_tokens > 0:
            limiter.tokens.give_back(message.unused_tokens)

    def _drop(self, quota_id: str) -> AccountLimiter | None:
        held = self.held.pop(quota_id, None)
        limiter = self.accounts.get(held.client_account) if held else None
        if limiter is not None:
            limiter.running = max(0, limiter.running - 1)
        return limiter

    def _own_demand(self, now_s: float) -> dict[str, float]:
        return {name: limiter.demand_fraction(now_s) for name, limiter in self.accounts.items()}

    def _demands(self, now_s: float) -> list[AccountDemand]:
        demands = []
        for name, limiter in self.accounts.items():
            fraction = limiter.demand_fraction(now_s)
            if fraction >= MIN_REPORTED_DEMAND:
                concurrency_fraction = limiter.running / limiter.limits.concurrency
                demands.append(AccountDemand(name, fraction, concurrency_fraction))
        return demands
