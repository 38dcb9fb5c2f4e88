"""HTTP client that sends requests as a caller does."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from laburnumrock.cli._client import CONNECT_TIMEOUT_S, decode_problem
from laburnumrock.errors import ErrorKind, Failure


class EventParser:
    """Incremental parser of server-sent events.

    Parameters
    ----------
    on_event : callable
        Called with the event name (``message`` by default) and the data of each event.
    """

    def __init__(self, on_event: Callable[[str, str], None]) -> None:
        self.on_event = on_event
        self.buffer = b""
        self.name = "message"
        self.data: list[str] = []

    def feed(self, chunk: bytes) -> None:
        """Parse the next chunk of the response body."""
        *lines, self.buffer = (self.buffer + chunk).split(b"\n")
        for line in lines:
            self._read_line(line.rstrip(b"\r").decode("utf-8", "replace"))

    def _read_line(self, line: str) -> None:
        if not line:
            if self.data:
                self.on_event(self.name, "\n".join(self.data))
            self.name, self.data = "message", []
            return
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self.data.append(value)
        elif name == "event":
            self.name = value


@dataclass(slots=True)
class CompletionReader:
    """Handler of the events of a streamed completion.

    Parameters
    ----------
    on_text : callable
        Called with each part of the text.
    """

    on_text: Callable[[str], None]
    finished: bool = False
    failure: Failure | None = None
    body: list[bytes] = field(default_factory=list)

    def handle_event(self, name: str, data: str) -> None:
        """Process one event."""
        if data == "[DONE]":
            self.finished = True
            return
        try:
            document = json.loads(data)
            if name == "error":
                self.failure = _decode_problem_with_request_id(document)
            else:
                self.on_text("".join(choice["text"] for choice in document["choices"]))
        except (ValueError, KeyError, TypeError, AttributeError):
            self.failure = Failure(ErrorKind.UPSTREAM_FAILED, f"malformed event {data[:80]!r}")


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """HTTP request of a caller.

    Parameters
    ----------
    method, path : str
        HTTP method, and URL path with a leading slash.
    headers : dict of str to str
        HTTP headers.
    body : bytes, optional
        Request body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes | None


def send_request(
    servers: list[str],
    request: CallerRequest,
    timeout_s: float,
    on_text: Callable[[str], None] | None = None,
) -> Result[bytes, Failure]:
    """Send a request to the first server that accepts a connection.

    Parameters
    ----------
    servers : list of str
        Base URLs in the order of preference.
    request : CallerRequest
        Request to send.
    timeout_s : float, > 0
        Maximum time to wait for the complete response, in seconds.
    on_text : callable, optional
        If given, the response is read as an event stream, and this is called with each part of
        its text.

    Returns
    -------
    Result
        Response body, empty for a stream; or the failure. The next server is tried only after a
        refused connection, because otherwise the request may already have run.
    """
    failure = Failure(ErrorKind.PEER_UNREACHABLE, "no --server given")
    for server in servers:
        result = asyncio.run(_send(server, request, timeout_s, on_text))
        if result.is_ok() or result.unwrap_err().kind is not ErrorKind.PEER_UNREACHABLE:
            return result
        failure = result.unwrap_err()
    return Err(failure)


async def _send(
    server: str,
    request: CallerRequest,
    timeout_s: float,
    on_text: Callable[[str], None] | None,
) -> Result[bytes, Failure]:
    reader = CompletionReader(on_text) if on_text is not None else None
    http_request = HTTPRequest(
        server.rstrip("/") + request.path,
        method=request.method,
        headers=request.headers,
        body=request.body,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        request_timeout=timeout_s,
        follow_redirects=False,
        allow_nonstandard_methods=True,
        streaming_callback=None if reader is None else _make_streaming_callback(reader),
    )
    client = AsyncHTTPClient(force_instance=True)
    try:
        response = await client.fetch(http_request, raise_error=False)
    except ConnectionRefusedError as error:
        return Err(Failure(ErrorKind.PEER_UNREACHABLE, f"{server}: {error}"))
    except (OSError, HTTPClientError, ValueError) as error:
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, f"{server}: {error}"))
    finally:
        client.close()
    return _decode_response(response, reader)


def _make_streaming_callback(reader: CompletionReader) -> Callable[[bytes], None]:
    parser = EventParser(reader.handle_event)

    def on_chunk(chunk: bytes) -> None:
        reader.body.append(chunk)
        parser.feed(chunk)

    return on_chunk


def _decode_response(
    response: HTTPResponse, reader: CompletionReader | None
) -> Result[bytes, Failure]:
    if response.code == 599:
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, str(response.reason)))
    body = response.body if reader is None else b"".join(reader.body)
    if response.code >= 400:
        try:
            return Err(_decode_problem_with_request_id(json.loads(body)))
        except (ValueError, AttributeError):
            return Err(Failure(ErrorKind.INTERNAL, f"status {response.code}"))
    if reader is None:
        return Ok(body)
    if reader.failure is not None:
        return Err(reader.failure)
    if not reader.finished:
        return Err(Failure(ErrorKind.UPSTREAM_FAILED, "the stream ended without [DONE]"))
    return Ok(b"")


def _decode_problem_with_request_id(document: dict) -> Failure:
    """Decode a problem document, and add the request id by which the logs can be searched."""
    failure = decode_problem(document)
    request_id = document.get("request_id")
    if request_id is None:
        return failure
    return replace(failure, detail=f"{failure.detail} (request {request_id})")
