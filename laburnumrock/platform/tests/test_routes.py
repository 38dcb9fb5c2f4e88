"""Tests of the decoding of route configurations."""

import json

import pytest

from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform.tests.samples import make_config
from laburnumrock.routing import RequestKind


def remove_key(*path):
    def change(config):
        for key in path[:-1]:
            config = config[key]
        del config[path[-1]]

    return change


def put(value, *path):
    def change(config):
        for key in path[:-1]:
            config = config[key]
        config[path[-1]] = value

    return change


INVALID = {
    "no version": remove_key("version"),
    "version is text": put("7", "version"),
    "version is a fraction": put(7.5, "version"),
    "unknown service": put("none", "routes", 1, "service"),
    "unknown weighted service": put("none", "routes", 0, "backends", 1, "service"),
    "same host and prefix": put("/x/", "routes", 1, "path_prefix"),
    "weights add up to 0": put(
        [{"service": "llm", "weight": 0}, {"service": "app", "weight": 0}],
        "routes",
        0,
        "backends",
    ),
    "negative weight": put(-1, "routes", 0, "backends", 0, "weight"),
    "time limit of 0": put(0, "routes", 0, "timeout_ms"),
    "prefix without slash": put("/x", "routes", 0, "path_prefix"),
    "unknown kind": put("other", "routes", 0, "type"),
    "routes is no list": put(5, "routes"),
    "service without a name": remove_key("services", 1, "name"),
    "shared key": lambda config: config["tenants"].append({"name": "two", "api_keys": ["k2"]}),
}


class TestDecodeRoutes:
    def test_fields(self):
        """Guards against a field that is decoded into the wrong attribute."""
        routes = decode_routes(make_config()).unwrap()
        first, second = routes.routes
        assert routes.version == 7
        assert (first.host, first.kind) == ("a.example", RequestKind.STREAMING)
        assert (first.timeout_s, first.goal_s, first.gap_goal_s) == (10.0, 0.3, 0.2)
        assert [share.weight for share in first.shares] == [90.0, 10.0]
        assert first.may_retry and not second.may_retry
        assert routes.services[0].engine.context_ms_per_1k == 0.00254
        assert routes.services[0].cold_requests_per_s == 28.0
        assert routes.services[1].engine is None
        assert routes.accounts[0].keys == ("k1", "k2")

    def test_no_tenants_need_no_key(self):
        """Guards against status 401 for all requests when no tenants are declared."""
        assert decode_routes(make_config(remove_key("tenants"))).unwrap().accounts is None

    @pytest.mark.parametrize("change", INVALID.values(), ids=INVALID.keys())
    def test_invalid(self, change):
        """Guards against an invalid configuration that is accepted."""
        assert decode_routes(make_config(change)).is_err()

    @pytest.mark.parametrize("size", [0, 1, 100, 500])
    def test_truncated(self, size):
        """Guards against a truncated configuration that is accepted as complete."""
        assert decode_routes(make_config()[:size]).is_err()

    @pytest.mark.parametrize("value", [None, 1, "x", [], [1]])
    def test_other_json_types(self, value):
        """Guards against an exception for a JSON document of another type."""
        assert decode_routes(json.dumps(value).encode()).is_err()

    def test_deep_nesting(self):
        """Guards against deep nesting that exceeds the recursion limit of the parser."""
        assert decode_routes(b"[" * 9_000).is_err()
