"""Placement of requests on upstreams."""

from laburnumrock.placement._messages import (
    PermitGrant,
    PermitOutcome,
    PermitRefusal,
    PermitRelease,
    PermitRenewal,
    PermitRenewalAnswer,
    PermitRequest,
    Placement,
)

__all__ = [
    "PermitGrant",
    "PermitOutcome",
    "PermitRefusal",
    "PermitRelease",
    "PermitRenewal",
    "PermitRenewalAnswer",
    "PermitRequest",
    "Placement",
]
