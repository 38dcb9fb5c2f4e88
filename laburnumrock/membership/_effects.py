"""Effects of the member table in addition to `Send`."""

from dataclasses import dataclass
from typing import Any

from laburnumrock.membership._messages import MemberState
from laburnumrock.messages import Effect


@dataclass(frozen=True, slots=True)
class MemberChanged(Effect):
    """The state of a member changed."""

    instance_id: str
    state: MemberState


@dataclass(frozen=True, slots=True)
class FactsReceived(Effect):
    """A probe or its answer carried plain data of other packages."""

    instance_id: str
    facts: dict[str, Any]
