"""Rounds in which a process or an upstream falls silent under requests in all phases.

Notes
-----
Each round pairs a silent party with a change of the configuration. One request of each kind is in
each phase of the matrix in `laburnumrock.forwarding.tests.silence_phases` when they begin.
``python -m laburnumrock.platform.soak.tests.silence_rounds --all`` plays all pairs.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import sys
import tempfile
import time
import zlib
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager
from dataclasses import dataclass, field
from pathlib import Path

import click

from laburnumrock.forwarding._context import MIN_STALL_S
from laburnumrock.forwarding.tests.silence_phases import (
    FRAMINGS,
    PHASES,
    Phase,
    read_wait_s,
    split_response,
)
from laburnumrock.platform.soak._callers import API_KEY, HOSTNAME, NOT_RUN_STATUSES
from laburnumrock.platform.soak._changes import (
    CHANGE_KINDS,
    CHANGES,
    SINGLE_STREAM,
    make_changed_routes,
)
from laburnumrock.platform.soak._run import check_runs, open_deployment
from laburnumrock.platform.soak._state import Node, RunState, SoakSettings
from laburnumrock.platform.soak._upstreams import STREAM_EVENTS, Upstream, UpstreamCall, make_event

SILENCE_S = 1.3
LIMIT_S = 3.8
"""Time limit of the callers, longer than two silences and shorter than those of the routes."""
MARGIN_S = 0.5
"""Time past its limit within which each request must be answered."""
HELD_S = 2.0
"""Time past the limit after which a caller gives up."""
ARRIVAL_S = 0.5
"""Time in which the requests of a round reach their phases."""
RECOVERY_S = 0.3
"""Time after which an entry that was stopped has seen which connections are open."""
SETTLE_S = 0.6
"""Time for the entries to return to the configuration of the next round."""
REPORTS_S = 1.5
"""Time after which the cores know the load of the upstreams again."""
SPANNING_TOKENS = 700_000
"""Size of a prompt beyond the memory of one engine."""
SPANNING_PROMPTS = 3
"""Number of spanning prompts in each round; all engines together hold five."""
ENGINES, SERVERS = 8, 6
STREAMS = ("stream", SINGLE_STREAM)
RUN_ONCE_KINDS = ("once", SINGLE_STREAM)

PartyFunction = Callable[["Round"], AbstractAsyncContextManager[None]]


@dataclass(frozen=True, slots=True)
class Party:
    """Party that falls silent.

    Parameters
    ----------
    fall_silent : callable
        Context manager in which the party is silent.
    entries : tuple of int, optional
        Numbers of the entries to which callers send; None for all.
    stops_entries : bool
        Whether these entries are stopped.
    """

    fall_silent: PartyFunction
    entries: tuple[int, ...] | None = None
    stops_entries: bool = False


PARTIES: dict[str, Party] = {}


def register_party(function: PartyFunction) -> PartyFunction:
    """Register a party under the name of its function, with requests to all entries."""
    return register_party_at(None)(function)


def register_party_at(
    entries: tuple[int, ...] | None, stops_entries: bool = False
) -> Callable[[PartyFunction], PartyFunction]:
    """Register a party under the name of its function, with requests to some entries."""

    def register(function: PartyFunction) -> PartyFunction:
        PARTIES[function.__name__] = Party(
            contextlib.asynccontextmanager(function), entries, stops_entries
        )
        return function

    return register


@dataclass(slots=True)
class Sent:
    """Request of a round, and what its caller has seen.

    Parameters
    ----------
    request_id : str
        Its id.
    kind, framing : str
        Kind of the request, and how its response is framed.
    phase : Phase
        Phase in which it is when the party falls silent.
    host : str
        Host of the entry.
    is_kept : bool
        Whether its connection has carried an earlier request.
    tokens : int
        Size of its prompt; 0 if it has none.
    limit_s : float
        Time limit.
    waited_s : float
        Time for which its entry and the caller waited for a processor meanwhile.
    """

    request_id: str
    kind: str
    framing: str
    phase: Phase
    host: str
    is_kept: bool
    tokens: int
    limit_s: float = LIMIT_S
    sent_s: float = 0.0
    elapsed_s: float = 0.0
    status: int = 0
    body: bytes = b""
    waited_s: float = 0.0

    def describe(self) -> str:
        """Return what the request was and what its caller has seen."""
        connection = "kept" if self.is_kept else "new"
        return (
            f"{self.request_id} {self.kind} / {self.framing} / {self.phase.name} at {self.host}, "
            f"{connection}, {self.tokens} tokens: status {self.status}, {len(self.body)} bytes "
            f"after {self.elapsed_s:.2f} s of {self.limit_s:.2f} s, {self.waited_s:.2f} s of them "
            f"without a processor"
        )


@dataclass(slots=True)
class Round:
    """One silence with a change of the configuration beside it.

    Parameters
    ----------
    soak : RunState
        The run.
    number : int
        Number of the round, part of the ids of its requests.
    party, change : str
        Names in `PARTIES` and `CHANGES`.
    source : random.Random
        Random source of the round.
    """

    soak: RunState
    number: int
    party: str
    change: str
    source: random.Random
    requests: dict[str, Sent] = field(default_factory=dict)
    reached: Counter = field(default_factory=Counter)
    began: asyncio.Event = field(default_factory=asyncio.Event)
    began_s: float = 0.0
    silences_upstreams: bool = False

    @property
    def silent_until_s(self) -> float:
        """Reading of the monotonic clock at which the silence ends."""
        return self.began_s + SILENCE_S

    async def play(self) -> list[str]:
        """Play the round, and return its findings."""
        self._draw_requests()
        early = [sent for sent in self.requests.values() if sent.phase.reads_bytes is None]
        late = [sent for sent in self.requests.values() if sent.phase.reads_bytes is not None]
        started_s = time.monotonic()
        tasks = [asyncio.create_task(self._send(sent)) for sent in early]
        while len(self.reached) < len(early) and time.monotonic() < started_s + ARRIVAL_S:
            await asyncio.sleep(0.01)
        self.soak.findings.counts["requests in their phase"] += len(self.reached)
        change = None
        async with PARTIES[self.party].fall_silent(self):
            self.began_s = time.monotonic()
            self.began.set()
            change = asyncio.create_task(self._change())
            await asyncio.sleep(self.source.uniform(0.0, 0.3))
            tasks += [asyncio.create_task(self._send(sent)) for sent in late]
            await asyncio.sleep(self.silent_until_s - time.monotonic())
        await asyncio.gather(*tasks)
        await change
        await submit(self.soak, "none")
        await asyncio.sleep(SETTLE_S)
        return [*self._list_findings(), *self._list_ended_processes()]

    def _draw_requests(self) -> None:
        entries = PARTIES[self.party].entries
        hosts = [node.host for node in self.soak.nodes.values() if node.role == "entry"]
        hosts = hosts if entries is None else [hosts[number] for number in entries]
        spanning = SPANNING_PROMPTS
        pairs = list(itertools.product(CHANGE_KINDS, PHASES.values()))
        self.source.shuffle(pairs)
        for kind, phase in pairs:
            framings = [name for name in FRAMINGS if phase.occurs_in(_frame(name, kind, "r1", 1))]
            tokens = 0
            if kind in STREAMS:
                tokens = SPANNING_TOKENS if spanning > 0 else 1_000
                spanning -= 1
            request_id = f"m{self.number}-{len(self.requests)}"
            self.requests[request_id] = Sent(
                request_id,
                kind,
                self.source.choice(framings),
                phase,
                self.source.choice(hosts),
                self.source.random() < 0.5,
                tokens,
                LIMIT_S if not phase.ends_at_limit else ARRIVAL_S + SILENCE_S,
            )

    async def _change(self) -> None:
        await submit(self.soak, self.change)

    async def _send(self, sent: Sent) -> None:
        tracker = self.soak.tracker
        port = self.soak.ports[0]
        try:
            reader, writer = await asyncio.open_connection(sent.host, port)
            try:
                if sent.is_kept:
                    await self._send_earlier(reader, writer, sent)
                tracker.sent.add(sent.request_id)
                if sent.kind in RUN_ONCE_KINDS:
                    tracker.once.add(sent.request_id)
                tracker.entries[sent.request_id] = sent.host
                sent.sent_s = time.monotonic()
                sent.waited_s = -self._read_wait_s(sent)
                writer.write(_encode_request(sent.kind, sent, sent.request_id))
                async with asyncio.timeout(sent.limit_s + HELD_S):
                    sent.status, sent.body = await _read_response(reader)
            finally:
                writer.transport.abort()
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            sent.status = 0
        sent.waited_s += self._read_wait_s(sent)
        sent.elapsed_s = time.monotonic() - sent.sent_s
        if sent.status in NOT_RUN_STATUSES:
            self.soak.rejected_ids.add(sent.request_id)

    def _read_wait_s(self, sent: Sent) -> float:
        """Return for how long the entry of a request and this process have waited to run."""
        entry = next(node for node in self.soak.nodes.values() if node.host == sent.host)
        return sum(map(read_wait_s, (entry.process.process.pid, os.getpid())))

    async def _send_earlier(self, reader, writer, sent: Sent) -> None:
        """Send an earlier request on the same connection; a silence may delay it."""
        request_id = f"{sent.request_id}-earlier"
        self.soak.tracker.sent.add(request_id)
        self.soak.tracker.entries[request_id] = sent.host
        writer.write(_encode_request("again", None, request_id))
        await _read_response(reader)

    async def respond(self, upstream: Upstream, call: UpstreamCall) -> bool:
        """Write the response to a request of the round, with the silences of its phase."""
        sent = self.requests.get(call.request_id)
        if sent is None:
            return False
        first = int(call.headers.get("last-event-id", "0")) + 1
        response = _frame(sent.framing, sent.kind, call.request_id, first)
        if self.reached[call.request_id] and self.source.random() < 0.5:
            # A second upstream has no silence of its own in half of the cases.
            parts = [response.data]
        elif len(response.pieces) >= 2:
            parts = list(split_response(sent.phase, response))
        else:
            parts = [response.data]
        for number, part in enumerate(parts):
            if number or len(parts) == 1:
                await self._fall_silent(sent, number)
            if call.writer.is_closing():
                return True
            call.writer.write(part)
            await call.writer.drain()
        if response.closes:
            call.writer.close()
        return True

    async def _fall_silent(self, sent: Sent, number: int) -> None:
        """Wait until the party is silent, and longer if the upstream is to be silent with it."""
        self.reached[sent.request_id] += 1
        await self.began.wait()
        if sent.phase.ends_at_limit:
            end_s = sent.sent_s + sent.limit_s
        elif number >= 2:
            end_s = time.monotonic() + SILENCE_S
        elif self.silences_upstreams:
            end_s = self.silent_until_s
        else:
            # The upstream goes on at once, while the party is silent, or with it.
            end_s = self.began_s + self.source.choice((0.0, 0.4 * SILENCE_S, SILENCE_S))
        if PARTIES[self.party].stops_entries and sent.framing == "close":
            # An end that comes while the entry is stopped does not prove that the body is whole.
            end_s = max(end_s, self.silent_until_s + RECOVERY_S)
        await asyncio.sleep(max(0.0, end_s - time.monotonic()))

    def _list_findings(self) -> list[str]:
        findings = []
        for sent in self.requests.values():
            reason = self._judge(sent)
            self.soak.findings.counts[f"{sent.kind} {sent.status}"] += 1
            if reason:
                findings.append(f"{self.party} / {self.change}: {reason}: {sent.describe()}")
        return findings

    def _judge(self, sent: Sent) -> str:
        """Return why an outcome is a fault; empty if it is none."""
        runs = self.soak.tracker.runs.get(sent.request_id, 0)
        at_limit = sent.elapsed_s >= sent.limit_s - 0.1
        may_be_denied = CHANGES[self.change].denies and sent.sent_s >= self.began_s
        if sent.kind in RUN_ONCE_KINDS and runs > 1:
            return f"ran {runs} times"
        if sent.elapsed_s > sent.limit_s + MARGIN_S + sent.waited_s:
            return "no answer at its time limit"
        entry_stalls = PARTIES[self.party].stops_entries or sent.waited_s > MIN_STALL_S
        if sent.framing == "close" and entry_stalls:
            # The entry may have missed a crash of the upstream, so its end proves nothing.
            return f"{sent.status} and ran" if runs and sent.status in NOT_RUN_STATUSES else ""
        if sent.status == 0:
            return "" if at_limit else "closed without a whole answer"
        if sent.status in NOT_RUN_STATUSES:
            return f"ran {runs} times" if runs else ""
        if sent.status == 200:
            expected = b"".join(_make_pieces(sent.kind, sent.request_id, 1))
            return "" if sent.body == expected else f"other body {sent.body!r}"
        if sent.status < 500:
            return "" if may_be_denied and not runs else "denied"
        return "" if at_limit else "failed although its upstream was sound"

    def _list_ended_processes(self) -> list[str]:
        return [
            f"{self.party} / {self.change}: {node.name} ended"
            for node in self.soak.nodes.values()
            if not node.process.is_running
        ]


def _make_pieces(kind: str, request_id: str, first: int) -> list[bytes]:
    if kind in STREAMS:
        return [make_event(request_id, number) for number in range(first, STREAM_EVENTS + 1)]
    return [f"part {number} of {request_id}\n".encode() for number in range(1, 5)]


def _frame(framing: str, kind: str, request_id: str, first: int):
    lines = ["HTTP/1.1 200 OK", f"Request-Id: {request_id}", "Server-Signature: proof"]
    if kind in STREAMS:
        lines.append("Content-Type: text/event-stream")
    return FRAMINGS[framing](lines, _make_pieces(kind, request_id, first))


def _encode_request(kind: str, sent: Sent | None, request_id: str) -> bytes:
    body = bytes(2 if sent is None else sent.phase.body_bytes)
    limit_s = LIMIT_S if sent is None else sent.limit_s
    lines = [
        f"POST /{kind}/x/{request_id} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"Request-Id: {request_id}",
        f"Deadline-Ms: {int(limit_s * 1000)}",
        f"Authorization: Token {API_KEY}",
        f"Content-Length: {len(body)}",
    ]
    if sent is not None and sent.tokens:
        lines.append(f"Token-Usage: {sent.tokens},400")
        lines.append(f"Prefix-Hash: {zlib.crc32(request_id.encode()):x}:{sent.tokens}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
    status = int(head.split()[1])
    if "transfer-encoding: chunked" not in head:
        length = int(head.partition("content-length: ")[2].split("\r\n")[0])
        return status, await reader.readexactly(length)
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += (await reader.readexactly(size + 2))[:-2]
    await reader.readexactly(2)
    return status, body


async def submit(soak: RunState, change: str) -> None:
    """Submit the next version of the routes with a change, until it is acknowledged."""
    operator = soak.operator
    operator.version += 1
    document = make_changed_routes(operator.version, change)
    soak.tracker.accounts |= {tenant["name"] for tenant in document["tenants"]}
    status = await operator.send("PUT", "/laburnumrock/config", json.dumps(document).encode())
    if status == 200:
        operator.acknowledged_version = max(operator.acknowledged_version, operator.version)
    soak.findings.counts[f"change {status}"] += 1


def find_leader(soak: RunState) -> Node:
    """Return the core that the entries follow, by the newest line of their logs."""
    newest = (0.0, "")
    for node in soak.nodes.values():
        if node.role != "entry":
            continue
        for line in node.process.log_file.read_text(encoding="utf-8").splitlines():
            if '"leader_found"' in line:
                entry = json.loads(line)
                newest = max(newest, (entry["at"], entry["leader"]))
    return next(node for node in _list_nodes(soak, "core") if node.host == newest[1])


def _list_nodes(soak: RunState, role: str) -> list[Node]:
    return [node for node in soak.nodes.values() if node.role == role]


@contextlib.contextmanager
def _stopped(*nodes: Node):
    """Stop processes, and continue them on exit."""
    for node in nodes:
        node.process.send(signal.SIGSTOP)
    try:
        yield
    finally:
        for node in nodes:
            node.process.send(signal.SIGCONT)


@register_party
async def upstreams(play: Round) -> AsyncIterator[None]:
    """Let all upstreams be silent, in the answers to reservations and releases too."""
    play.silences_upstreams = True
    for upstream in play.soak.upstreams.values():
        upstream.fall_silent(SILENCE_S, is_deaf=True)
    yield


@register_party
async def one_engine_and_one_server(play: Round) -> AsyncIterator[None]:
    """Let one upstream of each service be silent while the others answer."""
    for name in ("engine", "server"):
        names = [one for one in play.soak.upstreams if one.startswith(name)]
        play.soak.upstreams[play.source.choice(names)].fall_silent(SILENCE_S, is_deaf=True)
    yield


@register_party
async def helpers(play: Round) -> AsyncIterator[None]:
    """Let the engines be silent that hold a part of a prompt for another one."""
    for upstream in play.soak.upstreams.values():
        if upstream.list_active_reservations():
            play.soak.findings.counts["silent helper"] += 1
            upstream.fall_silent(SILENCE_S, is_deaf=True)
    yield


@register_party
async def leader(play: Round) -> AsyncIterator[None]:
    """Stop the leader of the cores."""
    with _stopped(find_leader(play.soak)):
        yield


@register_party
async def leader_and_upstreams(play: Round) -> AsyncIterator[None]:
    """Stop the leader of the cores while all upstreams are silent."""
    async with PARTIES["upstreams"].fall_silent(play):
        with _stopped(find_leader(play.soak)):
            yield


@register_party
async def other_core(play: Round) -> AsyncIterator[None]:
    """Stop a core that does not lead."""
    followed = find_leader(play.soak)
    others = [node for node in _list_nodes(play.soak, "core") if node is not followed]
    with _stopped(play.source.choice(others)):
        yield


@register_party
async def all_cores(play: Round) -> AsyncIterator[None]:
    """Stop all cores."""
    with _stopped(*_list_nodes(play.soak, "core")):
        yield


@register_party_at((0, 2))
async def another_entry(play: Round) -> AsyncIterator[None]:
    """Stop an entry to which no caller sends."""
    with _stopped(_list_nodes(play.soak, "entry")[1]):
        yield


@register_party_at((0,), stops_entries=True)
async def the_entry_itself(play: Round) -> AsyncIterator[None]:
    """Stop the entry to which all callers send."""
    with _stopped(_list_nodes(play.soak, "entry")[0]):
        yield


@register_party_at((0,), stops_entries=True)
async def the_entry_and_upstreams(play: Round) -> AsyncIterator[None]:
    """Stop the entry to which all callers send while all upstreams are silent."""
    async with PARTIES["upstreams"].fall_silent(play):
        with _stopped(_list_nodes(play.soak, "entry")[0]):
            yield


def list_pairs() -> list[tuple[str, str]]:
    """Return all pairs of a party and a change."""
    return list(itertools.product(PARTIES, CHANGES))


def draw_pairs(seed: int, count: int) -> list[tuple[str, str]]:
    """Return a random sample of the pairs in which parties and changes occur evenly."""
    source = random.Random(seed)
    parties, changes = list(PARTIES), list(CHANGES)
    source.shuffle(parties)
    source.shuffle(changes)
    pairs = zip(itertools.cycle(parties), itertools.cycle(changes), strict=False)
    return list(itertools.islice(pairs, count))


async def play_rounds(
    soak: RunState, pairs: list[tuple[str, str]], report: Callable[[str], None] = print
) -> list[str]:
    """Play rounds one after the other in one deployment, and return their findings."""
    rng = random.Random(soak.settings.seed)
    findings = []
    async with open_deployment(soak, rng):
        await submit(soak, "none")
        await asyncio.sleep(SETTLE_S)
        for number, (party, change) in enumerate(pairs):
            play = Round(soak, number, party, change, random.Random(rng.random()))
            for upstream in soak.upstreams.values():
                upstream.respond = play.respond
            found = await play.play()
            for line in found:
                report(f"round {number}: {line}")
            findings += found
            await asyncio.sleep(REPORTS_S)
    return findings


@click.command()
@click.option("--seed", default=1, show_default=True, help="Seed of the rounds.")
@click.option("--rounds", default=10, show_default=True, help="Number of rounds.")
@click.option("--all", "plays_all", is_flag=True, help="Play all pairs.")
@click.option("--match", default="", help="Play only pairs that contain this text.")
@click.option("--engines", default=ENGINES, show_default=True, help="Number of engines.")
@click.option(
    "--servers",
    default=SERVERS,
    show_default=True,
    help="Number of servers; with few of them, requests wait for a slot in the silence.",
)
@click.option("--logs", type=click.Path(path_type=Path), help="Folder of settings and logs.")
def main(
    seed: int,
    rounds: int,
    plays_all: bool,
    match: str,
    engines: int,
    servers: int,
    logs: Path | None,
) -> None:
    """Play rounds; exit with 1 if one of them shows a fault."""
    pairs = list_pairs() if plays_all or match else draw_pairs(seed, rounds)
    pairs = [pair for pair in pairs if match in " / ".join(pair)]
    folder = logs or Path(tempfile.mkdtemp(prefix="laburnumrock-silences-"))
    settings = SoakSettings(seed, 0.0, folder / "run", engines=engines, servers=servers)
    soak = RunState(settings)
    findings = asyncio.run(play_rounds(soak, pairs, click.echo))
    counts = ", ".join(f"{name} {count}" for name, count in sorted(soak.findings.counts.items()))
    click.echo(f"seed {seed}: {len(pairs)} rounds, {len(findings)} findings; {counts}")
    check_runs(soak)
    for line in soak.findings.broken:
        click.echo(f"  {line}")
    sys.exit(1 if findings or soak.findings.broken else 0)


if __name__ == "__main__":
    main()
