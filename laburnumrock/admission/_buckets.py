"""Token bucket and retry budget."""


class TokenBucket:
    """Token bucket whose rate may change.

    Parameters
    ----------
    rate : float, >= 0
        Refill in units per second.
    burst : float, >= 0
        Largest level in units.
    now_s : float
        Clock reading in seconds.
    """

    __slots__ = ("burst", "level", "rate", "updated_s")

    def __init__(self, rate: float, burst: float, now_s: float) -> None:
        self.rate = rate
        self.burst = burst
        self.level = burst
        self.updated_s = now_s

    def set_rate(self, rate: float, burst: float, now_s: float) -> None:
        """Change the rate from now on; a smaller burst cuts the level."""
        self.refill(now_s)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def refill(self, now_s: float) -> None:
        """Add what has accumulated since the last update."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        self.level = min(self.burst, self.level + self.rate * elapsed_s)

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until `amount` may be taken, in seconds; 0 if it may be now.

        An amount over the burst may be taken from a full bucket and leaves it in debt, so that
        the mean rate holds for requests of any size.
        """
        self.refill(now_s)
        missing = min(amount, self.burst) - self.level
        if missing <= 1e-9:
            return 0.0
        return missing / self.rate if self.rate > 0 else float("inf")

    def take(self, amount: float) -> None:
        """Take an amount for which `wait_s` has returned 0."""
        self.level -= amount

    def give_back(self, amount: float) -> None:
        """Return an unused amount."""
        self.level = min(self.burst, self.level + amount)


class RetryBudget:
    """Limit on the retries of one instance as a part of its first attempts.

    After the loss of a failure domain, all its requests fail at once; without a budget their
    retries would double the load of the remaining domains.

    Parameters
    ----------
    ratio : float, in [0, 1]
        Retries allowed per first attempt.
    min_per_s : float, >= 0
        Retries per second that are allowed also without first attempts.
    max_burst : float, >= 1
        Most retries that may be saved up.
    now_s : float
        Clock reading in seconds.
    """

    def __init__(
        self,
        ratio: float = 0.2,
        min_per_s: float = 1.0,
        max_burst: float = 50.0,
        now_s: float = 0.0,
    ) -> None:
        self.ratio = ratio
        self.min_per_s = min_per_s
        self.max_burst = max_burst
        self.bucket = TokenBucket(min_per_s, max_burst, now_s)

    def record_first_attempt(self, now_s: float) -> None:
        """Record the first attempt of a request."""
        self.bucket.refill(now_s)
        self.bucket.give_back(self.ratio)

    def try_retry(self, now_s: float) -> bool:
        """Take one retry from the budget; returns False if it is used up."""
        if self.bucket.wait_s(1.0, now_s) > 0:
            return False
        self.bucket.take(1.0)
        return True
