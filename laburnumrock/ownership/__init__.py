"""Coordinator lease of a failure domain, and owners of its pools."""

from laburnumrock.ownership._assigner import PoolAssigner
from laburnumrock.ownership._balance import choose_owner
from laburnumrock.ownership._clock import MAX_CLOCK_DRIFT, holder_duration_s
from laburnumrock.ownership._elector import CoordinatorLease, LeaseElector
from laburnumrock.ownership._holdings import PoolAssignmentClient
from laburnumrock.ownership._messages import (
    AssignmentRequest,
    HeldPool,
    LeaseGrant,
    LeaseRefusal,
    LeaseRelease,
    LeaseRequest,
    OwnersChanged,
    PoolAssignment,
    PoolAssignments,
    PoolOwner,
    PoolSplit,
)
from laburnumrock.ownership._pools import (
    MAX_SHARD_BITS,
    MAX_SHARD_UPSTREAMS,
    MODEL_POOL,
    SERVICE_POOL,
    PoolName,
    find_shard_bits,
    list_covering_shards,
    parse_pool_id,
    pools_overlap,
    split_shard,
    whole_pool_id,
)

__all__ = [
    "MAX_CLOCK_DRIFT",
    "MAX_SHARD_BITS",
    "MAX_SHARD_UPSTREAMS",
    "MODEL_POOL",
    "SERVICE_POOL",
    "AssignmentRequest",
    "CoordinatorLease",
    "HeldPool",
    "LeaseElector",
    "LeaseGrant",
    "LeaseRefusal",
    "LeaseRelease",
    "LeaseRequest",
    "OwnersChanged",
    "PoolAssigner",
    "PoolAssignment",
    "PoolAssignments",
    "PoolAssignmentClient",
    "PoolName",
    "PoolOwner",
    "PoolSplit",
    "choose_owner",
    "holder_duration_s",
    "find_shard_bits",
    "list_covering_shards",
    "parse_pool_id",
    "pools_overlap",
    "split_shard",
    "whole_pool_id",
]
