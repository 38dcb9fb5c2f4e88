"""Directory of the known pools of all failure domains."""

from dataclasses import dataclass

from laburnumrock.daemon._ownership_task import OwnershipTask
from laburnumrock.ownership import (
    PoolName,
    PoolOwner,
    list_covering_shards,
    parse_pool_id,
    pools_overlap,
    whole_pool_id,
)
from laburnumrock.placement import PoolSummary

SUMMARY_EXPIRY_S = 5.0


@dataclass(slots=True)
class KnownPool:
    """A pool, its presumed owner and its last known load.

    Parameters
    ----------
    name : PoolName
        Failure domain and served models or services of the pool.
    owner : PoolOwner, optional
        Presumed owner; None while the pool has no known owner.
    summary : PoolSummary, optional
        Last load summary; None while no load is known.
    received_s : float
        Clock reading at the receipt of the summary, in seconds.
    """

    name: PoolName
    owner: PoolOwner | None = None
    summary: PoolSummary | None = None
    received_s: float = float("-inf")


class PoolDirectory:
    """Known pools: the local ones from the coordinator, remote ones from digests.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    ownership : OwnershipTask
        Provides the owners of pools in the local failure domain.
    """

    def __init__(self, failure_domain: str, ownership: OwnershipTask) -> None:
        self.failure_domain = failure_domain
        self.ownership = ownership
        self.pools: dict[str, KnownPool] = {}
        self.by_served: dict[tuple[str, str], set[str]] = {}
        self.announced_s: dict[str, float] = {}
        self.synced_version = 0

    def record_announcement(self, pool_id: str, upstream_id: str, now_s: float) -> str:
        """Record the announcement of a local upstream and return the id of its shard."""
        shard = self.find_shard(pool_id, upstream_id)
        self.announced_s[shard] = now_s
        self._get_or_add(shard)
        return shard

    def find_shard(self, pool_id: str, upstream_id: str) -> str:
        """Return the shard of a pool that contains an upstream.

        Parameters
        ----------
        pool_id : str
            A pool in the local failure domain, or one of its shards.
        upstream_id : str
            Upstream to locate.

        Returns
        -------
        str
            Shard that contains the upstream and has an owner or, if there is none, the largest
            shard that does not overlap any shard with an owner.
        """
        owners = self.ownership.assignment_client.owners
        if pool_id in owners:
            return pool_id
        whole = whole_pool_id(pool_id)
        covering = list_covering_shards(whole, upstream_id)
        for shard in covering:
            if shard in owners:
                return shard
        others = [name for name in owners if whole_pool_id(name) == whole]
        free = (
            name for name in covering if not any(pools_overlap(name, other) for other in others)
        )
        return next(free, covering[-1])

    def find_permit_owner(self, pool_id: str, upstream_id: str) -> tuple[str, PoolOwner | None]:
        """Return the pool now responsible for a permit on an upstream, and its owner.

        If the shard was split after the grant, this is the shard that contains the upstream.
        """
        owner = self.find_owner(pool_id)
        if owner is None and parse_pool_id(pool_id).failure_domain == self.failure_domain:
            pool_id = self.find_shard(pool_id, upstream_id)
            owner = self.find_owner(pool_id)
        elif owner is None:
            known = (
                self.find_owner(name)
                for name in list_covering_shards(whole_pool_id(pool_id), upstream_id)
            )
            owner = next((found for found in known if found is not None), None)
        return pool_id, owner

    def record_summary(self, owner: str, summary: PoolSummary, now_s: float) -> None:
        """Record the load of a pool reported by its owner.

        Parameters
        ----------
        owner : str
            Instance that owns the pool.
        summary : PoolSummary
            Load of the pool; ignored if its epoch is older than the known one.
        now_s : float
            Clock reading in seconds.
        """
        pool = self._get_or_add(summary.pool_id)
        if pool.owner is not None and pool.owner.epoch > summary.owner_epoch:
            return
        pool.owner = PoolOwner(owner, summary.owner_epoch)
        pool.summary = summary
        pool.received_s = max(pool.received_s, now_s)

    def find_owner(self, pool_id: str) -> PoolOwner | None:
        """Return the presumed owner of a pool."""
        pool = self.pools.get(pool_id)
        local_owner = self.ownership.find_owner(pool_id)
        if local_owner is not None:
            return local_owner
        if pool is None or pool.name.failure_domain == self.failure_domain:
            return None
        return pool.owner

    def find_pools(self, kind: str, served: str) -> list[KnownPool]:
        """Return all pools that serve a model or a service."""
        self._add_owned_pools()
        return [self.pools[pool_id] for pool_id in self.by_served.get((kind, served), ())]

    def recent_summaries(self, failure_domain: str, now_s: float) -> list[KnownPool]:
        """Return the pools of a failure domain with an owner and a recent load summary."""
        return [
            pool
            for pool in self.pools.values()
            if pool.name.failure_domain == failure_domain
            and pool.owner is not None
            and now_s - pool.received_s < SUMMARY_EXPIRY_S
        ]

    def tick(self, now_s: float, announcement_expiry_s: float) -> None:
        """Remove pools that have no recent announcement, no owner and no recent summary.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.
        announcement_expiry_s : float
            Validity of an announcement in seconds.
        """
        for pool_id, announced_s in list(self.announced_s.items()):
            if now_s - announced_s >= announcement_expiry_s:
                del self.announced_s[pool_id]
        self._add_owned_pools()
        for pool_id, pool in list(self.pools.items()):
            is_known = pool_id in self.announced_s or self.ownership.find_owner(pool_id) is not None
            if not is_known and now_s - pool.received_s >= SUMMARY_EXPIRY_S:
                self._remove(pool_id)
        self.ownership.set_wanted_pools(set(self.announced_s))

    def _add_owned_pools(self) -> None:
        assignment_client = self.ownership.assignment_client
        if self.synced_version != assignment_client.version:
            self.synced_version = assignment_client.version
            for pool_id in assignment_client.owners:
                self._get_or_add(pool_id)

    def _get_or_add(self, pool_id: str) -> KnownPool:
        pool = self.pools.get(pool_id)
        if pool is None:
            pool = self.pools[pool_id] = KnownPool(parse_pool_id(pool_id))
            for served in pool.name.served:
                self.by_served.setdefault((pool.name.kind, served), set()).add(pool_id)
        return pool

    def _remove(self, pool_id: str) -> None:
        pool = self.pools.pop(pool_id)
        for served in pool.name.served:
            key = (pool.name.kind, served)
            self.by_served[key].discard(pool_id)
            if not self.by_served[key]:
                del self.by_served[key]
