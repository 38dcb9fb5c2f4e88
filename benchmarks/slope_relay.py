"""Marginal costs of HTTP in an entry process: announcements and relayed token streams."""

import asyncio
import http.client
import itertools
import json
import socket
import statistics
import time
from dataclasses import dataclass
from types import SimpleNamespace

from control_cost import read_cpu_s
from slope_fit import Slope, fit_slope
from tornado.httpserver import HTTPServer
from tornado.web import Application

from laburnumrock.gateway._announcements import AnnouncementsHandler
from laburnumrock.messages import to_plain
from laburnumrock.scenarios import DeploymentPlan, ProcessGroup, run_deployment

ANNOUNCEMENTS = (200, 400, 600, 800)
TOKENS = (50, 100, 200, 400)
STREAMS = (4, 8, 16, 32)
FIT_STREAMS = 16
STREAM_TOKENS = 200
PROMPT = "word " * 200
LATENCY_PERCENTILE = 95
ACCOUNT = "bench"
READ_BYTES = 65_536
EVENT_PREFIX = b"data: "


def measure_http() -> list[Slope]:
    """Return the CPU time of announcements over HTTP, each on a new connection."""
    values = [asyncio.run(serve_announcements(count)) for count in ANNOUNCEMENTS]
    return [fit_slope("announcement over HTTP", "us/announcement", ANNOUNCEMENTS, values)]


async def serve_announcements(count: int) -> float:
    settings = SimpleNamespace(failure_domain="a", max_body_bytes=1 << 20)
    services = SimpleNamespace(settings=settings, announce=lambda announcement: None)
    app = Application(
        [("/u", AnnouncementsHandler, {"services": services})], log_function=lambda handler: None
    )
    server = HTTPServer(app)
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setblocking(False)
    server.add_sockets([listening])
    port = listening.getsockname()[1]
    started_ns = time.thread_time_ns()
    await asyncio.to_thread(post_announcements, port, count)
    cpu_us = (time.thread_time_ns() - started_ns) / 1e3
    server.stop()
    return cpu_us


def post_announcements(port: int, count: int) -> None:
    from slope_control import make_announcement

    body = json.dumps(to_plain(make_announcement()))
    for _ in range(count):
        connection = http.client.HTTPConnection("127.0.0.1", port)
        connection.request("POST", "/u", body)
        response = connection.getresponse()
        if response.status != 202:
            raise RuntimeError(
                f"announcement failed with HTTP status {response.status}: {response.read()!r}"
            )
        connection.close()


@dataclass(slots=True)
class StreamTimes:
    """Chunk count, time to first chunk and gaps of one stream, as measured by the client."""

    chunks: int
    first_s: float
    gaps_s: list[float]


class RelayBenchmark:
    """Client of token streams, through an entry process or directly from the engines."""

    def __init__(self, group: ProcessGroup) -> None:
        self.group = group
        self.entry = next(iter(group.deployment.instances.values()))
        self.engines = [
            upstream for upstream in group.deployment.upstreams.values() if upstream.is_engine
        ]
        self.request_numbers = itertools.count()

    def declare(self) -> None:
        """Declare the client account of the benchmark."""
        template = {
            "type": "template",
            "client_account": ACCOUNT,
            "model": "quote",
            "limits": {"requests_per_s": 1e4, "tokens_per_s": 1e9, "concurrency": 10_000},
            "deadlines": {"short_s": 60, "medium_s": 60, "long_s": 60},
            "max_output_tokens": 10_000,
        }
        change = {"action": "put", "declaration": template}
        body = {"request_id": "bench", "base_revision": 0, "changes": [change]}
        response = self.group.deployment.call_operator_api("changes", body)
        if response.status != 200:
            raise RuntimeError(response.body.decode())

    async def run_streams(self, streams: int, tokens: int, direct: bool) -> list[StreamTimes]:
        """Run streams concurrently."""
        return await asyncio.gather(*(self.stream(tokens, direct) for _ in range(streams)))

    async def stream(self, tokens: int, direct: bool) -> StreamTimes:
        """Send one streaming request and time its chunks."""
        number = next(self.request_numbers)
        prompt = f"call-{number} {PROMPT}"
        headers = f"X-Client-Account: {ACCOUNT}\r\n"
        body = {"prompt": prompt, "max_tokens": tokens, "stream": True}
        port = self.entry.caller_port
        if direct:
            port = self.engines[number % len(self.engines)].port
            body |= {"request_id": f"bench-{number}", "attempt": 1, "model": "quote"}
        data = json.dumps(body).encode()
        request_head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{headers}"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        started_s = time.monotonic()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request_head.encode() + data)
        times = StreamTimes(0, 0.0, [])
        last_chunk_s = started_s
        received = b""
        while received_part := await reader.read(READ_BYTES):
            now_s = time.monotonic()
            received = (received + received_part)[-4_000:]
            count = received_part.count(EVENT_PREFIX)
            if count and not times.chunks:
                times.first_s = now_s - started_s
            elif count:
                times.gaps_s += [(now_s - last_chunk_s) / count] * count
            if count:
                last_chunk_s = now_s
            times.chunks += count
        writer.close()
        if b"[DONE]" not in received:
            raise RuntimeError(
                f"stream ended without [DONE] after {times.chunks} chunks: {received[-300:]!r}"
            )
        return times

    def read_entry_cpu_s(self) -> float:
        """Return the CPU time of the entry process."""
        return read_cpu_s(self.group.processes[self.entry.name].process.pid)


def compute_p95_ms(values: list[float]) -> float:
    return 1e3 * statistics.quantiles(values, n=100)[LATENCY_PERCENTILE - 1]


def measure_relay() -> list[Slope]:
    """Return the CPU time per chunk, and the delays and chunk rate by number of streams."""
    plan = DeploymentPlan(
        ("a",), instances=1, voters=1, engines=8, application_engines=0, has_balancer=False
    )
    with run_deployment(plan, ready_timeout_s=60.0) as group:
        benchmark = RelayBenchmark(group)
        benchmark.declare()
        # The slow-start limits of the engines rise as requests finish.
        for _ in range(6):
            asyncio.run(benchmark.run_streams(FIT_STREAMS, 10, direct=False))
        return [fit_chunks(benchmark), *fit_streams(benchmark)]


def fit_chunks(benchmark: RelayBenchmark) -> Slope:
    """Fit the CPU time of the entry over the chunks of a request; at 0 it is the fixed cost."""
    values = []
    for tokens in TOKENS:
        before_s = benchmark.read_entry_cpu_s()
        for _ in range(2):
            asyncio.run(benchmark.run_streams(FIT_STREAMS, tokens, direct=False))
        values.append((benchmark.read_entry_cpu_s() - before_s) * 1e6 / (2 * FIT_STREAMS))
    return fit_slope("relayed request by chunks", "us/chunk", TOKENS, values)


def fit_streams(benchmark: RelayBenchmark) -> list[Slope]:
    """Fit the added delays, chunk rate and CPU usage of the entry over the concurrent streams."""
    first_ms, gap_ms, rates, core_percent = [], [], [], []
    for streams in STREAMS:
        direct = asyncio.run(benchmark.run_streams(streams, STREAM_TOKENS, direct=True))
        started_s, before_s = time.monotonic(), benchmark.read_entry_cpu_s()
        relayed = asyncio.run(benchmark.run_streams(streams, STREAM_TOKENS, direct=False))
        elapsed_s = time.monotonic() - started_s
        core_percent.append((benchmark.read_entry_cpu_s() - before_s) / elapsed_s * 100)
        rates.append(sum(times.chunks for times in relayed) / elapsed_s)
        first_ms.append(
            compute_p95_ms([times.first_s for times in relayed])
            - compute_p95_ms([times.first_s for times in direct])
        )
        gap_ms.append(
            compute_p95_ms([gap for times in relayed for gap in times.gaps_s])
            - compute_p95_ms([gap for times in direct for gap in times.gaps_s])
        )
    return [
        fit_slope("added first token p95 by streams", "ms/stream", STREAMS, first_ms),
        fit_slope("added gap p95 by streams", "ms/stream", STREAMS, gap_ms),
        fit_slope("chunks a second by streams", "chunks/s/stream", STREAMS, rates),
        fit_slope("core of the entry by streams", "%/stream", STREAMS, core_percent),
    ]
