"""HTTP server for callers."""

import asyncio
import contextlib
import socket
import time

from eliot import log_message
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
    HTTP1ServerConnection,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from laburnumrock.forwarding._channels import has_unread
from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._run import ForwardRun
from laburnumrock.forwarding._wire import CallerRequest

IDLE_TIMEOUT_S = 20.0
"""Idle time of callers' connections; above the 15 s that operators declare today."""
MAX_HEADER_BYTES = 32 * 1024
"""Twice the declared limit; the declared one is checked when routes are known."""
MAX_BODY_BYTES = 8 * 1024 * 1024
BACKLOG = 512
SETTLE_S = 0.02
"""Time in which the event loop takes up a request whose bytes it has already read."""


class FrontendServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections and starts a run for each request.

    Parameters
    ----------
    context : ForwardingContext
        Shared parts of the runs.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.server: _Listener | None = None
        self.port = 0
        self.connections: dict[HTTP1ServerConnection, _RequestReader] = {}
        self.runs: set[asyncio.Task] = set()

    def listen(self, host: str, port: int) -> None:
        """Open the port."""
        self.server = _Listener(self)
        sockets = bind_sockets(port, host, family=socket.AF_INET, backlog=BACKLOG)
        self.port = sockets[0].getsockname()[1]
        self.server.add_sockets(sockets)

    def start_request(self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection):
        """Return the reader of the next request of a connection."""
        # Tornado lets the kernel collect small writes again after each answer; the events of a
        # stream would wait for acknowledgements.
        server_conn.stream.set_nodelay(True)
        reader = _RequestReader(self, server_conn, request_conn)
        self.connections[server_conn] = reader
        return reader

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forget a connection."""
        self.connections.pop(server_conn, None)

    def start_run(self, connection: HTTP1Connection, request: CallerRequest) -> asyncio.Task:
        """Start to answer a request."""
        task = asyncio.create_task(self._run(connection, request))
        self.runs.add(task)
        task.add_done_callback(self.runs.discard)
        return task

    async def _run(self, connection: HTTP1Connection, request: CallerRequest) -> None:
        try:
            await ForwardRun(self.context, connection, request).run()
            if self.context.stopping:
                await self._close_after_answer(connection)
        except Exception as error:
            # A fault in one run must not reach the others; its caller gets a closed connection,
            # which promises nothing.
            log_message(
                "run_failed",
                request_id=request.request_id,
                error=f"{type(error).__name__}: {error}",
            )
            connection.close()

    async def _close_after_answer(self, connection: HTTP1Connection) -> None:
        """Close a connection so that its end arrives with the last bytes of the answer.

        Notes
        -----
        The headers of a stream that began before the stop do not announce the close. A later one
        would cross the next request of the caller.
        """
        stream = connection.stream
        with contextlib.suppress(StreamClosedError):
            # An empty write is done when all bytes before it are.
            await stream.write(b"")
            if not has_unread(stream):
                stream.close()

    async def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered.

        Notes
        -----
        A request may have arrived that the event loop has not yet seen; its connection stays.
        """
        idle = [connection for connection in self.connections if self._is_idle(connection)]
        await asyncio.sleep(SETTLE_S)
        for connection in idle:
            if connection in self.connections and self._is_idle(connection):
                connection.stream.close()

    def _is_idle(self, connection: HTTP1ServerConnection) -> bool:
        stream = connection.stream
        if self.connections[connection].is_busy or stream.closed():
            return False
        return not has_unread(stream)

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self.server is not None:
            self.server.stop()

    async def finish(self, timeout_s: float) -> None:
        """Wait for the runs under way."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.runs:
                    await asyncio.wait(set(self.runs))


class _Listener(TCPServer):
    """Serves each accepted connection with the same parameters."""

    def __init__(self, frontend: FrontendServer) -> None:
        super().__init__()
        self.frontend = frontend
        self.parameters = HTTP1ConnectionParameters(
            header_timeout=IDLE_TIMEOUT_S,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection."""
        HTTP1ServerConnection(stream, self.parameters, address).start_serving(self.frontend)


class _RequestReader(HTTPMessageDelegate):
    """Reads one request whole."""

    def __init__(
        self, frontend: FrontendServer, server_conn: object, connection: HTTP1Connection
    ) -> None:
        self.frontend = frontend
        self.server_conn = server_conn
        self.connection = connection
        self.request: CallerRequest | None = None
        self.chunks: list[bytes] = []
        self.task: asyncio.Task | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self.request is not None and (self.task is None or not self.task.done())

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Decode the request line and headers."""
        wire = self.frontend.context.wire
        try:
            self.request = wire.decode_request(start_line.method, start_line.path, headers)
        except ValueError as error:
            log_message("request_malformed", error=str(error))
            self._answer_malformed()
            return
        self.request.arrived_s = time.monotonic()

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Start the run of a request that was read whole."""
        if self.request is None:
            return
        if self.connection.stream.closed():
            # The request crossed the close of its connection; nobody would get the answer.
            return
        self.request.body = b"".join(self.chunks)
        self.chunks.clear()
        self.task = self.frontend.start_run(self.connection, self.request)
        self.connection.set_close_callback(self._cancel)

    def on_connection_close(self) -> None:
        """Drop a request that was not read whole."""
        self.chunks.clear()

    def _cancel(self) -> None:
        # The upstream must stop work for a caller that left.
        if self.task is not None:
            self.task.cancel()

    def _answer_malformed(self) -> None:
        headers = HTTPHeaders({"Content-Length": "0", "Connection": "close"})
        self.connection.write_headers(ResponseStartLine("HTTP/1.1", 400, "Bad Request"), headers)
        self.connection.finish()
