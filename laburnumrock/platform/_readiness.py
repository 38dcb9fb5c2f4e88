"""Readiness of an entry, as the platform's balancer asks for it."""

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from laburnumrock.nodes import EntryNode


def listen_readiness(node: EntryNode, host: str, port: int) -> HTTPServer:
    """Open the port on which the balancer asks once a second."""

    def answer(request: HTTPServerRequest) -> None:
        status, reason = (200, "OK") if node.is_ready else (503, "Service Unavailable")
        headers = HTTPHeaders({"Content-Length": "0"})
        request.connection.write_headers(ResponseStartLine("HTTP/1.1", status, reason), headers)
        request.connection.finish()

    server = HTTPServer(answer)
    server.listen(port, host)
    return server
