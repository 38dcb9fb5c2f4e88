"""Application engine emulator: counts executions and does not deduplicate them."""

import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass

from tornado.web import Application, RequestHandler

from laburnumrock.standins._announcer import Announcer
from laburnumrock.upstreams import UpstreamKind, UpstreamState


@dataclass(frozen=True, slots=True)
class ApplicationOptions:
    """Identity and behaviour of one emulated application engine.

    Parameters
    ----------
    upstream_id, failure_domain, host : str
        Name, failure domain and IP address.
    port : int
        HTTP port.
    services : tuple of str
        Names of the services that it provides.
    announce_to : tuple of str
        Entry addresses ``host:port``.
    advertise : str, optional
        Announced address ``host:port``, if it differs from `host` and `port`.
    delay_s : float
        Execution time of each call, in seconds.
    """

    upstream_id: str
    failure_domain: str
    host: str
    port: int
    services: tuple[str, ...] = ("orders",)
    announce_to: tuple[str, ...] = ()
    advertise: str | None = None
    delay_s: float = 0.0

    @property
    def base_url(self) -> str:
        """Base URL of the application engine."""
        return f"http://{self.advertise or f'{self.host}:{self.port}'}"


@dataclass(slots=True)
class ApplicationFaults:
    """Injected faults, set by the control endpoint or the command line.

    Parameters
    ----------
    delay_s : float
        Delay before each call executes, in seconds.
    drop_answers : int
        Number of calls that execute and whose connection is then closed without a response; -1
        for all.
    fail_after : int
        Number of calls that execute and then return 500; -1 for all.
    refuses_connections : bool
        Whether the listening port is closed.
    max_requests_per_s : float, optional
        Limit on its calls that the engine announces.
    """

    delay_s: float = 0.0
    drop_answers: int = 0
    fail_after: int = 0
    refuses_connections: bool = False
    max_requests_per_s: float | None = None


class ApplicationEngine:
    """Emulated application engine, without its HTTP handlers.

    Parameters
    ----------
    options : ApplicationOptions
        Identity and behaviour.
    """

    def __init__(self, options: ApplicationOptions) -> None:
        self.options = options
        self.faults = ApplicationFaults(delay_s=options.delay_s)
        self.executions: Counter[str] = Counter()
        self.calls = 0
        self.running = 0
        self.is_leaving = False
        self.incarnation = time.time_ns() // 1_000_000
        self.announcer = Announcer(
            list(options.announce_to), self.build_announcement, self.incarnation
        )

    async def start(self) -> None:
        """Start the announcements."""
        self.announcer.start()

    async def stop(self) -> None:
        """Stop at once."""
        await self.announcer.stop()

    async def leave(self) -> None:
        """Announce ``leaving`` and wait until every running call has ended."""
        self.is_leaving = True
        await self.announcer.announce()
        while self.running:
            await asyncio.sleep(0.01)

    async def execute(self, operation_id: str | None) -> int:
        """Execute one call and return the number of executions of its operation."""
        self.running += 1
        try:
            await asyncio.sleep(self.faults.delay_s)
            self.calls += 1
            if operation_id is None:
                return 1
            self.executions[operation_id] += 1
            return self.executions[operation_id]
        finally:
            self.running -= 1

    def consume_fault(self, name: str) -> bool:
        """Consume one occurrence of a counted fault; return whether the fault applies."""
        remaining = getattr(self.faults, name)
        if remaining > 0:
            setattr(self.faults, name, remaining - 1)
        return remaining != 0

    def build_announcement(self) -> dict[str, object]:
        """Return the announcement of this application engine."""
        state = UpstreamState.LEAVING if self.is_leaving else UpstreamState.READY
        return {
            "upstream_id": self.options.upstream_id,
            "kind": UpstreamKind.APPLICATION_ENGINE,
            "failure_domain": self.options.failure_domain,
            "incarnation": self.incarnation,
            "base_url": self.options.base_url,
            "models": [],
            "adapters": [],
            "versions": [],
            "services": list(self.options.services),
            "role": "general",
            "kv_capacity_tokens": 0,
            "prefill_tokens_per_s": 0.0,
            "decode_step_s": 0.0,
            "state": state,
            "running": self.running,
            "waiting": 0,
            "kv_used_tokens": 0,
            "measured_age_s": 0.0,
            "cache_events": [],
            "max_requests_per_s": self.faults.max_requests_per_s,
        }


class CallHandler(RequestHandler):
    """Any path and method: executes every received call."""

    def initialize(self, engine: ApplicationEngine) -> None:
        """Store the application engine."""
        self.engine = engine

    async def _run(self, path: str) -> None:
        if self.engine.is_leaving:
            self.set_status(503)
            self.finish({"reason": "leaving"})
            return
        operation_id = self.request.headers.get("Idempotency-Key")
        count = await self.engine.execute(operation_id)
        if self.engine.consume_fault("drop_answers"):
            self.request.connection.stream.close()
            return
        if self.engine.consume_fault("fail_after"):
            self.set_status(500)
            self.finish({"reason": "failed", "operation_id": operation_id})
            return
        self.finish(
            {
                "service": self.engine.options.services[0] if self.engine.options.services else "",
                "path": f"/{path}",
                "operation_id": operation_id,
                "executions": count,
                "body": self.request.body.decode(errors="replace"),
            }
        )

    get = post = put = delete = patch = _run


class ExecutionsHandler(RequestHandler):
    """``GET /executions``: executions per operation id."""

    def initialize(self, engine: ApplicationEngine) -> None:
        """Store the application engine."""
        self.engine = engine

    def get(self) -> None:
        """Return the number of calls and the executions per operation."""
        self.finish({"calls": self.engine.calls, "executions": dict(self.engine.executions)})


class ApplicationControlHandler(RequestHandler):
    """``POST /control/faults``: sets fields of `ApplicationFaults`.

    As a fault can close the port for calls, the endpoint is also available on a separate port.
    """

    def initialize(self, engine: ApplicationEngine) -> None:
        """Store the application engine."""
        self.engine = engine

    def post(self) -> None:
        """Set faults."""
        body = json.loads(self.request.body or b"{}")
        for name, value in body.items():
            if not hasattr(self.engine.faults, name):
                self.set_status(400)
                self.finish({"reason": f"unknown fault {name}"})
                return
            setattr(self.engine.faults, name, value)
        self.finish(body)


def make_application_engine_application(engine: ApplicationEngine) -> Application:
    """Build the tornado application of one emulated application engine."""
    arguments = {"engine": engine}
    return Application(
        [
            (r"/executions", ExecutionsHandler, arguments),
            (r"/control/faults", ApplicationControlHandler, arguments),
            (r"/(.*)", CallHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
