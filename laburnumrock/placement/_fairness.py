"""Fair order between client accounts and between the callers of one account."""

from collections import OrderedDict

# An account that has exceeded its share is delayed against others by at most this time.
MAX_PENALTY_S = 10.0
# Bounds memory; the least recently active callers are forgotten first.
MAX_TRACKED = 20_000


class FairClock:
    """Virtual clock per flow: a flow that uses more than its share gets later time stamps.

    Parameters
    ----------
    active_s : float
        A flow counts as active for this time after its last request, in seconds.
    """

    def __init__(self, active_s: float = 5.0) -> None:
        self.active_s = active_s
        self.tags: OrderedDict[str, float] = OrderedDict()
        self.last_seen: OrderedDict[str, float] = OrderedDict()

    def stamp(self, flow: str, cost_s: float, now_s: float) -> float:
        """Return the time stamp of a request and charge its cost to the flow.

        Parameters
        ----------
        flow : str
            Client account or caller.
        cost_s : float
            Time that the whole capacity needs for the request, in seconds.
        now_s : float
            Clock reading in seconds.
        """
        self.last_seen[flow] = now_s
        self.last_seen.move_to_end(flow)
        self._forget_idle(now_s)
        tag = min(max(now_s, self.tags.get(flow, now_s)), now_s + MAX_PENALTY_S)
        self.tags[flow] = tag + cost_s * len(self.last_seen)
        return tag

    def _forget_idle(self, now_s: float) -> None:
        while self.last_seen:
            flow, seen_s = next(iter(self.last_seen.items()))
            if seen_s > now_s - self.active_s and len(self.last_seen) <= MAX_TRACKED:
                return
            del self.last_seen[flow]
            self.tags.pop(flow, None)


class FairOrder:
    """Order between accounts, and inside each account between its callers."""

    def __init__(self) -> None:
        self.accounts = FairClock()
        self.callers: dict[str, FairClock] = {}

    def stamp(self, account: str, caller: str, cost_s: float, now_s: float) -> float:
        """Return the time stamp of a request; see `FairClock.stamp`."""
        account_tag = self.accounts.stamp(account, cost_s, now_s)
        clocks = self.callers.setdefault(account, FairClock())
        share = max(1, len(self.accounts.last_seen))
        caller_tag = clocks.stamp(caller, cost_s * share, now_s)
        return max(account_tag, caller_tag)
