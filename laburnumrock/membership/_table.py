"""Members of a failure domain, kept up to date by probes (SWIM protocol)."""

import random
from collections.abc import Callable
from typing import Any

from laburnumrock.membership._effects import FactsReceived, MemberChanged
from laburnumrock.membership._members import Member, Probe, Relay, RelayTable, next_suspicion_end_s
from laburnumrock.membership._messages import Ack, MemberState, MemberUpdate, Ping, PingRequest
from laburnumrock.membership._updates import UpdateQueue
from laburnumrock.messages import Effect, Send
from laburnumrock.settings import TimingSettings

INDIRECT_PROBES = 2
"""Number of members that are asked for an indirect probe, or pinged after a freeze."""
LEAVE_TARGETS = 3
FINAL_PING_TIMEOUTS = 2
"""A suspect is sent a last ping this many probe timeouts before it is declared dead."""


class MemberTable:
    """Membership of one failure domain as a state machine without I/O.

    Parameters
    ----------
    instance_id : str
        This instance.
    domain_instances : list of str
        Configured instances of the failure domain, including this one.
    timing : TimingSettings
        Sets the probe period, probe timeout and suspicion time.
    rng : random.Random
        Randomizes the order of the probes.
    incarnation : int
        Must exceed that of the previous process of the instance. If other members report a higher
        one, this instance raises its own above it.

    Notes
    -----
    If more than a probe timeout passes between two ticks, this process was frozen. It then restarts
    its probe, extends its suspicions by the gap, and takes a higher incarnation. So it does not
    suspect others wrongly, and it refutes their suspicion of itself.

    References
    ----------
    Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
    Protocol", 2002.
    """

    def __init__(
        self,
        instance_id: str,
        domain_instances: list[str],
        timing: TimingSettings,
        rng: random.Random,
        incarnation: int = 1,
    ) -> None:
        self.instance_id = instance_id
        self.domain_instances = domain_instances
        self.timing = timing
        self.rng = rng
        self.incarnation = incarnation
        self.members = {name: Member() for name in domain_instances if name != instance_id}
        self.updates = UpdateQueue(len(domain_instances))
        self.facts: dict[str, Any] = {}
        self.version = 0
        self.last_tick_s: float | None = None
        self.next_period_s = 0.0
        self.probe: Probe | None = None
        self.probe_order: list[str] = []
        self.sequence = 0
        self.relays = RelayTable()
        self.left = False

    def live_members(self) -> list[str]:
        """Return the sorted live instances of the failure domain, including this one.

        A suspect counts as live until it is declared dead.
        """
        live = [name for name, member in self.members.items() if member.is_live]
        return sorted(live if self.left else [*live, self.instance_id])

    def state_of(self, instance_id: str) -> MemberState:
        """Return the known state of an instance of the failure domain."""
        if instance_id == self.instance_id:
            return MemberState.LEFT if self.left else MemberState.ALIVE
        return self.members[instance_id].state

    def tick(self, now_s: float) -> list[Effect]:
        """Send the probes that are due, suspect members and declare suspects dead.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        list of Effect
            Probes to send and member changes.
        """
        if self.left:
            return []
        if self.last_tick_s is None:
            self.last_tick_s = now_s
            self.next_period_s = now_s + self.timing.probe_period_s
            return self._join()
        effects = self._detect_freeze(now_s)
        self.last_tick_s = now_s
        effects += self._send_ping_requests(now_s)
        if now_s >= self.next_period_s:
            effects += self._finish_probe(now_s)
            effects += self._start_probe(now_s)
            self.next_period_s = now_s + self.timing.probe_period_s
        return effects + self._expire_suspects(now_s)

    def next_tick_s(self) -> float:
        """Return the clock reading of the next tick.

        The interval stays below the gap that counts as a freeze.
        """
        if self.left:
            return float("inf")
        if self.last_tick_s is None:
            return 0.0
        due_s = min(self.next_period_s, self.last_tick_s + self.timing.probe_timeout_s / 2)
        return min(due_s, next_suspicion_end_s(self.members.values(), self.timing.suspicion_s))

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a membership message.

        Parameters
        ----------
        sender : str
            Instance that sent the message; messages from unknown instances are ignored.
        message : object
            `Ping`, `PingRequest` or `Ack`.
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        list of Effect
            Answers, member changes and received facts.
        """
        is_known = sender in self.members and isinstance(message, (Ping, PingRequest, Ack))
        if self.left or not is_known:
            return []
        subject = message.member if isinstance(message, Ack) else sender
        alive = MemberUpdate(subject, MemberState.ALIVE, message.incarnation)
        effects = self._apply_update(alive, now_s)
        for update in message.updates:
            effects += self._apply_update(update, now_s)
        if isinstance(message, Ping):
            effects.append(Send(sender, self._make_ack(sender, message.sequence)))
        elif isinstance(message, PingRequest):
            effects += self._relay_probe(sender, message)
        else:
            effects += self._receive_ack(sender, message)
        facts = {} if isinstance(message, PingRequest) else message.facts
        return effects + ([FactsReceived(sender, facts)] if facts else [])

    def leave(self) -> list[Effect]:
        """Announce a planned shutdown to some members, which disseminate it."""
        live = self._shuffle_members(lambda member: member.is_live)
        self.updates.add(MemberUpdate(self.instance_id, MemberState.LEFT, self.incarnation))
        effects: list[Effect] = [self._make_ping(name) for name in live[:LEAVE_TARGETS]]
        self.left = True
        return effects

    def _join(self) -> list[Effect]:
        # Pings all members only once per start; after that, the cost of a probe period does not
        # depend on the number of members.
        return [self._make_ping(name) for name in self.members]

    def _detect_freeze(self, now_s: float) -> list[Effect]:
        gap_s = now_s - self.last_tick_s
        if gap_s <= self.timing.probe_timeout_s:
            return []
        for member in self.members.values():
            if member.state is MemberState.SUSPECT:
                member.suspected_s += gap_s
        self.probe = None
        self.next_period_s = now_s
        self._raise_incarnation(self.incarnation)
        live = self._shuffle_members(lambda member: member.is_live)
        return [self._make_ping(name) for name in live[:INDIRECT_PROBES]]

    def _start_probe(self, now_s: float) -> list[Effect]:
        target = self._next_target()
        if target is None:
            return []
        ping = self._make_ping(target)
        self.probe = Probe(target, ping.message.sequence, now_s)
        return [ping]

    def _next_target(self) -> str | None:
        """Return the next member in a random order that covers all members, including dead ones.

        Dead members are probed so that both sides of a healed partition rediscover each other.
        """
        if not self.probe_order:
            self.probe_order = list(self.members)
            self.rng.shuffle(self.probe_order)
        return self.probe_order.pop() if self.probe_order else None

    def _send_ping_requests(self, now_s: float) -> list[Effect]:
        probe = self.probe
        if probe is None or probe.answered or probe.ping_requests_sent:
            return []
        if now_s - probe.sent_s < self.timing.probe_timeout_s:
            return []
        probe.ping_requests_sent = True
        helpers = self._shuffle_members(lambda member: member.state is MemberState.ALIVE)
        helpers = [name for name in helpers if name != probe.target]
        request = PingRequest(probe.sequence, self.incarnation, probe.target, self.updates.take())
        return [Send(name, request) for name in helpers[:INDIRECT_PROBES]]

    def _finish_probe(self, now_s: float) -> list[Effect]:
        probe, self.probe = self.probe, None
        if probe is None or probe.answered:
            return []
        member = self.members[probe.target]
        if member.state is not MemberState.ALIVE:
            return []
        suspicion = MemberUpdate(probe.target, MemberState.SUSPECT, member.incarnation)
        effects = self._apply_update(suspicion, now_s)
        # Informs the suspect, so that it can refute the suspicion as soon as it resumes.
        return [*effects, self._make_ping(probe.target)]

    def _expire_suspects(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for name, member in self.members.items():
            if member.state is not MemberState.SUSPECT:
                continue
            remaining_s = member.suspected_s + self.timing.suspicion_s - now_s
            if remaining_s <= 0:
                dead = MemberUpdate(name, MemberState.DEAD, member.incarnation)
                effects += self._apply_update(dead, now_s)
            elif (
                not member.final_ping_sent
                and remaining_s <= FINAL_PING_TIMEOUTS * self.timing.probe_timeout_s
            ):
                # Asks for a refutation directly, in case gossip has not delivered it yet.
                member.final_ping_sent = True
                effects.append(self._make_ping(name))
        return effects

    def _apply_update(self, update: MemberUpdate, now_s: float) -> list[Effect]:
        if update.instance_id == self.instance_id:
            if update.state is not MemberState.ALIVE or update.incarnation > self.incarnation:
                self._raise_incarnation(update.incarnation)
            return []
        member = self.members.get(update.instance_id)
        if member is None or not member.is_superseded_by(update):
            return []
        self.updates.add(update)
        if not member.apply(update, now_s):
            return []
        self.version += 1
        return [MemberChanged(update.instance_id, update.state)]

    def _raise_incarnation(self, known: int) -> None:
        if known >= self.incarnation:
            self.incarnation = known + 1
            self.updates.add(MemberUpdate(self.instance_id, MemberState.ALIVE, self.incarnation))

    def _relay_probe(self, sender: str, message: PingRequest) -> list[Effect]:
        if message.target not in self.members or message.target == sender:
            return []
        ping = self._make_ping(message.target)
        self.relays.add(ping.message.sequence, Relay(sender, message.sequence, message.target))
        return [ping]

    def _receive_ack(self, sender: str, message: Ack) -> list[Effect]:
        probe = self.probe
        if probe and probe.sequence == message.sequence and probe.target == message.member:
            probe.answered = True
            return []
        relay = self.relays.take(message.sequence, sender)
        if relay is None:
            return []
        return [Send(relay.requester, Ack(relay.sequence, sender, message.incarnation))]

    def _shuffle_members(self, is_chosen: Callable[[Member], bool]) -> list[str]:
        names = [name for name, member in self.members.items() if is_chosen(member)]
        self.rng.shuffle(names)
        return names

    def _make_ping(self, target: str) -> Send:
        self.sequence += 1
        updates = self._updates_for(target)
        return Send(target, Ping(self.sequence, self.incarnation, updates, dict(self.facts)))

    def _make_ack(self, target: str, sequence: int) -> Ack:
        updates = self._updates_for(target)
        return Ack(sequence, self.instance_id, self.incarnation, updates, dict(self.facts))

    def _updates_for(self, target: str) -> list[MemberUpdate]:
        """Return the updates for a message.

        A receiver that is not known as alive is always told so, so that it can refute.
        """
        updates = self.updates.take()
        member = self.members[target]
        may_refute = member.state is not MemberState.ALIVE and member.incarnation > 0
        if may_refute and all(update.instance_id != target for update in updates):
            updates.append(MemberUpdate(target, member.state, member.incarnation))
        return updates
