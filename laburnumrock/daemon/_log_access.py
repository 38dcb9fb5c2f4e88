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
        """Return a log index that the leader confirmed as current.

        Notes
        -----
        On an instance with a replica, the replica contains that index when this returns. Its last
        command may have a lower index, because a new leader appends entries without a command.
        """


class ReplicaAccess(Protocol):
    """What the task needs of the replicated state of a voter."""

    @property
    def store(self) -> DeclarationStore:
        """Replicated declarations; the same object for the life of the voter."""
