"""A core that was frozen carries out an old order of the operator after newer ones.

The operator evacuates a zone, takes it back, and evacuates it again. The order that takes it back
is first sent to a core that is frozen; without an answer in a second the operator closes the
channel and sends the same order to another core, which acknowledges it. The second evacuation is
acknowledged too. Then the frozen core wakes up.
"""

import asyncio
import os
import random
import signal
import sys
import time
from pathlib import Path

from laburnumrock.platform.soak._operator import call_core
from laburnumrock.platform.soak._run import open_deployment, start_callers
from laburnumrock.platform.soak._state import ZONES
from laburnumrock.platform.soak._upstreams import Upstream
from stand_in import START_S, Record, make_state, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case is played."""
ZONE = ZONES[1]
EVACUATE_S = 5.0
"""Bound `evacuate_ms` of the sites."""
CONTACT_S = 3.0
"""Bound `contact_ms`: machines are in touch so long after the last event of the core."""
FREEZE_S = 6.0
ANSWER_S = 1.0
"""Time without an answer after which the operator asks another node."""
WATCH_S = 8.0


class Operator:
    """Sends an order to one core after the other until one acknowledges it."""

    def __init__(self, cores: list[tuple[str, int]], record: Record) -> None:
        self.cores = cores
        self.record = record

    async def order(self, method: str, *numbers: int) -> float:
        """Send an order to the cores with these numbers in turn; return when it was acknowledged."""
        path = f"/laburnumrock/evacuations/{ZONE}"
        deadline_s = time.monotonic() + 10.0
        while time.monotonic() < deadline_s:
            for number in numbers:
                self.record.write(f"operator sends {method} {path} to core{number}")
                try:
                    status, _ = await call_core(*self.cores[number], method, path, b"", ANSWER_S)
                except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
                    self.record.write(f"no answer of core{number}: {type(error).__name__}, closed")
                    continue
                self.record.write(f"core{number} answers {status}")
                if 200 <= status < 300:
                    return time.monotonic()
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{method} was not acknowledged")


async def play(folder: str) -> int:
    record = Record(Path(__file__).parent)
    soak = make_state(folder, callers=12)
    rng = random.Random(1)
    arrivals: list[tuple[float, str]] = []
    check_received = Upstream._check_received

    def note(self: Upstream, request_id: str, headers: dict[str, str]) -> None:
        # A misdirected request gets 421 and does not count.
        if self.zone == ZONE and headers.get("expect-instance") == self.upstream_id:
            arrivals.append((time.monotonic(), f"{request_id} reaches {self.name} in {ZONE}"))
        check_received(self, request_id, headers)

    Upstream._check_received = note
    async with open_deployment(soak, rng):
        callers = start_callers(soak, rng, time.monotonic() + 60.0)
        cores = [node for node in soak.nodes.values() if node.role == "core"]
        operator = Operator([(core.host, soak.ports[1]) for core in cores], record)
        await asyncio.sleep(3.0)
        record.write(f"{len(arrivals)} requests have reached {ZONE} so far")
        await operator.order("POST", 1)
        await asyncio.sleep(EVACUATE_S + 1.0)
        if TROUBLE:
            record.write("core2 is frozen")
            cores[2].process.send(signal.SIGSTOP)
        frozen_s = time.monotonic()
        await operator.order("DELETE", 2, 1)
        await asyncio.sleep(1.0)
        evacuated_s = await operator.order("POST", 1)
        await asyncio.sleep(max(0.0, frozen_s + FREEZE_S - time.monotonic()))
        if TROUBLE:
            record.write("core2 is continued")
            cores[2].process.send(signal.SIGCONT)
        woken_s = time.monotonic()
        judged_s = max(evacuated_s + EVACUATE_S, woken_s + CONTACT_S + 1.0)
        await asyncio.sleep(judged_s + WATCH_S - time.monotonic())
        for caller in callers:
            caller.close()
    late = [(at_s, text) for at_s, text in arrivals if at_s > judged_s]
    for at_s, text in arrivals:
        if at_s > evacuated_s:
            record.write(
                f"at {at_s - START_S:.3f}: {text}, {at_s - evacuated_s:.3f} s after the ack"
            )
    record.write(f"answers: {dict(soak.findings.counts)}")
    record.write(f"EVAC: {len(late)} requests reached the evacuated zone, 0 allowed")
    if not soak.findings.counts["stream 200"]:
        return 2
    return 1 if late else 0


sys.exit(run_case(play))
