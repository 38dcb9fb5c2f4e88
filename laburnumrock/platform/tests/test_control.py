"""Tests of the HTTP API of a core for operators and engines."""

import asyncio
import json

import pytest
from tornado.httpclient import AsyncHTTPClient

from laburnumrock.platform._control import listen_control


class FailingNode:
    """Core whose operations raise an unexpected error."""

    @property
    def changes(self):
        return self

    def __getattr__(self, name):
        async def fail(*arguments):
            raise RuntimeError("the core fails")

        return fail


async def send_request(method: str, path: str):
    server = listen_control(FailingNode(), "127.0.0.1", 0)
    [socket] = server._sockets.values()
    port = socket.getsockname()[1]
    try:
        body = b"" if method in ("PUT", "POST") else None
        return await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{port}{path}", method=method, body=body, raise_error=False
        )
    finally:
        server.stop()


class TestErrors:
    @pytest.mark.parametrize(
        "method, path, status",
        [
            ("GET", "/laburnumrock/config", 503),
            ("POST", "/laburnumrock/evacuations/zone-a", 503),
            ("DELETE", "/laburnumrock/instances/engine0", 503),
            ("POST", "/laburnumrock/config", 405),
            ("GET", "/laburnumrock/unknown", 404),
        ],
    )
    def test_body_is_json(self, method, path, status):
        """Guards against HTML pages, and statuses other than 503, when a request fails."""
        response = asyncio.run(send_request(method, path))
        assert response.code == status
        assert response.headers["Content-Type"] == "application/json"
        assert json.loads(response.body)["error"]
