"""Matrix of phases of a request, silent parties, other upstreams and changes of the configuration.

Notes
-----
``python -m laburnumrock.forwarding.tests.silence_matrix --all`` plays the whole matrix.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import sys
import time
import zlib
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, fields

import click

from laburnumrock.dispatch import DispatchAnswer, Helper, StallAdvice
from laburnumrock.errors import ErrorKind
from laburnumrock.forwarding._attempt import MAX_CRASH_CHECK_S
from laburnumrock.forwarding.tests.scripted import (
    HOST,
    CallerResponse,
    FrontendHarness,
    ReceivedRequest,
    Script,
    ScriptedDispatcher,
    ScriptedUpstream,
    answer,
    hang,
    make_event,
    make_request,
    open_frontend,
    read_request,
    read_response,
    respond_raw,
)
from laburnumrock.forwarding.tests.silence_phases import (
    FRAMINGS,
    PHASES,
    FramedResponse,
    Phase,
    read_wait_s,
    split_response,
)
from laburnumrock.platform._routes import decode_routes
from laburnumrock.platform.soak._callers import API_KEY, HOSTNAME, NOT_RUN_STATUSES
from laburnumrock.platform.soak._changes import (
    CHANGE_KINDS,
    CHANGES,
    SINGLE_STREAM,
    make_changed_routes,
)
from laburnumrock.routing import RouteTable

SILENCE_S = 0.6
LIMIT_S = 3.0
"""Time limit of the caller, unless a silence ends at it."""
MARGIN_S = 0.5
"""Time past its limit within which each request must be answered."""
LIMITS = {
    "gap_timeout_s": 0.15,
    "gap_timeout_factor": 1.0,
    "first_event_timeout_s": 0.15,
    "stall_report_delay_s": 0.1,
    "placement_retry_s": 0.1,
}
"""Time limits of the entry, all shorter than a silence."""
HELD_S = 2.0
"""Time past the limit after which a caller gives up."""
CONCURRENT_CASES = 30
EARLIER_ID = "earlier"
"""Id of the earlier request on the same connections."""
PIECES = [make_event(number) for number in range(1, 5)]
RUN_ONCE_KINDS = ("once", SINGLE_STREAM)
"""Kinds of requests that are sent to one upstream at most."""
REFUSAL = DispatchAnswer(refusal=ErrorKind.NO_UPSTREAM.value, retry_after_s=0.2)
GIVE_UP = StallAdvice(True)


@dataclass(frozen=True, slots=True)
class Case:
    """Case of the matrix.

    Parameters
    ----------
    kind : str
        Kind of the request, the first segment of its path.
    framing, phase, party, other, change : str
        Names in `FRAMINGS`, `PHASES`, `PARTIES`, `OTHERS` and `CHANGES`.
    """

    kind: str
    framing: str
    phase: str
    party: str
    other: str
    change: str

    @property
    def is_kept(self) -> bool:
        """Whether both connections of the request have carried an earlier one.

        Notes
        -----
        A checksum decides, since the matrix would take twice the time with both for each case.
        """
        return bool(zlib.crc32(str(self).encode()) & 1)

    def __str__(self) -> str:
        return " / ".join(
            (self.kind, self.framing, self.phase, self.party, self.other, self.change)
        )


@dataclass(slots=True)
class Scene:
    """Course of one case.

    Parameters
    ----------
    case : Case
        The case.
    sent_s : float
        Reading of the monotonic clock at which the caller sent the request.
    silent_until_s : dict of str to float
        Readings until which the dispatcher and the helper say nothing.
    is_connected : bool
        Whether the request has reached its first upstream.
    reached : int
        Number of silences that have begun.
    runs : list of str
        Upstreams that have read the whole request and do not refuse it.
    orders : int
        Number of calls that the helper has received.
    """

    case: Case
    frontend: FrontendHarness | None = None
    sent_s: float = 0.0
    is_connected: bool = False
    reached: int = 0
    silent_until_s: dict[str, float] = field(default_factory=dict)
    runs: list[str] = field(default_factory=list)
    orders: int = 0

    @property
    def phase(self) -> Phase:
        """Phase in which a party falls silent."""
        return PHASES[self.case.phase]

    @property
    def limit_s(self) -> float:
        """Time limit of the caller."""
        return SILENCE_S if self.phase.ends_at_limit else LIMIT_S

    async def reach(self) -> None:
        """Let the party fall silent, with the change beside its first silence."""
        self.reached += 1
        silence_s = SILENCE_S
        if self.phase.ends_at_limit:
            silence_s = max(0.0, self.sent_s + self.limit_s - time.monotonic())
        silence = asyncio.create_task(PARTIES[self.case.party](self, silence_s))
        if self.reached == 1:
            # The change comes once the party is silent.
            await asyncio.sleep(0.02)
            self.change_routes()
        await silence

    def change_routes(self) -> None:
        """Put the changed configuration in force at the entry."""
        self.use_routes(make_changed_routes(2, self.case.change))

    def use_routes(self, document: dict) -> None:
        """Put a configuration in force at the entry."""
        routes = decode_routes(json.dumps(document).encode()).unwrap()
        self.frontend.context.route_table = RouteTable(routes)
        self.frontend.server.update_limits()
        self.frontend.server.close_expired()

    def silence(self, party: str, duration_s: float) -> None:
        """Let the dispatcher or the helper fall silent."""
        self.silent_until_s[party] = time.monotonic() + duration_s

    async def await_speech(self, party: str) -> None:
        """Wait until the dispatcher or the helper is not silent."""
        while (left_s := self.silent_until_s.get(party, 0.0) - time.monotonic()) > 0:
            await asyncio.sleep(left_s)


PartyFunction = Callable[[Scene, float], Awaitable[None]]
OtherFunction = Callable[[Scene], Script | None]
PARTIES: dict[str, PartyFunction] = {}
"""Coroutine functions that let a party fall silent and return when the upstream goes on."""
OTHERS: dict[str, OtherFunction] = {}
"""Functions that return what the upstream of a second send does; None if no other one is free."""


def register_party(function: PartyFunction) -> PartyFunction:
    """Register a party under the name of its function."""
    PARTIES[function.__name__.strip("_")] = function
    return function


def register_other(function: OtherFunction) -> OtherFunction:
    """Register what another upstream does under the name of its function."""
    OTHERS[function.__name__.strip("_")] = function
    return function


@register_party
async def _upstream(scene: Scene, silence_s: float) -> None:
    await asyncio.sleep(silence_s)


@register_party
async def _dispatcher(scene: Scene, silence_s: float) -> None:
    """Let the dispatcher be silent while the entry asks for another upstream."""
    scene.silence("dispatcher", silence_s)
    await asyncio.sleep(silence_s / 2)


@register_party
async def _dispatcher_and_upstream(scene: Scene, silence_s: float) -> None:
    scene.silence("dispatcher", 2 * silence_s)
    await asyncio.sleep(silence_s)


@register_party
async def _helper(scene: Scene, silence_s: float) -> None:
    """Let a helper be silent, and with it the upstream, which waits for its part."""
    scene.silence("helper", silence_s)
    await asyncio.sleep(silence_s)


@register_party
async def _helper_in_reservation(scene: Scene, silence_s: float) -> None:
    """Let a helper be silent from its first call on, and no one later."""


@register_party
async def _helper_in_release(scene: Scene, silence_s: float) -> None:
    """Let a helper be silent while its memory is released."""
    scene.silence("helper", 2 * silence_s)


@register_other
def _none_free(scene: Scene) -> Script | None:
    return None


@register_other
def _refuses(scene: Scene) -> Script | None:
    return answer(503, b"", Not_Executed="1")


@register_other
def _fails(scene: Scene) -> Script | None:
    return _record_run(scene, "other", answer(500, b"broken"))


@register_other
def _breaks(scene: Scene) -> Script | None:
    return _record_run(scene, "other", respond_raw(b"HTTP/1.1 200 OK\r\nRequest-"))


@register_other
def _silent(scene: Scene) -> Script | None:
    return _record_run(scene, "other", hang())


@register_other
def _answers(scene: Scene) -> Script | None:
    async def run(reader, writer, received: ReceivedRequest) -> None:
        last = int(received.headers.get("Last-Event-Id", "0"))
        response = _make_response(scene.case, received.headers["Request-Id"], PIECES[last:])
        await asyncio.sleep(SILENCE_S / 4)
        writer.write(response.data)
        await writer.drain()
        if response.closes:
            writer.close()

    return _record_run(scene, "other", run)


@register_other
def _silent_too(scene: Scene) -> Script | None:
    """Let the other upstream be silent in the same phase, and then go on."""

    async def run(reader, writer, received: ReceivedRequest) -> None:
        last = int(received.headers.get("Last-Event-Id", "0"))
        pieces = PIECES[last:]
        response = _make_response(scene.case, received.headers["Request-Id"], pieces)
        parts = [response.data]
        if len(pieces) >= 2:
            parts = list(split_response(scene.phase, response))
        for number, part in enumerate(parts):
            if number:
                await asyncio.sleep(SILENCE_S)
            writer.write(part)
            await writer.drain()
        if response.closes:
            writer.close()

    return _record_run(scene, "other", run)


def _record_run(scene: Scene, name: str, script: Script) -> Script:
    async def run(reader, writer, received: ReceivedRequest) -> None:
        scene.runs.append(name)
        await script(reader, writer, received)

    return run


def _make_response(case: Case, request_id: str, pieces: list[bytes]) -> FramedResponse:
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}", "Server-Signature: proof"]
    if case.kind in ("stream", SINGLE_STREAM):
        lines.append("Content-Type: text/event-stream")
    return FRAMINGS[case.framing](lines, pieces)


class SilentUpstream(ScriptedUpstream):
    """Upstream whose response has the silences of a scene."""

    def __init__(self, scene: Scene) -> None:
        super().__init__(self._respond)
        self.scene = scene

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        scene = self.scene
        phase = scene.phase
        is_kept = scene.case.is_kept and not scene.is_connected
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            if is_kept:
                await answer()(reader, writer, await read_request(reader))
            scene.is_connected = scene.is_connected or not is_kept
            if phase.reads_bytes is not None and not scene.reached:
                await self._read_in_two_parts(reader, writer, max(phase.reads_bytes, int(is_kept)))
            await super()._serve(reader, writer)

    async def _read_in_two_parts(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, size: int
    ) -> None:
        """Read a part of a request, fall silent, and leave all of it to be read."""
        data = b""
        if size:
            data = await reader.readexactly(size)
        writer.transport.pause_reading()
        self.scene.is_connected = True
        await self.scene.reach()
        if not writer.transport.is_closing():
            writer.transport.resume_reading()
        reader._buffer[:0] = data

    async def _respond(self, reader, writer, received: ReceivedRequest) -> None:
        scene = self.scene
        scene.is_connected = True
        scene.runs.append("first")
        response = _make_response(scene.case, received.headers["Request-Id"], PIECES)
        for number, part in enumerate(split_response(scene.phase, response)):
            if number:
                await scene.reach()
            if writer.is_closing():
                return
            writer.write(part)
            await writer.drain()
        if response.closes:
            writer.close()


class SceneDispatcher(ScriptedDispatcher):
    """Dispatcher that places a request on the first upstream, and then on the other one."""

    def __init__(self, scene: Scene, upstreams: list[ScriptedUpstream]) -> None:
        super().__init__(upstreams)
        self.scene = scene

    async def place(self, call) -> DispatchAnswer:
        self.calls.append(call)
        scene = self.scene
        await scene.await_speech("dispatcher")
        first, other, helper = self.upstreams
        permit = len(self.calls)
        if call.request_id == EARLIER_ID:
            return DispatchAnswer(permit, "first", HOST, first.port, 0.01)
        if not scene.is_connected:
            helpers = []
            if scene.case.party.startswith("helper"):
                helpers = [Helper("helper", HOST, helper.port, 1000)]
            return DispatchAnswer(permit, "first", HOST, first.port, 0.01, helpers=helpers)
        if OTHERS[scene.case.other](scene) is None or "other" in call.excluded:
            return REFUSAL
        return DispatchAnswer(permit, "other", HOST, other.port, 0.01)

    async def report_stall(self, message) -> StallAdvice:
        await self.scene.await_speech("dispatcher")
        return GIVE_UP


def _serve_helper(scene: Scene) -> Script:
    async def run(reader, writer, received: ReceivedRequest) -> None:
        scene.orders += 1
        if scene.orders == 1 and scene.case.party == "helper_in_reservation":
            scene.silence("helper", SILENCE_S)
            scene.change_routes()
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
        await scene.await_speech("helper")
        writer.write(head + b"{}")
        await writer.drain()

    return run


@dataclass(frozen=True, slots=True)
class Outcome:
    """What the caller of a case has seen.

    Parameters
    ----------
    response : CallerResponse, optional
        Response; None if the connection was closed without one, or nothing came.
    elapsed_s : float
        Time from the request to the end of the response.
    finding : str
        Why the outcome is a fault; empty if it is none.
    """

    response: CallerResponse | None
    elapsed_s: float
    finding: str = ""


async def play_case(case: Case) -> Outcome:
    """Play a case, and return what its caller has seen."""
    scene = Scene(case)
    other = OTHERS[case.other](scene) or hang()
    upstreams = [SilentUpstream(scene), ScriptedUpstream(other)]
    upstreams.append(ScriptedUpstream(_serve_helper(scene)))
    async with open_frontend(*upstreams, **LIMITS) as frontend:
        scene.frontend = frontend
        scene.use_routes(make_changed_routes(1, "none"))
        frontend.dispatcher = SceneDispatcher(scene, upstreams)
        frontend.context.dispatcher = frontend.dispatcher
        reader, writer = await frontend.connect()
        headers = {
            "Host": HOSTNAME,
            "Authorization": f"Token {API_KEY}",
            "Deadline-Ms": str(round(scene.limit_s * 1000)),
        }
        if case.is_kept:
            earlier = {**headers, "Request-Id": EARLIER_ID, "Deadline-Ms": "3000"}
            writer.write(make_request("/again/x", "POST", b"{}", earlier))
            assert (await read_response(reader)).status == 200, case
        body = bytes(scene.phase.body_bytes)
        scene.sent_s = time.monotonic()
        writer.write(make_request(f"/{case.kind}/x/y", "POST", body, headers))
        response = None
        waited_s = -read_wait_s(os.getpid())
        with contextlib.suppress(TimeoutError, asyncio.IncompleteReadError, ConnectionError):
            async with asyncio.timeout(scene.limit_s + HELD_S):
                response = await read_response(reader)
        elapsed_s = time.monotonic() - scene.sent_s
        waited_s += read_wait_s(os.getpid())
        if response is not None and response.status in NOT_RUN_STATUSES:
            # A request that was refused must not run later either.
            await asyncio.sleep(SILENCE_S)
        await frontend.context.reservations.finish(4 * SILENCE_S)
        for task in frontend.context.reservations.tasks:
            # A later retry would reach the upstream of another case on the same port.
            task.cancel()
    return Outcome(response, elapsed_s, _judge(scene, response, elapsed_s, waited_s))


def _judge(scene: Scene, response: CallerResponse | None, elapsed_s: float, waited_s: float) -> str:
    """Return why an outcome is a fault; empty if it is none.

    Parameters
    ----------
    scene : Scene
        The case.
    response : CallerResponse, optional
        What the caller got.
    elapsed_s, waited_s : float
        Duration of the request, and the part of it in which this process had no processor.
    """
    at_limit = elapsed_s >= scene.limit_s - 0.05
    if scene.case.kind in RUN_ONCE_KINDS and len(scene.runs) > 1:
        return f"ran {len(scene.runs)} times"
    if elapsed_s > scene.limit_s + MARGIN_S + waited_s:
        return "no answer at its time limit"
    is_lost = response is None or not response.complete or response.status >= 500
    if scene.case.framing == "close" and is_lost and waited_s > MAX_CRASH_CHECK_S:
        # Nothing proves that an answer is whole if its upstream had no processor to accept a check.
        return _judge_refusal(scene, response)
    if response is None or not response.complete:
        return "" if at_limit else "closed without a whole answer"
    if response.status in NOT_RUN_STATUSES:
        if scene.runs:
            return _judge_refusal(scene, response)
        return "" if at_limit else f"{response.status} though its upstream was sound"
    if response.status != 200:
        return "" if at_limit else f"{response.status} with {scene.limit_s - elapsed_s:.1f} s left"
    return "" if response.body == b"".join(PIECES) else f"other body: {response.body!r}"


def _judge_refusal(scene: Scene, response: CallerResponse | None) -> str:
    if response is None or response.status not in NOT_RUN_STATUSES or not scene.runs:
        return ""
    return f"{response.status}, and it ran on {scene.runs}"


def _get_axes() -> dict[str, list[str]]:
    """Return the registered names for each field of a case."""
    names = (CHANGE_KINDS, FRAMINGS, PHASES, PARTIES, OTHERS, CHANGES)
    axes = (axis.name for axis in fields(Case))
    return {axis: list(values) for axis, values in zip(axes, names, strict=True)}


def list_cases() -> list[Case]:
    """Return all cases of the matrix."""
    cases = (Case(*values) for values in itertools.product(*_get_axes().values()))
    return [case for case in cases if _is_possible(case)]


def _is_possible(case: Case) -> bool:
    if case.kind in RUN_ONCE_KINDS and case.other != "none_free":
        return False
    return PHASES[case.phase].occurs_in(_make_response(case, "r1", PIECES))


def draw_cases(seed: int, count: int) -> list[Case]:
    """Return a random sample in which each registered name occurs, with more cases up to a size."""
    source = random.Random(seed)
    axes = _get_axes()
    sample = {}
    for axis, names in axes.items():
        for name in names:
            sample[_draw_case(source, axes | {axis: [name]})] = None
    while len(sample) < count:
        sample[_draw_case(source, axes)] = None
    return list(sample)


def _draw_case(source: random.Random, axes: dict[str, list[str]]) -> Case:
    while True:
        case = Case(*(source.choice(names) for names in axes.values()))
        if _is_possible(case):
            return case


async def play_cases(cases: list[Case], concurrent: int = CONCURRENT_CASES) -> dict[Case, Outcome]:
    """Play cases, some of them at the same time, and return their outcomes."""
    outcomes = {}
    pending = iter(cases)

    async def play_next() -> None:
        for case in pending:
            try:
                outcomes[case] = await play_case(case)
            except (AssertionError, OSError, asyncio.IncompleteReadError) as error:
                outcomes[case] = Outcome(None, 0.0, f"not played: {type(error).__name__}: {error}")

    await asyncio.gather(*(play_next() for _ in range(concurrent)))
    # Upstreams whose silence has outlasted their request end, so that no connection stays open.
    await asyncio.sleep(2 * SILENCE_S)
    return outcomes


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the sample.")
@click.option("--count", default=400, show_default=True, help="Size of the sample.")
@click.option("--all", "plays_all", is_flag=True, help="Play the whole matrix.")
@click.option("--concurrent", default=CONCURRENT_CASES, show_default=True)
@click.option("--match", default="", help="Play only cases whose description contains this text.")
def main(seed: int, count: int, plays_all: bool, concurrent: int, match: str) -> None:
    """Play cases of the matrix; exit with 1 if one of them shows a fault."""
    cases = list_cases() if plays_all else draw_cases(seed, count)
    cases = [case for case in cases if match in str(case)]
    outcomes = asyncio.run(play_cases(cases, concurrent))
    found = {case: outcome for case, outcome in outcomes.items() if outcome.finding}
    statuses = Counter(
        outcome.response.status if outcome.response is not None else 0
        for outcome in outcomes.values()
    )
    for case, outcome in found.items():
        click.echo(f"{case}: {outcome.finding} after {outcome.elapsed_s:.2f} s")
    click.echo(f"{len(outcomes)} cases, {len(found)} findings, statuses {dict(statuses)}")
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    main()
