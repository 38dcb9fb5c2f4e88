"""Upstreams of the soak: they count runs and hold memory, and fail on order."""

import asyncio
import contextlib
import json
import random
import time
from dataclasses import dataclass, field

from laburnumrock.platform.soak._findings import Findings

HEARTBEAT_S = 0.6
PIECE_PAUSE_S = 0.02
PIECES = 8
ACCOUNT = "one"
SLOTS = 16
DRAIN_BOUND_S = 2.0
"""Time after the acknowledgement of a drain from which nothing may arrive."""


@dataclass(slots=True)
class Ledger:
    """What all upstreams have run.

    Parameters
    ----------
    runs : dict of str to int
        Runs of each request.
    sent : set of str
        Requests that callers sent.
    once : set of str
        Those of them that must run once at most.
    """

    runs: dict[str, int] = field(default_factory=dict)
    sent: set[str] = field(default_factory=set)
    once: set[str] = field(default_factory=set)


def make_piece(request_id: str, number: int) -> bytes:
    """Return an event of a stream; it names the request that it belongs to."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


@dataclass(slots=True)
class Upstream:
    """One upstream, behind a proxy.

    Parameters
    ----------
    name : str
        Name in the schedule.
    service : str
        Service that it belongs to.
    zone : str
        Failure domain.
    host : str
        IP number.
    port, proxy_port : int
        Where it listens, and where it says that it does.
    findings : Findings
        Receives broken promises.
    ledger : Ledger
        Runs of all upstreams.
    source : random.Random
        Draws which requests fail.
    """

    name: str
    service: str
    zone: str
    host: str
    port: int
    proxy_port: int
    findings: Findings
    ledger: Ledger
    source: random.Random
    mode: str = ""
    incarnation: int = 0
    sequence: int = 0
    state: str = "ready"
    drained_s: float = float("inf")
    tickets: dict[str, float] = field(default_factory=dict)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    @property
    def upstream_id(self) -> str:
        """Id of the current incarnation."""
        return f"{self.name}-{self.incarnation}"

    async def start(self) -> None:
        """Begin an incarnation."""
        self.incarnation += 1
        self.sequence = 0
        self.state = "ready"
        self.mode = ""
        self.drained_s = float("inf")
        self.tickets.clear()
        self.server = await asyncio.start_server(self._serve, self.host, self.port)

    def crash(self) -> None:
        """End without a word."""
        self.mode = "down"
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def make_report(self) -> dict:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.host}:{self.proxy_port}",
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": self.state,
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": 1_700_000_000_000 + self.incarnation,
        }

    def held_tickets(self) -> list[str]:
        """Return the reservations whose lease has not ended."""
        now_s = time.monotonic()
        return [name for name, ends_s in self.tickets.items() if ends_s > now_s]

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
        line, *rest = head.strip().split("\r\n")
        headers = {name.lower(): value for name, value in (one.split(": ", 1) for one in rest)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if line.startswith("POST /laburnumrock/order"):
            self._take_order(writer, json.loads(body))
            await writer.drain()
            return
        request_id = headers.get("request-id", "")
        self._check_arrival(request_id, headers)
        if headers.get("expect-instance") != self.upstream_id:
            writer.write(_head(421, "", 0, {"Not-Executed": "1"}))
        elif self.mode == "engine_refuses":
            writer.write(_head(503, "", 0, {"Not-Executed": "1"}))
        elif self.mode == "engine_mute":
            await asyncio.sleep(30)
        else:
            await self._run(writer, line, request_id, headers)
        await writer.drain()

    def _check_arrival(self, request_id: str, headers: dict[str, str]) -> None:
        if request_id not in self.ledger.sent:
            self.findings.report("own requests only", f"{self.name} got unknown {request_id!r}")
        if headers.get("tenant") != ACCOUNT or "authorization" in headers:
            self.findings.report("account without key", f"{self.name} got {headers}")
        late = time.monotonic() > self.drained_s + DRAIN_BOUND_S
        if late and self.findings.is_quiet_since(self.drained_s):
            self.findings.report("no work after drain", f"{self.upstream_id} got {request_id}")

    async def _run(
        self, writer: asyncio.StreamWriter, line: str, request_id: str, headers: dict[str, str]
    ) -> None:
        self.ledger.runs[request_id] = self.ledger.runs.get(request_id, 0) + 1
        if self.mode == "engine_fails" and self.source.random() < 0.5:
            writer.write(_head(500, request_id, 0, {}))
            return
        if "/stream/" not in line:
            await asyncio.sleep(0.01)
            body = f"done {request_id}".encode()
            writer.write(_head(200, request_id, len(body), {}) + body)
            return
        first = int(headers.get("last-event-id", "0")) + 1
        cut = 0
        if self.mode == "engine_cuts" and first <= PIECES:
            cut = self.source.randint(first, PIECES)
        writer.write(_head(200, request_id, None, {"Content-Type": "text/event-stream"}))
        for number in range(first, PIECES + 1):
            piece = make_piece(request_id, number)
            if number == cut:
                _write_chunk(writer, piece[: self.source.randrange(1, len(piece))])
                await writer.drain()
                writer.close()
                return
            _write_chunk(writer, piece)
            await writer.drain()
            await asyncio.sleep(PIECE_PAUSE_S)
        writer.write(b"0\r\n\r\n")

    def _take_order(self, writer: asyncio.StreamWriter, order: dict) -> None:
        if order["op"] == "reserve":
            self.tickets[order["id"]] = time.monotonic() + order["hold_ms"] / 1000
        else:
            self.tickets.pop(order["id"], None)
        writer.write(_head(200, "", 2, {}) + b"{}")


def _head(status: int, request_id: str, length: int | None, headers: dict[str, str]) -> bytes:
    lines = [f"HTTP/1.1 {status} Reason"]
    if request_id:
        lines += [f"Request-Id: {request_id}", "Server-Signature: proof"]
    lines.append("Transfer-Encoding: chunked" if length is None else f"Content-Length: {length}")
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def _write_chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    with contextlib.suppress(RuntimeError):
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
