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
from laburnumrock.forwarding._wire import CallerRequest, ResponseMetadata, WireFormat

MAX_ANSWER_BYTES = 64 * 1024 * 1024
"""Largest answer; far above what the services of both users send."""
READ_CHUNK_BYTES = 64 * 1024
MAX_FOREIGN_ANSWERS = 4
"""Answers to other requests that are skipped on one connection before it is given up."""
_KEEP_ALIVE = re.compile(r"timeout=(\d+)")


@dataclass(slots=True)
class Answer:
    """Answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    reason : str
        Reason phrase.
    headers : HTTPHeaders
        Headers as received.
    facts : ResponseMetadata
        What they say.
    body : bytes
        Body, unless it was relayed.
    """

    status: int
    reason: str
    headers: HTTPHeaders
    metadata: ResponseMetadata
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

    answer: Answer | None = None
    complete: bool = False
    detail: str = ""
    reusable: bool = False


StartHandler = Callable[[Answer], bool]
DataHandler = Callable[[bytes], Awaitable[None]]


@dataclass(slots=True)
class _AnswerReader(HTTPMessageDelegate):
    """Collects or relays the answer to one request and drops all others."""

    wire: WireFormat
    request_id: str
    on_start: StartHandler | None
    on_data: DataHandler | None
    answer: Answer | None = None
    foreign: bool = False
    relayed: bool = False
    finished: bool = False
    framed: bool = False
    chunks: list[bytes] = field(default_factory=list)

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Keep status and headers."""
        if 100 <= start_line.code < 200:
            return
        metadata = self.wire.decode_response(start_line.code, headers)
        if metadata.request_id is not None and metadata.request_id != self.request_id:
            self.foreign = True
            return
        self.answer = Answer(start_line.code, start_line.reason, headers, metadata)
        self.framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if self.on_start is not None:
            self.relayed = self.on_start(self.answer)

    async def data_received(self, chunk: bytes) -> None:
        """Relay or keep a part of the body."""
        if self.relayed:
            await self.on_data(chunk)
        elif not self.foreign:
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
    on_start: StartHandler | None = None,
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
    on_start : callable, optional
        Gets the answer's headers and returns whether its body is relayed.
    on_data : coroutine function, optional
        Gets the parts of a relayed body.
    """
    parameters = HTTP1ConnectionParameters(
        max_body_size=MAX_ANSWER_BYTES, chunk_size=READ_CHUNK_BYTES
    )
    reader = None
    for count in range(MAX_FOREIGN_ANSWERS):
        connection = HTTP1Connection(channel.stream, True, parameters)
        if count == 0:
            _send(connection, request, headers)
        else:
            connection.finish()
        reader = _AnswerReader(wire, request.request_id, on_start, on_data)
        try:
            await connection.read_response(reader)
        except (StreamClosedError, UnsatisfiableReadError, HTTPInputError, OSError) as error:
            return ExchangeResult(reader.answer, False, f"connection broke: {error}")
        if not reader.foreign:
            break
    return _conclude(channel, reader)


def _send(connection: HTTP1Connection, request: CallerRequest, headers: HTTPHeaders) -> None:
    start_line = RequestStartLine(request.method, request.target, "HTTP/1.1")
    # The answer is read while the body is still being sent: an upstream may answer early.
    connection.write_headers(start_line, headers, request.body or None)
    connection.finish()


def _conclude(channel: Channel, reader: _AnswerReader) -> ExchangeResult:
    answer = reader.answer
    if answer is None or not reader.finished:
        return ExchangeResult(answer, False, "incomplete or unreadable answer")
    answer.body = b"".join(reader.chunks)
    stream = channel.stream
    if not reader.framed and stream.error is not None:
        # Without a length only an orderly close ends the answer; a reset leaves it incomplete.
        return ExchangeResult(answer, False, f"reset before the end: {stream.error}")
    closes = answer.headers.get("Connection", "").lower() == "close"
    reusable = reader.framed and not closes and not stream.closed() and not stream.writing()
    return ExchangeResult(answer, True, "", reusable)


def stated_idle_s(answer: Answer) -> float | None:
    """Return the idle time that an upstream states in an answer, in seconds."""
    found = _KEEP_ALIVE.search(answer.headers.get("Keep-Alive", ""))
    return float(found[1]) if found is not None else None
