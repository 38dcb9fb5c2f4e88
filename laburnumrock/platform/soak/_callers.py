"""Callers of the soak: they keep connections open and check every answer."""

import asyncio
import random
import time
from dataclasses import dataclass, field

from laburnumrock.platform.soak._findings import Findings
from laburnumrock.platform.soak._upstreams import PIECES, Ledger, make_piece

HOST_NAME = "soak.example"
KEY = "soak-key"
KINDS = ("stream", "once", "again")
PROMISES = frozenset({408, 421, 429, 503})
DEADLINE_S = 4.0
ANSWER_MARGIN_S = 1.0
"""Delay beyond its deadline after which a request without an answer counts as held."""


@dataclass(slots=True)
class Caller:
    """One caller; it keeps its connection until the entry closes it.

    Parameters
    ----------
    number : int
        Makes request ids unique.
    addresses : list of (str, int)
        Addresses of the entries.
    findings : Findings
        Receives broken promises.
    ledger : Ledger
        Requests that were sent.
    source : random.Random
        Draws requests and pauses.
    promised : set of str
        Requests of which an answer said that they have not run.
    stopping : set of str
        Hosts of entries in a planned stop.
    """

    number: int
    addresses: list[tuple[str, int]]
    findings: Findings
    ledger: Ledger
    source: random.Random
    promised: set[str]
    stopping: set[str]
    sent: int = 0
    connection: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    host: str = ""
    answers: dict[str, bytes] = field(default_factory=dict)

    async def run(self, until_s: float) -> None:
        """Send requests one after the other."""
        while time.monotonic() < until_s:
            await asyncio.sleep(self.source.uniform(0.02, 0.25))
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
        kept = self.connection is not None
        if not kept:
            self.host, port = self.source.choice(self.addresses)
            opened = asyncio.open_connection(self.host, port)
            self.connection = await asyncio.wait_for(opened, 1.0)
        reader, writer = self.connection
        self.sent += 1
        kind = self.source.choice(KINDS)
        request_id = f"c{self.number}-{self.sent}"
        self.ledger.sent.add(request_id)
        if kind == "once":
            self.ledger.once.add(request_id)
        tokens = self.source.choice((1_000, 5_000, 200_000, 700_000))
        writer.write(_make_request(kind, request_id, tokens if kind == "stream" else 0))
        sent_s = time.monotonic()
        gives_up = kind != "once" and self.source.random() < 0.05
        limit_s = 0.03 if gives_up else DEADLINE_S + ANSWER_MARGIN_S
        try:
            async with asyncio.timeout(limit_s):
                await self._read_answer(reader, kind, request_id)
        except TimeoutError:
            self.close()
            self.findings.counts["gave up" if gives_up else "held"] += 1
            if not gives_up and self.findings.is_quiet_since(sent_s):
                self.findings.report("timely answers", f"{request_id} has none at {self.host}")
        except (asyncio.IncompleteReadError, ConnectionError):
            self.findings.counts["closed"] += 1
            planned = self.host in self.stopping and self.findings.is_quiet_since(sent_s)
            self.close()
            if planned and not kept:
                self.findings.report("planned stops cut nothing", f"{request_id} at {self.host}")

    async def _read_answer(self, reader: asyncio.StreamReader, kind: str, request_id: str) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, *rest = head.strip().split("\r\n")
        headers = {name.lower(): value for name, value in (one.split(": ", 1) for one in rest)}
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
            self.findings.report("own answers", f"{request_id} got {headers['request-id']}")
        if status in PROMISES and kind == "once":
            self.promised.add(request_id)
            if "retry-after" not in headers and status in (429, 503):
                self.findings.report("refusals say when to return", request_id)
        if status != 200:
            return
        if "server-signature" not in headers:
            self.findings.report("success with proof", request_id)
        expected = f"done {request_id}".encode()
        if kind == "stream":
            pieces = (make_piece(request_id, number) for number in range(1, PIECES + 1))
            expected = b"".join(pieces)
        if body != expected:
            self.findings.report("whole answers", f"{request_id}: {body[-80:]!r}")


def _make_request(kind: str, request_id: str, tokens: int) -> bytes:
    lines = [
        f"POST /{kind}/x HTTP/1.1",
        f"Host: {HOST_NAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {int(DEADLINE_S * 1000)}",
        f"Authorization: Token {KEY}",
        "Content-Length: 2",
    ]
    if tokens:
        lines.append(f"Token-Usage: {tokens},400")
    return "\r\n".join(lines).encode() + b"\r\n\r\n{}"


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]
