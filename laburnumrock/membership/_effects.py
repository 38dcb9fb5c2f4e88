"""Effects of the member table beside `Send`."""

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
    """A member sent plain data of other packages on a probe."""

    instance_id: str
    facts: dict[str, Any]
