"""Token bucket."""


class TokenBucket:
    """Token bucket with a rate that may change.

    Parameters
    ----------
    rate : float, >= 0
        Refill rate in units per second.
    burst : float, >= 0
        Capacity in units.
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
        """Change rate and burst from now on; the level is capped at the new burst."""
        self.refill(now_s)
        self.rate = rate
        self.burst = burst
        self.level = min(self.level, burst)

    def refill(self, now_s: float) -> None:
        """Add the units that have accumulated since the last update."""
        elapsed_s = max(0.0, now_s - self.updated_s)
        self.updated_s = max(now_s, self.updated_s)
        self.level = min(self.burst, self.level + self.rate * elapsed_s)

    def wait_s(self, amount: float, now_s: float) -> float:
        """Return the time until `amount` may be taken, in seconds; 0 if it may be now.

        An amount larger than the burst may be taken from a full bucket and makes its level
        negative, so that the mean rate holds for requests of any size.
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
        """Refund an unused amount."""
        self.level = min(self.burst, self.level + amount)
