"""Scripted upstreams and fake services for gateway tests."""

import asyncio
import contextlib
import hashlib
import json

from result import Err, Ok
from tornado.httpclient import AsyncHTTPClient

from laburnumrock.declarations import DeclarationView, parse_changes
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway import GatewayServices, make_app, serve_app
from laburnumrock.journal import OperationAnswer
from laburnumrock.metrics import Counters, HistogramRegistry
from laburnumrock.placement import PermitGrant, Placement
from laburnumrock.scenarios import find_free_ports
from laburnumrock.settings import InstanceSettings

KEY = "merchant-key"
LIMIT_BYTES = 10_000


class FakePermits:
    """Grants one permit per given upstream, in order, then refuses."""

    def __init__(self, base_urls):
        self.base_urls = list(base_urls)
        self.requests = []
        self.releases = []
        self.abandoned = []
        self.released_names = []
        self.revoked = asyncio.Event()

    async def acquire(self, request):
        self.requests.append(request)
        if not self.base_urls:
            return Err(Failure(ErrorKind.DEADLINE_UNREACHABLE, retry_after_s=2.5))
        placement = Placement(f"u{len(self.requests)}", self.base_urls.pop(0))
        name = f"p{len(self.requests)}"
        return Ok(PermitGrant(name, request.request_id, request.attempt, 1, [placement], 2.0))

    def release(self, release):
        self.releases.append(release.outcome)
        self.released_names.append(release.crash_names)

    def abandon(self, permit_id):
        self.abandoned.append(permit_id)

    def revocation_event(self, permit_id):
        return self.revoked


class FakeQuotas:
    """Grants every request and counts the quotas currently held."""

    def __init__(self):
        self.held = 0

    async def acquire(self, account, caller, tokens):
        self.held += 1
        return Ok("q")

    def release(self, quota_id):
        self.held -= 1


class FakeOperations:
    """Runs every operation immediately; `find` reports the configured state."""

    def __init__(self):
        self.state = None
        self.is_reachable = True

    async def find(self, account, key):
        if not self.is_reachable:
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))
        return Ok(OperationAnswer(True, self.state))

    async def run(self, account, key, fingerprint, deadline_s, dispatch):
        return await dispatch()


class FakeLifecycle:
    """Lifecycle of an instance that accepts requests."""

    accepting = True
    stopping = False

    def __init__(self):
        self.requests_cut = asyncio.Event()

    def is_stopping(self):
        return self.stopping

    def is_ready(self):
        return self.accepting

    def accepts_work(self):
        return self.accepting

    def adjust_request_count(self, change):
        pass


class ScriptedEngine:
    """Engine that sends a given number of tokens and ends the stream in a given way.

    Parameters
    ----------
    count : int
        Number of tokens to send in one attempt.
    end : str
        ``done``, ``break`` (close the connection without an end marker), ``crash`` (also stop
        listening), ``hang`` (keep it open without sending) or ``refuse`` (respond with 503 and the
        reason ``cold``).
    """

    def __init__(self, count, end):
        self.count = count
        self.end = end
        self.bodies = []
        self.cancelled = asyncio.Event()
        self.base_url = ""
        self.server = None

    async def serve(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().split("content-length: ")[1].split("\r\n")[0])
        body = json.loads(await reader.readexactly(length))
        if "/v1/cancel" in head:
            self.cancelled.set()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        elif self.end == "refuse":
            response = b'{"reason": "cold"}'
            head = f"HTTP/1.1 503 Busy\r\nContent-Length: {len(response)}\r\n\r\n"
            writer.write(head.encode() + response)
        else:
            self.bodies.append(body)
            await self.stream(writer, body)
        await writer.drain()
        writer.close()

    async def stream(self, writer, body):
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        start = body["resume_from"]
        for index in range(start, min(start + self.count, body["max_tokens"])):
            last = index == body["max_tokens"] - 1
            token = {"request_id": body["request_id"], "attempt": body["attempt"]}
            token |= {"index": index, "text": f"t{index} "}
            token["finish_reason"] = "length" if last else None
            write_chunk(writer, f"data: {json.dumps(token)}\n\n")
        if self.end == "crash":
            self.server.close()
        if self.end in ("break", "crash"):
            # The client may drop tokens that arrive together with the end of the connection.
            await writer.drain()
            await asyncio.sleep(0.1)
        if self.end == "hang":
            await writer.drain()
            await asyncio.sleep(30)
        if self.end == "done":
            write_chunk(writer, "data: [DONE]\n\n")
            writer.write(b"0\r\n\r\n")


def write_chunk(writer, text):
    writer.write(f"{len(text):x}\r\n{text}\r\n".encode())


def make_view():
    template = {
        "type": "template",
        "client_account": "merchant",
        "api_key_sha256": hashlib.sha256(KEY.encode()).hexdigest(),
        "model": "quote",
        "limits": {"requests_per_s": 9.0, "tokens_per_s": 9e9, "concurrency": 9},
        "deadlines": {"short_s": 5.0, "medium_s": 5.0, "long_s": 5.0},
        "max_output_tokens": 100,
    }
    service = {"type": "service", "name": "orders", "timeout_s": 5.0}
    service["paths"] = [
        {"path": "place", "repeatable": False},
        {"path": "stock", "repeatable": True},
    ]
    changes = [{"action": "put", "declaration": item} for item in (template, service)]
    view = DeclarationView(3.0)
    view.replace(view.current.with_changes(parse_changes(changes).unwrap()).unwrap(), 1)
    return view


def make_settings(max_body_bytes=LIMIT_BYTES):
    [port] = find_free_ports(1)
    listen = {"host": "127.0.0.1", "caller_port": port, "peer_port": 1}
    peer = {"instance_id": "a1", "failure_domain": "a", **listen}
    return InstanceSettings.model_validate(
        {
            "instance_id": "a1",
            "failure_domain": "a",
            "listen": listen,
            "shared_key_file": "x",
            "operator_key_file": "x",
            "peers": [peer],
            "max_body_bytes": max_body_bytes,
        }
    )


class Gateway:
    """Gateway under test with fake services."""

    def __init__(self, engines, lifecycle=None, max_body_bytes=LIMIT_BYTES):
        self.permits = FakePermits(engine.base_url for engine in engines)
        self.quotas = FakeQuotas()
        self.lifecycle = lifecycle or FakeLifecycle()
        self.http = None
        self.announced = []
        self.services = GatewayServices(
            settings=make_settings(max_body_bytes),
            declarations=make_view(),
            permits=self.permits,
            quotas=self.quotas,
            operations=FakeOperations(),
            announce=self.announced.append,
            lifecycle=self.lifecycle,
            histograms=HistogramRegistry(),
            counters=Counters(None),
        )

    async def post(self, path, body, **headers):
        port = self.services.settings.listen.caller_port
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        all_headers = {"X-Client-Account": "merchant", "Authorization": f"Bearer {KEY}"}
        all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
        all_headers = {name: value for name, value in all_headers.items() if value is not None}
        url = f"http://127.0.0.1:{port}{path}"
        return await AsyncHTTPClient().fetch(
            url, method="POST", body=data, headers=all_headers, raise_error=False
        )

    async def wait_for_cleanup(self):
        """Wait for the clean-up tasks that outlive the response."""
        await asyncio.gather(*self.services.background_tasks)

    async def complete(self, prompt="a b", max_tokens=4, stream=True, **headers):
        body = {"prompt": prompt, "max_tokens": max_tokens, "stream": stream}
        return await self.post("/v1/completions", body, **headers)


@contextlib.asynccontextmanager
async def run_gateway(*engines, lifecycle=None, routes=(), max_body_bytes=LIMIT_BYTES):
    async with contextlib.AsyncExitStack() as stack:
        for engine in engines:
            server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
            await stack.enter_async_context(server)
            engine.server = server
            engine.base_url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}"
        gateway = Gateway(engines, lifecycle, max_body_bytes)
        gateway.http = serve_app(make_app(gateway.services, routes), gateway.services)
        yield gateway
        gateway.http.stop()


def extract_text(response):
    lines = [line[6:] for line in response.body.decode().splitlines() if line.startswith("data: {")]
    return "".join(json.loads(line)["choices"][0]["text"] for line in lines if "choices" in line)


FULL_TEXT = "t0 t1 t2 t3 "
