"""Limits that upstreams state on their requests, as one dispatcher knows them.

Notes
-----
Answers the load pattern of an upstream in need that names, in its responses, the requests per
second that it takes from all instances together. A limit is known to the instance that got the
response; it tells the leader, which counts all requests against it. Each instance repeats what it
knows in its hellos, so a new leader learns of the limits no later than of the instances.
"""

from collections.abc import Callable, Iterable

from laburnumrock.dispatch._messages import LimitReport
from laburnumrock.rates import RequestLimit


class RequestLimits:
    """Limits by upstream.

    Parameters
    ----------
    share : float, in (0, 1]
        Share of each limit that this dispatcher may use.
    """

    def __init__(self, share: float = 1.0) -> None:
        self.share = share
        self.by_upstream: dict[str, RequestLimit] = {}
        self.lifted_s: dict[str, float] = {}
        self.revision = 0

    def list_rates(self) -> dict[str, float]:
        """Return the requests per second that each upstream with a limit takes."""
        return {name: limit.requests_per_s for name, limit in self.by_upstream.items()}

    def record(self, report: LimitReport, now_s: float) -> None:
        """Apply a statement of an upstream, unless a newer one is known."""
        name = report.upstream_id
        stated_s = now_s - report.age_s
        limit = self.by_upstream.get(name)
        if stated_s <= self.lifted_s.get(name, float("-inf")):
            return
        if limit is not None and stated_s <= limit.stated_s:
            return
        if limit is None or limit.requests_per_s != report.requests_per_s:
            self.revision += 1
        if limit is None:
            limit = RequestLimit(report.requests_per_s, stated_s, now_s, self.share)
            self.by_upstream[name] = limit
        else:
            limit.restate(report.requests_per_s, stated_s, now_s)

    def record_unlimited(self, upstream_id: str, sent_s: float) -> None:
        """Apply a response without a limit to a request that was sent at `sent_s`."""
        limit = self.by_upstream.get(upstream_id)
        if limit is not None and limit.is_lifted_by(sent_s):
            self.remove(upstream_id)
            self.lifted_s[upstream_id] = sent_s

    def remove(self, upstream_id: str) -> None:
        """Remove the limit of an upstream, which has ended or whose process has."""
        self.lifted_s.pop(upstream_id, None)
        if self.by_upstream.pop(upstream_id, None) is not None:
            self.revision += 1

    def replace_known(self, reports: list[LimitReport], known_s: float, now_s: float) -> None:
        """Apply all limits that the leader knows.

        Parameters
        ----------
        reports : list of LimitReport
            The limits.
        known_s : float
            Clock reading until which the leader was told of the limits that are known here; of
            these, it has found those to have ended that are missing from its list.
        now_s : float
            Monotonic clock in seconds.
        """
        listed = {report.upstream_id for report in reports}
        for name, limit in list(self.by_upstream.items()):
            if name not in listed and limit.stated_s <= known_s:
                self.remove(name)
        for report in reports:
            self.record(report, now_s)

    def set_share(self, share: float, now_s: float) -> None:
        """Change the share of each limit that this dispatcher may use."""
        self.share = share
        for limit in self.by_upstream.values():
            limit.set_share(share, now_s)

    def restart(self, now_s: float, draw_level: Callable[[], float] = float) -> None:
        """Allow at most one request to each upstream, since other dispatchers have sent some.

        Parameters
        ----------
        now_s : float
            Monotonic clock in seconds.
        draw_level : callable
            Returns the share of the next request that is allowed already; 0 by default.
        """
        for limit in self.by_upstream.values():
            limit.restart(now_s, draw_level())

    def wait_s(self, upstream_id: str, now_s: float) -> float:
        """Return the time until an upstream takes the next request, in seconds."""
        limit = self.by_upstream.get(upstream_id)
        return limit.wait_s(now_s) if limit is not None else 0.0

    def take(self, upstream_id: str) -> None:
        """Count a request to an upstream."""
        limit = self.by_upstream.get(upstream_id)
        if limit is not None:
            limit.take()

    def list_reports(self, now_s: float) -> list[LimitReport]:
        """Return all limits with the age of their newest statements."""
        return [
            LimitReport(name, limit.requests_per_s, now_s - limit.stated_s)
            for name, limit in self.by_upstream.items()
        ]

    def predict_wait_s(self, upstream_ids: Iterable[str], waiting: int, now_s: float) -> float:
        """Predict how long a request waits if all its upstreams are at their limits; 0 if not.

        Parameters
        ----------
        upstream_ids : iterable of str
            Upstreams that may get the request.
        waiting : int
            Requests that wait for them already.
        now_s : float
            Monotonic clock in seconds.
        """
        rate = 0.0
        for name in upstream_ids:
            if self.wait_s(name, now_s) <= 0:
                return 0.0
            rate += self.by_upstream[name].rate
        return (waiting + 1) / rate if rate > 0 else 0.0
