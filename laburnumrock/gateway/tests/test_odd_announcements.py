"""Announcements of another writer among those of the engines."""

import json
import math

import pytest

from laburnumrock.gateway._bodies import AnnouncementBody, CompletionBody, parse_body
from laburnumrock.messages import Frame, decode_frame, encode_frame

ANNOUNCEMENT = {
    "upstream_id": "u",
    "kind": "model_engine",
    "failure_domain": "a",
    "incarnation": 1,
    "base_url": "http://10.0.0.1:80",
    "models": ["m"],
    "adapters": ["a"],
    "versions": ["v"],
    "services": ["s"],
    "role": "general",
    "kv_capacity_tokens": 5,
    "prefill_tokens_per_s": 3.0,
    "decode_step_s": 0.1,
    "state": "ready",
    "running": 1,
    "waiting": 1,
    "kv_used_tokens": 1,
    "measured_age_s": 0.1,
    "cache_events": [{"sequence": 1, "prefix_hash": "x", "event": "stored"}],
    "max_requests_per_s": 1.0,
}
ODD_VALUES = [
    "\ud800",
    "a\x00b",
    "a\r\nX: 1",
    "x" * 100_000,
    ["\ud800"],
    ["x" * 100_000],
    [{"sequence": 2**70, "prefix_hash": "\ud800", "event": "stored"}],
    [{"sequence": 1, "prefix_hash": "\ud800", "event": "stored"}],
    True,
    -1,
    2**64,
    10**400,
    1e308,
    math.inf,
    math.nan,
    {},
]
ODD_URLS = [
    "http://10.0.0.1:99999",
    "http://10.0.0.1:0",
    "http://10.0.0.1:-1",
    "http://10.0.0.1:x",
    "http://[::1",
    "http://a b:80",
    "http://x:y@10.0.0.1:80",
    "http://:80",
    "http://10.0.0.1:80?x",
]


def parse(**values):
    return parse_body(AnnouncementBody, json.dumps(ANNOUNCEMENT | values).encode())


class TestOddAnnouncements:
    def test_proper_announcement(self):
        """Guards against a check that refuses engines."""
        assert parse().is_ok()

    @pytest.mark.parametrize("field", sorted(ANNOUNCEMENT))
    def test_value_is_refused(self, field):
        """Guards against values that fail the messages between instances or the placement."""
        accepted = [value for value in ODD_VALUES if parse(**{field: value}).is_ok()]
        assert accepted == []

    @pytest.mark.parametrize("url", ODD_URLS)
    def test_address_is_refused(self, url):
        """Guards against an engine to which no request can be sent."""
        assert parse(base_url=url).is_err()

    def test_largest_values_can_be_relayed(self):
        """Guards against bounds that messages or sums do not bear."""
        for field in ("kv_capacity_tokens", "running", "waiting", "incarnation"):
            body = parse(**{field: 2**63 - 1})
            message = body.unwrap().to_announcement()
            assert decode_frame(encode_frame(Frame(message))).unwrap().message == message
            assert math.isfinite(float(getattr(message, field)) * 1e15)


class TestOddPrompts:
    @pytest.mark.parametrize("field", ["prompt", "model", "user"])
    def test_text_that_cannot_be_encoded(self, field):
        """Guards against 500 for a text with a lone surrogate."""
        body = {"prompt": "a\nb"} | {field: "\ud800"}
        assert parse_body(CompletionBody, json.dumps(body).encode()).is_err()
        assert parse_body(CompletionBody, b'{"prompt": "a\\nb"}').is_ok()
