"""Placement of requests on upstreams."""

from laburnumrock.placement import _length_aware  # noqa: F401  registers its policy
from laburnumrock.placement._effects import CancelOnUpstream
from laburnumrock.placement._messages import (
    PermitCancel,
    PermitGrant,
    PermitOutcome,
    PermitRefusal,
    PermitRelease,
    PermitRenewal,
    PermitRenewalAnswer,
    PermitRequest,
    Placement,
    PoolSummary,
    make_renewal,
)
from laburnumrock.placement._policies import POLICIES, PlacementPolicy, register_policy
from laburnumrock.placement._scheduler import PoolScheduler
from laburnumrock.placement._settings import PoolSettings
from laburnumrock.routing import LengthClass, classify_length

__all__ = [
    "POLICIES",
    "CancelOnUpstream",
    "LengthClass",
    "PermitCancel",
    "PermitGrant",
    "PermitOutcome",
    "PermitRefusal",
    "PermitRelease",
    "PermitRenewal",
    "PermitRenewalAnswer",
    "PermitRequest",
    "Placement",
    "PlacementPolicy",
    "PoolScheduler",
    "PoolSettings",
    "PoolSummary",
    "make_renewal",
    "classify_length",
    "register_policy",
]
