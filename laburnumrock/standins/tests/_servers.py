"""In-process servers and an HTTP client for tests."""

import json

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from laburnumrock.scenarios import find_free_ports
from laburnumrock.standins._engine import EngineOptions, ModelEngine
from laburnumrock.standins._engine_http import MAX_BODY_BYTES, make_engine_application

HOST = "127.0.0.1"


def find_port():
    return find_free_ports(1)[0]


def serve(application, port):
    server = HTTPServer(application, max_buffer_size=MAX_BODY_BYTES, max_body_size=MAX_BODY_BYTES)
    server.add_sockets(bind_sockets(port, HOST))
    return server


async def start_engine(**options):
    options = {"port": find_port(), "time_factor": 20.0, **options}
    engine = ModelEngine(EngineOptions("e", "a", HOST, **options))
    serve(make_engine_application(engine), engine.options.port)
    await engine.start()
    return engine


async def call(url, body=None, headers=None):
    method = "GET" if body is None else "POST"
    data = None if body is None else json.dumps(body)
    try:
        response = await AsyncHTTPClient().fetch(
            url, method=method, body=data, headers=headers, raise_error=False, request_timeout=20
        )
    except HTTPError as error:
        return error.code, ""
    return response.code, response.body.decode() if response.body else ""
