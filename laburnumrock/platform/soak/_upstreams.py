"""Simulated upstreams that count executions, hold reservations and fail on demand."""

import asyncio
import json
import random
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from laburnumrock.platform.soak._findings import Findings
from laburnumrock.platform.soak._limits import StatedLimit
from laburnumrock.platform.soak._prompts import CrashingPrompts, CrashRecord, RepeatedRequest
from laburnumrock.platform.soak._statements import StatedDecline
from laburnumrock.standins import FaultyProxy

HEARTBEAT_S = 0.6
ANSWER_DELAY_S = 0.01
EVENT_INTERVAL_S = 0.02
STREAM_EVENTS = 8
ACCOUNT = "one"
SLOTS = 16
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 1.6
"""Bounds of the pauses of single responses."""
PAUSE_SHARE = 0.05
"""Share of the writes that pause while single responses of an upstream pause."""
UNFRAMED_SHARE = 0.1
"""Share of the answers with neither a length nor chunks, which end with their connection."""
CRASH_DOWN_S = 1.5
"""Time after which an upstream that a request crashed starts again."""
MAX_COPY_DELAY_S = 0.3
"""Maximum delay of the second copy of a refusal."""
DRAIN_LIMIT_S = 2.0
"""Time after the acknowledgement of a drain from which no request may arrive."""


@dataclass(slots=True)
class RequestTracker:
    """Requests that were sent and run, over all callers and upstreams.

    Parameters
    ----------
    runs : dict of str to int
        Number of executions of each request.
    sent : set of str
        Ids of the requests that callers sent.
    once : set of str
        Ids of those requests that may run at most once.
    streams_sent_s, plain_sent_s : dict of str to float
        Monotonic clock readings at which the streams and the other requests were sent that do not
        crash upstreams.
    prompts : CrashingPrompts
        Part of a prompt that crashes engines, with its arrivals and crashes.
    repeated : RepeatedRequest
        Request that crashes upstreams, with its arrivals and crashes.
    entries : dict of str to str
        Host of the entry to which each request was sent.
    reached : dict of str to set of str
        Names of the upstreams that each request has reached.
    faulty : Counter of str
        Number of faults that affect an entry, by host, or an upstream, by name.
    accounts : set of str
        Names that the account of the callers has or had.
    """

    runs: dict[str, int] = field(default_factory=dict)
    sent: set[str] = field(default_factory=set)
    once: set[str] = field(default_factory=set)
    streams_sent_s: dict[str, float] = field(default_factory=dict)
    plain_sent_s: dict[str, float] = field(default_factory=dict)
    prompts: CrashingPrompts = field(default_factory=CrashingPrompts)
    repeated: RepeatedRequest = field(default_factory=RepeatedRequest)
    entries: dict[str, str] = field(default_factory=dict)
    reached: dict[str, set[str]] = field(default_factory=dict)
    faulty: Counter = field(default_factory=Counter)
    accounts: set[str] = field(default_factory=lambda: {ACCOUNT})

    def record_arrival(self, line: str, prefix: str | None) -> CrashRecord | None:
        """Record the arrival of a request; return its record if it crashes the upstream."""
        record = None
        if self.repeated.matches(line):
            record = self.repeated.record
        elif self.prompts.matches(prefix):
            record = self.prompts.record
        if record is not None:
            record.arrivals_s.append(time.monotonic())
        return record


def make_event(request_id: str, number: int) -> bytes:
    """Return a server-sent event that contains the id of its request."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """Request that an upstream runs.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        Connection of the request.
    line : str
        Request line.
    request_id : str
        Id of the request.
    headers : dict of str to str
        Headers, by name in lower case.
    """

    writer: asyncio.StreamWriter
    line: str
    request_id: str
    headers: dict[str, str]


@dataclass(slots=True)
class Upstream:
    """Simulated upstream, reached through a fault-injecting proxy.

    Parameters
    ----------
    name : str
        Target name in the schedule.
    service : str
        Service that it belongs to.
    zone : str
        Failure domain.
    host : str
        IP address.
    port : int
        Port on which it listens.
    proxy : FaultyProxy
        Proxy whose port its heartbeats announce; it stops with the upstream, since an engine whose
        process has ended refuses connections.
    findings : Findings
        Records violated guarantees.
    tracker : RequestTracker
        Requests that were sent and run, over all callers and upstreams.
    source : random.Random
        Random source for the requests that fail.
    answer_delay_s, event_interval_s : tuple of (float, float)
        Bounds between which the duration of each plain request and the interval of the events of
        each stream are drawn.
    respond : callable, optional
        Coroutine function that writes the response to a request and returns True, or returns False
        for a request that is to be answered as usual.
    """

    name: str
    service: str
    zone: str
    host: str
    port: int
    proxy: FaultyProxy
    findings: Findings
    tracker: RequestTracker
    source: random.Random
    mode: str = ""
    incarnation: int = 0
    sequence: int = 0
    state: str = "ready"
    drain_acknowledged_s: float = float("inf")
    reservations: dict[str, float] = field(default_factory=dict)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None
    restart: asyncio.Task | None = None
    limit: StatedLimit | None = None
    decline: StatedDecline | None = None
    keeps_id: bool = False
    answer_delay_s: tuple[float, float] = (ANSWER_DELAY_S, ANSWER_DELAY_S)
    event_interval_s: tuple[float, float] = (EVENT_INTERVAL_S, EVENT_INTERVAL_S)
    silent_until_s: float = 0.0
    deaf_until_s: float = 0.0
    respond: Callable[["Upstream", "UpstreamCall"], Awaitable[bool]] | None = None
    pauses_responses: bool = False

    @property
    def upstream_id(self) -> str:
        """Id of the current incarnation, which is that of the first one if it is kept."""
        return f"{self.name}-{1 if self.keeps_id else self.incarnation}"

    async def start(self) -> None:
        """Start a new incarnation, unless one runs that another fault has started."""
        if self.incarnation and self.mode != "down":
            return
        self.incarnation += 1
        self.sequence = 0
        self.state = "ready"
        self.mode = ""
        self.drain_acknowledged_s = float("inf")
        self.limit = None
        self.decline = None
        self.reservations.clear()
        self.server = await asyncio.start_server(self._serve, self.host, self.port)
        await self.proxy.start()

    def crash(self) -> None:
        """Stop abruptly: close the server and abort all connections."""
        self.mode = "down"
        self.findings.record_fault_at(self.name, CRASH_DOWN_S)
        self.proxy.close()
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _restart_after_crash(self) -> None:
        await asyncio.sleep(CRASH_DOWN_S)
        await self.start()

    def make_heartbeat(self) -> dict:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.proxy.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": 1_700_000_000_000 + self.incarnation,
        }

    def state_limit(self, requests_per_s: float) -> StatedLimit:
        """State a limit on the requests per second in all responses from now on."""
        self.limit = StatedLimit(requests_per_s)
        return self.limit

    def end_limit(self) -> None:
        """State no limit in further responses."""
        if self.limit is not None:
            self.limit.ended_s = time.monotonic()
            self.limit = None

    def fall_silent(self, duration_s: float, is_deaf: bool = False) -> None:
        """Write nothing more on any connection for a while; heartbeats go on.

        Parameters
        ----------
        duration_s : float
            Duration of the silence.
        is_deaf : bool
            Whether the upstream accepts connections meanwhile, but reads nothing of new requests.
        """
        self.silent_until_s = time.monotonic() + duration_s
        if is_deaf:
            self.deaf_until_s = self.silent_until_s

    async def _await_speech(self) -> None:
        """Wait until the upstream is not silent."""
        while (left_s := self.silent_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)

    async def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write a part of a response; a silence or a pause cuts it anywhere, also at its ends."""
        pauses = self.pauses_responses and self.source.random() < PAUSE_SHARE
        if pauses or self.silent_until_s > time.monotonic():
            cut = self.source.choice((0, self.source.randrange(len(data)), len(data)))
            _write_if_open(writer, data[:cut])
            data = data[cut:]
            if pauses:
                await asyncio.sleep(self.source.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            await self._await_speech()
        _write_if_open(writer, data)
        await writer.drain()

    def list_active_reservations(self) -> list[str]:
        """Return the names of the reservations whose lease has not expired."""
        now_s = time.monotonic()
        return [name for name, expires_s in self.reservations.items() if expires_s > now_s]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while not writer.is_closing():
                await self._serve_one(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        while (left_s := self.deaf_until_s - time.monotonic()) > 0:
            await asyncio.sleep(left_s)
        line, *header_lines = head.strip().split("\r\n")
        headers = {
            name.lower(): value
            for name, value in (field_line.split(": ", 1) for field_line in header_lines)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if line.startswith("POST /laburnumrock/order"):
            await self._await_speech()
            self._handle_order(writer, json.loads(body))
            await writer.drain()
            return
        request_id = headers.get("request-id", "")
        self.tracker.reached.setdefault(request_id, set()).add(self.name)
        self._check_received(request_id, headers)
        self._count_against_limit(self.tracker.entries.get(request_id, ""))
        if self.decline is not None:
            self.decline.record(self.tracker.entries.get(request_id, ""))
        crashing = self.tracker.record_arrival(line, headers.get("prefix-hash"))
        if headers.get("expect-instance") != self.upstream_id:
            writer.write(self._encode_refusal(421, request_id))
        elif self.mode == "engine_refuses" or (self.decline is not None and self.decline.refuses):
            writer.write(self._encode_refusal(503, request_id))
        elif self.mode == "engine_repeats_refusals" and self.source.random() < 0.5:
            self._refuse_twice(writer, request_id)
        elif self.mode == "engine_mute":
            await asyncio.sleep(30)
        else:
            await self._run(writer, line, request_id, headers, crashing)
        await writer.drain()

    def _count_against_limit(self, entry: str) -> None:
        """Count a request of an entry, unless a fault excuses the entry."""
        faulty = self.tracker.faulty
        if self.limit is not None and not faulty[entry] and not faulty[self.name]:
            self.limit.record(entry)

    def _check_received(self, request_id: str, headers: dict[str, str]) -> None:
        if request_id not in self.tracker.sent:
            self.findings.report(
                "no unknown requests", f"{self.name} received unknown {request_id!r}"
            )
        if headers.get("tenant") not in self.tracker.accounts or "authorization" in headers:
            self.findings.report("account sent without API key", f"{self.name} received {headers}")
        late = time.monotonic() > self.drain_acknowledged_s + DRAIN_LIMIT_S
        if late and self.findings.is_fault_free_since(self.drain_acknowledged_s):
            self.findings.report(
                "no requests after drain", f"{self.upstream_id} received {request_id}"
            )

    async def _run(
        self,
        writer: asyncio.StreamWriter,
        line: str,
        request_id: str,
        headers: dict[str, str],
        crashing: CrashRecord | None,
    ) -> None:
        self.tracker.runs[request_id] = self.tracker.runs.get(request_id, 0) + 1
        call = UpstreamCall(writer, line, request_id, headers)
        if self.respond is not None and await self.respond(self, call):
            return
        if self.mode == "engine_fails" and self.source.random() < 0.5:
            await self._write(writer, self._encode_head(500, request_id, 0, {}))
            return
        unframed = self.source.random() < UNFRAMED_SHARE
        if "/stream/" not in line:
            await asyncio.sleep(self._draw(self.answer_delay_s))
            if crashing is not None:
                self._crash_under_request(crashing)
                return
            body = f"done {request_id}".encode()
            length = None if unframed else len(body)
            head = self._encode_head(200, request_id, length, {}, unframed)
            await self._write(writer, head + body)
            if unframed:
                writer.close()
            return
        first = int(headers.get("last-event-id", "0")) + 1
        cut = 0
        if self.mode == "engine_cuts" and first <= STREAM_EVENTS:
            cut = self.source.randint(first, STREAM_EVENTS)
        interval_s = self._draw(self.event_interval_s)
        content_type = {"Content-Type": "text/event-stream"}
        await self._write(writer, self._encode_head(200, request_id, None, content_type, unframed))
        for number in range(first, STREAM_EVENTS + 1):
            event = make_event(request_id, number)
            if number == cut:
                part = event[: self.source.randrange(1, len(event))]
                await self._write(writer, _frame_part(part, unframed))
                writer.close()
                return
            await self._write(writer, _frame_part(event, unframed))
            await asyncio.sleep(interval_s)
            if crashing is not None:
                self._crash_under_request(crashing)
                return
        if unframed:
            await self._await_speech()
            writer.close()
        else:
            await self._write(writer, b"0\r\n\r\n")

    def _draw(self, bounds: tuple[float, float]) -> float:
        low, high = bounds
        # A fixed value leaves the random source, and so the faults of a seed, as they are.
        return low if low == high else self.source.uniform(low, high)

    def _encode_head(
        self,
        status: int,
        request_id: str,
        length: int | None,
        headers: dict[str, str],
        unframed: bool = False,
    ) -> bytes:
        lines = [f"HTTP/1.1 {status} Reason"]
        if request_id:
            lines += [f"Request-Id: {request_id}", "Server-Signature: proof"]
        if not unframed:
            framing = (
                "Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}"
            )
            lines.append(framing)
        if self.limit is not None:
            lines.append(f"Server-Limit: {self.limit.requests_per_s}")
        if self.decline is not None:
            headers = {**headers, **self.decline.make_headers()}
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def _encode_refusal(self, status: int, request_id: str) -> bytes:
        return self._encode_head(status, "", 0, {"Not-Executed": "1", "Request-Id": request_id})

    def _refuse_twice(self, writer: asyncio.StreamWriter, request_id: str) -> None:
        """Refuse a request, and write the refusal again when the connection may be in use again."""
        writer.write(self._encode_refusal(503, request_id))
        copy = self._encode_refusal(503, request_id)
        if self.source.random() < 0.5:
            copy = self._encode_head(503, "", 0, {"Not-Executed": "1"})
        delay_s = self.source.uniform(0.0, MAX_COPY_DELAY_S)
        asyncio.get_running_loop().call_later(delay_s, _write_if_open, writer, copy)

    def _crash_under_request(self, record: CrashRecord) -> None:
        if self.mode == "down":
            return
        record.crashes_s.append(time.monotonic())
        self.crash()
        self.restart = asyncio.create_task(self._restart_after_crash())

    def _handle_order(self, writer: asyncio.StreamWriter, order: dict) -> None:
        if order["op"] == "reserve":
            self.reservations[order["id"]] = time.monotonic() + order["hold_ms"] / 1000
        else:
            self.reservations.pop(order["id"], None)
        writer.write(self._encode_head(200, "", 2, {}) + b"{}")


def _write_if_open(writer: asyncio.StreamWriter, data: bytes) -> None:
    if not writer.is_closing():
        writer.write(data)


def _frame_part(data: bytes, unframed: bool) -> bytes:
    return data if unframed else f"{len(data):x}\r\n".encode() + data + b"\r\n"
