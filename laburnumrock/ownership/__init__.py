"""Coordinator lease of a failure domain, and owners of its pools."""

from laburnumrock.ownership._assigner import PoolAssigner, choose_owner
from laburnumrock.ownership._clock import MAX_CLOCK_DRIFT, holder_duration_s
from laburnumrock.ownership._elector import CoordinatorLease, LeaseElector
from laburnumrock.ownership._holdings import PoolHoldings
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
)
from laburnumrock.ownership._pools import MODEL_POOL, SERVICE_POOL, PoolName, parse_pool_id

__all__ = [
    "MAX_CLOCK_DRIFT",
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
    "PoolHoldings",
    "PoolName",
    "PoolOwner",
    "choose_owner",
    "holder_duration_s",
    "parse_pool_id",
]
