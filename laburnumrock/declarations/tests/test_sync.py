"""Tests of the distribution of declarations in a simulated cluster with a virtual clock."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumrock.declarations import (
    ApplyChange,
    DeclarationStore,
    DeclarationSync,
    DeclarationUpdate,
    DeclarationView,
    HoldRegistry,
    RequestConfirmedRead,
    RevisionTracker,
)
from laburnumrock.declarations.tests._builders import make_settings, plain_template, put
from laburnumrock.messages import Frame, Send, encode_frame

TICK_S = 0.05
# Part of the budget of 3 KB/s for all control traffic of an instance.
MAX_SENT_BYTES_PER_S = 2_000


class Cluster:
    """Simulated instances, voters with a common log, and a network with faults.

    The network has partitions between failure domains, message loss and delay.
    """

    def __init__(self, seed=0, loss=0.0, **shape):
        self.random = random.Random(seed)
        self.loss = loss
        self.shape = shape
        self.now_s = 100.0
        self.log = []
        self.stores = {}
        self.cut_domains = set()
        self.queue = []
        self.nodes = {}
        self.sent = {}
        self.quorum = True
        names = [peer.instance_id for peer in make_settings("a1", **shape).peers]
        for name in names:
            self.start(name)

    def start(self, name):
        node_settings = make_settings(name, **self.shape)
        view = DeclarationView(node_settings.timing.stale_after_s)
        if node_settings.own_peer.voter:
            self.stores.setdefault(name, [0, DeclarationStore()])
        store = self.stores.get(name, [0, None])[1]
        self.nodes[name] = DeclarationSync(node_settings, view, self.random, store)

    def change(self, number):
        command = ApplyChange(f"r{number}", number, [put(plain_template(f"c{number}"))], "op", 0.0)
        self.log.append(command)

    def run(self, seconds):
        for _ in range(round(seconds / TICK_S)):
            self.now_s += TICK_S
            due = [item for item in self.queue if item[0] <= self.now_s]
            self.queue = [item for item in self.queue if item[0] > self.now_s]
            for _, sender, target, message in due:
                if target in self.nodes and not self.is_cut(sender, target):
                    self.execute(target, self.nodes[target].receive(sender, message, self.now_s))
            for name, node in self.nodes.items():
                if name in self.stores and name[0] not in self.cut_domains:
                    self.replicate(name, node)
                self.execute(name, node.tick(self.now_s))

    def replicate(self, name, node):
        applied, store = self.stores[name]
        if applied < len(self.log) and self.random.random() < 0.5:
            store.apply(self.log[applied], applied)
            self.stores[name][0] += 1
        self.execute(name, node.observe_store(self.now_s))

    def is_cut(self, sender, target):
        return sender[0] != target[0] and bool({sender[0], target[0]} & self.cut_domains)

    def execute(self, name, effects):
        for effect in effects:
            if isinstance(effect, Send):
                size = len(encode_frame(Frame(effect.message)))
                self.sent[name] = self.sent.get(name, 0) + size
                if self.random.random() >= self.loss:
                    longest_s = 0.005 if name[0] == effect.destination[0] else 0.1
                    due_s = self.now_s + self.random.uniform(0.001, longest_s)
                    self.queue.append((due_s, name, effect.destination, effect.message))
            elif isinstance(effect, RequestConfirmedRead) and self.can_read(name):
                node = self.nodes[name]
                self.execute(name, node.observe_confirmed_read(self.now_s, self.now_s))

    def can_read(self, name):
        caught_up = self.stores[name][0] == len(self.log)
        return self.quorum and name[0] not in self.cut_domains and caught_up

    def revisions(self):
        return {node.view.revision for node in self.nodes.values()}


class TestDistribution:
    @pytest.mark.parametrize("shape", [{}, {"domains": 10, "per_domain": 40}])
    def test_change_arrives_and_views_stay_fresh(self, shape):
        """Guards against instances that receive no pushes or become stale without a fault."""
        cluster = Cluster(**shape)
        cluster.run(4)
        assert all(node.is_ready(cluster.now_s) for node in cluster.nodes.values())
        cluster.change(0)
        cluster.run(0.8)
        assert cluster.revisions() == {1}
        cluster.sent.clear()
        for _ in range(100):
            cluster.run(0.1)
            stale = [
                name for name, node in cluster.nodes.items() if node.view.is_stale(cluster.now_s)
            ]
            assert stale == []
        assert max(cluster.sent.values()) / 10 < MAX_SENT_BYTES_PER_S

    def test_cut_off_domain_becomes_stale_and_recovers(self):
        """Guards against a partitioned domain that keeps using outdated declarations."""
        cluster = Cluster()
        cluster.run(3)
        cluster.cut_domains.add("b")
        cluster.run(4)
        cut_off_nodes = [node for name, node in cluster.nodes.items() if name[0] == "b"]
        assert all(node.view.is_stale(cluster.now_s) for node in cut_off_nodes)
        cluster.change(0)
        cluster.run(2)
        assert {node.view.revision for node in cut_off_nodes} == {0}
        cluster.cut_domains.clear()
        cluster.run(5)
        assert cluster.revisions() == {1}
        assert not any(node.view.is_stale(cluster.now_s) for node in cut_off_nodes)

    @settings(max_examples=25, deadline=None)
    @given(st.integers(0, 2**32), st.floats(0, 0.4))
    def test_revision_never_decreases_with_restarts_and_lagging_peers(self, seed, loss):
        """Guards against a restarted instance that serves a lower revision than before."""
        cluster = Cluster(seed, loss, per_domain=3)
        served = {}
        for number in range(12):
            cluster.change(number)
            name = cluster.random.choice(sorted(cluster.nodes))
            cluster.start(name)
            cluster.cut_domains = set(cluster.random.choice(["", "", "b", "c"]))
            for _ in range(8):
                cluster.run(0.2)
                for name, node in cluster.nodes.items():
                    if node.is_ready(cluster.now_s) and not node.view.is_stale(cluster.now_s):
                        assert node.view.revision >= served.get(name, 0)
                        served[name] = node.view.revision
        cluster.cut_domains, cluster.loss = set(), 0.0
        cluster.run(12)
        assert cluster.revisions() == {12}

    def test_removed_voter_follows_the_others(self):
        """Guards against a removed voter, whose log is idle, that keeps outdated declarations."""
        cluster = Cluster(voters=("a1", "b1", "c1", "c2"))
        cluster.start("c2")
        cluster.run(3)
        cluster.stores["c2"][0] = float("inf")
        cluster.change(0)
        cluster.run(5)
        assert cluster.nodes["c2"].view.revision == 1
        assert not cluster.nodes["c2"].view.is_stale(cluster.now_s)

    def test_without_quorum_the_highest_revision_of_the_domain_counts(self):
        """Guards against an instance that never gets ready, or seems current, without a quorum."""
        cluster = Cluster()
        cluster.change(0)
        cluster.run(3)
        cluster.quorum = False
        cluster.run(4)
        cluster.start("b4")
        cluster.run(4)
        assert not cluster.nodes["b4"].is_ready(cluster.now_s)
        cluster.run(2)
        assert cluster.nodes["b4"].is_ready(cluster.now_s)
        assert cluster.nodes["b4"].view.revision == 1
        assert cluster.nodes["b4"].view.is_stale(cluster.now_s)


class TestAcceptance:
    def _make_node(self):
        node_settings = make_settings("a2")
        view = DeclarationView(node_settings.timing.stale_after_s)
        return DeclarationSync(node_settings, view, random.Random(0))

    def test_delayed_response_does_not_confirm(self):
        """Guards against a frame delayed by a link failure that confirms an old revision."""
        node = self._make_node()
        effects = node.tick(0.0)
        fetch = next(effect.message for effect in effects if effect.destination == "a1")
        update = DeclarationUpdate(0, fetch.sequence, confirmed_age_s=0.0)
        node.receive("a1", update, 10.0)
        assert node.view.is_stale(10.0)

    def test_push_does_not_confirm(self):
        """Guards against a push that makes an outdated view look current."""
        node = self._make_node()
        node.tick(0.0)
        node.receive("a1", DeclarationUpdate(0, None, confirmed_age_s=0.0), 0.1)
        assert node.view.is_stale(0.1)

    def test_lower_full_set_and_malformed_set_are_ignored(self):
        """Guards against a lagging or faulty peer that overwrites newer declarations."""
        node = self._make_node()
        full_set = [plain_template()]
        node.receive("a1", DeclarationUpdate(5, declarations=full_set), 0.0)
        node.receive("a3", DeclarationUpdate(4, declarations=[]), 0.1)
        node.receive("a3", DeclarationUpdate(6, declarations=[{"type": "x"}]), 0.2)
        assert (node.view.revision, list(node.view.current.templates)) == (5, ["acme"])

    def test_load_on_a_parent_is_bounded(self):
        """Guards against a tree in which one instance serves an entire domain."""
        shape = {"domains": 10, "per_domain": 40}
        names = [peer.instance_id for peer in make_settings("a1", **shape).peers]
        load = {}
        for name in names:
            node_settings = make_settings(name, **shape)
            if not node_settings.own_peer.voter:
                first = DeclarationSync(node_settings, DeclarationView(3), random.Random(0))
                load[first.sources[0]] = load.get(first.sources[0], 0) + 1
        assert max(load.values()) <= 6 + 10


class TestHolds:
    def test_hold_spreads_and_removal_wins(self):
        """Guards against a removed hold that a lagging instance reinstates."""
        cluster = Cluster(seed=3)
        cluster.run(2)
        first = cluster.nodes["b3"]
        hold = first.view.holds.add("b", "op", 5.0)
        cluster.execute("b3", first.push_holds())
        cluster.run(0.5)
        held = {
            name
            for name, node in cluster.nodes.items()
            if not node.view.is_in_service("failure_domain", "b")
        }
        assert held == {"b1", "b2", "b3", "b4", "b5"}
        first.view.holds.remove("b", "op", 5.0)
        first.merge_holds([hold])
        cluster.run(3)
        assert all(
            node.view.is_in_service("failure_domain", "b") for node in cluster.nodes.values()
        )

    def test_hold_ends_only_where_the_log_has_taken_over(self):
        """Guards against a gap between the hold and the drain recorded in the log."""
        registry = HoldRegistry()
        hold = registry.add("a", "op", 5.0)
        assert registry.mark_entered(hold, 9)
        assert registry.is_held("a", 8)
        assert not registry.is_held("a", 9)
        assert registry.add("a", "op", 5.0).version > hold.version

    def test_merge_is_independent_of_order(self):
        """Guards against instances of one domain whose holds do not converge."""
        first, second = HoldRegistry(), HoldRegistry()
        one, two = first.add("a", "x", 5.0), second.add("a", "y", 5.0)
        first.merge([two])
        second.merge([one])
        assert first.to_plain() == second.to_plain()


class TestRevisionTracker:
    def test_old_report_no_longer_counts(self):
        """Guards against an expired report that makes a restarted instance look up to date."""
        tracker = RevisionTracker()
        tracker.record("a1", 3, 0.0)
        assert tracker.find_lagging_instances(3, ["a1", "a2"], 1.0) == ["a2"]
        assert tracker.find_lagging_instances(3, ["a1"], 11.0) == ["a1"]
