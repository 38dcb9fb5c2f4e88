"""HTTP exchange with an upstream on a connection of its own.

Notes
-----
Connections are not pooled: a failure while a new connection opens proves that nothing ran, which
a broken pooled connection cannot prove. The exchange reports a complete answer only when its
framing proves that it is complete (RFC 9112, section 8).

References
----------
"Secret broker errors need proof before retries", sections "Connection setup needs a precise
endpoint" and "A complete remote result settles execution".
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from laburnumrock.errors import ErrorKind, Failure

MAX_ANSWER_BYTES = 64 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024

DataHandler = Callable[[bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One HTTP request to an upstream.

    Parameters
    ----------
    base_url : str
        Address of the upstream.
    method, path : str
        Request line.
    headers : dict of str to str
        Headers besides Host, Connection and Content-Length.
    body : bytes
        Body of the request.
    connect_timeout_s : float, > 0
        Longest wait for the connection in seconds.
    send_before_s : float, optional
        Reading of the monotonic clock after which the first byte must not be sent any more.
    """

    base_url: str
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connect_timeout_s: float = 1.0
    send_before_s: float | None = None


@dataclass(slots=True)
class UpstreamAnswer:
    """Answer of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : HTTPHeaders
        Headers of the answer.
    body : bytes
        Body; empty when a data handler took it.
    """

    status: int
    headers: HTTPHeaders
    body: bytes = b""


class _AnswerReader(HTTPMessageDelegate):
    """Collects an answer and notes whether its framing was complete."""

    def __init__(self, on_data: DataHandler | None) -> None:
        self.on_data = on_data
        self.answer: UpstreamAnswer | None = None
        self.chunks: list[bytes] = []
        self.complete = False
        self.self_delimiting = False

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Keep status and headers."""
        if 100 <= start_line.code < 200:
            return
        self.answer = UpstreamAnswer(start_line.code, headers)
        self.self_delimiting = "Content-Length" in headers or "Transfer-Encoding" in headers

    async def data_received(self, chunk: bytes) -> None:
        """Hand on a part of a successful answer, or keep it."""
        if self.on_data is not None and self.answer is not None and self.answer.status == 200:
            await self.on_data(chunk)
        else:
            self.chunks.append(chunk)

    def finish(self) -> None:
        """Note that the whole answer was received."""
        self.complete = self.answer is not None and self.self_delimiting

    def on_connection_close(self) -> None:
        """Leave the answer incomplete."""


async def exchange(
    call: UpstreamCall, on_data: DataHandler | None = None
) -> Result[UpstreamAnswer, Failure]:
    """Send one request and read the whole answer.

    Parameters
    ----------
    call : UpstreamCall
        The request.
    on_data : coroutine function, optional
        Receives the body of a 200 answer in parts; the upstream is read no faster than it returns.

    Returns
    -------
    Result
        The complete answer. A failure of kind ``connection_failed`` proves that no byte of the
        request was sent; ``upstream_failed`` leaves the outcome open.

    Notes
    -----
    Cancelling the coroutine closes the connection.
    """
    connected = await _connect(call)
    if connected.is_err():
        return connected
    stream = connected.unwrap()
    async with _closing(stream):
        if call.send_before_s is not None and time.monotonic() > call.send_before_s:
            detail = "the time for sending has passed; nothing was sent"
            return Err(Failure(ErrorKind.CONNECTION_FAILED, detail, retry_after_s=1.0))
        reader = _AnswerReader(on_data)
        parameters = HTTP1ConnectionParameters(
            no_keep_alive=True, max_body_size=MAX_ANSWER_BYTES, chunk_size=READ_CHUNK_BYTES
        )
        connection = HTTP1Connection(stream, True, parameters)
        try:
            await _send(connection, call)
            await connection.read_response(reader)
        except (StreamClosedError, OSError) as error:
            return _failed(call, f"connection broke: {error}")
        if not reader.complete or reader.answer is None:
            return _failed(call, "incomplete answer")
        reader.answer.body = b"".join(reader.chunks)
        return Ok(reader.answer)


async def _connect(call: UpstreamCall) -> Result[IOStream, Failure]:
    address = urlsplit(call.base_url)
    try:
        stream = await asyncio.wait_for(
            TCPClient().connect(address.hostname or "", address.port or 80),
            call.connect_timeout_s,
        )
    except (OSError, TimeoutError, StreamClosedError) as error:
        detail = f"cannot connect to the upstream: {error or 'timeout'}"
        return Err(Failure(ErrorKind.CONNECTION_FAILED, detail, retry_after_s=1.0))
    stream.set_nodelay(True)
    return Ok(stream)


async def _send(connection: HTTP1Connection, call: UpstreamCall) -> None:
    headers = HTTPHeaders(call.headers)
    headers["Host"] = urlsplit(call.base_url).netloc
    headers["Connection"] = "close"
    headers["Content-Length"] = str(len(call.body))
    start_line = RequestStartLine(call.method, call.path, "HTTP/1.1")
    await connection.write_headers(start_line, headers, call.body)
    connection.finish()


@contextlib.asynccontextmanager
async def _closing(stream: IOStream) -> AsyncIterator[None]:
    try:
        yield
    finally:
        stream.close()


def _failed(call: UpstreamCall, detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.UPSTREAM_FAILED, f"{call.method} {call.path}: {detail}"))
