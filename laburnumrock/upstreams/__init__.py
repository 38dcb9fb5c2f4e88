"""Announced upstreams."""

from laburnumrock.upstreams._announcement import (
    CacheEvent,
    UpstreamAnnouncement,
    UpstreamKind,
    UpstreamState,
)

__all__ = ["CacheEvent", "UpstreamAnnouncement", "UpstreamKind", "UpstreamState"]
