"""One run of the soak."""

import asyncio
import json
import random
import shutil
import signal
import socket
import time
from dataclasses import dataclass, field
from pathlib import Path

from laburnumrock.platform.soak._callers import Caller
from laburnumrock.platform.soak._findings import Findings
from laburnumrock.platform.soak._operator import Operator, call
from laburnumrock.platform.soak._schedule import (
    CORES,
    ENGINES,
    ENTRIES,
    SERVERS,
    Step,
    make_schedule,
)
from laburnumrock.platform.soak._upstreams import HEARTBEAT_S, Ledger, Upstream
from laburnumrock.scenarios import ManagedProcess
from laburnumrock.standins import FaultyProxy

DELAY_S = 0.15
"""Delay of a slow link; above every round trip, below the time limits between nodes."""
ZONES = ("zone-a", "zone-b", "zone-c")
START_LIMIT_S = 20.0
SETTLE_S = 9.0
"""Time without faults at the end; the platform asks for service again within 12 s."""
FREE_S = 4.5
"""Time after the last request in which all memory is free again."""
NETWORKS = 200
"""Loopback networks among which a run chooses."""
CLAIM_PORT = 9_099
"""Port, unused by nodes, that a run holds on the first address of its network."""
STOP_LIMIT_S = 9.5
"""A planned stop may take 8 s."""
TORN_BYTES = b"LRF1\xff\x00"
"""Beginning of a frame, as a power loss in the middle of a write leaves it."""


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Settings of a run.

    Parameters
    ----------
    seed : int
        Seed of the schedule and of all draws.
    length_s : float, > 0
        Time in which faults begin.
    folder : Path
        Settings, data and logs of the processes.
    callers : int
        Callers at once.
    """

    seed: int
    length_s: float
    folder: Path
    callers: int = 8


@dataclass(slots=True)
class _Node:
    """One process with its proxies."""

    name: str
    host: str
    role: str
    process: ManagedProcess
    proxy: FaultyProxy
    planned: bool = False
    paused: bool = False
    killed: bool = False


@dataclass(slots=True)
class _Soak:
    """State of a run."""

    settings: SoakSettings
    findings: Findings = field(default_factory=Findings)
    ledger: Ledger = field(default_factory=Ledger)
    nodes: dict[str, _Node] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    engine_proxies: dict[str, FaultyProxy] = field(default_factory=dict)
    promised: set[str] = field(default_factory=set)
    stopping: set[str] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    operator: Operator | None = None
    ports: list[int] = field(default_factory=list)
    network: str = ""

    def spawn(self, work) -> None:
        """Run something beside the schedule."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def run_soak(settings: SoakSettings) -> Findings:
    """Run the processes under the faults of a seed, and return what was seen.

    Notes
    -----
    Only processes that this function started are signalled, by their ids.
    """
    return asyncio.run(_run(_Soak(settings)))


async def _run(soak: _Soak) -> Findings:
    settings = soak.settings
    source = random.Random(settings.seed)
    soak.ports = _find_ports(6)
    guard = _claim_network(soak)
    try:
        _make_nodes(soak)
        _make_upstreams(soak, source)
        await _start(soak, source)
        callers = await _drive(soak, source)
        await _settle(soak, callers)
    finally:
        for node in soak.nodes.values():
            node.process.send(signal.SIGCONT)
            node.process.kill()
            node.proxy.close()
        for task in list(soak.tasks):
            task.cancel()
        guard.close()
    return soak.findings


def _make_nodes(soak: _Soak) -> None:
    front, control, target, bind, _, ready = soak.ports
    cores = [f"{soak.network}.{10 + number}" for number in range(CORES)]
    entries = [f"{soak.network}.{20 + number}" for number in range(ENTRIES)]
    for kind, hosts in (("core", cores), ("entry", entries)):
        for number, host in enumerate(hosts):
            name = f"{kind}{number}"
            folder = soak.settings.folder / name
            folder.mkdir(parents=True)
            listen = {"control": f"{host}:{control}"}
            if kind == "entry":
                listen = {"front": f"{host}:{front}", "readiness_address": f"{host}:{ready}"}
            document = {
                "ip": host,
                "zone": ZONES[number % len(ZONES)],
                "port_range": [target, target + 1],
                "peer_bind_port": bind,
                "seeds": [f"{core}:{control}" for core in cores],
                "bootstrap": True,
                "heartbeat_ms": int(HEARTBEAT_S * 1000),
                "listen": listen,
                "bounds": {
                    "grace_s": 8,
                    "retry_ratio": 0.2,
                    "retry_window_s": 10,
                    "retry_slack": 200,
                },
            }
            if kind == "core":
                document["data_dir"] = str(folder / "data")
            _write_settings(folder, document)
            process = ManagedProcess(
                name,
                ["-m", "laburnumrock.platform", kind],
                folder / "log.txt",
                folder / "data" if kind == "core" else None,
                variables={"LABURNUMROCK_CONFIG": str(folder / "settings.toml")},
            )
            proxy = FaultyProxy(host, target, bind)
            soak.nodes[name] = _Node(name, host, kind, process, proxy)


def _write_settings(folder: Path, document: dict) -> None:
    lines = [f"{key} = {json.dumps(document[key])}" for key in document if key not in TABLES]
    for table in TABLES:
        lines.append(f"[{table}]")
        lines += [f"{key} = {json.dumps(value)}" for key, value in document[table].items()]
    (folder / "settings.toml").write_text("\n".join(lines) + "\n", encoding="utf-8")


TABLES = ("listen", "bounds")


def _make_upstreams(soak: _Soak, source: random.Random) -> None:
    host = f"{soak.network}.90"
    ports = _find_ports(2 * (ENGINES + SERVERS))
    names = [f"engine{number}" for number in range(ENGINES)]
    names += [f"server{number}" for number in range(SERVERS)]
    for number, name in enumerate(names):
        service = "llm" if name.startswith("engine") else "app"
        port, proxy_port = ports[2 * number : 2 * number + 2]
        soak.upstreams[name] = Upstream(
            name,
            service,
            ZONES[number % len(ZONES)],
            host,
            port,
            proxy_port,
            soak.findings,
            soak.ledger,
            random.Random(source.random()),
        )
        soak.engine_proxies[name] = FaultyProxy(host, proxy_port, port)


async def _start(soak: _Soak, source: random.Random) -> None:
    for node in soak.nodes.values():
        await node.proxy.start()
        node.process.start()
    for upstream in soak.upstreams.values():
        await upstream.start()
        await soak.engine_proxies[upstream.name].start()
        soak.spawn(_beat(soak, upstream, random.Random(source.random())))
    cores = [node for node in soak.nodes.values() if node.role == "core"]
    addresses = [(core.host, soak.ports[1]) for core in cores]
    soak.operator = Operator(addresses, soak.findings, random.Random(source.random()))
    soak.ledger.sent.add("probe")
    async with asyncio.timeout(START_LIMIT_S):
        while not soak.operator.acknowledged:
            await soak.operator.change_routes()
    for core in cores:
        settings = soak.settings.folder / core.name / "settings.toml"
        text = settings.read_text(encoding="utf-8")
        settings.write_text(text.replace("bootstrap = true", "bootstrap = false"), encoding="utf-8")
    await asyncio.sleep(2.5)


async def _beat(soak: _Soak, upstream: Upstream, source: random.Random) -> None:
    """Send heartbeats to any core until one acknowledges each of them."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        if upstream.mode in ("down", "left"):
            continue
        state = upstream.state
        body = json.dumps(upstream.make_report()).encode()
        path = f"/laburnumrock/instances/{upstream.upstream_id}"
        for host, port in source.sample(soak.operator.cores, 2):
            try:
                status, _ = await call(host, port, "PUT", path, body)
            except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
                continue
            if status == 200:
                if state == "draining" and upstream.drained_s == float("inf"):
                    upstream.drained_s = time.monotonic()
                break


async def _drive(soak: _Soak, source: random.Random) -> list[Caller]:
    settings = soak.settings
    began_s = time.monotonic()
    until_s = began_s + settings.length_s + SETTLE_S
    entries = [node for node in soak.nodes.values() if node.role == "entry"]
    addresses = [(entry.host, soak.ports[0]) for entry in entries]
    callers = []
    for number in range(settings.callers):
        seeded = random.Random(source.random())
        caller = Caller(
            number, addresses, soak.findings, soak.ledger, seeded, soak.promised, soak.stopping
        )
        callers.append(caller)
        soak.spawn(caller.run(until_s))
    soak.spawn(_watch(soak, until_s))
    for step in make_schedule(settings.seed, settings.length_s):
        await asyncio.sleep(max(0.0, began_s + step.at_s - time.monotonic()))
        soak.spawn(_apply(soak, step))
    await asyncio.sleep(max(0.0, until_s - time.monotonic()))
    return callers


async def _watch(soak: _Soak, until_s: float) -> None:
    """Read configs back, and notice processes that end by themselves."""
    while time.monotonic() < until_s:
        await soak.operator.read_back()
        for node in soak.nodes.values():
            expected = node.killed or node.planned
            if not node.process.is_running and not expected:
                status = node.process.process.returncode
                soak.findings.report("processes stay", f"{node.name} ended with {status}")
                node.process.start()
        await asyncio.sleep(0.3)


async def _settle(soak: _Soak, callers: list[Caller]) -> None:
    for caller in callers:
        caller.close()
    version = await soak.operator.read_back()
    if version is None:
        await asyncio.sleep(1.0)
        version = await soak.operator.read_back()
    if version is None or version < soak.operator.acknowledged:
        detail = f"{version}, acknowledged {soak.operator.acknowledged}"
        soak.findings.report("nothing acknowledged is lost", detail)
    await asyncio.sleep(FREE_S)
    for upstream in soak.upstreams.values():
        for name in upstream.held_tickets():
            soak.findings.report("memory is released", f"{name} on {upstream.name}")
    _check_runs(soak)


def _check_runs(soak: _Soak) -> None:
    runs = soak.ledger.runs
    for name in sorted(soak.promised):
        if runs.get(name, 0):
            soak.findings.report("true refusals", f"{name} was refused and has run")
    for name in sorted(soak.ledger.once):
        if runs.get(name, 0) > 1:
            soak.findings.report("at most once", f"{name} ran {runs[name]} times")
    if not soak.findings.counts["stream 200"] or not soak.findings.counts["once 200"]:
        soak.findings.report("service", "no request of a kind was served")


async def _apply(soak: _Soak, step: Step) -> None:
    """Carry out a step."""
    operator = soak.operator
    if step.action == "change_routes":
        await operator.change_routes()
        entries = [node for node in soak.nodes.values() if node.role == "entry"]
        await operator.check_force([(entry.host, soak.ports[0]) for entry in entries])
    elif step.action == "race_routes":
        await asyncio.gather(operator.change_routes(), operator.change_routes())
    elif step.action == "invalid_routes":
        await operator.send_invalid()
    elif step.action == "evacuate":
        await operator.evacuate(ZONES[0], step.lasts_s)
    elif step.action == "kill_all_cores":
        soak.findings.note_fault(step.action, step.lasts_s + 1.0)
        cores = [node for node in soak.nodes.values() if node.role == "core"]
        await asyncio.gather(*(_kill(core, step.lasts_s) for core in cores))
    elif step.target.startswith(("engine", "server")):
        await _trouble_upstream(soak, step)
    else:
        await _trouble_node(soak, step, soak.nodes[step.target])


async def _kill(node: _Node, down_s: float, while_down=None) -> None:
    if node.killed or node.planned:
        return
    node.killed = True
    node.process.send(signal.SIGCONT)
    node.process.kill()
    if while_down is not None:
        while_down()
    await asyncio.sleep(down_s)
    node.process.start()
    node.killed = False


async def _trouble_node(soak: _Soak, step: Step, node: _Node) -> None:
    action = step.action
    if action == "stop":
        await _stop(soak, node)
        return
    if action == "reload":
        node.process.send(signal.SIGHUP)
        return
    soak.findings.note_fault(action, step.lasts_s + 1.0)
    if action == "kill":
        await _kill(node, step.lasts_s)
    elif action == "lose_disk":
        data = node.process.data_folder
        await _kill(node, step.lasts_s, lambda: shutil.rmtree(data, ignore_errors=True))
    elif action == "torn_write":
        await _kill(node, step.lasts_s, lambda: _tear(node))
    elif action == "pause":
        node.process.send(signal.SIGSTOP)
        await asyncio.sleep(step.lasts_s)
        node.process.send(signal.SIGCONT)
    else:
        await _trouble_proxy(node.proxy, step)
    soak.findings.note_fault(action)


def _tear(node: _Node) -> None:
    log = node.process.data_folder / "log" / "log"
    if log.exists():
        with log.open("ab") as file:
            file.write(TORN_BYTES)


async def _stop(soak: _Soak, node: _Node) -> None:
    """Stop a node as planned work and start it again."""
    if node.killed or node.planned or node.process.process.poll() is not None:
        return
    node.planned = True
    soak.findings.counts["planned stop"] += 1
    if node.role == "core":
        soak.findings.note_fault("core stop", 2.0)
    soak.stopping.add(node.host)
    node.process.send(signal.SIGTERM)
    ends_s = time.monotonic() + STOP_LIMIT_S
    while node.process.is_running and time.monotonic() < ends_s:
        await asyncio.sleep(0.05)
    if node.process.is_running:
        soak.findings.report("stops end in time", node.name)
        node.process.kill()
    elif node.process.process.returncode != 0:
        status = node.process.process.returncode
        soak.findings.report("stops end with 0", f"{node.name}: {status}")
    soak.stopping.discard(node.host)
    node.process.start()
    node.planned = False


async def _trouble_proxy(proxy: FaultyProxy, step: Step) -> None:
    if step.action in ("reset", "abandon"):
        proxy.reset() if step.action == "reset" else proxy.abandon()
        return
    if step.action == "delay":
        proxy.delay_s = DELAY_S
    else:
        proxy.pause_forwarding(one_way=step.action == "silence_one_way")
    await asyncio.sleep(step.lasts_s)
    proxy.heal()


async def _trouble_upstream(soak: _Soak, step: Step) -> None:
    upstream = soak.upstreams[step.target]
    if upstream.mode:
        return
    soak.findings.note_fault(step.action, step.lasts_s)
    if step.action == "engine_crash":
        upstream.crash()
        await asyncio.sleep(step.lasts_s)
        await upstream.start()
    elif step.action == "engine_drains":
        upstream.state = "draining"
        await asyncio.sleep(step.lasts_s + HEARTBEAT_S)
        upstream.crash()
        await upstream.start()
    elif step.action in ("silence", "silence_one_way", "reset", "abandon", "delay"):
        await _trouble_proxy(soak.engine_proxies[upstream.name], step)
    else:
        upstream.mode = step.action
        await asyncio.sleep(step.lasts_s)
        upstream.mode = ""


def _claim_network(soak: _Soak) -> socket.socket:
    """Claim loopback addresses for a run, and return the socket that holds the claim.

    Notes
    -----
    Nodes serve metrics on a port that is the same for all, so that two runs of one seed beside
    each other need different addresses.
    """
    for number in range(NETWORKS):
        soak.network = f"127.{1 + (soak.settings.seed + number) % NETWORKS}.0"
        guard = socket.socket()
        try:
            guard.bind((f"{soak.network}.1", CLAIM_PORT))
        except OSError:
            guard.close()
        else:
            return guard
    raise OSError("all loopback networks are in use by other runs")


def _find_ports(count: int) -> list[int]:
    """Return ports that are free on all loopback addresses."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
