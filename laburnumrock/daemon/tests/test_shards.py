"""Tests of pools that are split into shards."""

import asyncio
from collections import Counter

from laburnumrock.daemon.tests.fakes import make_announcement, make_request
from laburnumrock.daemon.tests.test_permit_path import POOL, running, wait_until
from laburnumrock.ownership import MAX_SHARD_UPSTREAMS, parse_pool_id
from laburnumrock.placement import PermitOutcome, PermitRelease

UPSTREAMS = 80


def find_shards(cluster):
    """Return the upstream ids of each pool that has an owner, by pool id."""
    return {
        pool_id: set(runner.upstreams)
        for node in cluster.nodes.values()
        for pool_id, runner in node.pools.runners.items()
        if node.ownership.epoch(pool_id) is not None
    }


class TestShards:
    def test_large_pool_is_split_and_its_permits_go_on(self):
        """Guards against upstreams in two shards or none, and permits lost in a split."""

        async def run():
            async with running(real_scheduler=True) as cluster:
                await cluster.owner()
                entry = next(iter(cluster.nodes.values()))
                grant = (await entry.permits.acquire(make_request())).unwrap()
                revocation_event = entry.permits.revocation_event(grant.permit_id)
                names = [f"e{number}" for number in range(1, UPSTREAMS + 1)]
                cluster.announcements = [make_announcement(name) for name in names]

                def is_split():
                    counts = Counter(one for ids in find_shards(cluster).values() for one in ids)
                    return POOL not in find_shards(cluster) and counts == Counter(names)

                await wait_until(is_split, 15.0)
                shards = find_shards(cluster)
                assert all(len(ids) <= MAX_SHARD_UPSTREAMS for ids in shards.values())
                assert all(parse_pool_id(pool_id).shard for pool_id in shards)
                await asyncio.sleep(1.0)
                assert not revocation_event.is_set()
                registries = [
                    runner.scheduler.registry
                    for node in cluster.nodes.values()
                    for runner in node.pools.runners.values()
                ]
                assert sum(grant.permit_id in registry.permits for registry in registries) == 1
                entry.permits.release(PermitRelease(grant.permit_id, PermitOutcome.FINISHED))
                await wait_until(lambda: not any(registry.permits for registry in registries))
                used = set()
                for number in range(40):
                    answer = await entry.permits.acquire(make_request(f"next{number}"))
                    used.add(answer.unwrap().permit_id.rpartition("/")[0].rpartition("/")[0])
                # Requests spread over equal shards.
                assert len(used) > 1

        asyncio.run(run())
