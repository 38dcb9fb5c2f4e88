"""Tests of the path from an announcement to a permit across several instances."""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest

from laburnumrock.daemon import _permits, _pool_task
from laburnumrock.daemon._membership_task import MembershipTask
from laburnumrock.daemon._ownership_task import OwnershipTask
from laburnumrock.daemon._permits import PermitClient
from laburnumrock.daemon._pool_directory import PoolDirectory
from laburnumrock.daemon._pool_runner import find_pool_id, make_scheduler_factory
from laburnumrock.daemon._pool_task import PoolTask
from laburnumrock.daemon.tests.fakes import (
    FakeHub,
    FakeNetwork,
    FakeScheduler,
    FakeView,
    make_announcement,
    make_request,
    make_settings,
)
from laburnumrock.errors import ErrorKind
from laburnumrock.placement import PermitOutcome, PermitRelease

POOL = find_pool_id(make_announcement())


class Node:
    """Tasks of one instance."""

    def __init__(self, hub, settings, factory):
        self.name = settings.instance_id
        self.network = FakeNetwork(hub, settings)
        self.view = FakeView()
        self.ownership = OwnershipTask(settings, self.network)
        self.directory = PoolDirectory(settings.failure_domain, self.ownership)
        self.pools = PoolTask(
            settings, self.network, self.ownership, self.directory, self.view, factory
        )
        self.permits = PermitClient(settings, self.network, self.directory, self.view)
        self.membership = MembershipTask(settings, self.network)
        self.membership.report_sources.append(self.pools.collect_reports)
        self.membership.digest_handlers.append(self.pools.receive_reports)
        self.tasks = [self.ownership, self.pools, self.permits, self.membership]

    def scheduler(self):
        return self.pools.runners[POOL].scheduler

    def kill(self):
        """Stop all tasks without sending any message."""
        for task in self.tasks:
            cancel_task(task)
        del self.network.hub.networks[self.name]


class Cluster:
    """Several instances on one event loop, with engines that announce themselves."""

    def __init__(self, names, real_scheduler):
        self.hub = FakeHub()
        self.nodes = {}
        for name, settings in make_settings(names).items():
            factory = make_scheduler_factory(settings)
            factory = factory if real_scheduler else FakeScheduler
            self.nodes[name] = Node(self.hub, settings, factory)
        self.announcements = [make_announcement()]

    async def announce(self):
        while True:
            for announcement in self.announcements:
                for node in self.nodes.values():
                    if (
                        node.name in self.hub.networks
                        and node.name[0] == announcement.failure_domain
                    ):
                        node.pools.announce(announcement)
                        break
            await asyncio.sleep(0.05)

    def owners(self):
        return [
            node
            for node in self.nodes.values()
            if node.name in self.hub.networks and node.ownership.epoch(POOL) is not None
        ]

    async def owner(self):
        await wait_until(self.owners)
        return self.owners()[0]


def cancel_task(task):
    """Stop a task without sending any message."""
    if hasattr(task, "timer"):
        task.timer.stop()
    else:
        task.task.cancel()


async def wait_until(condition, timeout_s=5.0):
    deadline_s = time.monotonic() + timeout_s

    def holds():
        try:
            return condition()
        except KeyError:
            # On a busy machine an assignment can expire briefly; the pool has no scheduler then.
            return False

    while not holds():
        assert time.monotonic() < deadline_s, "condition not met in time"
        await asyncio.sleep(0.01)


@asynccontextmanager
async def running(names=("a1", "a2", "a3"), real_scheduler=False):
    cluster = Cluster(names, real_scheduler)
    for node in cluster.nodes.values():
        for task in node.tasks:
            await task.start()
    announcing = asyncio.create_task(cluster.announce())
    try:
        yield cluster
    finally:
        announcing.cancel()
        for node in cluster.nodes.values():
            for task in node.tasks:
                cancel_task(task)


class TestPermitPath:
    def test_permit_is_granted_renewed_and_released(self):
        """A permit must not expire while it is in use, nor outlive its release."""

        async def run():
            async with running() as cluster:
                owner = await cluster.owner()
                entry = next(node for node in cluster.nodes.values() if node is not owner)
                grant = (await entry.permits.acquire(make_request())).unwrap()
                await wait_until(lambda: grant.permit_id in owner.scheduler().renewed)
                entry.permits.release(PermitRelease(grant.permit_id, PermitOutcome.FINISHED))
                await wait_until(lambda: not owner.scheduler().permits)

        asyncio.run(run())

    def test_real_scheduler_grants_and_takes_the_release(self):
        """The tasks must match the interface of the real pool scheduler."""

        async def run():
            async with running(real_scheduler=True) as cluster:
                owner = await cluster.owner()
                entry = next(node for node in cluster.nodes.values() if node is not owner)
                grant = (await entry.permits.acquire(make_request())).unwrap()
                assert [place.upstream_id for place in grant.placements] == ["e1"]
                await asyncio.sleep(1.0)
                registry = owner.scheduler().registry
                assert grant.permit_id in registry.permits
                entry.permits.release(PermitRelease(grant.permit_id, PermitOutcome.FINISHED))
                await wait_until(lambda: not registry.permits)

        asyncio.run(run())

    @pytest.mark.parametrize("queued_s", [0.0, 1.4])
    def test_queued_request_moves_to_the_new_owner(self, queued_s, monkeypatch):
        """A queued request must move from a dead owner to the new one, even after a long wait."""
        monkeypatch.setattr(_permits, "OWNER_WAIT_S", 1.3)
        monkeypatch.setattr(_pool_task, "SUMMARY_S", 0.1)

        async def run():
            async with running() as cluster:
                owner = await cluster.owner()
                entry = next(node for node in cluster.nodes.values() if node is not owner)
                await entry.permits.acquire(make_request("first"))
                queued = asyncio.create_task(entry.permits.acquire(make_request("second")))
                await wait_until(lambda: owner.scheduler().queue)
                await asyncio.sleep(queued_s)
                owner.kill()
                # As after a crash of the coordinator: the next one initially knows no owner.
                entry.ownership.assignment_client.owners.pop(POOL)
                grant = (await queued).unwrap()
                assert grant.owner_epoch > owner.scheduler().epoch

        asyncio.run(run())

    def test_cancelled_request_leaves_the_queue(self):
        """Capacity must not be granted to a caller that disconnected."""

        async def run():
            async with running() as cluster:
                owner = await cluster.owner()
                await owner.permits.acquire(make_request("first"))
                queued = asyncio.create_task(owner.permits.acquire(make_request("second")))
                await wait_until(lambda: owner.scheduler().queue)
                queued.cancel()
                await wait_until(lambda: not owner.scheduler().queue)

        asyncio.run(run())

    def test_revoked_permit_is_reported(self):
        """Work must not continue under a permit that the owner refuses to renew."""

        async def run():
            async with running() as cluster:
                owner = await cluster.owner()
                grant = (await owner.permits.acquire(make_request())).unwrap()
                revoked = owner.permits.revocation_event(grant.permit_id)
                owner.scheduler().revoke.add(grant.permit_id)
                await asyncio.wait_for(revoked.wait(), 2.0)

        asyncio.run(run())

    def test_isolated_owner_stops_granting(self):
        """An isolated owner must stop when its assignment expires, or there are two owners."""

        async def run():
            async with running() as cluster:
                owner = await cluster.owner()
                cluster.hub.partitioned.add(owner.name)
                await wait_until(lambda: cluster.owners() and owner not in cluster.owners())
                request = make_request("late", remaining_s=0.3)
                failure = (await owner.permits.acquire(request)).unwrap_err()
                assert failure.answer.outcome == "not_run"

        asyncio.run(run())

    def test_drained_domain_sends_work_to_another(self):
        """Requests must not fail if another failure domain can serve them."""

        async def run():
            async with running(("a1", "b1")) as cluster:
                cluster.announcements.append(make_announcement("e2", "b"))
                entry = cluster.nodes["a1"]
                other = find_pool_id(make_announcement("e2", "b"))
                await wait_until(lambda: entry.directory.find_owner(other) is not None)
                first = (await entry.permits.acquire(make_request("first"))).unwrap()
                assert first.placements[0].upstream_id == "e1"
                entry.view.drained.add(("failure_domain", "a"))
                second = (await entry.permits.acquire(make_request("second"))).unwrap()
                assert second.placements[0].upstream_id == "e2"
                entry.view.stale = True
                failure = (await entry.permits.acquire(make_request("third"))).unwrap_err()
                assert failure.kind is ErrorKind.NO_UPSTREAM

        asyncio.run(run())

    def test_isolated_entry_refuses_in_time(self, monkeypatch):
        """A caller must not wait until its deadline for an unreachable owner."""
        monkeypatch.setattr(_permits, "OWNER_WAIT_S", 0.6)
        monkeypatch.setattr(_pool_task, "SUMMARY_S", 0.1)

        async def run():
            async with running() as cluster:
                owner = await cluster.owner()
                # An isolated coordinator may still own the pool itself until its lease ends.
                entry = next(
                    node
                    for node in cluster.nodes.values()
                    if node is not owner and not node.ownership.is_coordinator()
                )
                await wait_until(lambda: entry.directory.find_owner(POOL) is not None)
                cluster.hub.partitioned.add(entry.name)
                started_s = time.monotonic()
                request = make_request("lonely", remaining_s=30.0)
                failure = (await entry.permits.acquire(request)).unwrap_err()
                assert failure.kind is ErrorKind.OWNER_UNAVAILABLE
                assert time.monotonic() - started_s < 2.0

        asyncio.run(run())

    def test_lost_request_is_sent_again(self, monkeypatch):
        """A request that a broken connection lost must be resent, as it never gets an answer."""
        monkeypatch.setattr(_permits, "REPEAT_S", 0.1)

        async def run():
            async with running() as cluster:
                owner = await cluster.owner()
                entry = next(node for node in cluster.nodes.values() if node is not owner)
                await wait_until(lambda: entry.directory.find_owner(POOL) is not None)
                cluster.hub.partitioned.add(entry.name)
                queued = asyncio.create_task(entry.permits.acquire(make_request()))
                await asyncio.sleep(0.05)
                cluster.hub.partitioned.clear()
                grant = (await queued).unwrap()
                assert list(owner.scheduler().permits) == [grant.permit_id]

        asyncio.run(run())

    def test_unknown_model_is_refused_at_once(self):
        """A request for a model that no pool serves must be refused immediately."""

        async def run():
            async with running(("a1",)) as cluster:
                await cluster.owner()
                request = make_request(model="other")
                failure = (await cluster.nodes["a1"].permits.acquire(request)).unwrap_err()
                assert failure.kind is ErrorKind.NO_UPSTREAM

        asyncio.run(run())

    def test_drained_upstream_and_expired_upstream(self):
        """Upstreams that are drained or stopped announcing must not get new work."""

        async def run():
            async with running(("a1",)) as cluster:
                node = await cluster.owner()
                await wait_until(lambda: POOL in node.pools.runners)
                await wait_until(lambda: node.scheduler().upstreams)
                node.view.drained.add(("upstream", "e1"))
                await wait_until(lambda: "e1" in node.scheduler().out_of_service)
                cluster.announcements.clear()
                await wait_until(lambda: not node.scheduler().upstreams)

        asyncio.run(run())
