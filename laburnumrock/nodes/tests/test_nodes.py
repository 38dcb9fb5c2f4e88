"""Tests of core and entry nodes in one process, on loopback addresses."""

import asyncio
import itertools
import json
import time
from types import SimpleNamespace

from laburnumrock.dispatch import UpstreamState
from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    answer,
)
from laburnumrock.nodes import CoreNode
from laburnumrock.nodes.tests.deployment import (
    CORES,
    ENTRY,
    KEY,
    WAIT_S,
    Deployment,
    fail_call,
    make_call,
    make_report,
    open_deployment,
    request,
    wait_until,
    waits,
)
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform.tests.samples import make_config

STEP_S = 0.001
"""Time between two calls of a function that is tested with a clock of its own."""


class TestRoutes:
    def test_entry_follows_the_highest_version(self, tmp_path):
        """Guards against a change that does not reach an entry node, or that reverts."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                entry = deployment.entry
                assert not entry.is_ready
                await deployment.store(7)
                await wait_until(lambda: entry.routes_version == 7)
                assert entry.is_ready
                await deployment.store(5)
                await deployment.store(9)
                await wait_until(lambda: entry.routes_version == 9)

        asyncio.run(run())

    def test_routes_are_read_as_stored(self, tmp_path):
        """Guards against a document that is read back in another form."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                for core in deployment.cores.values():
                    document = (await core.changes.read_routes()).unwrap().document
                    assert json.loads(document) == {**json.loads(make_config()), "version": 7}

        asyncio.run(run())

    def test_read_without_a_quorum_is_refused(self, tmp_path):
        """Guards against a partitioned core that answers with an old version."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                for name in CORES[1:]:
                    await deployment.cores.pop(name).stop()
                assert (await deployment.cores[CORES[0]].changes.read_routes()).is_err()

        asyncio.run(run())

    def test_acknowledged_routes_survive_a_restart_of_all_cores(self, tmp_path):
        """Guards against the loss of an acknowledged version when all cores restart."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                for name in CORES:
                    await deployment.cores.pop(name).stop()
                for name in CORES:
                    await deployment.start_core(name, may_bootstrap=False)
                await wait_until(deployment.leader)
                read = await deployment.cores[CORES[1]].changes.read_routes()
                assert read.unwrap().version == 7

        asyncio.run(run())

    def test_versions_are_decoded_once_after_a_start(self, tmp_path, monkeypatch):
        """Guards against a new leader that decodes all old versions while heartbeats are due."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                for version in range(7, 27):
                    await deployment.store(version)
                for name in CORES:
                    await deployment.cores.pop(name).stop()
                for name in CORES:
                    core = await deployment.start_core(name, may_bootstrap=False)
                    decodes = []
                    decode = core.decode_routes
                    core.decode_routes = lambda data, decodes=decodes, decode=decode: (
                        decodes.append(1),
                        decode(data),
                    )[1]
                    core.decodes = decodes
                await wait_until(deployment.leader)
                cores = deployment.cores.values()
                await wait_until(lambda: all(core.applied_version == 26 for core in cores))
                assert max(len(core.decodes) for core in cores) <= 3

        asyncio.run(run())

    def test_elected_core_leads_without_a_request(self, tmp_path):
        """Guards against a leader that starts to dispatch only at the next housekeeping."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                deployment.entry.tasks[0].cancel()
                leader = deployment.leader()
                leader.tasks[2].cancel()
                leader.leading_term = 0
                async with asyncio.timeout(0.2):
                    while not leader.is_leading:
                        await asyncio.sleep(0.01)

        asyncio.run(run())


class TestRequests:
    def test_request_through_the_leader(self, tmp_path):
        """Guards against components that work alone but not together."""

        async def run():
            upstream = ScriptedUpstream(answer())
            await upstream.start()
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                await wait_until(lambda: deployment.entry.is_ready)
                for core in list(deployment.cores.values())[:1]:
                    await core.observe_upstream(make_report(upstream.port))
                await wait_until(lambda: deployment.entry.directory.usable("llm", 0.0))
                assert await request(deployment) == 200
                await wait_until(lambda: not deployment.leader().dispatcher.sends)
            upstream.server.close()

        asyncio.run(run())

    def test_request_before_the_first_routes_is_placed_by_the_leader(self, tmp_path):
        """Guards against entry nodes that refuse or locally place requests while starting."""

        async def run():
            upstream = ScriptedUpstream(answer())
            await upstream.start()
            async with open_deployment(tmp_path) as deployment:
                deployment.entry.context.ready_deadline_s = time.monotonic() + WAIT_S
                leader = deployment.leader()
                await leader.observe_upstream(make_report(upstream.port))
                permits = leader.dispatcher.next_permit
                status = asyncio.create_task(request(deployment))
                await asyncio.sleep(0.1)
                await deployment.store(7)
                assert await status == 200
                assert leader.dispatcher.next_permit == permits + 1
            upstream.server.close()

        asyncio.run(run())

    def test_entry_continues_without_cores(self, tmp_path):
        """Guards against an entry node that stops serving when no leader is reachable."""

        async def run():
            upstream = ScriptedUpstream(answer())
            await upstream.start()
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                await wait_until(lambda: deployment.entry.is_ready)
                await deployment.leader().observe_upstream(make_report(upstream.port))
                await wait_until(lambda: deployment.entry.directory.usable("llm", 0.0))
                for name in CORES:
                    await deployment.cores.pop(name).stop()
                assert await request(deployment) == 200
            upstream.server.close()

        asyncio.run(run())

    def test_leaving_upstream_reaches_the_leader(self, tmp_path):
        """Guards against requests to an upstream that reported to another core that it drains."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                other = next(c for c in deployment.cores.values() if not c.is_leading)
                await other.observe_upstream(make_report(9))
                leader = deployment.leader()
                await wait_until(lambda: leader.directory.usable("llm", 0.0))
                leaving = make_report(9, sequence=2, state=UpstreamState.DRAINING)
                await other.observe_upstream(leaving)
                await wait_until(lambda: not leader.directory.usable("llm", 0.0))

        asyncio.run(run())

    def test_departure_reported_to_a_core_that_does_not_know_the_upstream(self, tmp_path):
        """Guards against requests to an upstream that left through a core that had just started."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                leader = deployment.leader()
                other = next(c for c in deployment.cores.values() if not c.is_leading)
                await leader.observe_upstream(make_report(9))
                await wait_until(lambda: other.directory.usable("llm", 0.0))
                other.directory.delete_record("u1")
                await other.remove_upstream("u1")
                await wait_until(lambda: not leader.directory.usable("llm", 0.0))

        asyncio.run(run())

    def test_change_is_sent_again(self, tmp_path):
        """Guards against a departure that is lost because a link breaks."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                leader = deployment.leader()
                other = next(c for c in deployment.cores.values() if not c.is_leading)
                await other.observe_upstream(make_report(9))
                await wait_until(lambda: leader.directory.usable("llm", 0.0))
                send, other.network.send = other.network.send, lambda peer, message: None
                call, other.network.call = other.network.call, fail_call
                assert not await other.remove_upstream("u1")
                assert leader.directory.usable("llm", 0.0)
                other.network.send, other.network.call = send, call
                await wait_until(lambda: not leader.directory.usable("llm", 0.0))

        asyncio.run(run())


class TestDepartures:
    def test_acknowledged_departure_is_in_force(self, tmp_path):
        """Guards against an acknowledgement before the leader has stopped placing requests, after
        which a busy leader took 3.7 s to hear of the departure.
        """

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                leader = deployment.leader()
                other = next(c for c in deployment.cores.values() if not c.is_leading)
                await leader.observe_upstream(make_report(9))
                await wait_until(lambda: other.directory.usable("llm", 0.0))
                other.network.send = lambda peer, message: None
                leaving = make_report(9, sequence=2, state=UpstreamState.DRAINING)
                assert await other.observe_upstream(leaving)
                assert not leader.directory.usable("llm", 0.0)

        asyncio.run(run())

    def test_departure_without_a_leader_is_not_acknowledged(self, tmp_path):
        """Guards against an acknowledgement that only a core without a quorum has heard of."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                for name in CORES[1:]:
                    await deployment.cores.pop(name).stop()
                core = deployment.cores[CORES[0]]
                await core.observe_upstream(make_report(9))
                await wait_until(lambda: not core.is_leading)
                assert not await core.remove_upstream("u1")

        asyncio.run(run())


class TestLeader:
    def test_new_leader_adopts_sends(self, tmp_path):
        """Guards against a new leader that considers busy upstreams idle."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                entry = deployment.entry
                await wait_until(lambda: entry.is_ready)
                leader = deployment.leader()
                await leader.observe_upstream(make_report(9))
                others = [core for core in deployment.cores.values() if core is not leader]
                # The entry node places locally if the leader answers late on a busy machine.
                nodes = [*others, entry]
                await wait_until(lambda: all(n.directory.usable("llm", 0.0) for n in nodes))
                call = make_call()
                placed = await entry.place(call)
                entry.record_sent(call, placed)
                del deployment.cores[leader.settings.instance_id]
                await leader.stop()
                await wait_until(deployment.leader)
                await wait_until(lambda: placed.permit in deployment.leader().dispatcher.sends)

        asyncio.run(run())


class TestWaiting:
    def test_request_of_a_caller_that_left_is_withdrawn(self, tmp_path):
        """Guards against a slot that is given to a queued request whose caller has left."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                entry, leader = deployment.entry, deployment.leader()
                await leader.observe_upstream(make_report(9, slots=1))
                await wait_until(lambda: entry.is_ready and entry.leader is not None)
                assert (await entry.place(make_call())).permit > 0
                queue = leader.dispatcher.queue
                waiting = asyncio.create_task(entry.place(make_call()))
                await wait_until(lambda: queue.calls)
                waiting.cancel()
                began_s = time.monotonic()
                await wait_until(lambda: not queue.calls)
                assert time.monotonic() - began_s < 0.3

        asyncio.run(run())

    def test_passes_use_a_limited_share_of_the_cpu(self, tmp_path, monkeypatch):
        """Guards against a leader that spends all its time on queued requests.

        Notes
        -----
        The clock is a variable. With the real one, a process that was descheduled between the last
        check of the window and the pass counted a pass after the end of the window.
        """
        settings = Deployment(tmp_path).make_settings(CORES[0], data_folder=tmp_path / "core")
        core = CoreNode(settings, KEY, decode_routes)
        clock = SimpleNamespace(now_s=1000.0)
        clock.monotonic = lambda: clock.now_s
        passes = []

        def place_waiting(domains, now_s):
            duration_s = (0.02, 0.03, 0.01)[len(passes) % 3]
            passes.append((now_s, duration_s))
            clock.now_s += duration_s
            return []

        monkeypatch.setattr("laburnumrock.nodes._core.time", clock)
        monkeypatch.setattr(CoreNode, "is_leading", True)
        monkeypatch.setattr(core.dispatcher, "place_waiting", place_waiting)
        core.dispatcher.queue.add(ENTRY, make_call(), clock.now_s)
        while clock.now_s < 1000.5:
            core._place_waiting()
            clock.now_s += STEP_S
        assert len(passes) == 5
        for (began_s, duration_s), (next_s, _) in itertools.pairwise(passes):
            assert -1e-6 < next_s - began_s - 5.0 * duration_s < STEP_S + 1e-6


class TestNewLeader:
    def test_leads_with_the_state_of_earlier_leaders(self, tmp_path):
        """Guards against a new leader that uses a drained domain until its state is in force."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                leader = deployment.leader()
                assert (await leader.changes.set_drain("a", True, waits)).is_ok()
                await wait_until(lambda: leader.dispatcher.fleet.drained == {"a"})
                # The state of a core that has applied the drain and leads in the same moment.
                leader.leading_term = 0
                leader.applied_drained = []
                leader.dispatcher.set_drained(set())
                leader._schedule_state_update()
                leader._update_role()
                assert leader.is_leading
                assert leader.dispatcher.fleet.drained == {"a"}

        asyncio.run(run())
