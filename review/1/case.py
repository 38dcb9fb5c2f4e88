"""A core loses its disk just after another one was replaced as planned, and the log stops for good.

A fourth core is added, with an empty disk and at a new address. Long after its `catch_up_s`, the
core that it replaces gets SIGTERM and is removed. From then on one core may be lost. The core that
acknowledges the next change loses its disk, and restarts with an empty one.

With ALL=1 no disk is lost: all three cores get successors, one after the other, and are then stopped
at the same time.
"""

import asyncio
import dataclasses
import json
import os
import shutil
import signal
import sys
import time
from pathlib import Path

from laburnumrock.platform.soak import _run
from laburnumrock.platform.soak._operator import call_core, make_routes
from laburnumrock.platform.soak._state import Node, RunState
from laburnumrock.standins import FaultyProxy
from stand_in import Record, make_state, run_case

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case is played."""
CATCH_UP_S = 10.0
"""Time for which the new core runs before the old one is stopped; `catch_up_s` is 4."""
LOSS_AFTER_S = float(os.environ.get("LOSS_AFTER_S", "0.3"))
"""Time between the exit of the old core and the change after which a disk is lost."""
DOWN_S = 1.0
ALL = os.environ.get("ALL", "0") != "0"
SUCCESSOR_S = 6.0
"""Time for which each successor runs before the next one starts, or the old cores are stopped."""
CALM_S = 5.0
"""With ALL=1 and without the disruption, the time between the stops of two old cores."""
WATCH_S = 45.0
"""Time for which the operator reads the configuration back; `recover_s` is 12."""
ANSWER_S = 1.0


class Operator:
    """Sends a call to one core after the other."""

    def __init__(self, soak: RunState, record: Record) -> None:
        self.soak = soak
        self.record = record
        self.last: dict[tuple[str, str], str] = {}

    async def ask(self, core: Node, method: str, body: bytes = b"") -> tuple[str, int]:
        """Send a call to a core; return the status, or the error, and the version of the answer."""
        port = self.soak.ports[1]
        try:
            answer = await call_core(
                core.host, port, method, "/laburnumrock/config", body, ANSWER_S
            )
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            return self._note(core, method, type(error).__name__, 0)
        status, content = answer
        return self._note(core, method, str(status), json.loads(content).get("version", 0))

    async def change(self, version: int, cores: list[Node], timeout_s: float = 15.0) -> Node | None:
        """Send a version until a core acknowledges it; return that core."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            for core in cores:
                status, _ = await self.ask(core, "PUT", make_routes(version))
                if status == "200":
                    return core
            await asyncio.sleep(0.1)
        return None

    def _note(self, core: Node, method: str, status: str, version: int) -> tuple[str, int]:
        # An answer that is the same as the last one of that core is not written again.
        if status == "200" or self.last.get((core.name, method)) != status:
            content = f" with version {version}" if version else ""
            self.record.write(f"{core.name}: {method} gets {status}{content}")
        self.last[core.name, method] = status
        return status, version


async def play(folder: str) -> int:
    record = Record(Path(__file__).parent)
    soak = make_state(folder)
    soak.ports = _run._find_free_ports(6)
    claim = _run._claim_network(soak)
    try:
        _run._make_nodes(soak)
        return await run_nodes(soak, record)
    finally:
        for node in soak.nodes.values():
            node.process.kill()
            node.proxy.close()
        claim.close()


async def run_nodes(soak: RunState, record: Record) -> int:
    for node in soak.nodes.values():
        await node.proxy.start()
        node.process.start()
    cores = [node for node in soak.nodes.values() if node.role == "core"]
    operator = Operator(soak, record)
    if await operator.change(1, cores) is None:
        return 2
    for core in cores:
        write_settings(soak, core, cores)
    await asyncio.sleep(2.5)
    if ALL:
        return await replace_all(soak, operator, cores)
    return await replace_one(soak, operator, cores)


async def replace_one(soak: RunState, operator: Operator, cores: list[Node]) -> int:
    """Replace one core as planned, and let another one lose its disk."""
    record = operator.record
    new = await start_successor(soak, cores, record)
    await asyncio.sleep(CATCH_UP_S)
    old, *cores = [*cores, new]
    for core in cores:
        write_settings(soak, core, cores)
    await stop([old], record)
    await asyncio.sleep(LOSS_AFTER_S)
    acknowledging = await operator.change(2, cores)
    if acknowledging is None:
        return 2
    if TROUBLE:
        acknowledging.process.kill()
        shutil.rmtree(acknowledging.process.data_folder)
        record.write(f"{acknowledging.name} is killed and loses its disk")
        await asyncio.sleep(DOWN_S)
        acknowledging.process.start()
        record.write(f"{acknowledging.name} is restarted with an empty disk and bootstrap = false")
    return await read_back(operator, cores, record)


async def replace_all(soak: RunState, operator: Operator, old: list[Node]) -> int:
    """Replace all cores as planned; without the disruption the old ones stop one after another."""
    record = operator.record
    new: list[Node] = []
    for _ in old:
        new.append(await start_successor(soak, [*old, *new], record))
        await asyncio.sleep(SUCCESSOR_S)
    if await operator.change(2, [*old, *new]) is None:
        return 2
    for core in new:
        write_settings(soak, core, new)
    if TROUBLE:
        await stop(old, record)
    else:
        for core in old:
            await stop([core], record)
            await asyncio.sleep(CALM_S)
    return await read_back(operator, new, record)


async def start_successor(soak: RunState, cores: list[Node], record: Record) -> Node:
    """Start a further core with an empty disk."""
    new = add_core(soak, cores)
    await new.proxy.start()
    new.process.start()
    record.write(f"{new.name} starts with an empty disk, at a new address")
    return new


async def stop(cores: list[Node], record: Record) -> None:
    """Stop cores that have been replaced, and wait until they have exited."""
    for core in cores:
        core.process.send(signal.SIGTERM)
    while any(core.process.is_running for core in cores):
        await asyncio.sleep(0.01)
    for core in cores:
        record.write(f"{core.name}, which is replaced, has got SIGTERM, has exited and is gone")


async def read_back(operator: Operator, cores: list[Node], record: Record) -> int:
    """Read the configuration back until it comes, and change it once more."""
    deadline_s = time.monotonic() + WATCH_S
    while time.monotonic() < deadline_s:
        for core in cores:
            status, version = await operator.ask(core, "GET")
            if status == "200":
                changed = await operator.change(3, cores) is not None
                record.write(f"version {version} is read back, version 3 acknowledged: {changed}")
                return 0 if version == 2 and changed else 1
        await asyncio.sleep(0.2)
    running = [core.name for core in cores if core.process.is_running]
    record.write(f"version 2 is not read back in {WATCH_S} s; running: {running}")
    return 1 if len(running) == len(cores) else 2


def add_core(soak: RunState, cores: list[Node]) -> Node:
    """Return a further core that joins the running system."""
    first = cores[0]
    host = f"{soak.network}.{10 + len(cores)}"
    name = f"core{len(cores)}"
    folder = soak.settings.folder / name
    folder.mkdir()
    text = (soak.settings.folder / first.name / "settings.toml").read_text(encoding="utf-8")
    lines = []
    for line in text.splitlines():
        # The seeds are those of the running system.
        if not line.startswith("seeds"):
            line = line.replace(f'"{first.host}', f'"{host}').replace(
                f"/{first.name}/", f"/{name}/"
            )
        lines.append(line)
    (folder / "settings.toml").write_text("\n".join(lines) + "\n", encoding="utf-8")
    process = dataclasses.replace(
        first.process,
        name=name,
        log_file=folder / "log.txt",
        data_folder=folder / "data",
        process=None,
        variables={
            **first.process.variables,
            "LABURNUMROCK_CONFIG": str(folder / "settings.toml"),
        },
    )
    node = Node(name, host, "core", process, FaultyProxy(host, soak.ports[2], soak.ports[3]))
    soak.nodes[name] = node
    return node


def write_settings(soak: RunState, core: Node, seeds: list[Node]) -> None:
    """Write the settings of a core of the running system, with the cores that are its seeds."""
    path = soak.settings.folder / core.name / "settings.toml"
    addresses = json.dumps([f"{seed.host}:{soak.ports[1]}" for seed in seeds])
    lines = path.read_text(encoding="utf-8").splitlines()
    for number, line in enumerate(lines):
        if line.startswith("bootstrap"):
            lines[number] = "bootstrap = false"
        elif line.startswith("seeds"):
            lines[number] = f"seeds = {addresses}"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


sys.exit(run_case(play))
