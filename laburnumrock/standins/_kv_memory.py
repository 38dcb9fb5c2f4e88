"""Accounting of the KV memory of one emulated engine, with expiring reservations."""

import math
from dataclasses import dataclass


@dataclass(slots=True)
class KvAllocation:
    """Memory allocated to one request.

    Parameters
    ----------
    tokens : int
        Allocated memory in tokens.
    ttl_s : float
        Lifetime of the reservation while its request is not running, in seconds.
    expires_s : float
        Time at which the memory is freed; infinite while the request is running.
    """

    tokens: int
    ttl_s: float = math.inf
    expires_s: float = math.inf


class KvMemory:
    """Tracks the KV memory of an engine, in tokens.

    Parameters
    ----------
    capacity_tokens : int
        Total memory in tokens.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self.allocations: dict[str, KvAllocation] = {}
        self.used_tokens = 0

    @property
    def free_tokens(self) -> int:
        """Unallocated memory in tokens."""
        return self.capacity_tokens - self.used_tokens

    def missing_tokens(self, request_id: str, tokens: int) -> int:
        """Return how much memory a request needs beyond its current allocation."""
        allocation = self.allocations.get(request_id)
        return max(0, tokens - (allocation.tokens if allocation else 0))

    def allocate(self, request_id: str, tokens: int) -> bool:
        """Allocate memory for a running request, using its reservation first."""
        missing = self.missing_tokens(request_id, tokens)
        if missing > self.free_tokens:
            return False
        allocation = self.allocations.setdefault(request_id, KvAllocation(0))
        allocation.tokens += missing
        allocation.expires_s = math.inf
        self.used_tokens += missing
        return True

    def reserve(self, request_id: str, tokens: int, ttl_s: float, now_s: float) -> bool:
        """Reserve memory, or renew a reservation, for `ttl_s` seconds."""
        is_running = request_id in self.allocations and math.isinf(
            self.allocations[request_id].expires_s
        )
        if not self.allocate(request_id, tokens):
            return False
        allocation = self.allocations[request_id]
        allocation.ttl_s = ttl_s
        if not is_running:
            allocation.expires_s = now_s + ttl_s
        return True

    def start_expiry(self, request_id: str, now_s: float) -> None:
        """Start the TTL of the reservation of a stopped request, or free unreserved memory."""
        allocation = self.allocations[request_id]
        if math.isinf(allocation.ttl_s):
            self.release(request_id)
            return
        allocation.expires_s = now_s + allocation.ttl_s

    def release(self, request_id: str) -> bool:
        """Free the memory of a request; return whether it had any."""
        allocation = self.allocations.pop(request_id, None)
        if allocation is None:
            return False
        self.used_tokens -= allocation.tokens
        return True

    def expire(self, now_s: float) -> list[str]:
        """Free expired reservations and return the ids of their requests."""
        expired = [name for name, held in self.allocations.items() if held.expires_s <= now_s]
        for request_id in expired:
            self.release(request_id)
        return expired
