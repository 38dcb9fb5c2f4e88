"""Scripted upstreams, a scripted dispatcher and a caller on loopback sockets."""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field

from tornado.iostream import StreamClosedError

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchCall,
    LimitReport,
    SendEnded,
    SendOutcome,
    StallAdvice,
    UpstreamStatement,
)
from laburnumrock.forwarding import (
    ConnectionPool,
    ConnectionPoolSettings,
    ForwardingContext,
    ForwardingSettings,
    FrontendServer,
    Reservations,
)
from laburnumrock.metrics import NodeMetrics
from laburnumrock.platform._wire import PlatformWire
from laburnumrock.routing import (
    AccountEntry,
    RequestKind,
    Route,
    RouteSet,
    RouteTable,
    Service,
    ServiceShare,
)

HOST = "127.0.0.1"
MAX_HEAD_BYTES = 1024 * 1024
"""Maximum size of the head of a request that an upstream reads."""


@dataclass(slots=True)
class ReceivedRequest:
    """Request as an upstream received it."""

    line: str
    headers: dict[str, str]
    body: bytes


Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter, ReceivedRequest], Awaitable[None]]


class ScriptedUpstream:
    """Upstream that runs the n-th script for its n-th request, and the last one thereafter."""

    def __init__(self, *scripts: Script) -> None:
        self.scripts = list(scripts)
        self.received: list[ReceivedRequest] = []
        self.connections = 0
        self.closed_s: list[float] = []
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=MAX_HEAD_BYTES)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                received = await read_request(reader)
                self.received.append(received)
                number = min(len(self.received), len(self.scripts)) - 1
                await self.scripts[number](reader, writer, received)
                if writer.is_closing():
                    break
        self.closed_s.append(asyncio.get_running_loop().time())
        writer.close()


async def read_request(reader: asyncio.StreamReader) -> ReceivedRequest:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.strip().split("\r\n")
    headers = dict(entry.split(": ", 1) for entry in rest)
    body = await reader.readexactly(int(headers.get("Content-Length", "0")))
    return ReceivedRequest(line, headers, body)


def answer(status: int = 200, body: bytes = b"done", signed: bool = True, **headers: str) -> Script:
    """Send a response with a Content-Length."""

    async def run(reader, writer, received: ReceivedRequest) -> None:
        writer.write(make_head(status, received, signed, len(body), headers) + body)
        await writer.drain()

    return run


def respond_raw(data: bytes, close: bool = True) -> Script:
    """Send raw bytes, with the request identifier in place of ``{id}``."""

    async def run(reader, writer, received: ReceivedRequest) -> None:
        writer.write(data.replace(b"{id}", received.headers["Request-Id"].encode()))
        await writer.drain()
        if close:
            writer.close()

    return run


def stream(
    first: int,
    last: int,
    cut: bytes | None = None,
    pause_s: float = 0.0,
    delay_s: float = 0.0,
    **headers: str,
) -> Script:
    """Send the events `first` to `last`; if `cut` is set, send it and close with the body open."""

    async def run(reader, writer, received: ReceivedRequest) -> None:
        await asyncio.sleep(delay_s)
        values = {"Content-Type": "text/event-stream", **headers}
        head = make_head(200, received, True, None, values)
        writer.write(head)
        for number in range(first, last + 1):
            write_chunk(writer, make_event(number))
            await writer.drain()
            await asyncio.sleep(pause_s)
        if cut is None:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return
        write_chunk(writer, cut)
        await writer.drain()
        writer.close()

    return run


def hang() -> Script:
    """Never respond."""

    async def run(reader, writer, received: ReceivedRequest) -> None:
        await reader.read()
        writer.close()

    return run


def make_event(number: int) -> bytes:
    return f"id: {number}\ndata: piece {number}\n\n".encode()


def write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")


def make_head(
    status: int,
    received: ReceivedRequest,
    signed: bool,
    length: int | None,
    headers: dict[str, str],
) -> bytes:
    lines = [f"HTTP/1.1 {status} Reason", f"Request-Id: {received.headers.get('Request-Id', '')}"]
    if signed:
        lines.append("Server-Signature: proof")
    lines.append(
        f"Content-Length: {length}" if length is not None else "Transfer-Encoding: chunked"
    )
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


class ScriptedDispatcher:
    """Dispatcher that places the n-th call on the n-th upstream."""

    def __init__(self, upstreams: list[ScriptedUpstream]) -> None:
        self.upstreams = upstreams
        self.calls: list[DispatchCall] = []
        self.outcomes: list[SendOutcome] = []
        self.ended: list[SendEnded] = []
        self.limits: list[LimitReport] = []
        self.statements: list[UpstreamStatement] = []
        self.refusal: DispatchAnswer | None = None
        # Answers to single calls, by their number from 1.
        self.refused: dict[int, DispatchAnswer] = {}
        self.advises_to_give_up = False

    async def place(self, call: DispatchCall) -> DispatchAnswer:
        self.calls.append(call)
        refusal = self.refused.get(len(self.calls), self.refusal)
        if refusal is not None:
            return refusal
        number = min(len(self.calls), len(self.upstreams))
        port = self.upstreams[number - 1].port
        return DispatchAnswer(len(self.calls), f"u{number}", HOST, port, 0.01)

    def record_sent(self, call, placement) -> None:
        pass

    def record_started(self, message) -> None:
        pass

    def record_limit(self, report: LimitReport) -> None:
        self.limits.append(report)

    def record_statement(self, statement: UpstreamStatement) -> None:
        self.statements.append(statement)

    async def report_stall(self, message) -> StallAdvice:
        return StallAdvice(self.advises_to_give_up)

    def record_ended(self, message: SendEnded) -> None:
        self.outcomes.append(message.outcome)
        self.ended.append(message)


@dataclass(slots=True)
class CallerResponse:
    """Response as the caller received it."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool


@dataclass(slots=True)
class FrontendHarness:
    """Frontend server under test, with its dispatcher and port."""

    server: FrontendServer
    dispatcher: ScriptedDispatcher
    context: ForwardingContext
    port: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def connect(self):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        self.writers.append(writer)
        return reader, writer

    async def request(
        self, path: str = "/r/x", method: str = "POST", body: bytes = b"{}", **headers: str
    ) -> CallerResponse:
        reader, writer = await self.connect()
        writer.write(make_request(path, method, body, headers))
        return await read_response(reader)


def make_request(path: str, method: str, body: bytes, headers: dict[str, str]) -> bytes:
    values = {
        "Host": "a.example",
        "Request-Id": "r1",
        "Deadline-Ms": "3000",
        "Authorization": "Token k1",
        **{name.replace("_", "-"): value for name, value in headers.items()},
    }
    lines = [f"{method} {path} HTTP/1.1", *(f"{name}: {value}" for name, value in values.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_response(reader: asyncio.StreamReader) -> CallerResponse:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, *rest = head.strip().split("\r\n")
    headers = dict(entry.split(": ", 1) for entry in rest)
    status = int(line.split()[1])
    try:
        if headers.get("Transfer-Encoding") == "chunked":
            return CallerResponse(status, headers, *await read_chunks(reader))
        body = await reader.readexactly(int(headers["Content-Length"]))
        return CallerResponse(status, headers, body, True)
    except asyncio.IncompleteReadError as error:
        return CallerResponse(status, headers, error.partial, False)


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    body = b""
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    return body, False


def make_routes(max_attempts: int = 2) -> RouteTable:
    shares = (ServiceShare("llm"),)
    common = {"host": "a.example", "shares": shares, "timeout_s": 2.0, "goal_s": 0.3}
    kinds = RequestKind
    routes = (
        Route("once", path_prefix="/once/", kind=kinds.NON_IDEMPOTENT, **common),
        Route("r", path_prefix="/r/", kind=kinds.IDEMPOTENT, max_attempts=2, **common),
        Route(
            "s",
            path_prefix="/s/",
            kind=kinds.STREAMING,
            max_attempts=max_attempts,
            resumable=True,
            gap_goal_s=0.1,
            **common,
        ),
        Route("open", path_prefix="/open/", kind=kinds.IDEMPOTENT, anonymous=True, **common),
    )
    accounts = (AccountEntry("tenant-one", ("k1",)),)
    return RouteTable(RouteSet(1, routes, (Service("llm"),), accounts))


@contextlib.asynccontextmanager
async def open_frontend(
    *upstreams: ScriptedUpstream, **settings: float
) -> AsyncIterator[FrontendHarness]:
    """Start a frontend server in front of scripted upstreams."""
    for upstream in upstreams:
        await upstream.start()
    dispatcher = ScriptedDispatcher(list(upstreams))
    pool = ConnectionPool(ConnectionPoolSettings())
    wire = PlatformWire()
    context = ForwardingContext(
        ForwardingSettings(**settings),
        wire,
        dispatcher,
        pool,
        Reservations(pool, wire, dispatcher.record_statement),
        NodeMetrics(),
        random.Random(1),
        make_routes(),
    )
    server = FrontendServer(context)
    server.listen(HOST, 0)
    frontend = FrontendHarness(server, dispatcher, context)
    frontend.port = server.port
    try:
        yield frontend
    finally:
        for writer in frontend.writers:
            writer.close()
        server.stop_listening()
        await server.finish(1.0)
        pool.close()
        for upstream in upstreams:
            upstream.server.close()


class ClosedConnection:
    """Connection of a caller that has disconnected."""

    def __init__(self) -> None:
        self.stream = self
        self.error: Exception | None = None

    def closed(self) -> bool:
        return True

    def writing(self) -> bool:
        return False

    def set_nodelay(self, value: bool) -> None:
        pass

    def set_max_body_size(self, size: int) -> None:
        pass

    def write_headers(self, start_line, headers, chunk=None) -> None:
        pass

    async def write(self, chunk: bytes) -> None:
        raise StreamClosedError

    def close(self) -> None:
        pass
