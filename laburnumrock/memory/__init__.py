"""Limits on the bytes that a process holds for its requests in progress."""

from laburnumrock.memory._held_bytes import HeldBytes, Holder

__all__ = ["HeldBytes", "Holder"]
