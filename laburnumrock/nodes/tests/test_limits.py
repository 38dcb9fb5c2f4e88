"""Tests of limits that upstreams state, across entry nodes, leaders and restarts."""

import asyncio

from laburnumrock.dispatch import LimitReport, SendEnded, SendOutcome
from laburnumrock.dispatch._local import LIMIT_SHARE
from laburnumrock.nodes import EntryNode
from laburnumrock.nodes._entry_count import EntryCount
from laburnumrock.nodes.tests.deployment import (
    CORES,
    KEY,
    Deployment,
    make_call,
    make_report,
    open_deployment,
    wait_until,
)
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform._wire import PlatformWire

LIMIT = LimitReport("u1", 0.5)


async def state_limit(deployment: Deployment) -> None:
    """Let an upstream state a limit to the entry node, and wait until the leader knows it."""
    entry, leader = deployment.entry, deployment.leader()
    await deployment.store(7)
    await wait_until(lambda: entry.is_ready and entry.leader == leader.settings.instance_id)
    for core in deployment.cores.values():
        await core.observe_upstream(make_report(9))
    entry.record_limit(LIMIT)
    await wait_until(lambda: knows_limit(leader))


def knows_limit(core) -> bool:
    return core is not None and "u1" in core.dispatcher.fleet.limits.by_upstream


class TestLimits:
    def test_new_leader(self, tmp_path):
        """Guards against a new leader that does not know what upstreams have stated."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await state_limit(deployment)
                leader = deployment.leader()
                del deployment.cores[leader.settings.instance_id]
                await leader.stop()
                await wait_until(lambda: knows_limit(deployment.leader()))

        asyncio.run(run())

    def test_restart_of_all_cores(self, tmp_path):
        """Guards against limits that are lost with the memory of the cores."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await state_limit(deployment)
                for name in CORES:
                    await deployment.cores.pop(name).stop()
                for name in CORES:
                    await deployment.start_core(name, may_bootstrap=False)
                await wait_until(lambda: knows_limit(deployment.leader()))

        asyncio.run(run())

    def test_entry_node_without_a_leader(self, tmp_path):
        """Guards against an entry node that exceeds the limit once it places requests alone."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await state_limit(deployment)
                for name in CORES:
                    await deployment.cores.pop(name).stop()
                answers = [await deployment.entry.place(make_call()) for _ in range(5)]
                assert sum(bool(answer.permit) for answer in answers) <= 1
                assert all(answer.permit or answer.retry_after_s > 0 for answer in answers)

        asyncio.run(run())

    def test_lost_report(self, tmp_path):
        """Guards against a leader that does not learn of a limit since one message was lost."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await state_limit(deployment)
                leader = deployment.leader()
                leader.dispatcher.fleet.limits.remove("u1")
                await wait_until(lambda: knows_limit(leader))

        asyncio.run(run())

    def test_end_of_a_limit(self, tmp_path):
        """Guards against an entry node that goes on reporting a limit which has ended."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await state_limit(deployment)
                entry, leader = deployment.entry, deployment.leader()
                await asyncio.sleep(2.5)
                placed = await entry.place(make_call())
                assert placed.permit > 0
                done = SendEnded(placed.permit, SendOutcome.DONE, is_unlimited=True)
                leader.dispatcher.record_ended(done, asyncio.get_running_loop().time())
                assert not knows_limit(leader)
                await wait_until(lambda: not entry.local_dispatcher.limits.by_upstream)
                await asyncio.sleep(0.3)
                assert not knows_limit(leader)

        asyncio.run(run())


class TestShares:
    def test_new_leader_that_has_few_hellos(self):
        """Guards against shares that grow with each change of the leader."""
        count = EntryCount()
        assert [count.record(*one) for one in ((15, 1.0), (1, 2.0), (9, 5.9))] == [15, 15, 15]
        assert [count.record(*one) for one in ((14, 6.5), (14, 12.0))] == [14, 14]

    def test_entry_node_that_starts_later(self, tmp_path):
        """Guards against shares that are too large since other entry nodes started later."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await state_limit(deployment)
                entry = deployment.entry
                # Changes of the upstreams reach the entry node within this time.
                await asyncio.sleep(1.0)
                assert entry.local_dispatcher.limits.share == LIMIT_SHARE
                settings = deployment.make_settings("127.0.0.22")
                other = EntryNode(settings, KEY, decode_routes, PlatformWire())
                await other.start()
                try:
                    await wait_until(lambda: entry.local_dispatcher.limits.share < LIMIT_SHARE)
                finally:
                    for task in other.tasks:
                        task.cancel()
                    other.frontend.stop_listening()
                    await other.network.stop()

        asyncio.run(run())
