"""Effects of the distribution of declarations."""

from dataclasses import dataclass

from laburnumrock.messages import Effect


@dataclass(frozen=True, slots=True)
class RequestConfirmedRead(Effect):
    """Ask the log leader for a confirmed read; the result goes to `observe_confirmed_read`."""


@dataclass(frozen=True, slots=True)
class HoldsChanged(Effect):
    """The hold book changed and must be stored."""


@dataclass(frozen=True, slots=True)
class RevisionApplied(Effect):
    """The view applied a higher revision."""

    revision: int
