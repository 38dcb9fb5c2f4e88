"""Limit on the bytes that many holders have in memory together."""

from dataclasses import dataclass, field

FREE_BYTES = 64 * 1024
"""Size up to which a holder is not limited, so that a few large ones do not stop small ones."""


@dataclass(slots=True)
class HeldBytes:
    """Bytes that a process holds for one purpose.

    Parameters
    ----------
    limit : int, > 0
        Size from which no holder may grow beyond `FREE_BYTES`.
    size : int
        Sum over all holders.
    """

    limit: int
    size: int = 0


@dataclass(slots=True)
class Holder:
    """Part of the held bytes that belongs to one message or connection.

    Parameters
    ----------
    total : HeldBytes
        Sum to which the part counts.
    size : int
        Current size of the part.
    """

    total: HeldBytes
    size: int = field(default=0, init=False)

    def resize(self, size: int) -> bool:
        """Change the size, and return whether it is within the limit; it counts in any case."""
        self.total.size += size - self.size
        self.size = size
        return size <= FREE_BYTES or self.total.size <= self.total.limit

    def release(self) -> None:
        """Stop counting the part."""
        self.resize(0)
