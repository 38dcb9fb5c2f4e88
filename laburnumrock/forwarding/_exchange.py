"""HTTP exchange: one request on one connection to an upstream, and its response.

Notes
-----
A failure before the first byte of the request is sent proves that the request did not run. After
that, only a complete response is conclusive: if a reused connection breaks, the outcome is unknown.
"""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPInputError, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from laburnumrock.forwarding._connections import UpstreamConnection
from laburnumrock.forwarding._wire import CallerRequest, ResponseMetadata, WireFormat
from laburnumrock.memory import HeldBytes, Holder

MAX_STREAM_BYTES = 64 * 1024 * 1024
"""Maximum size of a response whose body is relayed and not held in memory."""
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
"""Maximum size of a response whose body is held in memory until it is complete."""
HELD_BYTES = HeldBytes(48 * 1024 * 1024)
"""All such bodies of a process together; the smallest instance has 152 MB."""
READ_CHUNK_BYTES = 8 * 1024
MAX_SKIPPED_RESPONSES = 4
"""Responses to other requests that are skipped on a connection before it is closed."""
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")


@dataclass(slots=True)
class UpstreamResponse:
    """Response of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    reason : str
        Reason phrase.
    headers : HTTPHeaders
        Headers as received.
    facts : ResponseMetadata
        Metadata decoded from the headers.
    body : bytes
        Body; empty if it was relayed to the caller.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    facts: ResponseMetadata
    body: bytes = b""


@dataclass(slots=True)
class ExchangeResult:
    """Result of an exchange.

    Parameters
    ----------
    answer : UpstreamResponse, optional
        Headers of the response, with the body unless it was relayed; None if no headers arrived.
    complete : bool
        Whether the response was received completely.
    detail : str
        Cause of an incomplete response.
    reusable : bool
        Whether the connection can carry another request.
    framed : bool
        Whether a length or chunks delimit the response, which otherwise ends with its connection.
    """

    answer: UpstreamResponse | None = None
    complete: bool = False
    detail: str = ""
    reusable: bool = False
    framed: bool = True


HeadersHandler = Callable[[UpstreamResponse], bool]
DataHandler = Callable[[bytes], Awaitable[None]]


@dataclass(slots=True)
class _ResponseReader(HTTPMessageDelegate):
    """Collects or relays the response to one request and discards responses to other requests."""

    wire: WireFormat
    request_id: str
    connection: UpstreamConnection
    on_headers: HeadersHandler | None
    on_data: DataHandler | None
    answer: UpstreamResponse | None = None
    problem: str = ""
    mismatched: bool = False
    relayed: bool = False
    finished: bool = False
    framed: bool = False
    received_bytes: int = 0
    parsed_head_bytes: int = 0
    holder: Holder = field(default_factory=lambda: Holder(HELD_BYTES))
    body: bytearray = field(default_factory=bytearray)

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Store status and headers, and decide whether the body is relayed."""
        if 100 <= start_line.code < 200:
            return
        self.parsed_head_bytes = self.connection.stream.parsed_bytes
        metadata = self.wire.decode_response(start_line.code, headers)
        if metadata.request_id is None and self.request_id and self.connection.reused:
            # It may be a second copy of the response to an earlier request.
            self.problem = f"response {start_line.code} without the id of its request"
            raise HTTPInputError(self.problem)
        if metadata.request_id is not None and metadata.request_id != self.request_id:
            self.mismatched = True
            return
        self.answer = UpstreamResponse(start_line.code, start_line.reason, headers, metadata)
        self.framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if self.on_headers is not None:
            self.relayed = self.on_headers(self.answer)

    async def data_received(self, chunk: bytes) -> None:
        """Relay or store a chunk of the body."""
        if self.relayed:
            try:
                await self.on_data(chunk)
            except HTTPInputError as error:
                self.problem = str(error)
                raise
            return
        self.received_bytes += len(chunk)
        if self.received_bytes > MAX_RESPONSE_BYTES:
            raise HTTPInputError(f"response exceeds {MAX_RESPONSE_BYTES} bytes")
        stream = self.connection.stream
        if stream.has_excessive_framing(self.parsed_head_bytes, self.received_bytes):
            raise HTTPInputError(f"{self.received_bytes} bytes came in too many chunks")
        if self.mismatched:
            return
        if not self.holder.resize(len(self.body) + len(chunk)):
            raise HTTPInputError(f"responses in progress exceed {HELD_BYTES.limit} bytes")
        self.body += chunk

    def finish(self) -> None:
        """Mark the message as completely received."""
        self.finished = True

    def on_connection_close(self) -> None:
        """Leave the response incomplete if the connection closes early."""

    def release(self) -> None:
        """Stop counting the body as held, once it is forwarded or discarded."""
        self.holder.release()


async def exchange(
    connection: UpstreamConnection,
    request: CallerRequest,
    headers: HTTPHeaders,
    wire: WireFormat,
    on_headers: HeadersHandler | None = None,
    on_data: DataHandler | None = None,
) -> ExchangeResult:
    """Send a request and read its response.

    Parameters
    ----------
    connection : UpstreamConnection
        Connection to the upstream; the calling code closes it or returns it to the pool afterwards.
    request : CallerRequest
        Provides method, target and body.
    headers : HTTPHeaders
        Headers of this send.
    wire : WireFormat
        Decodes the headers of the response.
    on_headers : callable, optional
        Called with the headers of the response; returns whether its body is relayed.
    on_data : coroutine function, optional
        Called with each chunk of a relayed body.
    """
    parameters = HTTP1ConnectionParameters(
        max_body_size=MAX_STREAM_BYTES, chunk_size=READ_CHUNK_BYTES
    )
    reader = None
    for count in range(MAX_SKIPPED_RESPONSES):
        http_connection = HTTP1Connection(connection.stream, True, parameters)
        if count == 0:
            _send(http_connection, request, headers)
        else:
            http_connection.finish()
        reader = _ResponseReader(wire, request.request_id, connection, on_headers, on_data)
        try:
            await http_connection.read_response(reader)
        except (StreamClosedError, UnsatisfiableReadError, HTTPInputError, OSError) as error:
            return ExchangeResult(reader.answer, False, f"connection broke: {error}")
        finally:
            reader.release()
        if not reader.mismatched:
            break
    return _make_result(connection, reader)


def _send(http_connection: HTTP1Connection, request: CallerRequest, headers: HTTPHeaders) -> None:
    start_line = RequestStartLine(request.method, request.target, "HTTP/1.1")
    # The response is read while the body is still being sent: an upstream may respond early.
    http_connection.write_headers(start_line, headers, request.body or None)
    http_connection.finish()


def _make_result(connection: UpstreamConnection, reader: _ResponseReader) -> ExchangeResult:
    response = reader.answer
    if response is None or not reader.finished:
        detail = reader.problem or "incomplete or unreadable response"
        return ExchangeResult(response, False, detail)
    response.body = bytes(reader.body)
    stream = connection.stream
    if not reader.framed and stream.error is not None:
        # Without a length, only an orderly close ends the response; after a reset it is incomplete.
        return ExchangeResult(
            response, False, f"connection reset before the end of the response: {stream.error}"
        )
    closes = response.headers.get("Connection", "").lower() == "close"
    reusable = reader.framed and not closes and not stream.closed() and not stream.writing()
    return ExchangeResult(response, True, "", reusable, reader.framed)


def parse_keep_alive_s(response: UpstreamResponse) -> float | None:
    """Return the Keep-Alive timeout that an upstream states in a response, in seconds."""
    found = _KEEP_ALIVE.search(response.headers.get("Keep-Alive", ""))
    return float(found[1]) if found is not None else None
