"""Invalid bodies on every handler that reads one, as found in the route tables."""

import asyncio
import json
import re

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.testing import AsyncHTTPTestCase
from tornado.web import Application, RequestHandler

from laburnumrock.gateway import make_app
from laburnumrock.gateway._operator import operator_routes
from laburnumrock.gateway._services import ServicesHandler
from laburnumrock.gateway.tests._operator_fakes import KEY as OPERATOR_KEY
from laburnumrock.gateway.tests._operator_fakes import make_services
from laburnumrock.gateway.tests.fakes import KEY as ACCOUNT_KEY
from laburnumrock.gateway.tests.fakes import run_gateway

BODY_METHODS = ("POST", "PUT", "PATCH")
INVALID_BODIES = {
    "empty": b"",
    "truncated": b'{"request_id": "r1", "pro',
    "list": b"[]",
    "number": b"7",
    "null": b"null",
    "text": b'"text"',
    "unknown field": b'{"unknown": 1}',
    "wrong types": b'{"request_id": 1, "prompt": 2, "upstream_id": 3, "kind": [], "action": {}}',
    "not a number": b'{"max_tokens": NaN, "incarnation": 1e999, "base_revision": -Infinity}',
    "deeply nested": b"[" * 8_000,
    "deeply nested objects": b'{"a":' * 1_500,
    "wrong encoding": b"\xff\xfe{\x00}\x00",
    "lone surrogate": b'{"request_id": "\\ud800", "prompt": "\\udfff"}',
    "null bytes": b"\x00" * 100,
}
OVERSIZED_BODY = b" " * (17 * 1024 * 1024)
# Bodies of routed calls are forwarded unread, so that none of them is invalid.
OPAQUE_BODY_HANDLERS = {ServicesHandler}


def find_body_routes(routes):
    """Return method and an example path of each route whose handler reads a body."""
    found = []
    for path, handler, *_ in routes:
        if handler in OPAQUE_BODY_HANDLERS:
            continue
        example = re.sub(r"\([^)]*\)", "x", path)
        for method in BODY_METHODS:
            name = method.lower()
            if getattr(handler, name) is not getattr(RequestHandler, name):
                found.append((method, example))
    return found


def list_app_routes(app):
    """Return path pattern and handler of each route of a tornado application."""
    rules = app.wildcard_router.rules
    return [(rule.matcher.regex.pattern.rstrip("$"), rule.target) for rule in rules]


def check_refusal(response, label):
    document = json.loads(response.body)
    assert 400 <= response.code < 500, (label, response.code, document)
    assert document["outcome"] == "not_run", (label, document)


class TestOperatorBodies(AsyncHTTPTestCase):
    def get_app(self):
        self.services = make_services()
        return Application(operator_routes(self.services))

    def test_every_handler_refuses_invalid_bodies(self):
        """Guards against an invalid body that is answered as an internal error with an unknown
        outcome, which operators then have to investigate.
        """
        routes = find_body_routes(operator_routes(self.services))
        assert ("POST", "/operator/v1/orders") in routes
        headers = {"Authorization": f"Bearer {OPERATOR_KEY.decode()}"}
        bodies = INVALID_BODIES | {"oversized": OVERSIZED_BODY}
        for method, path in routes:
            for name, body in bodies.items():
                response = self.fetch(path, method=method, body=body, headers=headers)
                check_refusal(response, (method, path, name))
        assert self.services.declarations.commands == []
        assert self.services.orders.orders == {}


class TestCallerBodies:
    @pytest.mark.parametrize("name", INVALID_BODIES)
    def test_every_handler_refuses_invalid_bodies(self, name):
        """Guards against an invalid body that reaches an engine or is answered as an internal
        error.
        """

        async def run():
            async with run_gateway() as gateway:
                routes = find_body_routes(list_app_routes(make_app(gateway.services)))
                assert ("POST", "/v1/completions") in routes
                for method, path in routes:
                    assert method == "POST"
                    response = await gateway.post(path, INVALID_BODIES[name])
                    check_refusal(response, (path, name))
                assert gateway.permits.requests == []
                assert gateway.announced == []

        asyncio.run(run())

    def test_every_handler_refuses_an_oversized_body(self):
        """Guards against a body that is held in memory although it exceeds the limit."""

        async def run():
            async with run_gateway() as gateway:
                port = gateway.services.settings.listen.caller_port
                headers = {
                    "X-Client-Account": "merchant",
                    "Authorization": f"Bearer {ACCOUNT_KEY}",
                }
                for method, path in find_body_routes(list_app_routes(make_app(gateway.services))):
                    body = b" " * (2 * gateway.services.settings.max_body_bytes)
                    response = await AsyncHTTPClient().fetch(
                        f"http://127.0.0.1:{port}{path}",
                        method=method,
                        body=body,
                        headers=headers,
                        raise_error=False,
                    )
                    check_refusal(response, (path, "oversized"))

        asyncio.run(run())
