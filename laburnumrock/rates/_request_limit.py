"""Limit that an upstream states on the requests of all instances together."""

from laburnumrock.rates._token_bucket import TokenBucket

MIN_REQUESTS_PER_S = 0.1
"""Rate of requests to an upstream that states a lower limit. Only its responses can show that the
limit has ended."""
BURST_S = 0.1
"""Time for which unused requests accumulate; requests that wait are placed every 50 ms."""
LIFT_DELAY_S = 0.5
"""Minimum time from the last statement of a limit to the send whose response ends it. An upstream
may state its limit in only some of its responses, such as refusals."""


class RequestLimit:
    """Limit on the requests to one upstream, as this process may use it.

    Parameters
    ----------
    requests_per_s : float, >= 0
        Requests per second that the upstream takes from all instances together.
    stated_s : float
        Clock reading of the newest statement, in seconds.
    now_s : float
        Monotonic clock in seconds.
    share : float, in (0, 1]
        Share of the limit that this process may use.

    Notes
    -----
    No request is allowed at first: those that were sent before the limit was known, and those of
    an earlier owner of the limit, are not counted here.
    """

    def __init__(
        self, requests_per_s: float, stated_s: float, now_s: float, share: float = 1.0
    ) -> None:
        self.requests_per_s = requests_per_s
        self.stated_s = stated_s
        self.share = share
        self.bucket = TokenBucket(self.rate, self.burst, now_s)
        self.restart(now_s)

    @property
    def rate(self) -> float:
        """Requests per second that this process may send."""
        return self.share * max(self.requests_per_s, MIN_REQUESTS_PER_S)

    @property
    def burst(self) -> float:
        """Number of requests that this process may send at once."""
        return max(1.0, BURST_S * self.rate)

    def restart(self, now_s: float, level: float = 0.0) -> None:
        """Allow `level` requests now, whatever was sent before."""
        self.bucket.refill(now_s)
        self.bucket.level = level

    def restate(self, requests_per_s: float, stated_s: float, now_s: float) -> None:
        """Apply a newer statement of the limit."""
        self.stated_s = stated_s
        if requests_per_s != self.requests_per_s:
            self.requests_per_s = requests_per_s
            self.bucket.set_rate(self.rate, self.burst, now_s)

    def set_share(self, share: float, now_s: float) -> None:
        """Change the share of this process."""
        if share != self.share:
            self.share = share
            self.bucket.set_rate(self.rate, self.burst, now_s)

    def wait_s(self, now_s: float) -> float:
        """Return the time until the next request is allowed, in seconds; 0 if it is now."""
        return self.bucket.wait_s(1.0, now_s)

    def take(self) -> None:
        """Count a request for which `wait_s` has returned 0."""
        self.bucket.take(1.0)

    def is_lifted_by(self, sent_s: float) -> bool:
        """Whether a response without a limit ends this one, by the time its request was sent."""
        return sent_s >= self.stated_s + LIFT_DELAY_S
