"""Tests of planned stops of entries, with callers that go on until the process is gone."""

import asyncio
import contextlib
import json
import random
import signal
import time
from dataclasses import dataclass, field
from pathlib import Path

import pytest

from laburnumrock.platform.soak._callers import API_KEY, HOSTNAME, NOT_RUN_STATUSES, _read_chunks
from laburnumrock.platform.soak._operator import make_routes
from laburnumrock.platform.soak._run import open_deployment
from laburnumrock.platform.soak._state import Node, RunState, SoakSettings
from laburnumrock.platform.soak._upstreams import STREAM_EVENTS, make_event
from laburnumrock.platform.soak.tests.core_faults import list_cores

GRACE_S = 8.0
"""Time from SIGTERM until the platform kills a process, as the settings of a run state it."""
BUSY_S = 3.0
"""Time for which callers send requests before the stop, so that many are in progress."""
READ_S = 0.2
"""Time from which an unanswered request counts as read when its connection closes."""
STREAM_EXCUSE_S, STREAM_EXCUSE_SHARE = 3.0, 5 / 6
"""A stream that is sent until then may be broken off in this last part of the grace."""
ANSWER_DELAY_S = (0.05, 7.0)
TIMEOUT_MS = 12_000


@dataclass(slots=True)
class StopRecord:
    """What the callers of a stopping entry have seen.

    Parameters
    ----------
    stopped_s : float
        Monotonic clock reading at SIGTERM.
    unanswered : list of str
        Requests that were read and whose connection closed without a complete answer.
    refused : set of str
        Requests whose answer promises that they did not run.
    answers : dict of str to int
        Status of each answered request.
    """

    stopped_s: float = float("inf")
    unanswered: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)
    answers: dict[str, int] = field(default_factory=dict)


class PersistentCaller:
    """Caller of one entry that goes on until the entry refuses connections."""

    def __init__(self, number: int, address, soak: RunState, record: StopRecord) -> None:
        self.number = number
        self.address = address
        self.soak = soak
        self.record = record
        self.rng = random.Random(number)
        self.sent = 0

    async def run(self) -> None:
        """Send requests over kept connections, and over new ones after each close."""
        while time.monotonic() < self.record.stopped_s + GRACE_S + 1.0:
            try:
                reader, writer = await asyncio.open_connection(*self.address)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._send_one(reader, writer):
                    await asyncio.sleep(self.rng.uniform(0.0, 0.3))
            writer.transport.abort()

    async def _send_one(self, reader, writer) -> bool:
        """Send a request, and return whether its connection stays open."""
        self.sent += 1
        request_id = f"p{self.number}-{self.sent}"
        kind = self.rng.choice(("once", "once", "again", "stream"))
        tracker = self.soak.tracker
        tracker.sent.add(request_id)
        if kind == "once":
            tracker.once.add(request_id)
        lines = [
            f"POST /{kind}/{request_id} HTTP/1.1",
            f"Host: {HOSTNAME}",
            f"Request-Id: {request_id}",
            "Deadline-Ms: 11000",
            f"Authorization: Token {API_KEY}",
            "Content-Length: 2",
        ]
        if kind == "stream":
            lines.append("Token-Usage: 1000,400")
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n{}")
        sent_s = time.monotonic()
        began = False
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").lower()
            began = " 200 " in head
            if "chunked" in head:
                body = await _read_chunks(reader)
            else:
                length = int(head.partition("content-length: ")[2].split("\r\n")[0])
                body = await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError):
            self._check_closed(kind, request_id, sent_s, began)
            raise
        status = int(head.split()[1])
        self.record.answers[request_id] = status
        if status in NOT_RUN_STATUSES:
            self.record.refused.add(request_id)
        if status == 200 and kind == "stream":
            whole = b"".join(make_event(request_id, one + 1) for one in range(STREAM_EVENTS))
            assert body == whole
        return "connection: close" not in head

    def _check_closed(self, kind: str, request_id: str, sent_s: float, began: bool) -> None:
        closed_s = time.monotonic()
        was_read = request_id in self.soak.tracker.runs or closed_s > sent_s + READ_S
        excused = (
            kind == "stream"
            and began
            and sent_s <= self.record.stopped_s + STREAM_EXCUSE_S
            and closed_s >= self.record.stopped_s + GRACE_S * STREAM_EXCUSE_SHARE
        )
        if was_read and not excused:
            stopped_s = self.record.stopped_s
            self.record.unanswered.append(
                f"{request_id} {kind} sent at {sent_s - stopped_s:.2f} s, "
                f"closed at {closed_s - stopped_s:.2f} s"
            )


async def stay_calm(soak: RunState, record: StopRecord) -> None:
    """Change nothing beside the stop."""


async def repeat_signals(soak: RunState, record: StopRecord) -> None:
    """Send SIGHUP and SIGTERM several times beside the stop, and change the routes."""
    process = soak.nodes["entry0"].process
    while time.monotonic() < record.stopped_s + GRACE_S:
        for number in (signal.SIGHUP, signal.SIGTERM):
            process.send(number)
            await asyncio.sleep(0.3)
        await change_routes(soak)


async def change_leader(soak: RunState, record: StopRecord) -> None:
    """Freeze the cores in turn, so that the leader changes beside the stop."""
    for core in list_cores(soak):
        core.process.send(signal.SIGSTOP)
        await asyncio.sleep(1.2)
        core.process.send(signal.SIGCONT)
        await asyncio.sleep(0.8)


async def change_routes(soak: RunState) -> None:
    """Store routes that let requests take longer than a stop."""
    soak.operator.version += 1
    document = json.loads(make_routes(soak.operator.version))
    for route in document["routes"]:
        route["timeout_ms"] = TIMEOUT_MS
    body = json.dumps(document).encode()
    await soak.operator.send("PUT", "/laburnumrock/config", body)


async def play_stop(soak: RunState, beside) -> StopRecord:
    """Stop an entry under load, and return what its callers have seen."""
    record = StopRecord()
    async with open_deployment(soak, random.Random(soak.settings.seed)):
        await change_routes(soak)
        for upstream in soak.upstreams.values():
            upstream.answer_delay_s = ANSWER_DELAY_S
            upstream.event_interval_s = tuple(one / STREAM_EVENTS for one in ANSWER_DELAY_S)
        entry = soak.nodes["entry0"]
        callers = [
            PersistentCaller(number, (entry.host, soak.ports[0]), soak, record)
            for number in range(soak.settings.callers)
        ]
        for caller in callers:
            soak.start_task(caller.run())
        await asyncio.sleep(BUSY_S)
        record.stopped_s = time.monotonic()
        entry.process.send(signal.SIGTERM)
        soak.start_task(beside(soak, record))
        status = await asyncio.to_thread(entry.process.wait, GRACE_S)
        ended_s = time.monotonic() - record.stopped_s
        assert status == 0, f"the process ended with {status}, {ended_s:.2f} s after SIGTERM"
        # Upstreams that still run a request, and sends to another one, would be seen now.
        await asyncio.sleep(0.3)
    return record


@pytest.mark.processes
class TestPlannedStops:
    """An entry that stops answers or refuses all that it has read."""

    @pytest.mark.parametrize("beside", [stay_calm, repeat_signals, change_leader])
    def test_requests_are_answered(self, beside, tmp_path):
        """Guards against requests that are read and end with a closed connection."""
        settings = SoakSettings(31, 0.0, tmp_path / "run", callers=60, engines=8, servers=8)
        soak = RunState(settings)
        record = asyncio.run(play_stop(soak, beside))
        runs = soak.tracker.runs
        assert record.unanswered == [], "\n".join(record.unanswered)
        assert sorted(one for one in record.refused if runs.get(one, 0)) == []
        assert sorted(one for one in soak.tracker.once if runs.get(one, 0) > 1) == []
        assert list(record.answers.values()).count(200) > 20
        assert soak.findings.broken == []


def read_held_signals(process) -> int:
    """Return the mask of the signals that a process holds."""
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("SigBlk:"):
            return int(line.split()[1], 16)
    return 0


async def open_starting(soak: RunState, kind: str) -> Node:
    """Start a process again, and return it once its own code runs."""
    node = soak.nodes[f"{kind}0"]
    node.process.kill()
    node.process.start()
    async with asyncio.timeout(10.0):
        while not read_held_signals(node.process.process):
            await asyncio.sleep(0.005)
    return node


@pytest.mark.processes
class TestSignalsDuringTheStart:
    """Signals that arrive before the event loop handles them."""

    @pytest.mark.parametrize("kind", ["entry", "core"])
    def test_process_starts_and_stops(self, kind, tmp_path):
        """Guards against processes that SIGHUP or SIGTERM kills while they start."""

        async def run():
            soak = RunState(SoakSettings(32, 0.0, tmp_path / "run"))
            async with open_deployment(soak, random.Random(1)):
                node = await open_starting(soak, kind)
                node.process.send(signal.SIGHUP)
                await asyncio.sleep(2.0)
                assert node.process.is_running
                node = await open_starting(soak, kind)
                node.process.send(signal.SIGTERM)
                assert await asyncio.to_thread(node.process.wait, GRACE_S) == 0

        asyncio.run(run())
