"""HTTP server that limits the memory of the request bodies of an instance."""

import json
import uuid

from eliot import log_message
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPHeaders, HTTPMessageDelegate, ResponseStartLine
from tornado.iostream import IOStream

from laburnumrock.errors import ErrorKind, Failure, problem_document
from laburnumrock.memory import HeldBytes, Holder
from laburnumrock.streams import wrap_caller

HELD_BODIES = HeldBytes(128 * 1024 * 1024)
"""Bodies of the requests in progress, as much as `HELD_BYTES` allows for responses."""
RETRY_AFTER_S = 1


class LimitedBodyDelegate(HTTPMessageDelegate):
    """Passes a request on, and refuses it if its body does not fit into the held bytes.

    Parameters
    ----------
    request : HTTPMessageDelegate
        Handles the request.
    connection : HTTPConnection
        Connection for the response to a refused request.
    holder : Holder
        Counts the bytes of the body.

    Notes
    -----
    The rest of a refused body is read and dropped: a response before its end may be lost, as the
    caller may not read it until it has sent all.
    """

    def __init__(
        self, request: HTTPMessageDelegate, connection: HTTPConnection, holder: Holder
    ) -> None:
        self.request = request
        self.connection = connection
        self.holder = holder
        self.is_refused = False

    def headers_received(self, start_line, headers: HTTPHeaders):
        """Pass the start line and the headers on."""
        return self.request.headers_received(start_line, headers)

    def data_received(self, chunk: bytes):
        """Pass a chunk of the body on if it fits."""
        if self.is_refused:
            return None
        if self.holder.resize(self.holder.size + len(chunk)):
            return self.request.data_received(chunk)
        self.is_refused = True
        self.holder.release()
        # The handler discards what it has, as if the caller had left.
        self.request.on_connection_close()
        return None

    def finish(self) -> None:
        """Pass the end of the request on, or respond to a refused one."""
        if self.is_refused:
            self._refuse()
        else:
            self.request.finish()

    def on_connection_close(self) -> None:
        """Pass the end of the connection on."""
        if not self.is_refused:
            self.request.on_connection_close()

    def _refuse(self) -> None:
        detail = "the bodies of the requests in progress take too much memory"
        failure = Failure(ErrorKind.CONCURRENCY_LIMITED, detail, retry_after_s=RETRY_AFTER_S)
        request_id = uuid.uuid4().hex
        log_message(
            "request_failed", request_id=request_id, kind=str(failure.kind), detail=failure.detail
        )
        body = json.dumps(problem_document(failure, request_id)).encode()
        headers = {
            "Content-Type": "application/problem+json",
            "Content-Length": str(len(body)),
            "Retry-After": str(RETRY_AFTER_S),
        }
        start_line = ResponseStartLine("HTTP/1.1", failure.answer.status, failure.answer.title)
        self.connection.write_headers(start_line, HTTPHeaders(headers), body)
        self.connection.finish()


class LimitedBodyServer(HTTPServer):
    """Server whose requests in progress share a limit on the memory of their bodies."""

    def initialize(self, *arguments, **options) -> None:
        """Initialize the server, which has no connections yet."""
        super().initialize(*arguments, **options)
        self.holders: dict[object, Holder] = {}

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Start to serve an accepted connection, whose caller may close its sending side."""
        super().handle_stream(wrap_caller(stream), address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate of a request; the one before on its connection has ended."""
        self._release(server_conn)
        holder = self.holders[server_conn] = Holder(HELD_BODIES)
        request = super().start_request(server_conn, request_conn)
        return LimitedBodyDelegate(request, request_conn, holder)

    def on_close(self, server_conn: object) -> None:
        """Stop counting the body of the last request of a connection."""
        self._release(server_conn)
        super().on_close(server_conn)

    def _release(self, server_conn: object) -> None:
        holder = self.holders.pop(server_conn, None)
        if holder is not None:
            holder.release()
