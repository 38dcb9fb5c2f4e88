"""Tests of the decoding of engine heartbeats."""

import json

import pytest

from laburnumrock.dispatch import UpstreamState
from laburnumrock.platform._reports import decode_report
from laburnumrock.platform.tests.samples import HEARTBEAT

INVALID = {
    "no service": {"service": None},
    "service is a number": {"service": 5},
    "unknown state": {"state": "resting"},
    "address without a port": {"address": "10.0.0.1"},
    "sequence is text": {"sequence": "4"},
    "sequence is a truth value": {"sequence": True},
    "born is a fraction": {"born": 1.5},
    "slots are missing": {"slots": None},
}


class TestDecodeReport:
    def test_fields(self):
        """Guards against a field that is decoded into the wrong attribute."""
        report = decode_report("i-1", json.dumps(HEARTBEAT).encode()).unwrap()
        assert (report.upstream_id, report.service) == ("i-1", "llm")
        assert (report.host, report.port) == ("10.128.0.9", 8080)
        assert (report.incarnation, report.sequence) == (1700000000000, 4)
        assert report.state is UpstreamState.READY
        assert report.cold_left_s == 1.5

    @pytest.mark.parametrize("change", INVALID.values(), ids=INVALID.keys())
    def test_malformed_fields(self, change):
        """Guards against a malformed heartbeat that makes an engine eligible for requests."""
        values = {**HEARTBEAT, **change}
        values = {name: value for name, value in values.items() if value is not None}
        assert decode_report("i-1", json.dumps(values).encode()).is_err()

    @pytest.mark.parametrize("body", [b"", b"\xff\xfe", b"[]", b"null", b"{", b"[" * 9_000])
    def test_undecodable_body(self, body):
        """Guards against an exception for a body that is not a heartbeat."""
        assert decode_report("i-1", body).is_err()
