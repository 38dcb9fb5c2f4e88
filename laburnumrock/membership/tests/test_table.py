"""Tests of the member table and the update queue on a virtual clock."""

import random

import pytest

from laburnumrock.membership import (
    MAX_UPDATES,
    MemberChanged,
    MemberState,
    MemberTable,
    MemberUpdate,
    Ping,
    UpdateQueue,
)
from laburnumrock.messages import Frame, Send, encode_frame
from laburnumrock.settings import TimingSettings

TIMING = TimingSettings()
STEP_S = 0.05


class Domain:
    """Member tables connected by a simulated network with a delay of one step."""

    def __init__(self, count, seed):
        self.names = [f"a{index}" for index in range(count)]
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.tables = {name: self._make(name, 1) for name in self.names}
        self.frozen = set()
        self.killed = set()
        self.partitioned = set()
        self.in_flight = []
        self.held_for_frozen = []
        self.changes = []
        self.sent = dict.fromkeys(self.names, 0)
        self.bytes = dict.fromkeys(self.names, 0)

    def _make(self, name, incarnation):
        seed = self.rng.random()
        return MemberTable(name, self.names, TIMING, random.Random(seed), incarnation)

    def restart(self, name, incarnation):
        self.killed.discard(name)
        self.tables[name] = self._make(name, incarnation)

    def run(self, duration_s):
        for _ in range(round(duration_s / STEP_S)):
            self.now_s += STEP_S
            arrived, self.in_flight = self.in_flight + self.held_for_frozen, []
            self.held_for_frozen = [item for item in arrived if item[1] in self.frozen]
            for sender, receiver, message in arrived:
                if receiver not in self.frozen and receiver not in self.killed:
                    table = self.tables[receiver]
                    self._collect(receiver, table.receive(sender, message, self.now_s))
            for name in set(self.names) - self.frozen - self.killed:
                self._collect(name, self.tables[name].tick(self.now_s))

    def _collect(self, name, effects):
        for effect in effects:
            if isinstance(effect, MemberChanged):
                self.changes.append((name, effect.instance_id, effect.state))
            elif isinstance(effect, Send):
                self.sent[name] += 1
                self.bytes[name] += len(encode_frame(Frame(effect.message)))
                if (name in self.partitioned) == (effect.destination in self.partitioned):
                    self.in_flight.append((name, effect.destination, effect.message))

    def dead_members(self):
        return {subject for _, subject, state in self.changes if state is MemberState.DEAD}

    def all_members_see(self, expected):
        return all(self.tables[name].live_members() == sorted(expected) for name in expected)


def _make_joined_domain(seed=0, count=5):
    domain = Domain(count, seed)
    domain.run(4.0)
    assert domain.all_members_see(domain.names)
    domain.changes.clear()
    return domain


class TestMemberTable:
    @pytest.mark.parametrize("seed", range(20))
    def test_dead_member_is_found_and_rejoins(self, seed):
        """Guards against a dead member that stays live, or a restarted member that stays dead."""
        domain = _make_joined_domain(seed)
        domain.killed.add("a2")
        domain.run(12.0)
        assert domain.all_members_see(["a0", "a1", "a3", "a4"])
        # Simulates a wall clock that went back, so that the new incarnation is not higher.
        domain.restart("a2", incarnation=1)
        domain.run(4.0)
        assert domain.all_members_see(domain.names)
        assert domain.tables["a2"].incarnation > 1

    @pytest.mark.parametrize("seed", range(60))
    def test_short_freeze_is_not_declared_dead(self, seed):
        """Guards against declaring a member dead that froze for less than the suspicion time."""
        domain = _make_joined_domain(seed)
        domain.run(domain.rng.random())
        domain.frozen.add("a1")
        domain.run(TIMING.suspicion_s - 2 * STEP_S)
        domain.frozen.clear()
        domain.run(8.0)
        assert domain.dead_members() == set()
        assert domain.tables["a1"].incarnation > 1

    @pytest.mark.parametrize("seed", range(20))
    def test_partition_heals(self, seed):
        """Guards against two sides of a healed partition that never probe each other again."""
        domain = _make_joined_domain(seed)
        domain.partitioned = {"a0", "a1"}
        domain.run(15.0)
        assert domain.all_members_see(["a2", "a3", "a4"])
        domain.partitioned = set()
        domain.run(15.0)
        assert domain.all_members_see(domain.names)

    def test_announced_shutdown_is_not_a_failure(self):
        """Guards against suspecting an instance that announced its shutdown."""
        domain = _make_joined_domain()
        domain._collect("a3", domain.tables["a3"].leave())
        domain.run(5.0)
        assert domain.all_members_see(["a0", "a1", "a2", "a4"])
        states = {state for _, subject, state in domain.changes if subject == "a3"}
        assert states == {MemberState.LEFT}

    def test_cost_does_not_grow_with_members(self):
        """Guards against a cost per instance that grows with the size of the failure domain."""
        rates = {}
        for count in (5, 40):
            domain = Domain(count, 1)
            domain.run(1.0)
            domain.bytes = dict.fromkeys(domain.names, 0)
            domain.run(20.0)
            # MAX_UPDATES bounds the messages even while all joins are being disseminated.
            assert max(domain.bytes.values()) / 20 < 1_000
            domain.run(100.0)
            domain.sent = dict.fromkeys(domain.names, 0)
            domain.bytes = dict.fromkeys(domain.names, 0)
            domain.run(20.0)
            rates[count] = sum(domain.bytes.values()) / count / 20
            # Each instance sends one probe and on average one answer per period.
            assert sum(domain.sent.values()) / count / 20 < 2.2
        assert rates[40] < 1.1 * rates[5]

    def test_facts_are_carried_by_probes(self):
        """Guards against facts, such as a revision or a hold, that do not reach other instances."""
        table = MemberTable("a0", ["a0", "a1"], TIMING, random.Random(0))
        table.facts["revision"] = 7
        effects = table.receive("a1", Ping(1, 1, facts={"revision": 8}), 0.0)
        assert any(getattr(effect, "facts", None) == {"revision": 8} for effect in effects)
        sent = [effect.message for effect in effects if isinstance(effect, Send)]
        assert sent[0].facts == {"revision": 7}


class TestUpdateQueue:
    def test_messages_are_bounded(self):
        """Guards against probes whose size grows with the number of membership changes."""
        queue = UpdateQueue(40)
        for index in range(40):
            queue.add(MemberUpdate(f"a{index}", MemberState.ALIVE, 1))
        seen = set()
        for _ in range(40):
            updates = queue.take()
            assert len(updates) <= MAX_UPDATES
            seen.update(update.instance_id for update in updates)
        assert len(seen) == 40
