"""Which instances live: probes inside a failure domain, digests between them."""

from laburnumrock.membership._deaths import DEAD_FOR_S, DIGESTS_NEEDED, DeadInstanceDetector
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
    "DEAD_FOR_S",
    "DIGESTS_NEEDED",
    "MAX_UPDATES",
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
