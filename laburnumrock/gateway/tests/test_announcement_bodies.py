"""Tests of the bodies in which upstreams announce themselves."""

import json

import pytest

from laburnumrock.errors import ErrorKind
from laburnumrock.gateway._bodies import AnnouncementBody, parse_body

BODY = {
    "upstream_id": "e1",
    "kind": "model_engine",
    "failure_domain": "a",
    "incarnation": 1,
    "base_url": "http://127.0.0.1:1",
}


def parse(**values):
    return parse_body(AnnouncementBody, json.dumps({**BODY, **values}).encode())


class TestLimits:
    @pytest.mark.parametrize(
        "values, limit",
        [
            ({}, None),
            ({"max_requests_per_s": None}, None),
            ({"max_requests_per_s": 0}, 0.0),
            ({"max_requests_per_s": 2.5}, 2.5),
        ],
    )
    def test_stated_limit(self, values, limit):
        """Guards against a limit that an upstream announces and the pool owner never gets."""
        assert parse(**values).unwrap().to_announcement().max_requests_per_s == limit

    @pytest.mark.parametrize("value", [-1, float("nan"), float("inf"), "2", True, [2]])
    def test_invalid_limit(self, value):
        """Guards against a limit that stops all requests, or lets all of them pass."""
        failure = parse(max_requests_per_s=value).unwrap_err()
        assert failure.kind is ErrorKind.INVALID_REQUEST
