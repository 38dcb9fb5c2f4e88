"""One request on one connection to an upstream, and what its answer proves.

Notes
-----
A failure before the first byte of the request is sent proves that nothing ran. After that, only a
complete answer proves anything: a kept connection that breaks leaves the outcome open.
"""

import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPInputError, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError, UnsatisfiableReadError

from laburnumrock.forwarding._channels import Channel
from laburnumrock.forwarding._wire import AnswerFacts, CallerRequest, WireFormat

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
"""Largest answer; far above what the services of both users send."""
READ_CHUNK_BYTES = 64 * 1024
MAX_SKIPPED_RESPONSES = 4
"""Answers to other requests that are skipped on one connection before it is given up."""
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")


@dataclass(slots=True)
class UpstreamResponse:
    """Answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    reason : str
        Reason phrase.
    headers : HTTPHeaders
        Headers as received.
    facts : AnswerFacts
        What they say.
    body : bytes
        Body, unless it was relayed.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    facts: AnswerFacts
    body: bytes = b""


@dataclass(slots=True)
class ExchangeResult:
    """How an exchange ended.

    Parameters
    ----------
    answer : Answer, optional
        Headers of the answer, with the body unless it was relayed.
    complete : bool
        Whether the answer was received whole.
    detail : str
        What broke an incomplete one.
    reusable : bool
        Whether the connection can carry another request.
    """

    response: UpstreamResponse | None = None
    complete: bool = False
    detail: str = ""
    reusable: bool = False


HeadersHandler = Callable[[UpstreamResponse], bool]
DataHandler = Callable[[bytes], Awaitable[None]]


@dataclass(slots=True)
class _ResponseReader(HTTPMessageDelegate):
    """Collects or relays the answer to one request and drops all others."""

    wire: WireFormat
    request_id: str
    on_headers: HeadersHandler | None
    on_data: DataHandler | None
    response: UpstreamResponse | None = None
    mismatched: bool = False
    relayed: bool = False
    finished: bool = False
    framed: bool = False
    chunks: list[bytes] = field(default_factory=list)

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Keep status and headers."""
        if 100 <= start_line.code < 200:
            return
        facts = self.wire.decode_response(start_line.code, headers)
        if facts.request_id is not None and facts.request_id != self.request_id:
            self.mismatched = True
            return
        self.response = UpstreamResponse(start_line.code, start_line.reason, headers, facts)
        self.framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if self.on_headers is not None:
            self.relayed = self.on_headers(self.response)

    async def data_received(self, chunk: bytes) -> None:
        """Relay or keep a part of the body."""
        if self.relayed:
            await self.on_data(chunk)
        elif not self.mismatched:
            self.chunks.append(chunk)

    def finish(self) -> None:
        """Note that the whole message was received."""
        self.finished = True

    def on_connection_close(self) -> None:
        """Leave the answer incomplete."""


async def exchange(
    channel: Channel,
    request: CallerRequest,
    headers: HTTPHeaders,
    wire: WireFormat,
    on_headers: HeadersHandler | None = None,
    on_data: DataHandler | None = None,
) -> ExchangeResult:
    """Send a request and read its answer.

    Parameters
    ----------
    channel : Channel
        Connection; the caller closes or keeps it afterwards.
    request : CallerRequest
        Gives method, target and body.
    headers : HTTPHeaders
        Headers of this send.
    wire : WireFormat
        Reads the answer's headers.
    on_headers : callable, optional
        Gets the answer's headers and returns whether its body is relayed.
    on_data : coroutine function, optional
        Gets the parts of a relayed body.
    """
    parameters = HTTP1ConnectionParameters(
        max_body_size=MAX_RESPONSE_BYTES, chunk_size=READ_CHUNK_BYTES
    )
    reader = None
    for count in range(MAX_SKIPPED_RESPONSES):
        connection = HTTP1Connection(channel.stream, True, parameters)
        if count == 0:
            _send(connection, request, headers)
        else:
            connection.finish()
        reader = _ResponseReader(wire, request.request_id, on_headers, on_data)
        try:
            await connection.read_response(reader)
        except (StreamClosedError, UnsatisfiableReadError, HTTPInputError, OSError) as error:
            return ExchangeResult(reader.response, False, f"connection broke: {error}")
        if not reader.mismatched:
            break
    return _make_result(channel, reader)


def _send(connection: HTTP1Connection, request: CallerRequest, headers: HTTPHeaders) -> None:
    start_line = RequestStartLine(request.method, request.target, "HTTP/1.1")
    # The answer is read while the body is still being sent: an upstream may answer early.
    connection.write_headers(start_line, headers, request.body or None)
    connection.finish()


def _make_result(channel: Channel, reader: _ResponseReader) -> ExchangeResult:
    response = reader.response
    if response is None or not reader.finished:
        return ExchangeResult(response, False, "incomplete or unreadable answer")
    response.body = b"".join(reader.chunks)
    stream = channel.stream
    if not reader.framed and stream.error is not None:
        # Without a length only an orderly close ends the answer; a reset leaves it incomplete.
        return ExchangeResult(response, False, f"reset before the end: {stream.error}")
    closes = response.headers.get("Connection", "").lower() == "close"
    reusable = reader.framed and not closes and not stream.closed() and not stream.writing()
    return ExchangeResult(response, True, "", reusable)


def parse_keep_alive_s(response: UpstreamResponse) -> float | None:
    """Return the idle time that an upstream states in an answer, in seconds."""
    found = _KEEP_ALIVE.search(response.headers.get("Keep-Alive", ""))
    return float(found[1]) if found is not None else None
