"""Tests of the relay of announcements."""

from dataclasses import replace

from laburnumrock.upstreams import (
    AnnouncementRelay,
    UpstreamAnnouncement,
    UpstreamBeat,
    UpstreamKind,
    UpstreamState,
    apply_heartbeat,
    compute_checksum,
)

FIRST = UpstreamAnnouncement("e", UpstreamKind.MODEL_ENGINE, "a", 1, "http://h", ["quote"])


class TestAnnouncementRelay:
    def test_heartbeat_only_if_nothing_but_the_load_changed(self):
        """Guards against a change of state, incarnation or owner that a heartbeat hides."""
        relay = AnnouncementRelay()
        loaded = replace(FIRST, running=3, kv_used_tokens=70, measured_age_s=0.25)
        assert relay.build_message(FIRST, "owner 1") is FIRST
        heartbeat = relay.build_message(loaded, "owner 1")
        assert isinstance(heartbeat, UpstreamBeat)
        assert apply_heartbeat(FIRST, heartbeat) == loaded
        for changed in (replace(FIRST, state=UpstreamState.COLD), replace(FIRST, incarnation=2)):
            assert relay.build_message(changed, "owner 1") is changed
            assert compute_checksum(changed) != heartbeat.checksum
        assert relay.build_message(changed, "owner 2") is changed

    def test_fetch_yields_a_full_announcement(self):
        """Guards against an owner that lost an announcement and receives only heartbeats."""
        relay = AnnouncementRelay()
        relay.build_message(FIRST, "owner")
        relay.invalidate("e")
        assert relay.build_message(FIRST, "owner") is FIRST
