"""Simulation of cores that are replaced until a disk is lost and all others lose power.

Notes
-----
The nodes, the voter policy and the log store are the real ones. Time and network are virtual, and
the files are those of `power_loss`: what was not synced may be kept or lost.
"""

import random
from collections.abc import Callable
from functools import partial

from laburnumrock.replication import (
    Departure,
    FolderDisk,
    LogStore,
    RaftNode,
    Role,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
    VoterChange,
    VoterPolicy,
)
from laburnumrock.replication.tests.power_loss import PowerLostError, RecordedOs
from laburnumrock.routing import SetDrain, SetQuarantine, StoreRoutes
from laburnumrock.scenarios import LogHost
from laburnumrock.scenarios._log_checks import LogChecks
from laburnumrock.scenarios._virtual import FaultRates, VirtualClock, VirtualNetwork

FIRST = ["a", "b", "c"]
DOMAINS = ["a", "b", "c"]
PLAN_INTERVAL_S = 0.1
CATCH_UP_S = 4.0
"""A core that starts counts as lost for this long."""
LEAVE_S = 2.0
"""Maximum time that a planned stop waits for its removal."""
RECOVER_S = 6.0
"""Half of the time within which requests must be served after the final fault."""
REJOIN_S = 5.0
SAVE_EFFECTS = (SaveEntries, SaveHardState, SaveSnapshot)

EVENTS: dict[str, Callable] = {}


def event(function: Callable) -> Callable:
    """Register something that happens to the cores before the final fault."""
    EVENTS[function.__name__.removeprefix("_")] = function
    return function


class CoreHost(LogHost):
    """Core on a modelled disk, which takes its time and may lose power at each file operation."""

    def __init__(self, name: str, cluster: "CoreLosses", is_first: bool = False) -> None:
        super().__init__(name, FIRST, cluster.clock, cluster.network, cluster.checks, cluster.rng)
        self.cluster = cluster
        self.machine = cluster.disks.add(name)
        self.folder = cluster.disks.root / name / "log"
        self.is_first = is_first
        self.save_s = (0.0005, 0.002)
        self.policy = VoterPolicy()
        self.ready_s = 0.0
        self.is_gone = False
        self.is_extra = False
        self.queue: list = []
        self.is_busy = False
        self.clock.after(self.rng.uniform(0, PLAN_INTERVAL_S), self._plan)

    def start(self) -> None:
        """Start the process on the files of the machine."""
        self.disk = FolderDisk(self.folder)
        self.store = LogStore(self.disk)
        self.node_type = partial(RaftNode, may_bootstrap=self.is_first)
        self.is_first = False
        self.is_extra = False
        self.queue, self.is_busy = [], False
        self.ready_s = self.clock.now_s + CATCH_UP_S
        super().start()
        self.store.disk.close()
        self.store.disk = self.disk = FolderDisk(self.folder)

    def kill(self, lose_disk: bool = False) -> None:
        """Kill the process; its files remain as they are."""
        if self.node is not None:
            self.disk.close()
        self.node = None
        self.frozen = False
        self.deferred_actions.clear()
        self.pending_proposals.clear()
        self.pending_reads.clear()
        self.machine.operations_left = None

    def lose_power(self, lose_disk: bool = False) -> None:
        """Lose power, and the disk if `lose_disk` is set."""
        self.kill()
        if lose_disk:
            self.machine.wipe()
        else:
            self.machine.lose_power(self.rng)

    def _plan(self) -> None:
        self.clock.after(PLAN_INTERVAL_S, self._plan)
        if self.node is None or self.frozen:
            return
        change = self.policy.next_change(self.node, self.clock.now_s)
        if change is not None:
            self._run(change.start(self.node, self.clock.now_s) or [])

    def _run(self, effects: list) -> None:
        self.queue.extend(effects)
        if not self.is_busy:
            self._start_batch()

    def _start_batch(self) -> None:
        batch, self.queue = self.queue, []
        if not batch:
            return
        self.is_busy = True
        delay_s = 0.0
        if any(isinstance(effect, SAVE_EFFECTS) for effect in batch):
            delay_s = self.rng.uniform(*self.save_s)
        node = self.node
        self.clock.after(delay_s, lambda: self._finish_batch(node, batch))

    def _finish_batch(self, node: RaftNode, batch: list) -> None:
        if self.node is not node:
            return
        try:
            for effect in batch:
                if isinstance(effect, SAVE_EFFECTS):
                    self.store.save(effect)
            self.store.sync()
        except PowerLostError:
            self.cluster.lose_power(self)
            return
        for effect in batch:
            self._run_effect(effect)
        if self.applied_index > node.log.snapshot.index + self.cluster.compact_entries:
            self.queue.extend(node.compact(self.applied_index, self.state.snapshot()))
        self.is_busy = False
        self._start_batch()


class CoreLosses:
    """One day: changes all the while, one event, the final fault, and the recovery.

    Parameters
    ----------
    seed : int
        Determines the event, its moment and the fault.
    disks : RecordedOs
        Disks of the machines.
    kind : str, optional
        Event; drawn from the seed by default.
    """

    def __init__(self, seed: int, disks: RecordedOs, kind: str | None = None) -> None:
        self.rng = random.Random(seed)
        self.disks = disks
        self.kind = kind or self.rng.choice(sorted(EVENTS))
        self.clock = VirtualClock()
        self.checks = LogChecks()
        self.network = VirtualNetwork(self.clock, self.rng, FaultRates())
        self.compact_entries = self.rng.choice([8, 40, 10_000])
        self.hosts: dict[str, CoreHost] = {}
        self.dark_until_s: float | None = None
        self.wiped: str | None = None
        self.lost_at_fault: list[str] = []
        self.version = 0
        self.acknowledged_version = 0
        self.drains: dict[str, tuple[bool, bool]] = {}
        self.pending_drains: set[str] = set()
        self.drain_values: dict[str, set[bool]] = {domain: {False} for domain in DOMAINS}
        self.acknowledged_quarantine = (0, 0)
        self.acknowledgements = 0
        self.has_ended = False
        for name in FIRST:
            self.hosts[name] = CoreHost(name, self, is_first=True)

    def run(self) -> str:
        """Play the day and check the state after it; returns a description of the fault."""
        rng = self.rng
        for host in self.hosts.values():
            host.start()
        self.clock.run_until(self.clock.now_s + 2.5)
        self._order()
        self.clock.run_until(self.clock.now_s + rng.uniform(3.0, 4.0))
        began_s = self.clock.now_s
        moments = EVENTS[self.kind](self)
        moment_s = began_s + rng.choice(moments)
        moment_s += rng.choice([rng.uniform(-0.02, 0.12), rng.uniform(0.0, 1.5)])
        self.clock.run_until(max(self.clock.now_s, moment_s))
        if rng.random() < 0.7:
            # The fault follows a change that was just sent.
            before = self.acknowledgements
            self._send_routes()
            if rng.random() < 0.5:
                ends_s = self.clock.now_s + 1.0
                while self.acknowledgements == before and self.clock.now_s < ends_s:
                    self.clock.run_until(self.clock.now_s + 0.0005)
            else:
                self.clock.run_until(self.clock.now_s + rng.uniform(0.005, 0.4))
        description = self._strike()
        self._recover()
        return f"{self.kind}: {description}"

    def find_leader(self) -> CoreHost | None:
        """Return the running leader with the highest term."""
        leaders = [
            host
            for host in self.hosts.values()
            if host.node is not None and not host.frozen and host.node.role is Role.LEADER
        ]
        return max(leaders, key=lambda host: host.node.term, default=None)

    def add_core(self, name: str, is_extra: bool = True) -> None:
        """Start a core with an empty disk, in addition to the others or instead of a lost one."""
        host = self.hosts[name] = CoreHost(name, self)
        host.start()
        host.is_extra = is_extra

    def depart(self, host: CoreHost, on_stopped: Callable[[], None]) -> None:
        """Stop a core as planned: it asks for its removal first."""
        node = host.node
        if node is None or self.dark_until_s is not None:
            return
        if not host.policy.may_depart(node):
            self._stop(host, on_stopped)
            return
        node.prepare_departure()
        self._ask_departure(host, node, self.clock.now_s + LEAVE_S, on_stopped)

    def lose_power(self, host: CoreHost) -> None:
        """Let a core lose power in the middle of a file operation."""
        host.lose_power()

    def _ask_departure(
        self, host: CoreHost, node: RaftNode, ends_s: float, on_stopped: Callable[[], None]
    ) -> None:
        if host.node is not node:
            return
        leader = self.find_leader()
        step = Departure.WAIT
        if leader is not None:
            now_s = self.clock.now_s
            step = leader.policy.plan_departure(leader.node, node.voter_id, now_s)
            if step is Departure.REMOVE:
                change = VoterChange("remove", host.name)
                leader._run(change.start(leader.node, now_s) or [])
        if step is Departure.DONE or self.clock.now_s >= ends_s:
            self._stop(host, on_stopped)
            return
        self.clock.after(0.05, lambda: self._ask_departure(host, node, ends_s, on_stopped))

    def _stop(self, host: CoreHost, on_stopped: Callable[[], None]) -> None:
        if host.node.role is Role.LEADER:
            host.change(host.node.transfer(self.clock.now_s))
        node = host.node

        def stop() -> None:
            if host.node is node:
                host.kill()
                on_stopped()

        self.clock.after(self.rng.uniform(0.005, 0.1), stop)

    def _order(self) -> None:
        """Send a change, and the next one a little later."""
        if self.has_ended:
            return
        self.rng.choice([self._send_routes, self._send_drain, self._send_quarantine])()
        self.clock.after(self.rng.choice([0.004, 0.05, 0.3]), self._order)

    def _choose_leader(self) -> CoreHost | None:
        leaders = [
            host
            for host in self.hosts.values()
            if host.node is not None and host.node.role is Role.LEADER and not host.frozen
        ]
        return self.rng.choice(leaders) if leaders else None

    def _send_routes(self) -> None:
        self.version += 1
        version = self.version

        def acknowledge(response: object) -> None:
            self.acknowledgements += 1
            self.acknowledged_version = max(self.acknowledged_version, version)

        self._propose(StoreRoutes(version, b"x" * self.rng.choice([10, 4000])), acknowledge)

    def _send_drain(self) -> None:
        domain = self.rng.choice(DOMAINS)
        leader = self._choose_leader()
        if domain in self.pending_drains or leader is None:
            return
        drained = self.rng.random() < 0.5
        values = self.drain_values[domain]
        order_id = f"{self.rng.getrandbits(64):016x}"
        command = SetDrain(domain, drained, order_id, leader.applied_index)
        self.pending_drains.add(domain)
        # Until it is acknowledged, an order may or may not be in force.
        values.add(drained)

        def acknowledge(response: object) -> None:
            if not response.superseded:
                self.acknowledgements += 1
                values.clear()
                values.add(drained)
            self.pending_drains.discard(domain)

        if not self._propose(command, acknowledge):
            self.pending_drains.discard(domain)

    def _send_quarantine(self) -> None:
        leader = self._choose_leader()
        if leader is None:
            return
        self.version += 1
        order = (leader.node.term, self.version)

        def acknowledge(response: object) -> None:
            self.acknowledgements += 1
            self.acknowledged_quarantine = max(self.acknowledged_quarantine, order)

        self._propose(SetQuarantine([[f"q{self.version}"]], *order), acknowledge)

    def _propose(self, command: object, acknowledge: Callable[[object], None]) -> bool:
        leader = self._choose_leader()
        return leader is not None and leader.propose(command, acknowledge)

    def _strike(self) -> str:
        """Lose at most one disk that counts, and let all other machines lose power."""
        rng = self.rng
        now_s = self.clock.now_s
        running = [host for host in self.hosts.values() if host.node is not None]
        counted = [host for host in self.hosts.values() if not host.is_gone]
        lost = [host for host in counted if host.node is None or now_s < host.ready_s]
        established = [host for host in counted if host not in lost]
        # A core that has just been added is dark like all others, and comes back. So are those that
        # are cut off or slow; all of them keep their disks.
        may_wipe = all(host.is_extra and host.node is not None for host in lost)
        self.dark_until_s = now_s + rng.uniform(0.3, 1.5)
        self.network.heal()
        how = "all lose power"
        if may_wipe and established and rng.random() < 0.85:
            leader = self.find_leader()
            wiped = rng.choice(established)
            if leader in established and rng.random() < 0.5:
                wiped = leader
            self.wiped = wiped.name
            wiped.lose_power(lose_disk=True)
            how = f"{wiped.name} loses its disk"
        for host in running:
            if host.name == self.wiped:
                continue
            if rng.random() < 0.5:
                host.lose_power()
            else:
                # It loses power in the middle of one of its next file operations.
                host.machine.operations_left = rng.randrange(8)
        self.clock.run_until(now_s + 0.02)
        for host in running:
            if host.node is not None:
                host.lose_power()
        self.has_ended = True
        return f"{how} at {now_s:.3f}"

    def _recover(self) -> None:
        self.clock.run_until(self.dark_until_s)
        for host in self.hosts.values():
            host.save_s = (0.0005, 0.002)
            if not host.is_gone:
                self.clock.after(self.rng.uniform(0.0, 0.4), partial(self._restart, host))
        self.clock.run_until(self.clock.now_s + RECOVER_S)
        leader = self.find_leader()
        if leader is None or leader.node.commit_index < leader.node.leader_state.term_start_index:
            members = {
                host.name: sorted(host.node.members.voters.values())
                for host in self.hosts.values()
                if host.node is not None
            }
            raise AssertionError(f"no leader {RECOVER_S} s after the fault: {members}")
        self._check(leader)
        self.clock.run_until(self.clock.now_s + REJOIN_S)
        leader = self.find_leader()
        self._check(leader)
        if self.wiped is not None and not self.hosts[self.wiped].is_gone:
            assert self.wiped in leader.node.members.voters.values(), "wiped core is no voter"

    def _restart(self, host: CoreHost) -> None:
        if host.node is None:
            host.start()

    def _check(self, leader: CoreHost) -> None:
        assert leader.applied_index >= self.checks.highest_acknowledged_index
        part = leader.state.parts["routes"]
        assert part.current.version >= self.acknowledged_version
        assert part.quarantine_order >= self.acknowledged_quarantine
        for domain, values in self.drain_values.items():
            assert (domain in part.current.drained) in values, f"drain of {domain} reverted"

    @event
    def _nothing(self) -> list[float]:
        return [0.0]

    @event
    def _replaced_as_planned(self) -> list[float]:
        old = self.hosts[self.rng.choice(FIRST)]
        self.add_core("d")

        def leave() -> None:
            # The successor has had its time: from here on, the old core does not count.
            old.is_gone = True
            self.depart(old, lambda: None)

        self.clock.after(CATCH_UP_S, leave)
        return [0.0, 0.05, 0.15, 0.3, 2.0, CATCH_UP_S, CATCH_UP_S + 0.3, CATCH_UP_S + 1.0]

    @event
    def _replaced_after_a_loss(self) -> list[float]:
        old = self.hosts[self.rng.choice(FIRST)]
        old.kill()

        def succeed() -> None:
            old.is_gone = True
            self.add_core("d", is_extra=False)

        self.clock.after(1.0, succeed)
        return [0.0, 1.0, 1.2, 1.6, 2.0, 5.0, 5.3, 6.0]

    @event
    def _added(self) -> list[float]:
        for name in ("d", "e", "f")[: self.rng.randrange(1, 4)]:
            self.add_core(name)
        return [0.0, 0.1, 0.3, 0.6, 1.0, CATCH_UP_S]

    @event
    def _rolled(self) -> list[float]:
        """Each core stops as planned and starts again."""
        gap_s = self.rng.choice([1.0, 4.5])
        if self.rng.random() < 0.5:
            self.add_core("d")
        for position, name in enumerate(FIRST):
            host = self.hosts[name]
            restart = partial(self.clock.after, 0.4, partial(self._restart_unless_dark, host))
            stop = partial(self.depart, host, restart)
            self.clock.after(0.3 + position * gap_s, stop)
        return [0.3, 0.4, 0.8, 0.3 + gap_s, 0.3 + 2 * gap_s, 6.0]

    def _restart_unless_dark(self, host: CoreHost) -> None:
        if self.dark_until_s is None:
            self._restart(host)

    @event
    def _lost_disk(self) -> list[float]:
        """A core loses its disk and comes back, before the final fault takes another one."""
        host = self.hosts[self.rng.choice(FIRST)]
        host.lose_power(lose_disk=True)
        self.clock.after(1.0, partial(self._restart_unless_dark, host))
        return [0.0, 1.0, 1.3, 1.0 + CATCH_UP_S]

    @event
    def _slow_disk(self) -> list[float]:
        host = self.hosts[self.rng.choice(FIRST)]
        host.save_s = self.rng.choice([(0.02, 0.06), (0.2, 0.6), (3.0, 4.0)])

        def end() -> None:
            host.save_s = (0.0005, 0.002)

        self.clock.after(3.0, end)
        return [0.0, 0.5, 2.0, 3.0, 4.0, 7.0]

    @event
    def _cut_off(self) -> list[float]:
        """A core misses changes behind a cut; the final fault may come as the cut heals."""
        host = self.hosts[self.rng.choice(FIRST)]
        self.network.cut({host.name}, set(self.hosts) - {host.name})
        self.clock.after(2.5, self.network.heal)
        return [0.5, 2.5, 2.6, 3.5]

    @event
    def _leader_changed(self) -> list[float]:
        leader = self.find_leader()
        leader.change(leader.node.transfer(self.clock.now_s))
        return [0.0, 0.01, 0.05]

    @event
    def _added_during_a_change_of_the_leader(self) -> list[float]:
        self.add_core("d")
        self.clock.after(self.rng.uniform(0.05, 0.3), self._transfer)
        return [0.1, 0.2, 0.3, 0.5]

    def _transfer(self) -> None:
        leader = self.find_leader()
        if leader is not None:
            leader.change(leader.node.transfer(self.clock.now_s))


class CoreFaults(CoreLosses):
    """Four to six cores under cuts, losses of power and of one disk after another.

    Parameters
    ----------
    seed : int
        Determines all faults.
    disks : RecordedOs
        Disks of the machines.
    """

    def __init__(self, seed: int, disks: RecordedOs) -> None:
        super().__init__(seed, disks, "nothing")
        loss = self.rng.choice([0.0, 0.02, 0.1])
        self.network.rates = FaultRates(drop=loss, duplicate=loss, slow=loss)
        self.disks_lost = 0

    def run(self) -> str:
        """Inject faults for a while and check the state after them."""
        for host in self.hosts.values():
            host.start()
        self.clock.run_until(self.clock.now_s + 3.0)
        for name in ("d", "e", "f")[: self.rng.choice([1, 1, 3])]:
            self.add_core(name)
        self.clock.run_until(self.clock.now_s + 3.0)
        self._order()
        ends_s = self.clock.now_s + 12.0
        while self.clock.now_s < ends_s:
            self.clock.run_until(self.clock.now_s + self.rng.uniform(0.05, 0.8))
            fault = self.rng.choice([self._cut, self._lose_power, self._lose_disk, self._freeze])
            fault(self.rng.choice(list(self.hosts.values())))
        self.has_ended = True
        self.network.rates = FaultRates()
        self.network.heal()
        for host in self.hosts.values():
            host.thaw()
        self.dark_until_s = self.clock.now_s
        self._recover()
        return f"{self.disks_lost} disks lost"

    def _cut(self, host: CoreHost) -> None:
        self.network.heal()
        group = set(self.rng.sample(sorted(self.hosts), self.rng.randrange(1, len(self.hosts))))
        self.network.cut(group, set(self.hosts) - group)
        self.clock.after(self.rng.uniform(0.1, 3.0), self.network.heal)

    def _lose_power(self, host: CoreHost) -> None:
        if host.node is not None:
            host.lose_power()
            self.clock.after(self.rng.uniform(0.1, 2.5), partial(self._restart, host))

    def _lose_disk(self, host: CoreHost) -> None:
        leader = self.find_leader()
        if host.node is None or leader is None:
            return
        members = leader.node.members
        is_committed = leader.node.commit_index >= leader.node.log.members_index
        if self.wiped is not None:
            wiped = self.hosts[self.wiped].node
            if wiped is None or not is_committed or wiped.voter_id not in members.voters:
                return
        if is_committed and host.node.voter_id in members.voters:
            self.disks_lost += 1
            self.wiped = host.name
            host.lose_power(lose_disk=True)
            self.clock.after(self.rng.uniform(0.1, 2.5), partial(self._restart, host))

    def _freeze(self, host: CoreHost) -> None:
        if host.node is not None and not host.frozen:
            host.frozen = True
            self.clock.after(self.rng.uniform(0.1, 2.5), host.thaw)
