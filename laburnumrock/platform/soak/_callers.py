"""Simulated callers that keep connections open and check every response."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from laburnumrock.platform.soak._findings import CORES, Findings, name_planned_stop
from laburnumrock.platform.soak._prompts import make_prefix
from laburnumrock.platform.soak._schedule import REQUEST_KINDS
from laburnumrock.platform.soak._upstreams import STREAM_EVENTS, RequestTracker, make_event

HOSTNAME = "soak.example"
API_KEY = "soak-key"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
DEADLINE_S = 4.0
IDLE_TIMEOUT_S = 2.5
"""Time for which the configuration allows connections to be idle."""
MAX_IDLE_S = 0.8 * IDLE_TIMEOUT_S
"""Longest time after which callers use an idle connection again."""
IDLE_SHARE = 0.05
"""Share of the pauses between two requests that may take this long."""
RESPONSE_MARGIN_S = 1.0
"""Time past its deadline after which a request without a response is counted as ``held``."""


@dataclass(slots=True)
class Caller:
    """Caller that sends requests over a kept-alive connection.

    Parameters
    ----------
    number : int
        Number of the caller, part of its request ids to make them unique.
    addresses : list of (str, int)
        Addresses of the entries.
    findings : Findings
        Records violated guarantees.
    tracker : RequestTracker
        Records the requests that are sent.
    source : random.Random
        Random source of requests and pauses.
    rejected_ids : set of str
        Ids of the requests whose response stated that they were not run.
    stopping : set of str
        Hosts of entries that are stopping gracefully.
    crashing_share : float
        Share of the streams that contain the part of a prompt that crashes engines, and of all
        requests that are the repeated one that crashes upstreams, if there is one.
    """

    number: int
    addresses: list[tuple[str, int]]
    findings: Findings
    tracker: RequestTracker
    source: random.Random
    rejected_ids: set[str]
    stopping: set[str]
    crashing_share: float = 0.1
    sent: int = 0
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    host: str = ""
    answers: dict[str, bytes] = field(default_factory=dict)

    async def run(self, until_s: float) -> None:
        """Send requests sequentially until a time of the monotonic clock."""
        while time.monotonic() < until_s:
            idles = self.source.random() < IDLE_SHARE
            await asyncio.sleep(self.source.uniform(0.02, MAX_IDLE_S if idles else 0.25))
            try:
                await self._send_one()
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.connection[1].transport.abort()
            self.connection = None

    async def _send_one(self) -> None:
        reused = self.connection is not None
        if not reused:
            self.host, port = self.source.choice(self.addresses)
            async with asyncio.timeout(1.0):
                self.connection = await asyncio.open_connection(self.host, port)
        reader, writer = self.connection
        self.sent += 1
        request_id = f"c{self.number}-{self.sent}"
        kind, target, headers = self._draw_request(request_id)
        self.tracker.sent.add(request_id)
        self.tracker.entries[request_id] = self.host
        if kind.endswith("once"):
            self.tracker.once.add(request_id)
        writer.write(_make_request(target, request_id, headers))
        sent_s = time.monotonic()
        abandons = not kind.endswith("once") and self.source.random() < 0.05
        timeout_s = 0.03 if abandons else DEADLINE_S + RESPONSE_MARGIN_S
        try:
            async with asyncio.timeout(timeout_s):
                await self._read_response(reader, kind, request_id)
        except TimeoutError:
            self.close()
            self.findings.counts["gave up" if abandons else "held"] += 1
            if not abandons:
                self._check_held(request_id, sent_s)
        except (asyncio.IncompleteReadError, ConnectionError):
            if self.connection is None:
                # The run has ended and closed this caller.
                return
            self.findings.counts["closed"] += 1
            graceful_stop = self.host in self.stopping and self.findings.is_fault_free_since(sent_s)
            self.close()
            if graceful_stop and not reused:
                self.findings.report(
                    "no requests lost in graceful stops", f"{request_id} at {self.host}"
                )
            elif not kind.startswith("crashing"):
                self._check_closed(request_id, sent_s, reused)

    def _check_held(self, request_id: str, sent_s: float) -> None:
        """Check that a fault excuses the missing response; one of an upstream does not."""
        if self.findings.are_fault_free_since({self.host, CORES}, sent_s):
            detail = f"{request_id} got none from {self.host}"
            self.findings.report("response before deadline", detail)

    def _check_closed(self, request_id: str, sent_s: float, reused: bool) -> None:
        """Check that a fault excuses the close of the connection of a whole request.

        Notes
        -----
        A request on a connection in use again may cross its close in a planned stop, and then
        reaches no upstream.
        """
        reached = self.tracker.reached.get(request_id, set())
        elapsed_s = time.monotonic() - sent_s
        if elapsed_s >= DEADLINE_S:
            return
        targets = {self.host, CORES, *reached}
        if reused and not reached:
            targets.add(name_planned_stop(self.host))
        if self.findings.are_fault_free_since(targets, sent_s):
            detail = f"{request_id} at {self.host} after {elapsed_s:.2f} s, reached {reached}"
            self.findings.report("whole requests are answered", detail)

    def _draw_request(self, request_id: str) -> tuple[str, str, dict[str, str]]:
        """Draw a request, and return its kind, target and headers."""
        repeated = self.tracker.repeated
        if repeated.kind and self.source.random() < self.crashing_share:
            return f"crashing {repeated.kind}", repeated.target, repeated.headers
        kind = self.source.choice(REQUEST_KINDS)
        target = f"/{kind}/{request_id}"
        if kind != "stream":
            self.tracker.plain_sent_s[request_id] = time.monotonic()
            return kind, target, {}
        tokens = self.source.choice((1_000, 5_000, 200_000, 700_000))
        part = self._draw_crashing_part()
        headers = {
            "Token-Usage": f"{tokens},400",
            "Prefix-Hash": make_prefix(self.source, tokens, part),
        }
        if part:
            return "crashing stream", target, headers
        self.tracker.streams_sent_s[request_id] = time.monotonic()
        return kind, target, headers

    def _draw_crashing_part(self) -> str:
        part = self.tracker.prompts.part
        return part if part and self.source.random() < self.crashing_share else ""

    async def _read_response(
        self, reader: asyncio.StreamReader, kind: str, request_id: str
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *header_lines = head.strip().split("\r\n")
        headers = {
            name.lower(): value
            for name, value in (field_line.split(": ", 1) for field_line in header_lines)
        }
        status = int(line.split()[1])
        if headers.get("transfer-encoding") == "chunked":
            body = await _read_chunks(reader)
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
        self.findings.counts[f"{kind} {status}"] += 1
        self._check(kind, request_id, status, headers, body)
        if headers.get("connection", "").lower() == "close":
            self.close()

    def _check(
        self, kind: str, request_id: str, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        if headers.get("request-id") not in (None, request_id):
            self.findings.report(
                "responses match requests", f"{request_id} got {headers['request-id']}"
            )
        if status in NOT_RUN_STATUSES:
            self.rejected_ids.add(request_id)
        must_state_delay = status in (429, 503) and kind.endswith("once")
        if must_state_delay and "retry-after" not in headers:
            self.findings.report("rejections carry Retry-After", request_id)
        if status != 200:
            return
        if "server-signature" not in headers:
            self.findings.report("successful responses are signed", request_id)
        expected = f"done {request_id}".encode()
        if kind.endswith("stream"):
            events = (make_event(request_id, number) for number in range(1, STREAM_EVENTS + 1))
            expected = b"".join(events)
        if body != expected:
            self.findings.report("responses are complete", f"{request_id}: {body[-80:]!r}")


def _make_request(target: str, request_id: str, headers: dict[str, str]) -> bytes:
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}",
        f"Authorization: Token {API_KEY}",
        "Content-Length: 2",
    ]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n{}"


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
