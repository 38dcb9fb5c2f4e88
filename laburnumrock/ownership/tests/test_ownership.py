"""Tests with seeded fault schedules that a pool never has two owners."""

import itertools

import pytest

from laburnumrock.ownership import PoolName, _elector, _holdings, choose_owner, parse_pool_id
from laburnumrock.ownership.tests.simulation import (
    POOLS,
    UPSTREAMS,
    OwnershipViolatedError,
    Simulation,
)

BATCHES = 8
SCHEDULES_PER_BATCH = 40
FAULTS_S = 12.0
QUIET_S = 8.0


def _remove_start_wait(node):
    node.elector.start_wait_s = 0.0
    node.elector.next_request_s = node.elector.started_s


def _remove_expiry_wait(node):
    node.assigner.liveness_timeout_s = 0.4
    node.assigner._has_ended = lambda pool, now_s: True


def _measure_from_receipt(node):
    assignment_client = node.assignment_client
    receive = assignment_client.receive

    def receive_with_late_start(sender, message, now_s):
        for sequence, (coordinator, _) in list(assignment_client.pending.items()):
            assignment_client.pending[sequence] = (coordinator, now_s)
        return receive(sender, message, now_s)

    assignment_client.receive = receive_with_late_start


def _remove_release_wait(node):
    stop = node.assigner.stop

    def stop_without_wait():
        stop()
        return float("-inf")

    node.assigner.stop = stop_without_wait


def _remove_overlap_check(node):
    node.assigner._find_overlaps = lambda pool_id: []


MUTATIONS = [
    _remove_overlap_check,
    _remove_start_wait,
    _remove_expiry_wait,
    _measure_from_receipt,
    _remove_release_wait,
]


class TestOwnership:
    @pytest.mark.parametrize("batch", range(BATCHES))
    def test_at_most_one_owner_under_faults_and_one_after_them(self, batch):
        """Guards against two owners or coordinators, and pools left unowned after faults."""
        handovers = splits = 0
        for seed in range(batch * SCHEDULES_PER_BATCH, (batch + 1) * SCHEDULES_PER_BATCH):
            simulation = Simulation(seed, count=3 if seed % 4 == 0 else 5)
            simulation.run(4.0)
            simulation.run_faults(4.0 + FAULTS_S)
            simulation.run(4.0 + FAULTS_S + QUIET_S)
            for pool_id, upstream_id in itertools.product(POOLS, UPSTREAMS):
                owners = [node.name for node in simulation.owners(pool_id, upstream_id)]
                assert len(owners) == 1, f"seed {seed}: {upstream_id} of {pool_id}: {owners}"
            handovers += simulation.handovers
            splits += simulation.splits
        # Schedules in which pools never move or split would not exercise the handover.
        assert handovers > SCHEDULES_PER_BATCH
        assert splits > SCHEDULES_PER_BATCH / 2

    @pytest.mark.parametrize("prepare", MUTATIONS)
    def test_schedules_detect_a_removed_safeguard(self, prepare):
        """Guards against schedules too mild to detect a removed wait or overlap check."""
        with pytest.raises(OwnershipViolatedError):
            for seed in range(BATCHES * SCHEDULES_PER_BATCH):
                simulation = Simulation(seed, prepare=prepare)
                simulation.run(4.0)
                simulation.run_faults(4.0 + FAULTS_S)

    def test_schedules_detect_a_removed_drift_margin(self, monkeypatch):
        """Guards against schedules that do not detect a removed clock drift margin."""
        monkeypatch.setattr(_elector, "holder_duration_s", lambda duration_s: duration_s)
        monkeypatch.setattr(_holdings, "holder_duration_s", lambda duration_s: duration_s)
        with pytest.raises(OwnershipViolatedError):
            for seed in range(BATCHES * SCHEDULES_PER_BATCH):
                simulation = Simulation(seed)
                simulation.run(4.0)
                simulation.run_faults(4.0 + FAULTS_S)

    def test_no_election_while_the_coordinator_is_live(self):
        """Guards against elections that continue while a live coordinator holds the lease."""
        for seed in range(20):
            simulation = Simulation(seed)
            simulation.run(5.0)
            simulation.run_faults(10.0)
            simulation.run(18.0)
            term = simulation.coordinator().elector.term
            simulation.run(23.0)
            assert simulation.coordinator().elector.term == term
            assert all(
                node.elector.find_coordinator(node.local(23.0)) == simulation.coordinator().name
                for node in simulation.nodes.values()
            ), f"seed {seed}"

    def test_pools_move_to_an_instance_that_joins(self):
        """Guards against owners that keep more than their fair share, and against endless moves."""
        simulation = Simulation(5, count=3)
        simulation.nodes["a2"].alive = False
        simulation.run(6.0)
        owners = {pool_id: simulation.owners(pool_id)[0].name for pool_id in POOLS}
        most_loaded = max(owners.values(), key=list(owners.values()).count)
        for pool_id, owner in owners.items():
            if owner == most_loaded:
                simulation.nodes[owner].assignment_client.split(pool_id, 1)
        simulation.restart(simulation.nodes["a2"])
        simulation.run(20.0)
        names = {name: node.assignment_client.held for name, node in simulation.nodes.items()}
        counts = [len(held) for held in names.values()]
        assert max(counts) - min(counts) < 2
        handovers = simulation.handovers
        simulation.run(30.0)
        assert simulation.handovers == handovers

    def test_pool_has_a_new_owner_within_three_seconds(self):
        """Guards against a pool without owner for more than 3 s after owner and coordinator die."""
        for seed in range(40):
            simulation = Simulation(seed)
            simulation.run(5.0 + seed / 20)
            coordinator = simulation.coordinator()
            dead = {coordinator.name, simulation.owners(POOLS[0])[0].name}
            for name in dead:
                simulation.kill(simulation.nodes[name], downtime_s=60.0)
            simulation.run(simulation.now_s + 3.0)
            assert all(simulation.owners(pool_id) for pool_id in POOLS), f"seed {seed}"


class TestPoolName:
    def test_pool_id_round_trip(self):
        """Guards against names that contain the separators of a pool id and are not escaped."""
        name = PoolName("a/1", "model", ("x+y", "z/ü"))
        assert parse_pool_id(name.pool_id) == name
        shard = PoolName("a/1", "model", ("x+y", "z/ü"), "01")
        assert parse_pool_id(shard.pool_id) == shard

    @pytest.mark.parametrize(
        "text", ["", "a/b", "a/other/x", "a/model/x/y", "a/model/x/", "a/model/x/0/1"]
    )
    def test_malformed_pool_id_is_refused(self, text):
        """Guards against malformed pool ids from other processes that are accepted as valid."""
        with pytest.raises(ValueError, match="not a pool id"):
            parse_pool_id(text)


class TestChooseOwner:
    def test_only_pools_of_a_lost_instance_move(self):
        """Guards against pools that move between remaining instances when another one leaves."""
        instances = [f"a{index}" for index in range(5)]
        for number in range(200):
            before = choose_owner(f"p{number}", instances)
            after = choose_owner(f"p{number}", instances[:-1])
            assert after == before or before == "a4"
