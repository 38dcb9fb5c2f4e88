"""Cases of requests in progress beside a change of the declarations, and a cluster that plays them.

A case has a phase, in which the request is when the change comes, and a change. Both are generated:
the phases from the interfaces and journal commands that a request waits for and from the places of
a response at which an upstream may fall silent, the changes from the fields of the declarations.
A case has its own account, model, service and upstreams, so many of them run at the same time.
"""

import asyncio
import contextlib
import inspect
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from pydantic import BaseModel

from laburnumrock.daemon._instance import Instance
from laburnumrock.declarations import (
    ApplyChange,
    Deadlines,
    InService,
    Limits,
    Service,
    ServiceKind,
    Template,
)
from laburnumrock.gateway._interfaces import PermitClient, QuotaClient
from laburnumrock.gateway.tests.raw_calls import make_request, parse
from laburnumrock.gateway.tests.test_silent_engines import PLAIN_PLACES, STREAM_PLACES
from laburnumrock.journal import (
    AbandonOperation,
    AbandonOwner,
    JournalPart,
    ReconcileOperation,
    VoidClaim,
)
from laburnumrock.metrics import Counters
from laburnumrock.placement import PermitOutcome, PermitRelease, PermitRequest
from laburnumrock.scenarios import make_loopback_settings
from laburnumrock.settings import InstanceKeys
from laburnumrock.upstreams import UpstreamAnnouncement, UpstreamKind

SILENCE_S = 1.3
REACH_LIMIT_S = 5.0
"""New owners of pools grant nothing for 2 s."""
HOLD_S = 0.5
"""Time for which a gate holds a request after the change."""
DEADLINE_S = 8.0
TOKENS = [f"t{index} " for index in range(4)]
TIMING = {"balancer_grace_s": 0.0, "drain_timeout_s": 2.0}
KV_TOKENS = 100
READY_LIMIT_S = 15.0
ANNOUNCE_S = 0.4
KEYS = InstanceKeys(b"k" * 32, b"o" * 32)
OTHER_COMMANDS = {
    command.__name__ for command in (AbandonOperation, AbandonOwner, ReconcileOperation, VoidClaim)
}
"""Journal commands that occur only after a failure."""


@dataclass(slots=True)
class Case:
    """One request and the change beside it."""

    number: int
    phase: "Phase"
    change: str
    upstreams: list["CaseUpstream"] = field(default_factory=list)
    reached: asyncio.Event = field(default_factory=asyncio.Event)
    go_on: asyncio.Event = field(default_factory=asyncio.Event)
    sends: int = 0
    is_announced: bool = True
    blocker: str | None = None
    answer: tuple[int, dict[str, str], bytes] | None = None
    error: str = ""
    duration_s: float = 0.0

    @property
    def account(self) -> str:
        return f"account-{self.number}"

    @property
    def model(self) -> str:
        return f"model-{self.number}"

    @property
    def service(self) -> str:
        return f"service-{self.number}"

    def __str__(self) -> str:
        return f"{self.phase.name} / {self.change}"

    async def hold(self) -> None:
        """Hold the request until the change has come."""
        self.reached.set()
        await self.go_on.wait()

    def make_template(self, **fields: object) -> dict[str, object]:
        return {
            "type": "template",
            "client_account": self.account,
            "model": self.model,
            "limits": {"requests_per_s": 1e3, "tokens_per_s": 1e6, "concurrency": 50},
            "deadlines": dict.fromkeys(Deadlines.model_fields, DEADLINE_S),
            "max_output_tokens": 100,
        } | fields

    def make_service(self, **fields: object) -> dict[str, object]:
        paths = [{"path": "place", "repeatable": False}, {"path": "stock", "repeatable": True}]
        return {
            "type": "service",
            "name": self.service,
            "timeout_s": DEADLINE_S,
            "paths": paths,
        } | fields


@dataclass(frozen=True, slots=True)
class Phase:
    """Place of a request at the time of the change.

    Parameters
    ----------
    name : str
        Name in the messages of a failed case.
    path : str
        ``stream`` and ``document`` for completions; else the path of a plain service.
    gate : tuple of str, optional
        Name of the call that is held, and whether it is held ``before`` or ``after``.
    find_place : callable, optional
        Number of bytes of a response after which its upstream falls silent.
    is_sent : bool
        Whether an upstream has the request already, so that it must be answered.
    breaks_first : bool
        Whether the first send breaks off after two tokens.
    words : int
        Length of the prompt.
    is_queued : bool
        Whether the memory of the engine is occupied up to the change.
    """

    name: str
    path: str
    gate: tuple[str, str] | None = None
    find_place: Callable[[str], int] | None = None
    is_sent: bool = False
    breaks_first: bool = False
    words: int = 2
    is_queued: bool = False

    @property
    def is_completion(self) -> bool:
        return self.path in ("stream", "document")

    @property
    def is_shown(self) -> bool:
        """Whether a request shows that it is in this phase, in a run without a failure."""
        return not self.is_queued and (self.gate is None or self.gate[0] not in OTHER_COMMANDS)

    @property
    def group(self) -> tuple[bool, ...]:
        """Group of similar phases."""
        return (self.is_completion, self.is_queued, self.is_sent)


def list_coroutines(protocol: type) -> list[str]:
    """Return the calls of an interface for which a request waits."""
    members = inspect.getmembers(protocol, inspect.iscoroutinefunction)
    return [name for name, _ in members if not name.startswith("_")]


def list_phases() -> list[Phase]:
    """Return all phases."""
    phases = []
    for path in ("stream", "document", "stock", "place"):
        for client in (QuotaClient, PermitClient):
            for call in list_coroutines(client):
                for side in ("before", "after"):
                    gate = (f"{client.__name__}.{call}", side)
                    phases.append(Phase(f"{path}, {side} {gate[0]}", path, gate))
        phases.append(Phase(f"{path}, queued", path, is_queued=True))
        is_completion = path in ("stream", "document")
        for place, find_place in (STREAM_PLACES if is_completion else PLAIN_PLACES).items():
            silent = {"find_place": find_place, "is_sent": True}
            phases.append(Phase(f"{path}, silent {place}", path, **silent))
            if is_completion:
                phases.append(
                    Phase(f"{path}, resumed, silent {place}", path, breaks_first=True, **silent)
                )
                words = KV_TOKENS + KV_TOKENS // 2
                phases.append(
                    Phase(f"{path}, spanning, silent {place}", path, words=words, **silent)
                )
    for command in JournalPart.command_types:
        for side in ("before", "after"):
            gate = (command.__name__, side)
            phases.append(Phase(f"place, {side} {command.__name__}", "place", gate))
    return phases


def _put(declaration: dict[str, object]) -> dict[str, object]:
    return {"action": "put", "declaration": declaration}


TEMPLATE_VALUES = {
    "api_key_sha256": "0" * 64,
    "model": "another",
    "adapter": "another",
    "version": "another",
    "priority": -100,
    "max_output_tokens": 1,
}
"""Another value of each field of a template, except of `limits` and `deadlines`."""
SERVICE_VALUES = {
    "timeout_s": 0.05,
    "paths": [{"path": "another", "repeatable": True}],
}
IDENTITY = {"type", "client_account", "name"}


def _list_fields(model: type[BaseModel]) -> list[str]:
    return [name for name in model.model_fields if name not in IDENTITY]


def list_changes() -> dict[str, Callable[[Case], list[dict[str, object]]]]:
    """Return all changes of the declarations of one case by name."""
    changes = {
        "none": lambda case: [],
        "template removed": lambda case: [
            {"action": "remove", "key": f"template/{case.account}"},
        ],
        "service removed": lambda case: [{"action": "remove", "key": f"service/{case.service}"}],
        "upstreams silent for good": _stop_announcing,
    }
    for name in _list_fields(Limits):
        changes[f"limit {name} far down"] = partial(_change_template, "limits", {name: 1})
    names = _list_fields(Deadlines)
    for count, name in enumerate(names, 1):
        # A deadline may not be longer than that of a longer prompt.
        values = dict.fromkeys(names[:count], 0.05)
        changes[f"deadline {name} far down"] = partial(_change_template, "deadlines", values)
    for name in _list_fields(Template):
        if name not in ("limits", "deadlines"):
            changes[f"template field {name}"] = partial(_change_field, name, TEMPLATE_VALUES[name])
    for name in _list_fields(Service):
        changes[f"service field {name}"] = partial(_change_service, name, SERVICE_VALUES[name])
    changes["service paths repeatable the other way"] = _turn_paths
    for state in InService:
        if state is not InService.IN_SERVICE:
            changes[f"upstreams {state}"] = partial(_set_upstreams, state)
    return changes


def _change_template(part: str, values: dict, case: Case) -> list[dict[str, object]]:
    template = case.make_template()
    return [_put(template | {part: template[part] | values})]


def _change_field(name: str, value: object, case: Case) -> list[dict[str, object]]:
    return [_put(case.make_template(**{name: value}))]


def _change_service(name: str, value: object, case: Case) -> list[dict[str, object]]:
    return [_put(case.make_service(**{name: value}))]


def _turn_paths(case: Case) -> list[dict[str, object]]:
    service = case.make_service()
    paths = [path | {"repeatable": not path["repeatable"]} for path in service["paths"]]
    return [_put(service | {"paths": paths})]


def _set_upstreams(state: str, case: Case) -> list[dict[str, object]]:
    kind = ServiceKind.UPSTREAM
    return [
        _put({"type": "service_state", "kind": kind, "name": one.name, "state": state})
        for one in case.upstreams
    ]


def _stop_announcing(case: Case) -> list[dict[str, object]]:
    case.is_announced = False
    return []


class CaseUpstream:
    """Engine and application engine of one case."""

    def __init__(self, case: Case, index: int) -> None:
        self.case = case
        self.name = f"u{case.number}-{index}"
        self.base_url = ""
        self.held: dict[str, int] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one request."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            _, _, rest = head.lower().partition("content-length: ")
            body = await reader.readexactly(int(rest.split("\r\n")[0])) if rest else b"{}"
            await self.respond(writer, head.split()[1], json.loads(body))
            await writer.drain()
        writer.close()

    async def respond(self, writer: asyncio.StreamWriter, path: str, body: dict) -> None:
        if path == "/v1/load":
            holdings = [{"request_id": key, "tokens": held} for key, held in self.held.items()]
            write_document(writer, json.dumps({"holdings": holdings, "waiting_requests": []}))
        elif path in ("/v1/cancel", "/v1/kv/release"):
            self.held.pop(body["request_id"], None)
            write_document(writer, "{}")
        elif path.startswith("/v1/kv/"):
            self.held[body["request_id"]] = KV_TOKENS // 2
            write_document(writer, '{"handle": "h"}')
        elif path == "/v1/completions":
            self.held[body["request_id"]] = 10
            await self.send(writer, "".join(make_stream(body)), len(TOKENS) // 2)
            self.held.pop(body["request_id"], None)
        else:
            data = "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nanswered"
            await self.send(writer, data, None)

    async def send(self, writer: asyncio.StreamWriter, data: str, cut: int | None) -> None:
        """Send a response, with the silence or the break of the phase."""
        phase = self.case.phase
        self.case.sends += 1
        if phase.breaks_first and self.case.sends == 1:
            writer.write(data[: data.index(f"t{cut}") - 100].encode())
            await writer.drain()
            await asyncio.sleep(0.1)
            return
        place = len(data) if phase.find_place is None else phase.find_place(data)
        writer.write(data[:place].encode())
        await writer.drain()
        if place < len(data):
            self.case.reached.set()
            await asyncio.sleep(SILENCE_S)
            writer.write(data[place:].encode())


def write_document(writer: asyncio.StreamWriter, text: str) -> None:
    writer.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(text)}\r\n\r\n{text}".encode())


def make_stream(body: dict):
    """Yield the parts of the stream of an engine."""
    yield "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    for index in range(body["resume_from"], len(TOKENS)):
        token = {"request_id": body["request_id"], "attempt": body["attempt"], "index": index}
        token["text"] = TOKENS[index]
        token["finish_reason"] = "length" if index == len(TOKENS) - 1 else None
        text = f"data: {json.dumps(token)}\n\n"
        yield f"{len(text):x}\r\n{text}\r\n"
    text = "data: [DONE]\n\n"
    yield f"{len(text):x}\r\n{text}\r\n0\r\n\r\n"


class GatedClient:
    """Client of the entry whose calls are held for the cases in the phase of the call."""

    def __init__(self, client: object, protocol: type, find_case: Callable) -> None:
        self.client = client
        self.find_case = find_case
        for name in list_coroutines(protocol):
            call = partial(self.call, f"{protocol.__name__}.{name}", getattr(client, name))
            setattr(self, name, call)

    def __getattr__(self, name: str) -> object:
        return getattr(self.client, name)

    async def call(self, name: str, method: Callable, *arguments: object) -> object:
        case = self.find_case(getattr(arguments[0], "client_account", arguments[0]))
        async with hold_around(case, name):
            return await method(*arguments)


class GatedLog:
    """Log of the entry whose journal commands are held."""

    def __init__(self, log: object, find_case: Callable) -> None:
        self.log = log
        self.find_case = find_case

    def __getattr__(self, name: str) -> object:
        return getattr(self.log, name)

    async def propose(self, command: object, *arguments: object) -> object:
        case = self.find_case(getattr(command, "account", ""))
        async with hold_around(case, type(command).__name__):
            return await self.log.propose(command, *arguments)


@contextlib.asynccontextmanager
async def hold_around(case: Case | None, name: str):
    gate = None if case is None else case.phase.gate
    if gate == (name, "before"):
        await case.hold()
    yield
    if gate == (name, "after"):
        await case.hold()


class Cluster:
    """Three instances of one failure domain on one event loop, with the upstreams of the cases."""

    def __init__(self, folder, cases: list[Case], timing: dict[str, float]) -> None:
        names = ["a1", "a2", "a3"]
        self.cases = {case.account: case for case in cases}
        settings = make_loopback_settings(folder, names, timing=TIMING | timing)
        self.instances = {name: Instance(settings[name], KEYS, Counters(None)) for name in names}
        self.entry = self.instances["a1"]

    @contextlib.asynccontextmanager
    async def run(self):
        """Run the instances and upstreams."""
        tasks = [asyncio.create_task(one.run()) for one in self.instances.values()]
        async with contextlib.AsyncExitStack() as stack:
            for case in self.cases.values():
                for upstream in case.upstreams:
                    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
                    await stack.enter_async_context(server)
                    port = server.sockets[0].getsockname()[1]
                    upstream.base_url = f"http://127.0.0.1:{port}"
            try:
                await self.wait(lambda: all(x.lifecycle.is_ready() for x in self.all()), "start")
                await self.wait(self.is_led, "leader and coordinator")
                self.choose_entry()
                announcing = asyncio.create_task(self.announce())
                yield self
                announcing.cancel()
            finally:
                for instance in self.all():
                    instance.request_stop()
                await asyncio.gather(*tasks, return_exceptions=True)

    def all(self) -> list[Instance]:
        return list(self.instances.values())

    async def wait(self, condition: Callable[[], bool], what: str) -> None:
        limit_s = time.monotonic() + READY_LIMIT_S
        while not condition():
            assert time.monotonic() < limit_s, f"{what} not reached"
            await asyncio.sleep(0.05)

    def is_led(self) -> bool:
        has_leader = any(one.log.is_leader for one in self.all())
        return has_leader and all(one.ownership.find_coordinator() for one in self.all())

    def find_leader(self) -> Instance:
        return next(one for one in self.all() if one.log.is_leader)

    def find_coordinator(self) -> Instance:
        return self.instances[self.entry.ownership.find_coordinator()]

    def choose_entry(self) -> None:
        """Send requests to an instance that neither leads the log nor coordinates the domain."""
        special = (self.find_leader(), self.find_coordinator())
        self.entry = next(one for one in self.all() if one not in special)
        services = self.entry.services
        for name, protocol in (("quotas", QuotaClient), ("permits", PermitClient)):
            gated = GatedClient(getattr(services, name), protocol, self.cases.get)
            object.__setattr__(services, name, gated)
        self.entry.operations.log = GatedLog(self.entry.operations.log, self.cases.get)

    async def announce(self) -> None:
        """Announce the upstreams again and again."""
        while True:
            for case in self.cases.values():
                if case.is_announced:
                    for upstream in case.upstreams:
                        self.entry.pools.announce(make_announcement(case, upstream))
                    await asyncio.sleep(0)
            await asyncio.sleep(ANNOUNCE_S)

    async def change(self, name: str, changes: list[dict[str, object]]) -> None:
        """Commit changes, and wait until they are in force at the entry."""
        if not changes:
            return
        revision = self.entry.declarations.view.revision
        command = ApplyChange(name, revision, changes, "test", time.time())
        limit_s = time.monotonic() + READY_LIMIT_S
        while True:
            answer = await self.entry.declarations.submit(command)
            if answer.is_ok():
                break
            assert time.monotonic() < limit_s, answer
        await self.wait(lambda: self.entry.declarations.view.revision > revision, "revision")

    async def prepare(self) -> None:
        """Declare the templates and services, wait for the upstreams and fill their memory."""
        changes = []
        for case in self.cases.values():
            changes += [_put(case.make_template()), _put(case.make_service())]
        await self.change("prepare", changes)
        for case in self.cases.values():
            await self.wait(partial(self.is_placeable, case), f"upstreams of {case}")
        await asyncio.gather(*(self.block(case) for case in self.cases.values()))

    def is_placeable(self, case: Case) -> bool:
        """Return whether the owner of the pool of a case knows all of its upstreams."""
        served = case.model if case.phase.is_completion else case.service
        pools = [pool for name, pool in self.entry.directory.pools.items() if name.endswith(served)]
        known = [pool.summary.upstreams for pool in pools if pool.summary is not None]
        return sum(known) == len(case.upstreams)

    async def block(self, case: Case) -> None:
        """Occupy the memory of the engine of a case whose request is to wait in the queue."""
        if not case.phase.is_queued or not case.phase.is_completion:
            return
        request = PermitRequest(
            f"blocker-{case.number}", 1, case.account, "", case.model, 80, 10, DEADLINE_S
        )
        limit_s = time.monotonic() + READY_LIMIT_S
        while case.blocker is None:
            granted = await self.entry.permits.acquire(request)
            assert granted.is_ok() or time.monotonic() < limit_s, granted
            if granted.is_ok():
                case.blocker = granted.unwrap().permit_id

    async def ask(self, case: Case) -> None:
        """Send the request of a case, and read its response."""
        port = self.entry.settings.listen.caller_port
        started_s = time.monotonic()
        try:
            async with asyncio.timeout(DEADLINE_S + 2.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(make_case_request(case))
                case.answer = parse(await reader.read())
                writer.close()
        except Exception as error:
            case.error = repr(error)
        case.duration_s = time.monotonic() - started_s

    async def play(self, silent: list[Instance], shared: list[dict[str, object]]) -> None:
        """Send all requests, make the changes beside them and wait for the responses."""
        cases = list(self.cases.values())
        asks = [asyncio.create_task(self.ask(case)) for case in cases]
        shown = [case for case in cases if case.phase.is_shown]
        reached = [asyncio.create_task(case.reached.wait()) for case in shown]
        await asyncio.wait(reached, timeout=REACH_LIMIT_S)
        changes = list_changes()
        plain = [item for case in cases for item in changes[case.change](case)]
        silences = [asyncio.create_task(be_silent(one)) for one in silent]
        change = asyncio.create_task(self.change("change", plain + shared))
        await asyncio.sleep(HOLD_S)
        for case in cases:
            case.go_on.set()
            if case.blocker is not None:
                release = PermitRelease(case.blocker, PermitOutcome.CANCELLED)
                self.entry.permits.release(release)
        await asyncio.gather(*asks, *silences, change)
        for task in reached:
            task.cancel()


def make_case_request(case: Case) -> bytes:
    """Return the bytes of the request of a case."""
    if case.phase.is_completion:
        prompt = " ".join(["word"] * case.phase.words)
        body = {"prompt": prompt, "max_tokens": len(TOKENS)}
        path, body = "/v1/completions", body | {"stream": case.phase.path == "stream"}
    else:
        path, body = f"/v1/services/{case.service}/{case.phase.path}", {"order": case.number}
    data = make_request(path, body, Idempotency_Key=f"k{case.number}", Connection="close")
    return data.replace(b"X-Client-Account: merchant", f"X-Client-Account: {case.account}".encode())


def make_announcement(case: Case, upstream: CaseUpstream) -> UpstreamAnnouncement:
    common = (upstream.name, "a", 1, upstream.base_url)
    if case.phase.is_completion:
        return UpstreamAnnouncement(
            common[0],
            UpstreamKind.MODEL_ENGINE,
            *common[1:],
            models=[case.model],
            kv_capacity_tokens=KV_TOKENS,
            prefill_tokens_per_s=10_000.0,
            decode_step_s=0.01,
        )
    kind = UpstreamKind.APPLICATION_ENGINE
    return UpstreamAnnouncement(common[0], kind, *common[1:], services=[case.service])


async def be_silent(instance: Instance) -> None:
    """Hold all messages from and to an instance, as if it stood still."""
    network, own = instance.network, instance.settings.instance_id
    enqueue, handle = network._enqueue, network._handle_frame
    held: list[Callable[[], object]] = []

    def hold_sent(peer, frame, data=None):
        if peer == own:
            return enqueue(peer, frame, data)
        held.append(partial(enqueue, peer, frame, data))
        return True

    def hold_received(peer, frame):
        if peer == own:
            handle(peer, frame)
        else:
            held.append(partial(handle, peer, frame))

    network._enqueue, network._handle_frame = hold_sent, hold_received
    await asyncio.sleep(SILENCE_S)
    network._enqueue, network._handle_frame = enqueue, handle
    for call in held:
        call()


def make_cases(pairs: list[tuple[Phase, str]]) -> list[Case]:
    """Return cases with their upstreams."""
    cases = [Case(number, phase, change) for number, (phase, change) in enumerate(pairs)]
    for case in cases:
        count = 2 if case.phase.breaks_first or case.phase.words > KV_TOKENS else 1
        case.upstreams = [CaseUpstream(case, index) for index in range(count)]
    return cases


def find_fault(case: Case) -> str:
    """Return what is wrong with the answer to a case; empty if nothing is."""
    if case.answer is None:
        return f"no answer after {case.duration_s:.2f} s: {case.error}"
    status, headers, body = case.answer
    text = body.decode()
    if status == 200 and "event: error\ndata: " not in text:
        return "" if is_right(case, text) else f"wrong answer {text[:200]!r}"
    problem = json.loads(text.split("event: error\ndata: ")[-1])
    found = f"{status} {problem['kind']} {problem['outcome']}: {problem['detail']}"
    if case.phase.is_sent and case.reached.is_set():
        return f"given up although an upstream had it: {found}"
    if problem["outcome"] == "not_run" and case.sends:
        return f"sent {case.sends} times, and {found}"
    if problem["outcome"] not in ("not_run",) and not case.sends:
        return f"never sent, and {found}"
    return ""


def is_right(case: Case, text: str) -> bool:
    if case.phase.path == "stream":
        lines = [line[6:] for line in text.splitlines() if line.startswith("data: {")]
        tokens = [json.loads(line)["choices"][0]["text"] for line in lines]
        return "".join(tokens) == "".join(TOKENS) and text.endswith("data: [DONE]\n\n")
    if case.phase.path == "document":
        return json.loads(text)["choices"][0]["text"] == "".join(TOKENS)
    return text == "answered"
