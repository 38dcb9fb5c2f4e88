"""Readiness and metrics of a process, where the platform asks for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

if TYPE_CHECKING:
    from laburnumrock.metrics import NodeMetrics
    from laburnumrock.nodes import EntryNode

METRICS_PORT = 9464
"""Port that the deploy file names for metrics; the usual one of exporters."""


def listen_readiness(node: EntryNode, host: str, port: int) -> HTTPServer:
    """Open the port on which the balancer asks once a second."""

    def answer(request: HTTPServerRequest) -> None:
        if node.is_ready:
            _answer(request, 200, "OK", b"")
        else:
            _answer(request, 503, "Service Unavailable", b"")

    return _listen(answer, host, port)


def listen_metrics(metrics: NodeMetrics, host: str) -> HTTPServer:
    """Open the port on which metrics are read as text."""

    def answer(request: HTTPServerRequest) -> None:
        _answer(request, 200, "OK", metrics.render())

    return _listen(answer, host, METRICS_PORT)


def _listen(answer, host: str, port: int) -> HTTPServer:
    server = HTTPServer(answer)
    server.listen(port, host)
    return server


def _answer(request: HTTPServerRequest, status: int, reason: str, body: bytes) -> None:
    headers = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": "text/plain"})
    start_line = ResponseStartLine("HTTP/1.1", status, reason)
    request.connection.write_headers(start_line, headers, body or None)
    request.connection.finish()
