"""Pool ids, and the division of pools into shards by a hash of the upstream id."""

import hashlib
from dataclasses import dataclass, replace
from functools import lru_cache
from urllib.parse import quote, unquote

MODEL_POOL = "model"
SERVICE_POOL = "service"
MAX_SHARD_UPSTREAMS = 32
MAX_SHARD_BITS = 16


@dataclass(frozen=True, slots=True)
class PoolName:
    """Components of a pool id.

    Parameters
    ----------
    failure_domain : str
        Failure domain of the pool's upstreams.
    kind : str
        ``model`` or ``service``.
    served : tuple of str
        Models or services that every upstream of the pool serves, sorted.
    shard : str
        Common prefix of the upstreams' hash bits, such as ``01``; empty for an undivided pool.

    Notes
    -----
    An upstream that serves several models belongs to a single pool, named after all of them, since
    two owners must not allocate the same memory. A split replaces a shard by shards with longer
    prefixes that start with its own. Two shards of a pool overlap only if the prefix of one starts
    with that of the other.
    """

    failure_domain: str
    kind: str
    served: tuple[str, ...]
    shard: str = ""

    @property
    def pool_id(self) -> str:
        """Text form, such as ``a/model/quote+survey``."""
        served = "+".join(quote(name, safe="") for name in sorted(self.served))
        pool_id = f"{quote(self.failure_domain, safe='')}/{self.kind}/{served}"
        return f"{pool_id}/{self.shard}" if self.shard else pool_id


def parse_pool_id(pool_id: str) -> PoolName:
    """Parse a pool id.

    Parameters
    ----------
    pool_id : str
        Text form of a pool name.

    Returns
    -------
    PoolName
        Components of the pool id.

    Raises
    ------
    ValueError
        If the text is not a pool id.
    """
    parts = pool_id.split("/")
    shard = parts[3] if len(parts) == 4 else ""
    is_valid_shard = len(parts) == 3 or (
        0 < len(shard) <= MAX_SHARD_BITS and set(shard) <= {"0", "1"}
    )
    if len(parts) not in (3, 4) or not is_valid_shard or parts[1] not in (MODEL_POOL, SERVICE_POOL):
        raise ValueError(f"not a pool id: {pool_id!r}")
    served = tuple(unquote(name) for name in parts[2].split("+"))
    return PoolName(unquote(parts[0]), parts[1], served, shard)


@lru_cache(maxsize=4_096)
def find_shard_bits(upstream_id: str) -> str:
    """Return the hash of an upstream id as a string of bits, which depends on the id alone."""
    digest = hashlib.blake2b(upstream_id.encode(), digest_size=MAX_SHARD_BITS // 8).digest()
    return f"{int.from_bytes(digest, 'big'):0{MAX_SHARD_BITS}b}"


def list_covering_shards(pool_id: str, upstream_id: str) -> list[str]:
    """Return a pool and all its possible shards that contain an upstream, the largest first."""
    bits = find_shard_bits(upstream_id)
    return [pool_id, *(f"{pool_id}/{bits[:count]}" for count in range(1, MAX_SHARD_BITS + 1))]


def split_shard(pool_id: str, depth: int) -> list[str]:
    """Return the ids of the ``2 ** depth`` shards that replace a pool or shard when it is split."""
    name = parse_pool_id(pool_id)
    return [
        replace(name, shard=f"{name.shard}{suffix:0{depth}b}").pool_id for suffix in range(2**depth)
    ]


def whole_pool_id(pool_id: str) -> str:
    """Return the id of the undivided pool to which a shard belongs."""
    return "/".join(pool_id.split("/", 3)[:3])


def pools_overlap(first: str, second: str) -> bool:
    """Return whether two pools with different ids can contain the same upstream."""
    if first == second or whole_pool_id(first) != whole_pool_id(second):
        return False
    shards = first[len(whole_pool_id(first)) + 1 :], second[len(whole_pool_id(second)) + 1 :]
    return shards[0].startswith(shards[1]) or shards[1].startswith(shards[0])
