"""Simulation of coordinator lease and pool ownership under seeded faults and a virtual clock."""

import heapq
import itertools
import random
from dataclasses import dataclass

from laburnumrock.messages import Send
from laburnumrock.ownership import (
    MAX_CLOCK_DRIFT,
    AssignmentRequest,
    LeaseElector,
    PoolAssigner,
    PoolAssignmentClient,
    PoolAssignments,
    list_covering_shards,
    parse_pool_id,
    pools_overlap,
)

LEASE_S = 2.0
ASSIGNMENT_S = 1.0
TICK_S = 0.05
UPSTREAMS = ("e1", "e2", "e3", "e4")
"""Each of them must belong to exactly one owned shard of each pool."""
POOLS = ("a/model/x", "a/model/y", "a/model/z")


def find_unowned_shards(owners):
    """Return the shards that entry instances request: the largest unowned ones by upstream."""
    wanted = set()
    for pool_id, upstream_id in itertools.product(POOLS, UPSTREAMS):
        covering = list_covering_shards(pool_id, upstream_id)
        if not owners.keys() & covering:
            candidates = (
                shard
                for shard in covering
                if not any(pools_overlap(shard, owned) for owned in owners)
            )
            wanted.add(next(candidates))
    return wanted


class OwnershipViolatedError(AssertionError):
    """Two owners of a pool, two coordinators, or an epoch or term that decreases."""


@dataclass
class Node:
    """Simulated process with a clock that runs at `rate` times real time."""

    name: str
    rate: float
    offset_s: float
    generation: int = 0
    alive: bool = True
    frozen_until_s: float = 0.0
    release_at_s: float | None = None

    def local(self, real_s):
        return self.offset_s + self.rate * real_s

    def real(self, local_s):
        return (local_s - self.offset_s) / self.rate

    def start(self, simulation, real_s):
        self.generation += 1
        self.alive = True
        self.frozen_until_s = 0.0
        self.release_at_s = None
        now_s = self.local(real_s)
        rng = random.Random(f"{simulation.seed}/{self.name}/{self.generation}")
        started_ms = int(real_s * 1_000) + self.generation
        self.elector = LeaseElector(
            self.name, simulation.names, LEASE_S, now_s, rng, term_floor=started_ms
        )
        self.assigner = PoolAssigner(ASSIGNMENT_S)
        self.assignment_client = PoolAssignmentClient(self.name, started_ms, ASSIGNMENT_S)
        simulation.prepare(self)

    def owned_until_s(self, pool_id):
        """Return the real time until which this process owns a pool."""
        return self.real(self.assignment_client.ends_s.get(pool_id, float("-inf")))


class Simulation:
    """Runs one fault schedule and checks ownership after every step.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    count : int
        Number of instances in the failure domain.
    prepare : callable
        Called with each started node; mutation tests patch the node here.
    """

    def __init__(self, seed, count=5, prepare=lambda node: None):
        self.seed = seed
        self.rng = random.Random(seed)
        self.prepare = prepare
        self.names = [f"a{index}" for index in range(count)]
        self.now_s = 0.0
        self.events = []
        self.numbers = itertools.count()
        self.cut_until_s = {}
        self.slow_probability = 0.0
        self.last_arrival_s = {}
        self.epochs = {}
        self.highest_term = 0
        self.handovers = 0
        self.splits = 0
        self.nodes = {
            name: Node(name, self._rate(), self.rng.uniform(0, 100)) for name in self.names
        }
        for node in self.nodes.values():
            node.start(self, 0.0)
            self.at(self.rng.uniform(0, TICK_S), self.tick, node)

    def _rate(self):
        extremes = (1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT)
        return self.rng.choice([*extremes, self.rng.uniform(*extremes)])

    def at(self, when_s, function, *arguments):
        heapq.heappush(self.events, (when_s, next(self.numbers), function, arguments))

    def run(self, until_s):
        while self.events and self.events[0][0] <= until_s:
            self.now_s, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
        self.now_s = until_s

    def tick(self, node):
        self.at(self.now_s + TICK_S, self.tick, node)
        if not node.alive or self.now_s < node.frozen_until_s:
            return
        now_s = node.local(self.now_s)
        node.assignment_client.wanted = find_unowned_shards(node.assignment_client.owners)
        self.send(node, node.elector.tick(now_s))
        self.send(node, node.assignment_client.tick(now_s, node.elector.find_coordinator(now_s)))
        if node.release_at_s is not None and now_s >= node.release_at_s:
            self.send(node, node.elector.release(now_s))
            node.alive = False
        self.check(node)

    def send(self, node, effects):
        for effect in effects:
            if isinstance(effect, Send):
                delay_s = self.rng.uniform(0.0005, 0.003)
                if effect.destination == node.name:
                    delay_s = 0.0
                elif self.rng.random() < self.slow_probability:
                    delay_s = self.rng.uniform(0, 3.0)
                target = self.nodes[effect.destination]
                arrival_s = self.now_s + delay_s
                if not self.slow_probability:
                    # Links are in order here; only schedules with slow links reorder messages.
                    link = (node.name, effect.destination)
                    arrival_s = max(arrival_s, self.last_arrival_s.get(link, 0.0))
                    self.last_arrival_s[link] = arrival_s
                arguments = (node.name, target, target.generation, effect.message)
                self.at(arrival_s, self.deliver, *arguments)

    def deliver(self, sender, node, generation, message):
        # Connections close with the process, so a restarted process receives no old messages.
        if not node.alive or node.generation != generation:
            return
        if sender != node.name and self.now_s < self.cut_until_s.get((sender, node.name), 0.0):
            return
        if self.now_s < node.frozen_until_s:
            self.at(node.frozen_until_s, self.deliver, sender, node, generation, message)
            return
        now_s = node.local(self.now_s)
        if isinstance(message, AssignmentRequest):
            lease = node.elector.lease(now_s)
            if lease is not None:
                answer = node.assigner.receive(sender, message, now_s, lease)
                self.send(node, [Send(sender, answer)])
        elif isinstance(message, PoolAssignments):
            self.send(node, node.assignment_client.receive(sender, message, now_s))
        else:
            self.send(node, node.elector.receive(sender, message, now_s))
        self.check(node)

    def check(self, node):
        """Check the leases and pools of one process against all others, frozen ones included."""
        running = [other for other in self.nodes.values() if other.alive]
        if node.alive and node.real(node.elector.held_until_s) > self.now_s:
            for other in running:
                if other is not node and other.real(other.elector.held_until_s) > self.now_s:
                    self.fail(f"coordinators {node.name} and {other.name}")
            if node.elector.term < self.highest_term:
                self.fail(f"term {node.elector.term} after {self.highest_term}")
            self.highest_term = node.elector.term
        for pool_id in node.assignment_client.held if node.alive else ():
            if node.owned_until_s(pool_id) <= self.now_s:
                continue
            for other in running:
                if other is not node and other.owned_until_s(pool_id) > self.now_s:
                    self.fail(f"owners {node.name} and {other.name} of {pool_id}")
                for other_pool_id in other.assignment_client.held:
                    if (
                        pools_overlap(pool_id, other_pool_id)
                        and other.owned_until_s(other_pool_id) > self.now_s
                    ):
                        self.fail(f"{node.name} owns {pool_id} and {other.name} {other_pool_id}")
            self._check_epoch(node, pool_id)

    def _check_epoch(self, node, pool_id):
        owner = (node.name, node.generation)
        epoch = node.assignment_client.held[pool_id].epoch
        last_owner, last_epoch = self.epochs.get(pool_id, (owner, 0))
        if epoch < last_epoch or (epoch == last_epoch and owner != last_owner):
            self.fail(f"epoch {epoch} of {pool_id} after {last_epoch}")
        self.handovers += owner != last_owner
        self.epochs[pool_id] = (owner, epoch)

    def fail(self, text):
        raise OwnershipViolatedError(f"seed {self.seed}, {self.now_s:.3f} s: {text}")

    def owners(self, pool_id, upstream_id=UPSTREAMS[0]):
        """Return the live processes that own the shard of a pool with this upstream."""
        return [
            node
            for node in self.nodes.values()
            for covering in list_covering_shards(pool_id, upstream_id)
            if node.alive and node.owned_until_s(covering) > self.now_s
        ]

    def coordinator(self):
        """Return the process that holds the coordinator lease, or None."""
        for node in self.nodes.values():
            if node.alive and node.real(node.elector.held_until_s) > self.now_s:
                return node
        return None

    def run_faults(self, until_s):
        """Run until a given time while injecting random faults."""
        self.slow_probability = self.rng.choice([0.0, 0.02, 0.2])
        when_s = self.now_s
        mean_interval_s = self.rng.choice([0.3, 0.8, 2.0])
        while True:
            when_s += self.rng.expovariate(1 / mean_interval_s)
            if when_s >= until_s:
                break
            self.run(when_s)
            self.rng.choice(
                [self.kill, self.kill, self.freeze, self.partition, self.stop, self.split]
            )()
        self.run(until_s)
        self.slow_probability = 0.0
        self.cut_until_s.clear()

    def pick(self):
        """Return a random process; with probability 0.5 the coordinator or an owner, if any."""
        lease_holders = [self.coordinator(), *self.owners(POOLS[0])]
        lease_holders = [node for node in lease_holders if node is not None]
        if lease_holders and self.rng.random() < 0.5:
            return self.rng.choice(lease_holders)
        return self.rng.choice(list(self.nodes.values()))

    def kill(self, node=None, downtime_s=None):
        node = node or self.pick()
        if not node.alive:
            return
        node.alive = False
        downtime_s = (
            self.rng.choice([0.0, self.rng.uniform(0, 3)]) if downtime_s is None else downtime_s
        )
        self.at(self.now_s + downtime_s, self.restart, node)

    def restart(self, node):
        if not node.alive:
            node.start(self, self.now_s)
        elif node.release_at_s is not None:
            # A freeze has delayed the planned stop beyond the restart, so the restart waits for it.
            self.at(self.now_s + TICK_S, self.restart, node)

    def freeze(self):
        node = self.pick()
        node.frozen_until_s = self.now_s + self.rng.uniform(0.2, 4)

    def partition(self):
        until_s = self.now_s + self.rng.uniform(0.5, 4)
        group = set(self.rng.sample(self.names, self.rng.randint(1, len(self.names) - 1)))
        one_way = self.rng.random() < 0.3
        for sender in self.names:
            for receiver in self.names:
                if (sender in group) and (receiver not in group):
                    self.cut_until_s[sender, receiver] = until_s
                    if not one_way:
                        self.cut_until_s[receiver, sender] = until_s

    def split(self):
        """Split a random shard, as the pool task does with a shard of too many upstreams."""
        running = [
            (node.name, pool_id)
            for node in self.nodes.values()
            if node.alive and self.now_s >= node.frozen_until_s
            for pool_id in node.assignment_client.owned_pools(node.local(self.now_s))
            if len(parse_pool_id(pool_id).shard) < 3
        ]
        if running:
            name, pool_id = self.rng.choice(sorted(running))
            self.nodes[name].assignment_client.split(pool_id, self.rng.randint(1, 2))
            self.splits += 1

    def stop(self):
        """Start a graceful shutdown, in the same order of steps as the ownership task."""
        node = self.pick()
        if not node.alive or self.now_s < node.frozen_until_s or node.release_at_s is not None:
            return
        now_s = node.local(self.now_s)
        node.assignment_client.release_all()
        node.assignment_client.next_request_s = float("-inf")
        self.send(node, node.assignment_client.tick(now_s, node.elector.find_coordinator(now_s)))
        node.release_at_s = max(now_s + 0.02, node.assigner.stop())
        self.at(self.now_s + self.rng.uniform(1.2, 3), self.restart, node)
        if self.rng.random() < 0.5:
            # The hard case of a handover is an owner that learns nothing of the change.
            self.freeze()
