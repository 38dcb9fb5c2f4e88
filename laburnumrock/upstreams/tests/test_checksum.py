"""Tests of the checksum that decides whether an announcement is relayed in full."""

from dataclasses import fields, replace

import pytest

from laburnumrock.upstreams import (
    UpstreamAnnouncement,
    UpstreamKind,
    UpstreamState,
    compute_checksum,
)

LOAD = {"running", "waiting", "kv_used_tokens", "measured_age_s", "cache_events"}
"""Fields that heartbeats carry, or that are relayed whenever they are not empty."""
NAMES = [
    field.name for field in fields(UpstreamAnnouncement) if field.name not in LOAD | {"upstream_id"}
]
ANNOUNCEMENT = UpstreamAnnouncement("u", UpstreamKind.MODEL_ENGINE, "a", 1, "http://u")
CHANGED = {"kind": UpstreamKind.APPLICATION_ENGINE, "state": UpstreamState.LEAVING}


class TestChecksum:
    @pytest.mark.parametrize("name", NAMES)
    def test_change_is_relayed(self, name):
        """Guards against a change of an upstream that its pool owner does not learn of."""
        value = getattr(ANNOUNCEMENT, name)
        if isinstance(value, list):
            other = ["other"]
        elif isinstance(value, str):
            other = CHANGED.get(name, "other")
        else:
            other = 7.5
        changed = replace(ANNOUNCEMENT, **{name: other})
        assert compute_checksum(changed) != compute_checksum(ANNOUNCEMENT)
