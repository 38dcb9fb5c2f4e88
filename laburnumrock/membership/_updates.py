"""Bounded dissemination of membership updates, piggybacked on probes."""

import math
from dataclasses import dataclass

from laburnumrock.membership._messages import MemberUpdate

MAX_UPDATES = 6
"""Maximum number of updates per message; bounds the size of a probe."""
REPEATS_PER_DOUBLING = 3
"""Each update is sent this many times log2(members), which reaches all members almost certainly."""


@dataclass(slots=True)
class _Queued:
    update: MemberUpdate
    sent: int = 0


class UpdateQueue:
    """Updates that still have to be disseminated, least sent first.

    Parameters
    ----------
    members : int
        Number of members in the failure domain.
    """

    def __init__(self, members: int) -> None:
        self.max_sent = REPEATS_PER_DOUBLING * math.ceil(math.log2(members + 1))
        self.queued: dict[str, _Queued] = {}

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces an older one about the same member."""
        self.queued[update.instance_id] = _Queued(update)

    def take(self) -> list[MemberUpdate]:
        """Return the updates for the next message."""
        chosen = sorted(self.queued.values(), key=lambda item: item.sent)[:MAX_UPDATES]
        for item in chosen:
            item.sent += 1
            if item.sent >= self.max_sent:
                del self.queued[item.update.instance_id]
        return [item.update for item in chosen]
