"""Announced upstreams."""

from laburnumrock.upstreams._announcement import (
    CacheEvent,
    UpstreamAnnouncement,
    UpstreamKind,
    UpstreamState,
)
from laburnumrock.upstreams._cold_start import ColdStartGate

__all__ = ["CacheEvent", "ColdStartGate", "UpstreamAnnouncement", "UpstreamKind", "UpstreamState"]
