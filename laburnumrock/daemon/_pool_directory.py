"""What an instance knows of the pools of all failure domains."""

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
    """A pool, its probable owner and its last known load.

    Parameters
    ----------
    name : PoolName
        Domain and served names of the pool.
    owner : PoolOwner, optional
        None while the pool has no known owner.
    summary : PoolSummary, optional
        None while no load is known.
    received_s : float
        Clock reading at the receipt of the summary, in seconds.
    """

    name: PoolName
    owner: PoolOwner | None = None
    summary: PoolSummary | None = None
    received_s: float = float("-inf")


class PoolDirectory:
    """Pools of the own failure domain from its coordinator, of others from their digests.

    Parameters
    ----------
    failure_domain : str
        Failure domain of this instance.
    ownership : OwnershipTask
        Source of the owners in the own failure domain.
    """

    def __init__(self, failure_domain: str, ownership: OwnershipTask) -> None:
        self.failure_domain = failure_domain
        self.ownership = ownership
        self.pools: dict[str, KnownPool] = {}
        self.by_served: dict[tuple[str, str], set[str]] = {}
        self.announced_s: dict[str, float] = {}
        self.synced_version = 0

    def note_announced(self, pool_id: str, upstream_id: str, now_s: float) -> str:
        """Record an announcement of an upstream of the own domain; returns its shard's id."""
        shard = self.find_shard(pool_id, upstream_id)
        self.announced_s[shard] = now_s
        self._get_or_add(shard)
        return shard

    def find_shard(self, pool_id: str, upstream_id: str) -> str:
        """Return the shard of a pool that contains an upstream.

        Parameters
        ----------
        pool_id : str
            A pool, or one of its shards, of the own failure domain.
        upstream_id : str
            The upstream.

        Returns
        -------
        str
            The shard that has an owner, or the largest one that shares no upstreams with those
            that have owners.
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
        free = (x for x in covering if not any(pools_overlap(x, other) for other in others))
        return next(free, covering[-1])

    def find_permit_owner(self, pool_id: str, upstream_id: str) -> tuple[str, PoolOwner | None]:
        """Return the pool that answers now for a permit on an upstream, and its owner.

        A shard that was split since the grant gives way to its parts.
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

    def note_summary(self, owner: str, summary: PoolSummary, now_s: float) -> None:
        """Record the load of a pool as its owner reports it.

        Parameters
        ----------
        owner : str
            Instance that owns the pool.
        summary : PoolSummary
            Its load; an older epoch than the known one is dropped.
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
        """Return the probable owner of a pool."""
        pool = self.pools.get(pool_id)
        own = self.ownership.find_owner(pool_id)
        if own is not None:
            return own
        if pool is None or pool.name.failure_domain == self.failure_domain:
            return None
        return pool.owner

    def find_pools(self, kind: str, served: str) -> list[KnownPool]:
        """Return all pools that serve a model or a service."""
        self._add_owned_pools()
        return [self.pools[pool_id] for pool_id in self.by_served.get((kind, served), ())]

    def recent_summaries(self, failure_domain: str, now_s: float) -> list[KnownPool]:
        """Return the pools of a failure domain whose load is known and recent."""
        return [
            pool
            for pool in self.pools.values()
            if pool.name.failure_domain == failure_domain
            and pool.owner is not None
            and now_s - pool.received_s < SUMMARY_EXPIRY_S
        ]

    def tick(self, now_s: float, announcement_expiry_s: float) -> None:
        """Forget pools without announcements, owner and summary.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.
        announcement_expiry_s : float
            An announcement counts for this long, in seconds.
        """
        for pool_id, announced_s in list(self.announced_s.items()):
            if now_s - announced_s >= announcement_expiry_s:
                del self.announced_s[pool_id]
        self._add_owned_pools()
        for pool_id, pool in list(self.pools.items()):
            is_known = pool_id in self.announced_s or self.ownership.find_owner(pool_id) is not None
            if not is_known and now_s - pool.received_s >= SUMMARY_EXPIRY_S:
                self._remove(pool_id)
        self.ownership.want(set(self.announced_s))

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
