"""Known state of single members, and the probes that run for them."""

from collections.abc import Iterable
from dataclasses import dataclass

from laburnumrock.membership._messages import MemberState, MemberUpdate

STATE_PRECEDENCE = {
    MemberState.ALIVE: 0,
    MemberState.SUSPECT: 1,
    MemberState.DEAD: 2,
    MemberState.LEFT: 3,
}
MAX_RELAYS = 64
NOT_LIVE_STATES = (MemberState.DEAD, MemberState.LEFT)


@dataclass(slots=True)
class Member:
    """Known state of one member.

    Parameters
    ----------
    state : MemberState
        Latest known state; a member never heard from counts as dead in incarnation 0.
    incarnation : int
        Highest known incarnation.
    suspected_s : float
        Clock reading at the start of the suspicion, in seconds.
    final_ping_sent : bool
        Whether the suspect was sent a last ping before it is declared dead.
    """

    state: MemberState = MemberState.DEAD
    incarnation: int = 0
    suspected_s: float = 0.0
    final_ping_sent: bool = False

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live; a suspect does until it is declared dead."""
        return self.state not in NOT_LIVE_STATES

    def is_superseded_by(self, update: MemberUpdate) -> bool:
        """Return whether an update is newer.

        It is if it has a higher incarnation, or a state of higher precedence in the same one.
        """
        if update.incarnation != self.incarnation:
            return update.incarnation > self.incarnation
        return STATE_PRECEDENCE[update.state] > STATE_PRECEDENCE[self.state]

    def apply(self, update: MemberUpdate, now_s: float) -> bool:
        """Apply a newer update and return whether the state changed."""
        is_change = update.state is not self.state
        if update.state is MemberState.SUSPECT:
            self.suspected_s = now_s
            self.final_ping_sent = False
        self.state = update.state
        self.incarnation = update.incarnation
        return is_change


@dataclass(slots=True)
class Probe:
    """Probe of the current probe period."""

    target: str
    sequence: int
    sent_s: float
    ping_requests_sent: bool = False
    answered: bool = False


@dataclass(slots=True)
class Relay:
    """Indirect probe on behalf of another member."""

    requester: str
    sequence: int
    target: str


class RelayTable:
    """Indirect probes that this instance runs on behalf of other members, oldest first."""

    def __init__(self) -> None:
        self.relays: dict[int, Relay] = {}

    def add(self, sequence: int, relay: Relay) -> None:
        """Record an indirect probe by the sequence number of the ping that this instance sends."""
        self.relays[sequence] = relay
        if len(self.relays) > MAX_RELAYS:
            del self.relays[next(iter(self.relays))]

    def take(self, sequence: int, sender: str) -> Relay | None:
        """Remove and return the relay that an ack from its target completes, if any."""
        relay = self.relays.get(sequence)
        if relay is None or relay.target != sender:
            return None
        return self.relays.pop(sequence)


def next_suspicion_end_s(members: Iterable[Member], suspicion_s: float) -> float:
    """Return the earliest clock reading at which a suspect is declared dead."""
    suspects = (member for member in members if member.state is MemberState.SUSPECT)
    return min((member.suspected_s + suspicion_s for member in suspects), default=float("inf"))
