"""Effects that `DeclarationSync` returns."""

from dataclasses import dataclass

from laburnumrock.messages import Effect


@dataclass(frozen=True, slots=True)
class RequestConfirmedRead(Effect):
    """Request a linearizable read from the log leader.

    The result is passed to `DeclarationSync.observe_confirmed_read`.
    """


@dataclass(frozen=True, slots=True)
class HoldsChanged(Effect):
    """The hold registry has changed and must be saved."""


@dataclass(frozen=True, slots=True)
class RevisionApplied(Effect):
    """The view has applied a higher revision."""

    revision: int
