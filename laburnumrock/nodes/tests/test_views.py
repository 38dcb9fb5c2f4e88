"""Tests of the views and hellos between entry nodes and the leader, and of partitions."""

import asyncio
import time

import pytest

from laburnumrock.dispatch import UpstreamState
from laburnumrock.nodes import EntryNode, NodeListen, NodeSettings, View
from laburnumrock.nodes._reachability import compute_hello_interval_s
from laburnumrock.nodes._views import MIN_VIEW_INTERVAL_S
from laburnumrock.nodes.tests.deployment import (
    CORES,
    ENTRY,
    KEY,
    make_call,
    make_report,
    open_deployment,
    wait_until,
)
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform._wire import PlatformWire


class TestViews:
    def test_changes_of_many_upstreams_share_views(self, tmp_path):
        """Guards against a leader that sends each entry node one view per starting engine."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                entry, leader = deployment.entry, deployment.leader()
                await wait_until(lambda: entry.is_ready)
                revision = leader.views.revision
                for number in range(30):
                    report = make_report(1000 + number, upstream_id=f"u{number}")
                    await leader.observe_upstream(report)
                    await asyncio.sleep(0.01)
                await wait_until(lambda: len(entry.directory.usable("llm", 0.0)) == 30)
                assert leader.views.revision - revision <= 4

        asyncio.run(run())

    def test_change_is_sent_without_the_other_upstreams(self, tmp_path):
        """Guards against views that contain all upstreams for each change of one of them."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                entry, leader = deployment.entry, deployment.leader()
                for number in range(100):
                    await leader.observe_upstream(
                        make_report(1000 + number, upstream_id=f"u{number}")
                    )
                await wait_until(lambda: len(entry.directory.usable("llm", 0.0)) == 100)
                await asyncio.sleep(2 * MIN_VIEW_INTERVAL_S)
                sent = leader.network.traffic.sent["View"]
                messages, frame_bytes = sent.messages, sent.frame_bytes
                leaving = make_report(1000, upstream_id="u0", sequence=2, state=UpstreamState.GONE)
                await leader.observe_upstream(leaving)
                await wait_until(lambda: len(entry.directory.usable("llm", 0.0)) == 99)
                assert sent.messages - messages == 1
                assert sent.frame_bytes - frame_bytes < 300

        asyncio.run(run())

    def test_lost_change_is_followed_by_a_whole_view(self, tmp_path):
        """Guards against an entry node that misses a change and never learns of it."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                entry, leader = deployment.entry, deployment.leader()
                for number in range(3):
                    await leader.observe_upstream(
                        make_report(1000 + number, upstream_id=f"u{number}")
                    )
                await wait_until(lambda: len(entry.directory.usable("llm", 0.0)) == 3)
                await asyncio.sleep(2 * MIN_VIEW_INTERVAL_S)
                broadcast, leader.network.broadcast = leader.network.broadcast, lambda *_: None
                await leader.remove_upstream("u0")
                leader.network.broadcast = broadcast
                await asyncio.sleep(2 * MIN_VIEW_INTERVAL_S)
                await leader.remove_upstream("u1")
                await wait_until(lambda: len(entry.directory.usable("llm", 0.0)) == 1)

        asyncio.run(run())


class TestHellos:
    @pytest.mark.parametrize("count", [1, 15, 94, 195, 400])
    def test_rate_at_the_leader_is_bounded(self, count):
        """Guards against hellos that take a share of the leader's CPU that grows with the fleet."""
        interval_s = compute_hello_interval_s(count)
        assert 0.5 <= interval_s <= 1.5
        assert count / interval_s <= max(150.0, count / 1.5) + 1e-6


class TestPartition:
    def make_entry(self, tmp_path) -> EntryNode:
        listen = NodeListen(ENTRY, 1, 2)
        settings = NodeSettings(ENTRY, "a", listen, CORES)
        entry = EntryNode(settings, KEY, decode_routes, PlatformWire())
        entry.core_domains = dict(zip(CORES, "abc", strict=True))
        return entry

    def test_domains_whose_cores_are_silent_get_no_requests(self, tmp_path):
        """Guards against requests of a partitioned domain that wait for a second at upstreams that
        cannot be reached.
        """

        async def run():
            entry = self.make_entry(tmp_path)
            for number, domain in enumerate("abc"):
                report = make_report(1000 + number, upstream_id=f"u{number}", failure_domain=domain)
                entry.directory.observe(report, 0.0)
            entry._update_unreachable(dict.fromkeys(CORES, False) | {CORES[0]: True})
            entry.searched_s = time.monotonic()
            placed = {entry._place_locally(make_call()).upstream_id for _ in range(20)}
            assert placed == {"u0"}
            # After the search is over, its result no longer holds.
            entry.searched_s -= 2.0
            placed = {entry._place_locally(make_call()).upstream_id for _ in range(20)}
            assert placed - {"u0"} == {"u1", "u2"}
            entry._update_unreachable(dict.fromkeys(CORES, True))
            placed = {entry._place_locally(make_call()).upstream_id for _ in range(20)}
            assert placed - {"u0"} == {"u1", "u2"}

        asyncio.run(run())

    def test_paused_node_looks_for_the_leader_before_it_places_alone(self, tmp_path):
        """Guards against a request to an upstream that left while the entry node was paused."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                entry, leader = deployment.entry, deployment.leader()
                await leader.observe_upstream(make_report(9, upstream_id="gone"))
                await leader.observe_upstream(make_report(10, upstream_id="here"))
                await wait_until(lambda: len(entry.directory.usable("llm", 0.0)) == 2)
                await wait_until(lambda: entry.leader is not None)
                for task in entry.tasks:
                    task.cancel()
                # The state of a node that is resumed after a pause in which one upstream left.
                entry.leader = None
                entry.last_hello_s -= 60.0
                entry.network.handle(View, lambda sender, view: None)
                await leader.remove_upstream("gone")
                answers = await asyncio.gather(*(entry.place(make_call()) for _ in range(5)))
                assert {answer.upstream_id for answer in answers} == {"here"}
                assert all(answer.permit > 0 for answer in answers)

        asyncio.run(run())

    def test_failed_cores_exclude_no_domain(self, tmp_path):
        """Guards against upstreams that are avoided because all cores were killed."""
        entry = self.make_entry(tmp_path)
        entry._update_unreachable(dict.fromkeys(CORES, False))
        assert entry.unreachable_domains == set()
