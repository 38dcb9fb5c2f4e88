"""Requests that are held at one stage of their way while something changes, for tests.

Notes
-----
Each stage has a route, a service and upstreams of its own, so that one change meets requests at all
stages at the same time.
"""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, replace
from enum import StrEnum

from laburnumrock.dispatch import Helper
from laburnumrock.forwarding.tests.scripted import (
    HOST,
    CallerResponse,
    ReceivedRequest,
    ScriptedUpstream,
    answer,
    hang,
    make_event,
    make_head,
    make_request,
    read_response,
    write_chunk,
)
from laburnumrock.nodes.tests.deployment import ENTRY, Deployment, wait_until

REQUEST_HEADERS = {"Deadline-Ms": "12000", "Token-Usage": "100,10"}
STREAM_HEADERS = {"Content-Type": "text/event-stream"}
LARGE_BODY = b"x" * 3_000_000
LARGE_EVENTS = [b"id: %d\ndata: " % number + b"x" * 60_000 + b"\n\n" for number in range(1, 51)]
WHOLE_BODIES = (b"done", LARGE_BODY, make_event(1) + make_event(2), b"".join(LARGE_EVENTS))
READ_TIMEOUT_S = 14.0
"""Longer than the time limit of a request, so that a caller without an answer is noticed."""


class Phase(StrEnum):
    """What a request has at its stage, which decides what a change may still do to it."""

    EARLY = "not yet admitted"
    UNPLACED = "admitted, needs a placement"
    PLACED = "placed"


class Trial:
    """One request that is held at its stage.

    Parameters
    ----------
    deployment : Deployment
        Nodes that serve the request.
    stage : Stage
        Stage at which it is held.
    """

    def __init__(self, deployment: Deployment, stage: "Stage") -> None:
        self.deployment = deployment
        self.stage = stage
        self.service = f"s-{stage.name}"
        self.path = f"/{stage.name}/x"
        self.held = asyncio.Event()
        self.released = asyncio.Event()
        self.upstreams = [ScriptedUpstream(self.answer_held) for _ in range(stage.upstream_count)]
        self.others: list[ScriptedUpstream] = []
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.earlier: list[asyncio.StreamWriter] = []

    async def answer_held(self, reader, writer, received: ReceivedRequest) -> None:
        """Answer once the request is released."""
        self.held.set()
        await self.released.wait()
        await answer()(reader, writer, received)

    async def connect(self, receive_bytes: int = 0) -> None:
        """Open the caller's connection, optionally with a small receive buffer."""
        with socket.socket() as caller:
            if receive_bytes:
                caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
            caller.connect((ENTRY, self.deployment.ports[0]))
            self.reader, self.writer = await asyncio.open_connection(
                sock=caller.dup(), limit=receive_bytes or 65_536
            )

    def encode(self, body: bytes = b"{}", request_id: str = "") -> bytes:
        headers = {**REQUEST_HEADERS, "Request-Id": request_id or self.stage.name}
        return make_request(self.path, "POST", body, headers)

    async def send(self, body: bytes = b"{}") -> None:
        """Send the whole request."""
        await self.connect()
        self.writer.write(self.encode(body))

    def hold_call(self, name: str, target: object, is_own: Callable) -> None:
        """Let calls of a coroutine function that belong to the request wait for its release.

        Parameters
        ----------
        name : str
            Name of the function, an attribute of `target`.
        target : object
            Owner of the function.
        is_own : callable
            Returns whether a call with these arguments belongs to the request.
        """
        original = getattr(target, name)

        async def call(*args):
            if is_own(*args):
                self.held.set()
                await self.released.wait()
            return await original(*args)

        setattr(target, name, call)

    async def read(self) -> str:
        """Return what the caller got: a status code, or how its connection ended."""
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                response = await read_response(self.reader)
        except TimeoutError:
            return "nothing"
        except (asyncio.IncompleteReadError, ConnectionError):
            return "closed"
        return describe(response)

    def count_runs(self) -> int:
        """Return how often an upstream of the deployment got the request."""
        return sum(
            received.headers.get("Request-Id") == self.stage.name
            for upstream in (*self.upstreams, *self.others)
            for received in upstream.received
        )

    def close(self) -> None:
        for writer in (self.writer, *self.earlier):
            if writer is not None:
                writer.close()
        for upstream in (*self.upstreams, *self.others):
            upstream.server.close()


def describe(response: CallerResponse) -> str:
    """Return the status code of a response, or that it is cut or has a wrong body."""
    if not response.complete:
        return "cut"
    if response.status == 200 and response.body not in WHOLE_BODIES:
        return f"wrong body {response.body[:60]!r}"
    return str(response.status)


@dataclass(frozen=True, slots=True)
class Stage:
    """Stage of a request.

    Parameters
    ----------
    name : str
        Name of the stage.
    hold : callable
        Asynchronous generator: it yields once the request is at the stage, and then releases it.
    phase : Phase
        What the request has at this stage.
    kind : str
        Kind of the route.
    upstream_count, slots : int
        Number of upstreams of its service, and slots of each.
    is_last : bool
        Whether the stage is reached after the others, in the order of the registry: a wait that
        ends soon, or one that needs the routes taken from the entry.
    """

    name: str
    hold: Callable[[Trial], AsyncIterator[None]]
    phase: Phase
    kind: str = "non_idempotent"
    upstream_count: int = 1
    slots: int = 8
    is_last: bool = False


STAGES: dict[str, Stage] = {}


def register_stage(phase: Phase, **values):
    """Register an asynchronous generator that holds a request at a stage."""

    def register(hold):
        name = hold.__name__.replace("_", "-")
        STAGES[name] = Stage(name, contextlib.asynccontextmanager(hold), phase, **values)
        return hold

    return register


@register_stage(Phase.EARLY)
async def head(trial: Trial):
    """A part of the header has arrived."""
    await trial.connect()
    data = trial.encode()
    trial.writer.write(data[:40])
    await asyncio.sleep(0.02)
    yield
    trial.writer.write(data[40:])
    trial.released.set()


@register_stage(Phase.EARLY)
async def body(trial: Trial):
    """The header and a part of the body have arrived."""
    await trial.connect()
    data = trial.encode(b"x" * 50_000)
    trial.writer.write(data[:-20_000])
    frontend = trial.deployment.entry.frontend
    await wait_until(
        lambda: any(
            reader.request is not None and reader.request.request_id == "body"
            for reader in frontend.connections.values()
        )
    )
    yield
    trial.writer.write(data[-20_000:])
    trial.released.set()


@register_stage(Phase.EARLY)
async def idle(trial: Trial):
    """The connection has carried a request and is idle."""
    trial.upstreams[0].scripts = [answer()]
    await trial.connect()
    trial.writer.write(trial.encode(request_id="earlier"))
    assert await trial.read() == "200"
    yield
    trial.writer.write(trial.encode())


@register_stage(Phase.PLACED)
async def placed(trial: Trial):
    """The request has a permit that is not yet used."""
    entry = trial.deployment.entry
    place = entry.place

    async def place_and_hold(call):
        placement = await place(call)
        if call.request_id == "placed":
            trial.held.set()
            await trial.released.wait()
        return placement

    entry.place = place_and_hold
    await trial.send()
    await trial.held.wait()
    yield
    trial.released.set()


@register_stage(Phase.PLACED)
async def reserving(trial: Trial):
    """Memory for a part of the prompt is being reserved."""
    helper = ScriptedUpstream(trial.answer_held)
    await helper.start()
    trial.others.append(helper)
    entry = trial.deployment.entry
    place = entry.place

    async def place_with_helper(call):
        placement = await place(call)
        if call.request_id != "reserving" or not placement.permit:
            return placement
        return replace(placement, helpers=[Helper("u-helper", HOST, helper.port, 100)])

    entry.place = place_with_helper
    await trial.send()
    await trial.held.wait()
    yield
    trial.released.set()


@register_stage(Phase.PLACED)
async def connecting(trial: Trial):
    """The connection to the upstream is being opened."""
    port = trial.upstreams[0].port
    trial.hold_call("open", trial.deployment.entry.pool, lambda _, target, *rest: target == port)
    await trial.send()
    await trial.held.wait()
    yield
    trial.released.set()


@register_stage(Phase.PLACED)
async def sent(trial: Trial):
    """The upstream has the request and has sent nothing."""
    await trial.send()
    await trial.held.wait()
    yield
    trial.released.set()


@register_stage(Phase.PLACED, kind="streaming")
async def streaming(trial: Trial):
    """The first of two events has reached the caller."""

    async def send_events(reader, writer, received) -> None:
        writer.write(make_head(200, received, True, None, STREAM_HEADERS))
        write_chunk(writer, make_event(1))
        trial.held.set()
        await trial.released.wait()
        write_chunk(writer, make_event(2))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    trial.upstreams[0].scripts = [send_events]
    await trial.send()
    await trial.held.wait()
    yield
    trial.released.set()


def break_off(trial: Trial, is_held: bool):
    """Return a script that sends the first of two events and then closes the connection."""

    async def send_one(reader, writer, received) -> None:
        writer.write(make_head(200, received, True, None, STREAM_HEADERS))
        write_chunk(writer, make_event(1))
        await writer.drain()
        if is_held:
            trial.held.set()
            await trial.released.wait()
        # Tornado drops what arrives in one read with the end of the connection.
        await asyncio.sleep(0.05)
        writer.close()

    return send_one


def send_rest(trial: Trial, is_held: bool):
    """Return a script that goes on with the second event, or breaks off after the first."""

    async def run(reader, writer, received) -> None:
        if "Last-Event-Id" not in received.headers:
            await break_off(trial, not is_held)(reader, writer, received)
            return
        if is_held:
            trial.held.set()
            await trial.released.wait()
        writer.write(make_head(200, received, True, None, STREAM_HEADERS))
        write_chunk(writer, make_event(2))
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return run


@register_stage(Phase.UNPLACED, kind="streaming", upstream_count=2)
async def breaking(trial: Trial):
    """The upstream breaks off after the first event, so that the stream needs another one."""
    for upstream in trial.upstreams:
        upstream.scripts = [send_rest(trial, is_held=False)]
    await trial.send()
    await trial.held.wait()
    yield
    trial.released.set()


@register_stage(Phase.PLACED, kind="streaming", upstream_count=2)
async def resuming(trial: Trial):
    """Another upstream has the rest of the stream and has sent nothing."""
    for upstream in trial.upstreams:
        upstream.scripts = [send_rest(trial, is_held=True)]
    await trial.send()
    await trial.held.wait()
    yield
    trial.released.set()


@register_stage(Phase.PLACED, kind="idempotent", upstream_count=2)
async def overdue(trial: Trial):
    """The first upstream is silent, and a second one has the request too."""

    async def answer_second(reader, writer, received) -> None:
        if trial.count_runs() < 2:
            await hang()(reader, writer, received)
            return
        await trial.answer_held(reader, writer, received)

    for upstream in trial.upstreams:
        upstream.scripts = [answer_second]
    await trial.send()
    await trial.held.wait()
    yield
    trial.released.set()


@register_stage(Phase.PLACED, kind="idempotent", slots=1)
async def overdue_alone(trial: Trial):
    """The only upstream is silent, so that another one is sought in vain."""
    await trial.send()
    await trial.held.wait()
    calls = trial.deployment.entry.frontend.tasks.values()
    own = next(one for one in calls if one.request.request_id == trial.stage.name)
    await wait_until(lambda: own.attempts and own.attempts[0].is_overdue)
    yield
    trial.released.set()


@register_stage(Phase.PLACED)
async def slow_reading(trial: Trial):
    """The caller reads none of a large response."""
    trial.upstreams[0].scripts = [answer(200, LARGE_BODY)]
    await trial.connect(4096)
    trial.writer.transport.pause_reading()
    trial.writer.write(trial.encode())
    await wait_until(lambda: trial.upstreams[0].received)
    yield
    trial.writer.transport.resume_reading()


@register_stage(Phase.PLACED, kind="streaming")
async def slow_stream(trial: Trial):
    """The caller reads none of a stream of large events."""

    async def send_events(reader, writer, received) -> None:
        writer.write(make_head(200, received, True, None, STREAM_HEADERS))
        for event in LARGE_EVENTS:
            write_chunk(writer, event)
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    trial.upstreams[0].scripts = [send_events]
    await trial.connect(4096)
    trial.writer.transport.pause_reading()
    trial.writer.write(trial.encode())
    await wait_until(lambda: trial.upstreams[0].received)
    yield
    trial.writer.transport.resume_reading()


@register_stage(Phase.UNPLACED, slots=1, is_last=True)
async def waiting(trial: Trial):
    """The request waits at the leader, as its only upstream is busy."""
    reader, writer = await asyncio.open_connection(ENTRY, trial.deployment.ports[0])
    trial.earlier.append(writer)
    writer.write(trial.encode(request_id="earlier"))
    await trial.held.wait()
    await trial.send()
    queue = trial.deployment.leader().dispatcher.queue
    await wait_until(lambda: any(one.call.request_id == "waiting" for one in queue.calls.values()))
    yield
    trial.released.set()


@register_stage(Phase.EARLY, is_last=True)
async def startup(trial: Trial):
    """The request waits for the first routes of an entry that has just started."""
    context = trial.deployment.entry.context
    table, context.route_table = context.route_table, None
    context.ready.clear()
    context.ready_deadline_s = time.monotonic() + READ_TIMEOUT_S
    trial.released.set()
    await trial.send()
    frontend = trial.deployment.entry.frontend
    await wait_until(
        lambda: any(task.get_name() == "startup" and not task.done() for task in frontend.tasks)
    )
    yield
    if context.route_table is None:
        context.route_table = table
    context.ready.set()
