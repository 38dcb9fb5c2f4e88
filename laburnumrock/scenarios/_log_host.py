"""Voter with an in-memory disk under a virtual clock."""

import random
from collections.abc import Callable

from laburnumrock.messages import Effect, Send
from laburnumrock.replication import (
    Apply,
    Entry,
    EntryKind,
    FakeDisk,
    LogStore,
    RaftNode,
    ReadFailed,
    ReadReady,
    Restore,
    Role,
    RoleChanged,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
)
from laburnumrock.scenarios._log_checks import LogChecks
from laburnumrock.scenarios._virtual import VirtualClock, VirtualNetwork
from laburnumrock.settings import TimingSettings
from laburnumrock.state import ReplicatedState, decode_message, encode_message, with_timestamp

TICK_S = 0.04
COMPACT_ENTRIES = 40

ResponseCallback = Callable[[object | None], None]


class LogHost:
    """Simulated process of one `RaftNode`; it can be killed, restarted, frozen and lose its disk.

    Parameters
    ----------
    name : str
        Instance name.
    voters : list of str
        Initial voters.
    clock, network
        Simulated time, and the network between the hosts.
    checks : LogChecks
        Invariants over all hosts, checked on the events of this host.
    rng : random.Random
        Random number generator.
    """

    node_type = RaftNode

    def __init__(
        self,
        name: str,
        voters: list[str],
        clock: VirtualClock,
        network: VirtualNetwork,
        checks: LogChecks,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.voters = voters
        self.clock = clock
        self.network = network
        self.checks = checks
        self.rng = rng
        self.disk = FakeDisk()
        self.node: RaftNode | None = None
        self.state = ReplicatedState()
        self.timing = TimingSettings()
        self.frozen = False
        self.deferred_actions: list[Callable[[], object]] = []
        self.pending_proposals: dict[int, tuple[int, ResponseCallback]] = {}
        self.pending_reads: dict[int, tuple[int, Callable[[bool], None]]] = {}
        self.next_read_id = 1
        network.receivers[name] = self.receive
        self.clock.after(rng.uniform(0, TICK_S), self._tick)

    def start(self) -> None:
        """Start the process from the state on its disk."""
        self.store = LogStore(self.disk)
        stored = self.store.load(lambda: f"{self.rng.getrandbits(64):016x}").unwrap()
        rng = random.Random(self.rng.random())
        self.node = self.node_type(self.name, self.voters, self.timing, stored, rng)
        self.state = ReplicatedState()
        self.state.restore(stored.snapshot.data)
        self.applied_index = stored.snapshot.index
        self.checks.snapshot_loaded(stored)

    def kill(self, lose_disk: bool = False) -> None:
        """Kill the process; loses unsynced writes, or the whole disk if `lose_disk` is set."""
        self.disk.crash(self.rng)
        if lose_disk:
            self.disk = FakeDisk()
        self.node = None
        self.frozen = False
        self.deferred_actions.clear()
        self.pending_proposals.clear()
        self.pending_reads.clear()

    def thaw(self) -> None:
        """Resume after a freeze; handles the messages and reads that arrived meanwhile."""
        self.frozen = False
        deferred_actions, self.deferred_actions = self.deferred_actions, []
        for action in deferred_actions:
            action()

    def receive(self, sender: str, message: object) -> None:
        """Handle a message from another host, after the freeze if this host is frozen."""
        if self.node is None:
            return
        if self.frozen:
            self.deferred_actions.append(lambda: self.receive(sender, message))
            return
        self._run(self.node.receive(sender, message, self.clock.now_s))

    def propose(self, command: object, on_response: ResponseCallback) -> bool:
        """Propose a command; returns False, without appending it, if this host does not lead."""
        if self.node is None or self.frozen:
            return False
        stamped = with_timestamp(command, self.clock.now_s)
        proposal = self.node.propose(encode_message(stamped), self.clock.now_s)
        if proposal is None:
            return False
        self.pending_proposals[proposal.index] = (proposal.term, on_response)
        self._run(proposal.effects)
        return True

    def read(self, on_finished: Callable[[bool], None]) -> bool:
        """Request a confirmed read; returns False if this host cannot serve it."""
        if self.node is None:
            return False
        if self.frozen:
            self.deferred_actions.append(lambda: self.read(on_finished) or on_finished(False))
            return True
        read_id = self.next_read_id
        self.next_read_id += 1
        acknowledged_index = self.checks.highest_acknowledged_index
        effects = self.node.read(read_id, self.clock.now_s)
        if effects is None:
            return False
        self.pending_reads[read_id] = (acknowledged_index, on_finished)
        self._run(effects)
        return True

    def change(self, effects: list[Effect] | None) -> None:
        """Run the effects of a membership change or a leadership transfer."""
        if effects is not None:
            self._run(effects)

    def _tick(self) -> None:
        self.clock.after(TICK_S, self._tick)
        if self.node is not None and not self.frozen:
            self._run(self.node.tick(self.clock.now_s))

    def _run(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, (SaveEntries, SaveHardState, SaveSnapshot)):
                self.store.save(effect)
        self.store.sync()
        for effect in effects:
            self._run_effect(effect)
        if self.node is not None and self.applied_index - COMPACT_ENTRIES > (
            self.node.log.snapshot.index
        ):
            for effect in self.node.compact(self.applied_index, self.state.snapshot()):
                self.store.save(effect)

    def _run_effect(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self.network.send(self.name, effect.destination, effect.message)
        elif isinstance(effect, Apply):
            for entry in effect.entries:
                self._apply(entry)
        elif isinstance(effect, Restore):
            self.state.restore(effect.snapshot.data)
            self.applied_index = effect.snapshot.index
            self.pending_proposals.clear()
        elif isinstance(effect, ReadReady):
            acknowledged_index, on_finished = self.pending_reads.pop(effect.read_id)
            self.checks.read_confirmed(acknowledged_index, effect.index)
            on_finished(True)
        elif isinstance(effect, ReadFailed):
            self.pending_reads.pop(effect.read_id)[1](False)
        elif isinstance(effect, RoleChanged) and effect.role is Role.LEADER:
            self.checks.became_leader(effect.term, self.node.voter_id)

    def _apply(self, entry: Entry) -> None:
        self.checks.committed(entry)
        if entry.index != self.applied_index + 1:
            raise AssertionError(f"{self.name} applies {entry.index} after {self.applied_index}")
        self.applied_index = entry.index
        self.state.applied_index = entry.index
        response = None
        if entry.kind is EntryKind.COMMAND:
            response = self.state.apply(entry.index, decode_message(entry.data))
        term, on_response = self.pending_proposals.pop(entry.index, (None, None))
        if on_response is not None and term == entry.term:
            self.checks.acknowledged(entry.index)
            on_response(response)
