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
    def test_only_a_change_of_load_is_shortened(self):
        """Guards against a change of state, incarnation or owner that the owner never hears of."""
        relay = AnnouncementRelay()
        loaded = replace(FIRST, running=3, kv_used_tokens=70, measured_age_s=0.25)
        assert relay.build_message(FIRST, "owner 1") is FIRST
        beat = relay.build_message(loaded, "owner 1")
        assert isinstance(beat, UpstreamBeat)
        assert apply_heartbeat(FIRST, beat) == loaded
        for changed in (replace(FIRST, state=UpstreamState.COLD), replace(FIRST, incarnation=2)):
            assert relay.build_message(changed, "owner 1") is changed
            assert compute_checksum(changed) != beat.checksum
        assert relay.build_message(changed, "owner 2") is changed

    def test_fetch_brings_the_whole_announcement(self):
        """Guards against an owner that lost an announcement and gets beats only."""
        relay = AnnouncementRelay()
        relay.build_message(FIRST, "owner")
        relay.invalidate("e")
        assert relay.build_message(FIRST, "owner") is FIRST
