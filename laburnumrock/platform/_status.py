"""HTTP servers for the readiness probe and the metrics of a process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

if TYPE_CHECKING:
    from laburnumrock.metrics import NodeMetrics
    from laburnumrock.nodes import EntryNode

METRICS_PORT = 9464
"""Metrics port named in the deployment file; the usual port of metrics exporters."""


def listen_readiness(node: EntryNode, host: str, port: int) -> HTTPServer:
    """Start the server for the readiness probe, which the load balancer sends once a second."""

    def answer(request: HTTPServerRequest) -> None:
        if node.is_ready:
            _write_response(request, 200, "OK", b"")
        else:
            _write_response(request, 503, "Service Unavailable", b"")

    return _listen(answer, host, port)


def listen_metrics(metrics: NodeMetrics, host: str) -> HTTPServer:
    """Start the server from which metrics are scraped as text."""

    def answer(request: HTTPServerRequest) -> None:
        _write_response(request, 200, "OK", metrics.render())

    return _listen(answer, host, METRICS_PORT)


def _listen(handler, host: str, port: int) -> HTTPServer:
    server = HTTPServer(handler)
    server.listen(port, host)
    return server


def _write_response(request: HTTPServerRequest, status: int, reason: str, body: bytes) -> None:
    headers = HTTPHeaders({"Content-Length": str(len(body)), "Content-Type": "text/plain"})
    start_line = ResponseStartLine("HTTP/1.1", status, reason)
    request.connection.write_headers(start_line, headers, body or None)
    request.connection.finish()
