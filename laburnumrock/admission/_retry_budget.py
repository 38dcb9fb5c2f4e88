"""Retry budget of an instance."""

from laburnumrock.rates import TokenBucket


class RetryBudget:
    """Limits the retries of one instance to a fraction of its first attempts.

    When a failure domain is lost, all its requests fail at once. Without a budget, their retries
    would double the load of the remaining domains.

    Parameters
    ----------
    ratio : float, in [0, 1]
        Retries allowed per first attempt.
    min_per_s : float, >= 0
        Retries per second that are allowed even without first attempts.
    max_burst : float, >= 1
        Maximum number of unused retries that may accumulate.
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
        """Take one retry from the budget; returns False if the budget is exhausted."""
        if self.bucket.wait_s(1.0, now_s) > 0:
            return False
        self.bucket.take(1.0)
        return True
