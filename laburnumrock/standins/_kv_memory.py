"""KV memory of one emulated engine: exact ledger with reservations that expire."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Holding:
    """Memory that one request holds.

    Parameters
    ----------
    tokens : int
        Size.
    ttl_s : float
        Lifetime of the reservation while no request runs on it, in seconds.
    expires_s : float
        Clock reading at which the memory is freed; infinite while a request runs.
    """

    tokens: int
    ttl_s: float = math.inf
    expires_s: float = math.inf


class KvMemory:
    """Ledger of KV memory in tokens.

    Parameters
    ----------
    capacity_tokens : int
        Size of the memory.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.holdings: dict[str, Holding] = {}
        self.used_tokens = 0

    @property
    def free_tokens(self) -> int:
        """Memory that no request holds."""
        return self.capacity_tokens - self.used_tokens

    def missing_tokens(self, request_id: str, tokens: int) -> int:
        """Return the free memory that a request needs beside what it holds already."""
        holding = self.holdings.get(request_id)
        return max(0, tokens - (holding.tokens if holding else 0))

    def allocate(self, request_id: str, tokens: int) -> bool:
        """Take memory for a running request; its reservation is used first."""
        missing = self.missing_tokens(request_id, tokens)
        if missing > self.free_tokens:
            return False
        holding = self.holdings.setdefault(request_id, Holding(0))
        holding.tokens += missing
        holding.expires_s = math.inf
        self.used_tokens += missing
        return True

    def reserve(self, request_id: str, tokens: int, ttl_s: float, now_s: float) -> bool:
        """Reserve memory, or renew a reservation, for `ttl_s` seconds."""
        is_running = request_id in self.holdings and math.isinf(self.holdings[request_id].expires_s)
        if not self.allocate(request_id, tokens):
            return False
        holding = self.holdings[request_id]
        holding.ttl_s = ttl_s
        if not is_running:
            holding.expires_s = now_s + ttl_s
        return True

    def start_expiry(self, request_id: str, now_s: float) -> None:
        """Let the reservation of a request that stopped running expire; free other memory."""
        holding = self.holdings[request_id]
        if math.isinf(holding.ttl_s):
            self.release(request_id)
            return
        holding.expires_s = now_s + holding.ttl_s

    def release(self, request_id: str) -> bool:
        """Free the memory of a request; returns whether it held any."""
        holding = self.holdings.pop(request_id, None)
        if holding is None:
            return False
        self.used_tokens -= holding.tokens
        return True

    def expire(self, now_s: float) -> list[str]:
        """Free reservations whose time has passed, and return their requests."""
        expired = [name for name, held in self.holdings.items() if held.expires_s <= now_s]
        for request_id in expired:
            self.release(request_id)
        return expired
