"""Announced upstreams."""

from laburnumrock.upstreams._announcement import (
    CacheEvent,
    UpstreamAnnouncement,
    UpstreamKind,
    UpstreamState,
)
from laburnumrock.upstreams._cold_start import SlowStartLimiter
from laburnumrock.upstreams._prefixes import PREFIX_LENGTHS, hash_prefixes
from laburnumrock.upstreams._relay import (
    AnnouncementFetch,
    AnnouncementRelay,
    UpstreamBeat,
    apply_heartbeat,
    compute_checksum,
)

__all__ = [
    "AnnouncementFetch",
    "AnnouncementRelay",
    "UpstreamBeat",
    "apply_heartbeat",
    "compute_checksum",
    "PREFIX_LENGTHS",
    "CacheEvent",
    "SlowStartLimiter",
    "UpstreamAnnouncement",
    "UpstreamKind",
    "UpstreamState",
    "hash_prefixes",
]
