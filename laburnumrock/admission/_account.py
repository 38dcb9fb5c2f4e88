"""Rate and concurrency limits of one client account within one failure domain."""

import math
from collections import OrderedDict
from dataclasses import dataclass

from laburnumrock.errors import ErrorKind
from laburnumrock.rates import TokenBucket

MIN_RETRY_AFTER_S = 0.1
DEMAND_WINDOW_S = 3.0
# A caller counts as active for this time after its last request.
CALLER_WINDOW_S = 10.0
MAX_CALLERS = 20_000
# Below this fraction of the burst, an account counts as contended, and callers that exceed their
# fair share are refused first.
CONTENDED_LEVEL = 0.5
# A caller exceeds its fair share only above this multiple of an equal share.
FAIR_SLACK = 1.25


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """Limits of a client account over all instances.

    Parameters
    ----------
    requests_per_s, tokens_per_s : float, > 0
        Mean rates, in requests and tokens per second.
    concurrency : int, >= 1
        Maximum number of concurrent requests.
    burst_s : float, > 0
        Size of the burst, as the time that the mean rate takes to fill it, in seconds.
    """

    requests_per_s: float
    tokens_per_s: float
    concurrency: int
    burst_s: float = 2.0


class CallerUsage:
    """Recent use of an account by its callers, decaying exponentially over time.

    Parameters
    ----------
    window_s : float
        Time constant of the decay in seconds.
    """

    def __init__(self, window_s: float = CALLER_WINDOW_S) -> None:
        self.window_s = window_s
        self.callers: OrderedDict[str, tuple[float, float]] = OrderedDict()
        self.total = 0.0
        self.updated_s = 0.0

    def exceeds_fair_share(self, caller: str, now_s: float) -> bool:
        """Return whether a caller clearly exceeds an equal share of the recent use."""
        self._decay(now_s)
        used, used_s = self.callers.get(caller, (0.0, now_s))
        used *= math.exp(-(now_s - used_s) / self.window_s)
        count = len(self.callers) + (caller not in self.callers)
        return count > 1 and used > FAIR_SLACK * self.total / count

    def add(self, caller: str, amount: float, now_s: float) -> None:
        """Record use by a caller."""
        self._decay(now_s)
        used, used_s = self.callers.pop(caller, (0.0, now_s))
        used *= math.exp(-(now_s - used_s) / self.window_s)
        self.callers[caller] = (used + amount, now_s)
        self.total += amount

    def _decay(self, now_s: float) -> None:
        self.total *= math.exp(-max(0.0, now_s - self.updated_s) / self.window_s)
        self.updated_s = now_s
        while self.callers:
            caller, (_, used_s) = next(iter(self.callers.items()))
            if used_s > now_s - self.window_s and len(self.callers) <= MAX_CALLERS:
                return
            del self.callers[caller]


class AccountLimiter:
    """Enforces the part of a client account's limits that one failure domain may use.

    Parameters
    ----------
    limits : AccountLimits
        Limits over all failure domains.
    fraction : float, in [0, 1]
        Fraction of the limits that this domain may use.
    now_s : float
        Clock reading in seconds.
    """

    def __init__(self, limits: AccountLimits, fraction: float, now_s: float) -> None:
        self.limits = limits
        self.fraction = fraction
        self.concurrency_fraction = fraction
        self.running = 0
        self.usage = CallerUsage()
        self.demand = 0.0
        self.demand_s = now_s
        rates = self._domain_rates()
        self.requests = TokenBucket(rates[0], rates[0] * limits.burst_s, now_s)
        self.tokens = TokenBucket(rates[1], rates[1] * limits.burst_s, now_s)

    def set_fraction(self, fraction: float, concurrency_fraction: float, now_s: float) -> None:
        """Change the fractions of the rate and concurrency limits that this domain may use."""
        if (fraction, concurrency_fraction) == (self.fraction, self.concurrency_fraction):
            return
        self.fraction = fraction
        self.concurrency_fraction = concurrency_fraction
        self._update_buckets(now_s)

    def set_limits(self, limits: AccountLimits, now_s: float) -> None:
        """Change the limits of the account."""
        self.limits = limits
        self._update_buckets(now_s)

    def admit(self, caller: str, tokens: int, now_s: float) -> tuple[ErrorKind, float] | None:
        """Charge a request; returns the error kind and the retry delay if it is refused."""
        cost = self._cost(tokens)
        self._add_demand(cost, now_s)
        allowed = self.concurrency_fraction * self.limits.concurrency
        if self.running + 1 > allowed + 1e-9:
            return ErrorKind.CONCURRENCY_LIMITED, 1.0
        wait_s = max(self.requests.wait_s(1.0, now_s), self.tokens.wait_s(tokens, now_s))
        if wait_s > 0:
            return ErrorKind.RATE_LIMITED, max(MIN_RETRY_AFTER_S, wait_s)
        if self._is_contended() and self.usage.exceeds_fair_share(caller, now_s):
            return ErrorKind.RATE_LIMITED, self.limits.burst_s
        self.requests.take(1.0)
        self.tokens.take(tokens)
        self.usage.add(caller, cost, now_s)
        self.running += 1
        return None

    def demand_fraction(self, now_s: float) -> float:
        """Return the recent demand as a fraction of the account's limits."""
        decay = math.exp(-max(0.0, now_s - self.demand_s) / DEMAND_WINDOW_S)
        rate_fraction = self.demand * decay / DEMAND_WINDOW_S
        return max(rate_fraction, self.running / self.limits.concurrency)

    def _cost(self, tokens: int) -> float:
        """Return the time for which a request uses up the rate of the whole account, in seconds."""
        return max(1.0 / self.limits.requests_per_s, tokens / self.limits.tokens_per_s)

    def _add_demand(self, cost: float, now_s: float) -> None:
        decay = math.exp(-max(0.0, now_s - self.demand_s) / DEMAND_WINDOW_S)
        self.demand = self.demand * decay + cost
        self.demand_s = now_s

    def _is_contended(self) -> bool:
        # When the share grows, the burst grows but the level does not, so that an unused account
        # would seem contended.
        if self.demand < CONTENDED_LEVEL * self.limits.burst_s * self.fraction:
            return False
        buckets = (self.requests, self.tokens)
        return any(bucket.level < CONTENDED_LEVEL * bucket.burst for bucket in buckets)

    def _domain_rates(self) -> tuple[float, float]:
        limits = self.limits
        return limits.requests_per_s * self.fraction, limits.tokens_per_s * self.fraction

    def _update_buckets(self, now_s: float) -> None:
        requests, tokens = self._domain_rates()
        self.requests.set_rate(requests, requests * self.limits.burst_s, now_s)
        self.tokens.set_rate(tokens, tokens * self.limits.burst_s, now_s)
