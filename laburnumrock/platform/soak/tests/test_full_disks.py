"""Tests of cores whose disks are full for a while."""

import asyncio
import contextlib
import json
import random
import signal
import time
from collections.abc import AsyncIterator

import pytest

from laburnumrock.platform.soak._disks import fill_disk, free_disk
from laburnumrock.platform.soak._operator import call_core, make_routes
from laburnumrock.platform.soak._run import open_deployment, start_callers
from laburnumrock.platform.soak._state import Node, RunState, SoakSettings
from laburnumrock.platform.soak.tests.core_faults import list_cores

FULL_S = 2.5
"""Longer than the time after which a core that does not answer may be removed from the group."""
RECOVERY_S = 4.0
"""Time that the platform allows a core for catching up."""
CHANGE_INTERVAL_S = 0.2
RESPONSE_TIMEOUT_S = 4.0
"""Time within which an operator expects a response."""


@contextlib.asynccontextmanager
async def open_cores(folder, seed: int) -> AsyncIterator[RunState]:
    """Start three cores and one entry with upstreams, and check that no process ends by itself."""
    soak = RunState(SoakSettings(seed, 10.0, folder / "run", callers=4, engines=2, entries=1))
    async with open_deployment(soak, random.Random(seed)):
        yield soak
        for node in soak.nodes.values():
            status = node.process.process.poll()
            assert status is None or node.graceful_stop, f"{node.name} ended with status {status}"
    assert soak.findings.broken == []


async def send_to(soak: RunState, core: Node, method: str, body: bytes = b"") -> tuple[int, dict]:
    """Send a request for the configuration to a core, and decode the body, which must be JSON."""
    status, answer = await call_core(
        core.host, soak.ports[1], method, "/laburnumrock/config", body, RESPONSE_TIMEOUT_S
    )
    return status, json.loads(answer)


async def keep_changing(soak: RunState) -> None:
    """Submit one change after the other."""
    while True:
        await soak.operator.change_routes()
        await asyncio.sleep(CHANGE_INTERVAL_S)


async def find_leader(soak: RunState) -> Node:
    """Return the core that reports in its metrics that it leads."""
    while True:
        for core in list_cores(soak):
            with contextlib.suppress(OSError, ValueError):
                if await read_gauge(core, "leading") == 1:
                    return core
        await asyncio.sleep(0.1)


async def read_gauge(core: Node, name: str) -> float:
    """Return a gauge of a core."""
    reader, writer = await asyncio.open_connection(core.host, 9464)
    try:
        writer.write(b"GET / HTTP/1.0\r\n\r\n")
        text = (await asyncio.wait_for(reader.read(), 2.0)).decode()
    finally:
        writer.close()
    values = [line for line in text.splitlines() if line.startswith(f"laburnumrock_{name} ")]
    if len(values) != 1:
        raise ValueError(f"no gauge {name}")
    return float(values[0].split()[1])


async def expect_version_everywhere(soak: RunState, cores: list[Node] | None = None) -> None:
    """Check that cores return the last acknowledged version within the time for catching up."""
    deadline_s = time.monotonic() + RECOVERY_S
    for core in cores or list_cores(soak):
        while True:
            status, document = await send_to(soak, core, "GET")
            if status == 200 and document["version"] >= soak.operator.acknowledged_version:
                break
            assert time.monotonic() < deadline_s, f"{core.name}: {status}, {document}"
            await asyncio.sleep(0.1)


async def expect_change(soak: RunState) -> None:
    """Check that a change is acknowledged."""
    acknowledged = soak.operator.acknowledged_version
    await soak.operator.change_routes()
    assert soak.operator.acknowledged_version > acknowledged


@pytest.mark.processes
class TestFullDisks:
    """The disks of cores are full for some seconds."""

    def test_one_after_another(self, tmp_path):
        """Guards against cores that end or stay away, so that changes are refused for good."""

        async def play():
            async with open_cores(tmp_path, 61) as soak:
                rng = random.Random(61)
                callers = start_callers(soak, rng, time.monotonic() + 3 * (FULL_S + 1.0))
                changes = asyncio.create_task(keep_changing(soak))
                for core in list_cores(soak):
                    fill_disk(core.process)
                    await asyncio.sleep(FULL_S)
                    assert await read_gauge(core, "storage_unavailable") == 1
                    free_disk(core.process)
                    await asyncio.sleep(1.0)
                changes.cancel()
                await expect_change(soak)
                await expect_version_everywhere(soak)
                assert soak.findings.counts["change unclear"] == 0
                for core in list_cores(soak):
                    log = core.process.read_log()
                    assert log.count('"event":"storage_unavailable"') == 1
                    assert log.count('"event":"storage_available"') == 1
                    assert await read_gauge(core, "storage_unavailable") == 0
                for caller in callers:
                    caller.close()

        asyncio.run(play())

    def test_leader_twice_in_a_row_and_for_long(self, tmp_path):
        """Guards against a leader that keeps the lead without a disk, or does not catch up."""

        async def play():
            async with open_cores(tmp_path, 62) as soak:
                leader = await find_leader(soak)
                for full_s in (0.6, 5.5):
                    fill_disk(leader.process)
                    started_s = time.monotonic()
                    await expect_change(soak)
                    # Other cores are elected within two election timeouts at the latest.
                    assert time.monotonic() - started_s < 3.0
                    changes = asyncio.create_task(keep_changing(soak))
                    await asyncio.sleep(full_s)
                    changes.cancel()
                    free_disk(leader.process)
                    await asyncio.sleep(0.3)
                await expect_change(soak)
                await expect_version_everywhere(soak)

        asyncio.run(play())

    def test_two_at_once_and_stop(self, tmp_path):
        """Guards against a group that needs restarts after its quorum had full disks."""

        async def play():
            async with open_cores(tmp_path, 63) as soak:
                full = list_cores(soak)[:2]
                for core in full:
                    fill_disk(core.process)
                for core in list_cores(soak):
                    soak.operator.version += 1
                    body = make_routes(soak.operator.version)
                    status, document = await send_to(soak, core, "PUT", body)
                    assert status == 503
                    assert document["error"]
                for core in full:
                    free_disk(core.process)
                await expect_change(soak)
                await expect_version_everywhere(soak)
                fill_disk(full[0].process)
                await expect_change(soak)
                full[0].graceful_stop = True
                full[0].process.send(signal.SIGTERM)
                status = await asyncio.to_thread(full[0].process.wait, 8.0)
                assert status == 0

        asyncio.run(play())

    def test_restart_while_full(self, tmp_path):
        """Guards against a core that ends, or opens no port, at a start on a full disk."""

        async def play():
            async with open_cores(tmp_path, 64) as soak:
                core = list_cores(soak)[1]
                fill_disk(core.process)
                await expect_change(soak)
                core.process.kill()
                log = core.process.data_folder / "log" / "log"
                # A power loss leaves a torn frame, which the start must remove.
                with log.open("ab") as file:
                    file.write(b"LRF1\xff\x00")
                core.process.start()
                fill_disk(core.process)
                await asyncio.sleep(2.0)
                status, document = await send_to(soak, core, "PUT", make_routes(10**6))
                assert (status, document) == (200, {"version": 10**6})
                soak.operator.version = soak.operator.acknowledged_version = 10**6
                status, document = await send_to(soak, core, "GET")
                assert status == 503
                free_disk(core.process)
                await expect_version_everywhere(soak)
                await expect_change(soak)

        asyncio.run(play())
