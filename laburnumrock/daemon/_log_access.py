"""Interfaces through which other tasks use the replicated log."""

from typing import Protocol

from result import Result

from laburnumrock.declarations import DeclarationStore
from laburnumrock.errors import Failure


class LogAccess(Protocol):
    """Operations of the replicated log that the declaration task needs."""

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader of the log."""

    async def propose(self, command: object) -> Result[object, Failure]:
        """Commit a command and return the response of the state machine."""

    async def read_confirmed(self) -> Result[int, Failure]:
        """Return a commit index that the leader has confirmed as current (linearizable read).

        Notes
        -----
        On an instance with a replica, that index has been applied when this returns. The last
        applied command may have a lower index, because a new leader appends entries without a
        command.
        """


class ReplicaAccess(Protocol):
    """Replicated state of a voter, as the declaration task needs it."""

    @property
    def store(self) -> DeclarationStore:
        """Replicated declarations; the same object for the lifetime of the voter."""
