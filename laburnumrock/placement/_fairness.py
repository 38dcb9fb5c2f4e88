"""Fair queueing between client accounts and between the callers of one account."""

from collections import OrderedDict

# Longest delay of a flow that has exceeded its fair share.
MAX_PENALTY_S = 10.0
# Bounds memory; the least recently active flows are evicted first.
MAX_FLOWS = 20_000


class VirtualClock:
    """Virtual clock per flow, as in start-time fair queueing.

    Requests are served in the order of their tags. A flow that uses more than its fair share gets
    larger tags.

    Parameters
    ----------
    active_s : float
        A flow counts as active for this time after its last request, in seconds.
    """

    def __init__(self, active_s: float = 5.0) -> None:
        self.active_s = active_s
        self.tags: OrderedDict[str, float] = OrderedDict()
        self.last_seen: OrderedDict[str, float] = OrderedDict()

    def assign_tag(self, flow: str, cost_s: float, now_s: float) -> float:
        """Return the start tag of a request and charge its cost to the flow.

        Parameters
        ----------
        flow : str
            Client account or caller.
        cost_s : float
            Time for which the request occupies the whole capacity, in seconds.
        now_s : float
            Clock reading in seconds.
        """
        self.last_seen[flow] = now_s
        self.last_seen.move_to_end(flow)
        self._evict_idle(now_s)
        tag = min(max(now_s, self.tags.get(flow, now_s)), now_s + MAX_PENALTY_S)
        self.tags[flow] = tag + cost_s * len(self.last_seen)
        return tag

    def _evict_idle(self, now_s: float) -> None:
        while self.last_seen:
            flow, seen_s = next(iter(self.last_seen.items()))
            if seen_s > now_s - self.active_s and len(self.last_seen) <= MAX_FLOWS:
                return
            del self.last_seen[flow]
            self.tags.pop(flow, None)


class AccountFairness:
    """Two-level fair queueing: between accounts, and within each account between its callers."""

    def __init__(self) -> None:
        self.account_clock = VirtualClock()
        self.caller_clocks: dict[str, VirtualClock] = {}

    def assign_tag(self, account: str, caller: str, cost_s: float, now_s: float) -> float:
        """Return the start tag of a request; see `VirtualClock.assign_tag`."""
        account_tag = self.account_clock.assign_tag(account, cost_s, now_s)
        caller_clock = self.caller_clocks.setdefault(account, VirtualClock())
        active_accounts = max(1, len(self.account_clock.last_seen))
        caller_tag = caller_clock.assign_tag(caller, cost_s * active_accounts, now_s)
        return max(account_tag, caller_tag)
