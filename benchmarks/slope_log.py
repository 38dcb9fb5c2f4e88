"""Marginal costs of the replicated log and of the propagation of declarations."""

import random
import time

from slope_control import OPERATION_COUNTS, make_claim, make_template
from slope_fit import Slope, fit_slope

from laburnumrock.declarations import (
    ApplyChange,
    DeclarationStep,
    DeclarationStore,
    DeclarationSync,
    DeclarationUpdate,
    DeclarationView,
)
from laburnumrock.messages import Frame, Send, decode_frame, encode_frame
from laburnumrock.replication import Apply, RaftNode, Role, StoredState
from laburnumrock.settings import InstanceSettings, TimingSettings
from laburnumrock.state import ReplicatedState, decode_message, encode_message

VOTERS = ["a1", "b1", "c1", "d1", "e1"]
TICK_INTERVAL_S = 0.025
ONE_WAY_DELAY_S = 0.001
DOMAIN_SIZES = (5, 10, 20, 40)
CHANGE_COUNT = 20


class InProcessRaftGroup:
    """Raft voters that exchange encoded frames in one process; CPU time is counted by voter."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.nodes = {
            name: RaftNode(name, VOTERS, TimingSettings(), StoredState(name), random.Random(name))
            for name in VOTERS
        }
        self.states = {name: ReplicatedState() for name in VOTERS}
        self.cpu_ns = dict.fromkeys(VOTERS, 0)
        self.sent_bytes = dict.fromkeys(VOTERS, 0)
        while self.leader() is None or self.leader().commit_index < 2:
            self.tick()

    def leader(self) -> RaftNode | None:
        """Return the leader, or None if there is none."""
        return next((node for node in self.nodes.values() if node.role is Role.LEADER), None)

    def tick(self) -> None:
        """Advance time by one tick and deliver the resulting messages."""
        self.now_s += TICK_INTERVAL_S
        for name, node in self.nodes.items():
            self.deliver([(name, effect) for effect in node.tick(self.now_s)])

    def commit(self, number: int) -> None:
        """Propose one command at the leader and deliver the resulting messages."""
        leader = self.leader()
        started_ns = time.process_time_ns()
        effects = leader.propose(encode_message(make_claim(number)), self.now_s).effects
        self.cpu_ns[leader.instance_id] += time.process_time_ns() - started_ns
        self.deliver([(leader.instance_id, effect) for effect in effects])

    def deliver(self, queue: list) -> None:
        """Execute effects and deliver messages until none are left."""
        while queue:
            name, effect = queue.pop(0)
            started_ns = time.process_time_ns()
            if isinstance(effect, Apply):
                for entry in effect.entries:
                    if entry.data and entry.kind == "command":
                        self.states[name].apply(entry.index, decode_message(entry.data))
            data = encode_frame(Frame(effect.message)) if isinstance(effect, Send) else None
            self.cpu_ns[name] += time.process_time_ns() - started_ns
            if data is None:
                continue
            self.sent_bytes[name] += len(data)
            started_ns = time.process_time_ns()
            message = decode_frame(data).unwrap().message
            effects = self.nodes[effect.destination].receive(name, message, self.now_s)
            self.cpu_ns[effect.destination] += time.process_time_ns() - started_ns
            queue += [(effect.destination, following) for following in effects]


def measure_log() -> list[Slope]:
    """Return the CPU time and bytes per commit, without disk and socket I/O."""
    leader_us, follower_us, leader_bytes = [], [], []
    for count in OPERATION_COUNTS:
        group = InProcessRaftGroup()
        leader = group.leader().instance_id
        follower = next(name for name in VOTERS if name != leader)
        before, before_bytes = dict(group.cpu_ns), dict(group.sent_bytes)
        for number in range(count):
            group.commit(number)
        leader_us.append((group.cpu_ns[leader] - before[leader]) / 1e3)
        follower_us.append((group.cpu_ns[follower] - before[follower]) / 1e3)
        leader_bytes.append(group.sent_bytes[leader] - before_bytes[leader])
    return [
        fit_slope("commit at the leader of 5 voters", "us/commit", OPERATION_COUNTS, leader_us),
        fit_slope("commit at a follower", "us/commit", OPERATION_COUNTS, follower_us),
        fit_slope("bytes sent by the leader", "B/commit", OPERATION_COUNTS, leader_bytes),
    ]


def make_peers(size: int) -> list[dict]:
    """Return the peers of a domain with one voter, and of four others with one voter each."""
    names = [*VOTERS, *(f"a{number}" for number in range(2, size + 1))]
    return [
        {
            "instance_id": name,
            "failure_domain": name[0],
            "host": "127.0.0.1",
            "caller_port": 1,
            "peer_port": 2,
            "voter": name in VOTERS,
        }
        for name in names
    ]


def make_settings(peers: list[dict], name: str) -> InstanceSettings:
    return InstanceSettings.model_validate(
        {
            "instance_id": name,
            "failure_domain": name[0],
            "listen": {"host": "127.0.0.1", "caller_port": 1, "peer_port": 2},
            "shared_key_file": "x",
            "operator_key_file": "x",
            "data_folder": "x",
            "peers": peers,
        }
    )


class DeclarationSyncGroup:
    """Instances of one failure domain, whose single voter applies changes from the log."""

    def __init__(self, size: int) -> None:
        peers = make_peers(size)
        self.rng = random.Random(1)
        self.now_s = 100.0
        self.store = DeclarationStore()
        self.nodes = {}
        for peer in peers:
            name = peer["instance_id"]
            if name[0] != "a":
                continue
            store = self.store if name == "a1" else None
            view = DeclarationView(3.0)
            self.nodes[name] = DeclarationSync(make_settings(peers, name), view, self.rng, store)
        self.queue: list = []
        self.updates = self.update_bytes = 0
        self.applied_at_s: dict[str, float] = {}

    def run(self, duration_s: float) -> None:
        """Advance time, and process the messages and ticks that are due at each step."""
        end_s = self.now_s + duration_s
        while self.now_s < end_s:
            self.now_s += ONE_WAY_DELAY_S
            due_messages, self.queue = self.queue, []
            for sender, target, message in due_messages:
                self.execute(target, self.nodes[target].receive(sender, message, self.now_s))
            for name, node in self.nodes.items():
                if self.now_s >= node.next_tick_s():
                    self.execute(name, node.tick(self.now_s))

    def execute(self, name: str, effects: list) -> None:
        """Queue the messages of an instance, and count the updates that carry changes."""
        node = self.nodes[name]
        if node.view.revision == self.store.revision:
            self.applied_at_s.setdefault(name, self.now_s)
        if name == "a1":
            node.observe_confirmed_read(self.now_s, self.now_s)
        for effect in effects:
            if isinstance(effect, Send) and effect.destination in self.nodes:
                if isinstance(effect.message, DeclarationUpdate) and effect.message.steps:
                    self.updates += 1
                    self.update_bytes += len(encode_frame(Frame(effect.message)))
                self.queue.append((name, effect.destination, effect.message))

    def change(self, number: int) -> float:
        """Apply a change; returns the seconds until every instance has applied it."""
        change = {"action": "put", "declaration": make_template(number)}
        command = ApplyChange(f"r{number}", self.store.revision, [change], "op", 0.0)
        result = self.store.apply(command, number + 1)
        if result.kind is not None:
            raise RuntimeError(result.detail)
        started_s = self.now_s
        self.applied_at_s = {}
        self.execute("a1", self.nodes["a1"].tick(self.now_s))
        self.run(1.0)
        return max(self.applied_at_s.values()) - started_s


def measure_propagation() -> list[Slope]:
    """Return messages, bytes and delay of a change in a domain, and the CPU time to apply it."""
    messages, sizes, times_ms = [], [], []
    for size in DOMAIN_SIZES:
        group = DeclarationSyncGroup(size)
        group.run(3.0)
        group.updates = group.update_bytes = 0
        durations_s = [group.change(number) for number in range(CHANGE_COUNT)]
        messages.append(group.updates / CHANGE_COUNT)
        sizes.append(group.update_bytes / CHANGE_COUNT)
        times_ms.append(1e3 * sum(durations_s) / CHANGE_COUNT)
    return [
        fit_slope("messages of a change", "messages/instance", DOMAIN_SIZES, messages),
        fit_slope("bytes of a change", "B/instance", DOMAIN_SIZES, sizes),
        fit_slope("time of a change at 1 ms a hop", "ms/instance", DOMAIN_SIZES, times_ms),
        measure_apply(),
    ]


def measure_apply() -> Slope:
    """Return the CPU time of one change at an instance by number of templates."""
    sizes, values = (50, 100, 200, 400), []
    for size in sizes:
        view = DeclarationView(3.0)
        for number in range(size):
            view.apply_steps([make_step(view, number)])
        started_ns = time.process_time_ns()
        for number in range(CHANGE_COUNT):
            data = encode_frame(Frame(DeclarationUpdate(1, steps=[make_step(view, number)])))
            view.apply_steps(decode_frame(data).unwrap().message.steps)
        values.append((time.process_time_ns() - started_ns) / 1e3 / CHANGE_COUNT)
    return fit_slope("change at an instance by accounts", "us/account", sizes, values)


def make_step(view: DeclarationView, number: int) -> DeclarationStep:
    change = {"action": "put", "declaration": make_template(number)}
    return DeclarationStep(view.revision + 1, [change])
