"""Interfaces of the replicated log that other tasks use."""

from typing import Protocol

from result import Result

from laburnumrock.declarations import DeclarationStore
from laburnumrock.errors import Failure


class LogAccess(Protocol):
    """What the task needs of the replicated log."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads the log."""

    async def propose(self, command: object) -> Result[object, Failure]:
        """Apply a command and return its answer."""

    async def read_confirmed(self) -> Result[int, Failure]:
        """Return a log index that the leader confirmed as current."""


class ReplicaAccess(Protocol):
    """What the task needs of the replicated state of a voter.

    Notes
    -----
    `applied_index` may be read after `store`, never before a state that it does not contain: the
    store must hold every command up to `applied_index`.
    """

    @property
    def store(self) -> DeclarationStore:
        """Replicated declarations; the same object for the life of the voter."""

    @property
    def applied_index(self) -> int:
        """Last log index that the state contains."""
