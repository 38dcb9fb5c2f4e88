"""HTTP client for upstreams that opens one connection per request.

Notes
-----
Connections are not pooled: a failure to open a new connection proves that the request was not
executed, whereas a broken pooled connection does not. A response is reported as complete only when
its framing proves it (RFC 9112, section 8).

References
----------
"Secret broker errors need proof before retries", sections "Connection setup needs a precise
endpoint" and "A complete remote result settles execution".
"""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import urlsplit

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPInputError, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import Resolver

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.memory import HeldBytes, Holder
from laburnumrock.streams import UpstreamStream

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
HELD_BYTES = HeldBytes(128 * 1024 * 1024)
"""Bodies of all responses in progress that are not passed on as they arrive."""
MAX_BUFFER_BYTES = 512 * 1024
"""Maximum number of unprocessed bytes of a connection."""
READ_CHUNK_BYTES = 64 * 1024
MAX_CRASH_CHECK_S = 0.1
"""Time limit for the connection that shows whether the upstream of a failed attempt has crashed."""

DataHandler = Callable[[bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One HTTP request to an upstream.

    Parameters
    ----------
    base_url : str
        URL of the upstream.
    method, path : str
        Request line.
    headers : dict of str to str
        Headers other than Host, Connection and Content-Length.
    body : bytes
        Request body.
    connect_timeout_s : float, > 0
        Connection timeout in seconds.
    send_deadline_s : float, optional
        Monotonic clock time after which the request must no longer be sent.
    """

    base_url: str
    method: str
    path: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connect_timeout_s: float = 1.0
    send_deadline_s: float | None = None


@dataclass(slots=True)
class UpstreamResponse:
    """Response of an upstream.

    Parameters
    ----------
    status : int
        HTTP status code.
    headers : HTTPHeaders
        Response headers.
    body : bytes
        Response body; empty when it was passed to a data handler.
    """

    status: int
    headers: HTTPHeaders
    body: bytes = b""


class _ResponseReader(HTTPMessageDelegate):
    """Collects a response and records whether its framing was complete."""

    def __init__(self, stream: UpstreamStream, on_data: DataHandler | None) -> None:
        self.stream = stream
        self.on_data = on_data
        self.head_end = 0
        self.response: UpstreamResponse | None = None
        self.chunks: list[bytes] = []
        self.holder = Holder(HELD_BYTES)
        self.received_bytes = 0
        self.complete = False
        self.self_delimiting = False

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Store status and headers, ignoring informational (1xx) responses."""
        if 100 <= start_line.code < 200:
            return
        self.head_end = self.stream.parsed_bytes
        self.response = UpstreamResponse(start_line.code, headers)
        self.self_delimiting = "Content-Length" in headers or "Transfer-Encoding" in headers

    async def data_received(self, chunk: bytes) -> None:
        """Pass body data of a 200 response to the data handler; buffer it otherwise."""
        if not self.self_delimiting:
            raise HTTPInputError("a body without framing can never be complete")
        self.received_bytes += len(chunk)
        if self.stream.has_excessive_framing(self.head_end, self.received_bytes):
            raise HTTPInputError(f"{self.received_bytes} bytes came in too many chunks")
        if self.on_data is not None and self.response is not None and self.response.status == 200:
            await self.on_data(chunk)
            return
        if not self.holder.resize(self.received_bytes):
            raise HTTPInputError(f"responses in progress exceed {HELD_BYTES.limit} bytes")
        self.chunks.append(chunk)

    def release(self) -> None:
        """Discard the body, or stop counting it once it is passed on."""
        self.chunks.clear()
        self.holder.release()

    def finish(self) -> None:
        """Mark the response complete if its framing delimits the body."""
        self.complete = self.response is not None and self.self_delimiting

    def on_connection_close(self) -> None:
        """Do nothing: the response stays marked incomplete."""


async def exchange(
    call: UpstreamCall, on_data: DataHandler | None = None
) -> Result[UpstreamResponse, Failure]:
    """Send one request and read the whole response.

    Parameters
    ----------
    call : UpstreamCall
        Request to send.
    on_data : coroutine function, optional
        Receives the body of a 200 response in chunks. The next chunk is read only after it returns,
        which applies backpressure to the upstream.

    Returns
    -------
    Result
        The complete response. A failure of kind ``connection_failed`` proves that no byte of the
        request was sent; after ``upstream_failed`` the request may or may not have been executed.

    Notes
    -----
    Cancelling the coroutine closes the connection.
    """
    connected = await _connect(call)
    if connected.is_err():
        return connected
    stream = connected.unwrap()
    async with _closing(stream):
        if call.send_deadline_s is not None and time.monotonic() > call.send_deadline_s:
            detail = "the time for sending has passed; nothing was sent"
            return Err(Failure(ErrorKind.CONNECTION_FAILED, detail, retry_after_s=1.0))
        reader = _ResponseReader(stream, on_data)
        parameters = HTTP1ConnectionParameters(
            no_keep_alive=True, max_body_size=MAX_RESPONSE_BYTES, chunk_size=READ_CHUNK_BYTES
        )
        connection = HTTP1Connection(stream, True, parameters)
        try:
            await _send(connection, call)
            await connection.read_response(reader)
            if not reader.complete or reader.response is None:
                return _make_error(call, "incomplete answer")
            reader.response.body = b"".join(reader.chunks)
            return Ok(reader.response)
        except (StreamClosedError, HTTPInputError, OSError) as error:
            return _make_error(call, f"connection broke: {error}")
        finally:
            reader.release()


async def is_refused(base_url: str) -> bool:
    """Return whether an upstream refuses a connection, as one that has crashed does."""
    try:
        stream = await _open_stream(base_url, MAX_CRASH_CHECK_S)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    stream.close()
    return False


async def _open_stream(base_url: str, timeout_s: float) -> UpstreamStream:
    url = urlsplit(base_url)
    error: OSError = ConnectionError(f"no address of {url.hostname}")
    async with asyncio.timeout(timeout_s):
        for family, address in await Resolver().resolve(url.hostname or "", url.port or 80):
            tcp_socket = socket.socket(family, socket.SOCK_STREAM)
            stream = UpstreamStream(tcp_socket, max_buffer_size=MAX_BUFFER_BYTES)
            try:
                return await stream.connect(address)
            except StreamClosedError as closed:
                error = closed.real_error or ConnectionError("closed while connecting")
            except BaseException:
                stream.close()
                raise
    raise error


async def _connect(call: UpstreamCall) -> Result[UpstreamStream, Failure]:
    try:
        stream = await _open_stream(call.base_url, call.connect_timeout_s)
    except (OSError, TimeoutError) as error:
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
async def _closing(stream: UpstreamStream) -> AsyncIterator[None]:
    try:
        yield
    finally:
        stream.close()


def _make_error(call: UpstreamCall, detail: str) -> Err[Failure]:
    return Err(Failure(ErrorKind.UPSTREAM_FAILED, f"{call.method} {call.path}: {detail}"))
