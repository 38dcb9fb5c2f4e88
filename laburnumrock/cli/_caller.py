"""HTTP client for requests as a caller sends them."""

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from laburnumrock.cli._client import CONNECT_TIMEOUT_S, read_problem
from laburnumrock.errors import ErrorKind, Failure


class EventParser:
    """Reads server-sent events from pieces of a body.

    Parameters
    ----------
    on_event : callable
        Called with the event name (``message`` by default) and the data of each event.
    """

    def __init__(self, on_event: Callable[[str, str], None]) -> None:
        self.on_event = on_event
        self.rest = b""
        self.name = "message"
        self.data: list[str] = []

    def feed(self, piece: bytes) -> None:
        """Take the next piece of the body."""
        *lines, self.rest = (self.rest + piece).split(b"\n")
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
class StreamReader:
    """Collects the text of a streamed completion.

    Parameters
    ----------
    on_text : callable
        Called with each piece of text.
    """

    on_text: Callable[[str], None]
    finished: bool = False
    failure: Failure | None = None
    body: list[bytes] = field(default_factory=list)

    def read_event(self, name: str, data: str) -> None:
        """Take one event."""
        if data == "[DONE]":
            self.finished = True
            return
        try:
            document = json.loads(data)
            if name == "error":
                self.failure = _read_refusal(document)
            else:
                self.on_text("".join(choice["text"] for choice in document["choices"]))
        except (ValueError, KeyError, TypeError, AttributeError):
            self.failure = Failure(ErrorKind.UPSTREAM_FAILED, f"malformed event {data[:80]!r}")


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One request.

    Parameters
    ----------
    method, path : str
        HTTP method, and path with a leading slash.
    headers : dict of str to str
        Headers.
    body : bytes, optional
        Body.
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
        Base URLs.
    request : CallerRequest
        The request.
    timeout_s : float, > 0
        Longest wait for the whole answer in seconds.
    on_text : callable, optional
        Reads the answer as a stream of events and gets each piece of text.

    Returns
    -------
    Result
        Body of the answer, empty for a stream; or the failure. Another server is only tried after
        a refused connection, since otherwise the request may have run.
    """
    failure = Failure(ErrorKind.PEER_UNREACHABLE, "no --server given")
    for server in servers:
        answer = asyncio.run(_send(server, request, timeout_s, on_text))
        if answer.is_ok() or answer.unwrap_err().kind is not ErrorKind.PEER_UNREACHABLE:
            return answer
        failure = answer.unwrap_err()
    return Err(failure)


async def _send(
    server: str,
    request: CallerRequest,
    timeout_s: float,
    on_text: Callable[[str], None] | None,
) -> Result[bytes, Failure]:
    reader = StreamReader(on_text) if on_text is not None else None
    http_request = HTTPRequest(
        server.rstrip("/") + request.path,
        method=request.method,
        headers=request.headers,
        body=request.body,
        connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
        request_timeout=timeout_s,
        follow_redirects=False,
        allow_nonstandard_methods=True,
        streaming_callback=None if reader is None else _make_callback(reader),
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
    return _read_answer(response, reader)


def _make_callback(reader: StreamReader) -> Callable[[bytes], None]:
    parser = EventParser(reader.read_event)

    def take(piece: bytes) -> None:
        reader.body.append(piece)
        parser.feed(piece)

    return take


def _read_answer(response: HTTPResponse, reader: StreamReader | None) -> Result[bytes, Failure]:
    if response.code == 599:
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, str(response.reason)))
    body = response.body if reader is None else b"".join(reader.body)
    if response.code >= 400:
        try:
            return Err(_read_refusal(json.loads(body)))
        except (ValueError, AttributeError):
            return Err(Failure(ErrorKind.INTERNAL, f"status {response.code}"))
    if reader is None:
        return Ok(body)
    if reader.failure is not None:
        return Err(reader.failure)
    if not reader.finished:
        return Err(Failure(ErrorKind.UPSTREAM_FAILED, "the stream ended without [DONE]"))
    return Ok(b"")


def _read_refusal(document: dict) -> Failure:
    """Build the failure of a problem document, with the id that the instances' logs have."""
    failure = read_problem(document)
    request_id = document.get("request_id")
    if request_id is None:
        return failure
    return replace(failure, detail=f"{failure.detail} (request {request_id})")
