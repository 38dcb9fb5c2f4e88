"""What is believed of single members."""

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumrock.membership._messages import MemberState, MemberUpdate

RANKS = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
MAX_RELAYS = 64
GONE = (MemberState.DEAD, MemberState.LEFT)


@dataclass(slots=True)
class Member:
    """What is believed of one member.

    Parameters
    ----------
    state : MemberState
        Believed state; a member that was never heard of counts as dead in incarnation 0.
    incarnation : int
        Highest known incarnation.
    suspected_s : float
        Clock reading at the start of the suspicion, in seconds.
    warned : bool
        Whether the suspect was pinged a last time before its death.
    """

    state: MemberState = MemberState.DEAD
    incarnation: int = 0
    suspected_s: float = 0.0
    warned: bool = False

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live; a suspect does until it is declared dead."""
        return self.state not in GONE

    def is_older_than(self, update: MemberUpdate) -> bool:
        """Return whether an update is newer: higher incarnation, or a worse state of the same."""
        if update.incarnation != self.incarnation:
            return update.incarnation > self.incarnation
        return RANKS[update.state] > RANKS[self.state]

    def apply(self, update: MemberUpdate, now_s: float) -> bool:
        """Take a newer update; returns whether the state changed."""
        is_change = update.state is not self.state
        if update.state is MemberState.SUSPECT:
            self.suspected_s = now_s
            self.warned = False
        self.state = update.state
        self.incarnation = update.incarnation
        return is_change


@dataclass(slots=True)
class Probe:
    """The probe of the running period."""

    target: str
    sequence: int
    sent_s: float
    asked_helpers: bool = False
    answered: bool = False


@dataclass(slots=True)
class Relay:
    """A probe on behalf of another member."""

    asker: str
    sequence: int
    target: str


class RelayBook:
    """The probes that run on behalf of other members, oldest first."""

    def __init__(self) -> None:
        self.relays: dict[int, Relay] = {}

    def add(self, sequence: int, relay: Relay) -> None:
        """Record a relayed probe by the number of the own ping."""
        self.relays[sequence] = relay
        if len(self.relays) > MAX_RELAYS:
            del self.relays[next(iter(self.relays))]

    def take(self, sequence: int, sender: str) -> Relay | None:
        """Remove and return the relay that an answer of its target ends."""
        relay = self.relays.get(sequence)
        if relay is None or relay.target != sender:
            return None
        return self.relays.pop(sequence)


def next_death_s(members: Iterable[Member], suspicion_s: float) -> float:
    """Return the clock reading at which the first suspect is declared dead."""
    suspects = (member for member in members if member.state is MemberState.SUSPECT)
    return min((member.suspected_s + suspicion_s for member in suspects), default=float("inf"))
