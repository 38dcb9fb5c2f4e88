"""HTTP server for callers."""

import asyncio
import contextlib
import math
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

from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._forwarder import RequestForwarder
from laburnumrock.forwarding._idle import IdleLimits
from laburnumrock.forwarding._wire import CallerRequest
from laburnumrock.memory import HeldBytes, Holder
from laburnumrock.streams import has_buffered_data, has_unread_data, wrap_caller

MIN_HEADER_TIMEOUT_S = 20.0
"""Time limit for the header of a request, unless the routes declare a longer one."""
HEADER_BYTES, MAX_HEADER_BYTES = 128 * 1024, 1024 * 1024
"""Maximum size of a header, and of one that the routes declare; operators declare 16 KiB today."""
BODY_BYTES, MAX_BODY_BYTES = 8 * 1024 * 1024, 64 * 1024 * 1024
"""Maximum size of a body that is read, and of one that the routes declare; the declared limit is
checked once the route is known."""
HELD_BODIES = HeldBytes(32 * 1024 * 1024)
"""Bodies of all requests in progress together. The body of a request that is forwarded takes about
1.5 times its size, and the smallest instance has 152 MB."""
SIZE_FACTOR = 2
"""Ratio of the size that is read to the declared one, so that a request beyond the declared limit
gets a response and not a closed connection."""
BACKLOG = 512
NEW_CONNECTION_S = 0.3
"""Time for which the first request of a new connection is awaited during a shutdown; it is usually
sent within a round trip."""
CLOSE_INTERVAL_S = 0.05
"""Interval at which the connections that have become idle are closed during a shutdown."""
END_TIMEOUT_S = 0.15
"""Time limit for the responses of the requests that a shutdown ends, which need no upstream."""
IDLE_RECHECK_DELAY_S = 0.02
"""Time in which the event loop starts a request whose bytes it has already read."""


class FrontendServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections and starts a task that forwards each request.

    Parameters
    ----------
    context : ForwardingContext
        State and settings that all forwarded requests share.
    """

    def __init__(self, context: ForwardingContext) -> None:
        self.context = context
        self.server: _Listener | None = None
        self.sockets: list[socket.socket] = []
        self.port = 0
        self.connections: dict[HTTP1ServerConnection, _RequestReader] = {}
        self.tasks: dict[asyncio.Task, RequestForwarder] = {}
        self.idle_limits = IdleLimits(context.settings.max_idle_timeout_s)
        self.header_timeout_s = MIN_HEADER_TIMEOUT_S
        self.body_bytes = BODY_BYTES
        self.parameters = HTTP1ConnectionParameters(
            max_header_size=HEADER_BYTES, max_body_size=BODY_BYTES
        )

    def listen(self, host: str, port: int) -> None:
        """Open the port and accept connections."""
        self.server = _Listener(self)
        self.sockets = bind_sockets(port, host, family=socket.AF_INET, backlog=BACKLOG)
        self.port = self.sockets[0].getsockname()[1]
        self.server.add_sockets(self.sockets)

    def start_request(self, server_conn: HTTP1ServerConnection, request_conn: HTTP1Connection):
        """Return the reader of the next request on a connection."""
        # Tornado re-enables Nagle's algorithm after each response; the small events of a stream
        # would then wait for acknowledgements.
        server_conn.stream.set_nodelay(True)
        reader = _RequestReader(self, server_conn, request_conn)
        reader.is_first = server_conn not in self.connections
        self.connections[server_conn] = reader
        return reader

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(server_conn, None)

    def update_limits(self) -> None:
        """Apply the limits that the routes declare, to open connections too.

        Notes
        -----
        A larger size of the header applies to an open connection from its second request on.
        """
        table = self.context.route_table
        if table is None:
            return
        limits = table.limits
        self.idle_limits.declare(limits.idle_timeout_s, time.monotonic())
        longest_s = self.context.settings.max_idle_timeout_s
        self.header_timeout_s = min(max(MIN_HEADER_TIMEOUT_S, limits.header_timeout_s), longest_s)
        header_bytes = max(HEADER_BYTES, SIZE_FACTOR * limits.max_header_bytes)
        self.parameters.max_header_size = min(header_bytes, MAX_HEADER_BYTES)
        body_bytes = max(BODY_BYTES, SIZE_FACTOR * limits.max_body_bytes)
        self.body_bytes = min(body_bytes, MAX_BODY_BYTES)

    def close_expired(self) -> None:
        """Close connections that have been idle for too long, or whose header is too slow."""
        now_s = time.monotonic()
        idle_timeout_s = self.idle_limits.find_timeout_s(now_s)
        for connection, reader in list(self.connections.items()):
            stream = connection.stream
            if reader.request is not None or stream.closed():
                continue
            if has_buffered_data(stream):
                self._close_slow_header(stream, reader, now_s)
            elif now_s - reader.waiting_since_s > idle_timeout_s and not has_unread_data(stream):
                idle_s = round(now_s - reader.waiting_since_s, 2)
                log_message("caller_connection_idle", idle_s=idle_s)
                stream.close()

    def _close_slow_header(self, stream: IOStream, reader: "_RequestReader", now_s: float) -> None:
        """Close a connection on which a part of a header arrived too long before."""
        if reader.head_since_s is None:
            reader.head_since_s = now_s
        waited_s = now_s - reader.head_since_s
        if waited_s > self.header_timeout_s:
            log_message("caller_header_slow", waited_s=round(waited_s, 2))
            stream.close()

    def start_forwarding(
        self,
        server_conn: HTTP1ServerConnection,
        connection: HTTP1Connection,
        request: CallerRequest,
    ) -> asyncio.Task:
        """Start a task that forwards a request."""
        forwarder = RequestForwarder(self.context, connection, request)
        forwarding = self._forward(server_conn, forwarder)
        task = asyncio.create_task(forwarding, name=request.request_id)
        self.tasks[task] = forwarder
        task.add_done_callback(self.tasks.pop)
        return task

    async def _forward(
        self, server_conn: HTTP1ServerConnection, forwarder: RequestForwarder
    ) -> None:
        try:
            await forwarder.run()
            if self.context.stopping:
                await self._close_after_response(server_conn)
        except Exception as error:
            # An unexpected error must not affect other requests.
            log_message(
                "run_failed",
                request_id=forwarder.request.request_id,
                error=f"{type(error).__name__}: {error}",
            )
            forwarder.fail_unexpectedly()

    async def _close_after_response(self, server_conn: HTTP1ServerConnection) -> None:
        """Close a connection right after the last bytes of the response.

        Notes
        -----
        The headers of a stream that began before the shutdown do not announce the close. If the
        connection were closed later, the close could cross the next request of the caller.
        """
        stream = server_conn.stream
        with contextlib.suppress(StreamClosedError):
            # An empty write completes once all earlier bytes are written.
            await stream.write(b"")
            reader = self.connections.get(server_conn)
            # The next request may have been read while the response was written.
            has_next = reader is not None and reader.task is not asyncio.current_task()
            if not (has_next and reader.is_busy) and not has_unread_data(stream):
                stream.close()

    async def close_idle(self) -> None:
        """Close the connections on which no request is being read or answered.

        Notes
        -----
        A connection stays open if a request has arrived on it that the event loop has not yet
        processed, if a response is still being written, or if it is new.
        """
        idle = [connection for connection in self.connections if self._is_idle(connection)]
        await asyncio.sleep(IDLE_RECHECK_DELAY_S)
        for connection in idle:
            if connection in self.connections and self._is_idle(connection):
                connection.stream.close()

    def _is_idle(self, connection: HTTP1ServerConnection) -> bool:
        stream = connection.stream
        reader = self.connections[connection]
        if reader.is_busy or reader.is_new or stream.closed() or stream.writing():
            return False
        return not has_unread_data(stream)

    def stop_listening(self) -> None:
        """Stop accepting connections, after those that the kernel has already accepted."""
        if self.server is None:
            return
        for listening in self.sockets:
            with contextlib.suppress(OSError):
                while True:
                    accepted, address = listening.accept()
                    self.server.handle_stream(IOStream(accepted), address)
        self.sockets = []
        self.server.stop()

    async def close_all(self, timeout_s: float) -> None:
        """Close each connection once it is idle, until all are closed or the time is over."""
        deadline_s = time.monotonic() + timeout_s
        await self.close_idle()
        while (self.connections or self.tasks) and time.monotonic() < deadline_s:
            await asyncio.sleep(CLOSE_INTERVAL_S)
            await self.close_idle()

    async def end_requests(self) -> None:
        """Refuse new requests, and end those in progress with a response if none has begun."""
        self.context.stop_deadline_s = -math.inf
        for forwarder in list(self.tasks.values()):
            forwarder.end_early()
        await self.close_all(END_TIMEOUT_S)

    async def finish(self, timeout_s: float) -> None:
        """Wait for the requests in progress."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while self.tasks:
                    await asyncio.wait(set(self.tasks))


class _Listener(TCPServer):
    """Accepts connections and serves them with common parameters."""

    def __init__(self, frontend: FrontendServer) -> None:
        super().__init__()
        self.frontend = frontend

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Start to serve an accepted connection."""
        parameters = self.frontend.parameters
        connection = HTTP1ServerConnection(wrap_caller(stream), parameters, address)
        connection.start_serving(self.frontend)


class _RequestReader(HTTPMessageDelegate):
    """Reads one request with its complete body."""

    def __init__(
        self, frontend: FrontendServer, server_conn: object, connection: HTTP1Connection
    ) -> None:
        self.frontend = frontend
        self.server_conn = server_conn
        self.connection = connection
        self.request: CallerRequest | None = None
        self.waiting_since_s = time.monotonic()
        # Whether it reads the first request of its connection.
        self.is_first = False
        # When a part of the header was first seen, while the rest is awaited.
        self.head_since_s: float | None = None
        self.chunks: list[bytes] = []
        self.holder = Holder(HELD_BODIES)
        self.task: asyncio.Task | None = None

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self.request is not None and (self.task is None or not self.task.done())

    @property
    def is_new(self) -> bool:
        """Whether the connection was accepted a moment ago and has carried no request."""
        age_s = time.monotonic() - self.waiting_since_s
        return self.is_first and self.request is None and age_s < NEW_CONNECTION_S

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Decode the request line and headers."""
        self.connection.set_max_body_size(self.frontend.body_bytes)
        wire = self.frontend.context.wire
        try:
            self.request = wire.decode_request(start_line.method, start_line.path, headers)
        except ValueError as error:
            log_message("request_malformed", error=str(error))
            self._reject_malformed()
            return
        self.request.arrived_s = time.monotonic()

    def data_received(self, chunk: bytes) -> None:
        """Store a chunk of the body, unless the bodies in progress take too much memory."""
        if self.request is None or self.request.is_body_dropped:
            return
        if self.holder.resize(self.holder.size + len(chunk)):
            self.chunks.append(chunk)
            return
        # The rest is read and dropped: a response before the end of the body may be lost, as the
        # caller may not read it until it has sent all.
        self.request.is_body_dropped = True
        self._drop_body()

    def finish(self) -> None:
        """Start to forward a request that was read completely."""
        if self.request is None:
            return
        if self.connection.stream.closed():
            # The request crossed the close of its connection, so no response can be written.
            self._drop_body()
            return
        self.request.body = b"".join(self.chunks)
        self.chunks.clear()
        self.task = self.frontend.start_forwarding(self.server_conn, self.connection, self.request)
        self.task.add_done_callback(lambda _: self.holder.release())
        self.connection.set_close_callback(self._cancel)

    def on_connection_close(self) -> None:
        """Discard a request that was not read completely."""
        if self.task is None:
            self._drop_body()

    def _drop_body(self) -> None:
        self.chunks.clear()
        self.holder.release()

    def _cancel(self) -> None:
        # The upstream must stop work for a caller that has disconnected.
        if self.task is not None:
            self.task.cancel()

    def _reject_malformed(self) -> None:
        headers = HTTPHeaders({"Content-Length": "0", "Connection": "close"})
        self.connection.write_headers(ResponseStartLine("HTTP/1.1", 400, "Bad Request"), headers)
        self.connection.finish()
