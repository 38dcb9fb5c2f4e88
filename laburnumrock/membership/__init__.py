"""Failure detection: probes inside a failure domain, digests between failure domains."""

from laburnumrock.membership._dead_instances import DEAD_AFTER_S, MIN_DIGESTS, DeadInstanceDetector
from laburnumrock.membership._effects import FactsReceived, MemberChanged
from laburnumrock.membership._members import Member
from laburnumrock.membership._messages import (
    Ack,
    DomainDigest,
    MemberState,
    MemberUpdate,
    Ping,
    PingRequest,
)
from laburnumrock.membership._table import MemberTable
from laburnumrock.membership._updates import MAX_UPDATES, UpdateQueue

__all__ = [
    "DEAD_AFTER_S",
    "MAX_UPDATES",
    "MIN_DIGESTS",
    "Ack",
    "DeadInstanceDetector",
    "DomainDigest",
    "FactsReceived",
    "Member",
    "MemberChanged",
    "MemberState",
    "MemberTable",
    "MemberUpdate",
    "Ping",
    "PingRequest",
    "UpdateQueue",
]
