"""A voter on a fake disk under a virtual clock."""

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

Answered = Callable[[object | None], None]


class LogHost:
    """Process that runs one `RaftNode`; it can be killed, restarted, frozen and lose its disk.

    Parameters
    ----------
    name : str
        Instance name.
    voters : list of str
        First voters.
    clock, network
        Virtual surroundings.
    checks : LogChecks
        Receives everything that must hold over all hosts.
    source : random.Random
        Source of randomness.
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
        self.held: list[Callable[[], object]] = []
        self.waiting: dict[int, tuple[int, Answered]] = {}
        self.reads: dict[int, tuple[int, Callable[[bool], None]]] = {}
        self.next_read = 1
        network.receivers[name] = self.receive
        self.clock.after(rng.uniform(0, TICK_S), self._tick)

    def start(self) -> None:
        """Start the process on what its disk holds."""
        self.store = LogStore(self.disk)
        stored = self.store.load(lambda: f"{self.rng.getrandbits(64):016x}").unwrap()
        rng = random.Random(self.rng.random())
        self.node = self.node_type(self.name, self.voters, self.timing, stored, rng)
        self.state = ReplicatedState()
        self.state.restore(stored.snapshot.data)
        self.applied_index = stored.snapshot.index
        self.checks.loaded(stored)

    def kill(self, lose_disk: bool = False) -> None:
        """Kill the process; unsynced writes are lost, or the whole disk."""
        self.disk.crash(self.rng)
        if lose_disk:
            self.disk = FakeDisk()
        self.node = None
        self.frozen = False
        self.held.clear()
        self.waiting.clear()
        self.reads.clear()

    def thaw(self) -> None:
        """Go on after a freeze; messages and reads that came meanwhile are handled now."""
        self.frozen = False
        held, self.held = self.held, []
        for action in held:
            action()

    def receive(self, sender: str, message: object) -> None:
        """Handle a message."""
        if self.node is None:
            return
        if self.frozen:
            self.held.append(lambda: self.receive(sender, message))
            return
        self._run(self.node.receive(sender, message, self.clock.now_s))

    def propose(self, command: object, answered: Answered) -> bool:
        """Propose a command; False if this host does not lead, in which case it is not appended."""
        if self.node is None or self.frozen:
            return False
        stamped = with_timestamp(command, self.clock.now_s)
        proposal = self.node.propose(encode_message(stamped), self.clock.now_s)
        if proposal is None:
            return False
        self.waiting[proposal.index] = (proposal.term, answered)
        self._run(proposal.effects)
        return True

    def read(self, finished: Callable[[bool], None]) -> bool:
        """Ask for a confirmed read; False if this host cannot serve one."""
        if self.node is None:
            return False
        if self.frozen:
            self.held.append(lambda: self.read(finished) or finished(False))
            return True
        read_id = self.next_read
        self.next_read += 1
        floor = self.checks.highest_acknowledged
        effects = self.node.read(read_id, self.clock.now_s)
        if effects is None:
            return False
        self.reads[read_id] = (floor, finished)
        self._run(effects)
        return True

    def change(self, effects: list[Effect] | None) -> None:
        """Run the effects of a member change or hand-over."""
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
            self._run_one(effect)
        if self.node is not None and self.applied_index - COMPACT_ENTRIES > (
            self.node.log.snapshot.index
        ):
            for effect in self.node.compact(self.applied_index, self.state.snapshot()):
                self.store.save(effect)

    def _run_one(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self.network.send(self.name, effect.destination, effect.message)
        elif isinstance(effect, Apply):
            for entry in effect.entries:
                self._apply(entry)
        elif isinstance(effect, Restore):
            self.state.restore(effect.snapshot.data)
            self.applied_index = effect.snapshot.index
            self.waiting.clear()
        elif isinstance(effect, ReadReady):
            floor, finished = self.reads.pop(effect.read_id)
            self.checks.read_confirmed(floor, effect.index)
            finished(True)
        elif isinstance(effect, ReadFailed):
            self.reads.pop(effect.read_id)[1](False)
        elif isinstance(effect, RoleChanged) and effect.role is Role.LEADER:
            self.checks.became_leader(effect.term, self.node.voter_id)

    def _apply(self, entry: Entry) -> None:
        self.checks.committed(entry)
        if entry.index != self.applied_index + 1:
            raise AssertionError(f"{self.name} applies {entry.index} after {self.applied_index}")
        self.applied_index = entry.index
        self.state.applied_index = entry.index
        answer = None
        if entry.kind is EntryKind.COMMAND:
            answer = self.state.apply(entry.index, decode_message(entry.data))
        term, answered = self.waiting.pop(entry.index, (None, None))
        if answered is not None and term == entry.term:
            self.checks.acknowledged(entry.index)
            answered(answer)
