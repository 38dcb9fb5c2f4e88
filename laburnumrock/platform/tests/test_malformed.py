"""Malformed documents of operators, engines and callers, and of the settings file."""

import copy
import json
import math
import random
import tomllib

import pytest
from tornado.httputil import HTTPHeaders

from laburnumrock.dispatch import DispatchCall, Dispatcher, DispatchSettings, UpstreamDirectory
from laburnumrock.platform._reports import decode_report
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform._settings import load_settings
from laburnumrock.platform._wire import PlatformWire
from laburnumrock.platform.tests.samples import CONFIG, HEARTBEAT, SETTINGS
from laburnumrock.routing import RouteTable

VALUES = [
    None,
    True,
    -1,
    0,
    1,
    10**30,
    10**400,
    -0.5,
    1e308,
    math.nan,
    math.inf,
    "",
    "text",
    "\ud800",
    [],
    [None],
    {},
    {"name": None},
]


def list_paths(document, path=()):
    """Return the path of each value of a document."""
    paths = [path] if path else []
    items = []
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        paths += list_paths(value, (*path, key))
    return paths


def replace_value(document, path, value):
    changed = copy.deepcopy(document)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return changed


def remove_value(document, path):
    changed = copy.deepcopy(document)
    parent = changed
    for key in path[:-1]:
        parent = parent[key]
    del parent[path[-1]]
    return changed


def mutate(document):
    """Return the document with each of its values removed, and replaced by each other value."""
    for path in list_paths(document):
        yield remove_value(document, path)
        for value in VALUES:
            yield replace_value(document, path, value)


def mutate_bytes(data: bytes, seed: int, count: int):
    """Return the text with bytes changed, removed or repeated at random."""
    rng = random.Random(seed)
    for _ in range(count):
        changed = bytearray(data)
        for _ in range(rng.randint(1, 5)):
            start = rng.randrange(len(changed))
            action = rng.randrange(3)
            if action == 0:
                changed[start] = rng.randrange(256)
            elif action == 1:
                del changed[start : start + rng.randint(1, 20)]
            else:
                changed[start:start] = changed[start : start + rng.randint(1, 20)]
        yield bytes(changed)


def use_routes(routes) -> None:
    """Use routes as entry nodes and the leader do."""
    table = RouteTable(routes)
    for route in routes.routes:
        found = table.find_route(route.host, route.path_prefix)
        table.choose_service(found, random.Random(1))
    dispatcher = Dispatcher(DispatchSettings(), UpstreamDirectory(9.0, 9.0), random.Random(1))
    dispatcher.set_routes(routes)
    dispatcher.start(1, 0.0)
    for service in routes.services:
        for number in range(2):
            heartbeat = HEARTBEAT | {
                "service": service.name,
                "address": f"10.0.0.{number}:80",
                "cold_left_ms": 0,
            }
            report = decode_report(f"{service.name}-{number}", json.dumps(heartbeat).encode())
            dispatcher.observe(report.unwrap(), 0.0)
        for prompt_tokens in (0, 5_000, 700_000):
            call = DispatchCall("r", 1, service.name, "a", 1, prompt_tokens, 500, 0.3, 0.2, 9.0)
            dispatcher.place("e", "a", call, 1.0)
        dispatcher.place_waiting({}, 9.0)


class TestMalformedRoutes:
    def test_changed_values_are_refused_or_usable(self):
        """Guards against a configuration that is acknowledged and then fails in every node that
        applies it, also after a restart.
        """
        accepted = 0
        for document in mutate(CONFIG):
            decoded = decode_routes(json.dumps(document).encode())
            if decoded.is_ok():
                accepted += 1
                use_routes(decoded.unwrap())
        assert accepted > 0

    def test_changed_bytes_are_refused_or_usable(self):
        """Guards against a damaged text that ends the handler with an unexpected error."""
        for data in mutate_bytes(json.dumps(CONFIG).encode(), 1, 2_000):
            decoded = decode_routes(data)
            if decoded.is_ok():
                use_routes(decoded.unwrap())


class TestMalformedReports:
    def test_changed_values_are_refused_or_usable(self):
        """Guards against a heartbeat that names an address to which no connection can be opened."""
        for document in mutate(HEARTBEAT):
            decoded = decode_report("e1", json.dumps(document).encode())
            if decoded.is_ok():
                report = decoded.unwrap()
                assert 0 < report.port < 65_536
                assert report.slots >= 0
                assert 0 <= report.cold_left_s < math.inf

    def test_changed_bytes_are_refused(self):
        """Guards against a damaged heartbeat that ends the handler with an unexpected error."""
        for data in mutate_bytes(json.dumps(HEARTBEAT).encode(), 2, 2_000):
            decode_report("e1", data)

    @pytest.mark.parametrize("address", ["host:80", "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1"])
    def test_address_that_cannot_be_used(self, address):
        """Guards against an upstream that fails each request that is placed on it."""
        body = json.dumps(HEARTBEAT | {"address": address}).encode()
        assert decode_report("e1", body).is_err()


class TestMalformedSettings:
    def test_changed_values_are_refused_or_usable(self, tmp_path, monkeypatch):
        """Guards against a settings file that ends a running process when it is reloaded."""
        path = tmp_path / "settings.toml"
        path.write_text("")
        for document in mutate(tomllib.loads(SETTINGS)):
            monkeypatch.setattr(tomllib, "loads", lambda text, document=document: document)
            load_settings(path)

    def test_changed_bytes_are_refused_or_usable(self, tmp_path):
        """Guards against a half-written settings file that ends a running process."""
        path = tmp_path / "settings.toml"
        for data in mutate_bytes(SETTINGS.encode(), 3, 500):
            path.write_bytes(data)
            load_settings(path)


class TestMalformedRequests:
    @pytest.mark.parametrize("usage", ["-1,5", "5,-1", "1e3,5", "5", "", ",", f"{10**400},5", "x"])
    def test_token_usage(self, usage):
        """Guards against a size with which the leader cannot place a request."""
        headers = HTTPHeaders({"Host": "a", "Request-Id": "r", "Token-Usage": usage})
        with pytest.raises(ValueError):
            PlatformWire().decode_request("POST", "/x/", headers)
