"""Faults that a soak run injects, and its planned stops."""

import asyncio
import contextlib
import shutil
import signal
import time
from collections.abc import Iterator

from laburnumrock.platform.soak._disks import fill_disk, free_disk
from laburnumrock.platform.soak._findings import CORES, name_planned_stop
from laburnumrock.platform.soak._prompts import MAX_ARRIVALS, CrashRecord
from laburnumrock.platform.soak._schedule import Step
from laburnumrock.platform.soak._state import ZONES, Node, RunState
from laburnumrock.platform.soak._upstreams import HEARTBEAT_S, Upstream
from laburnumrock.standins import FaultyProxy

LINK_DELAY_S = 0.15
"""Delay of a slow link: above every round-trip time, below the timeouts between nodes."""
STOP_TIMEOUT_S = 9.5
"""Timeout of a graceful stop, which may take 8 s."""
LIMIT_REQUESTS_PER_S = 2.0
"""Limit that an upstream states for a while; without it, it gets many times as many requests."""
TORN_FRAME = b"LRF1\xff\x00"
"""Incomplete frame, as left by a power loss during a write."""


async def apply_step(soak: RunState, step: Step) -> None:
    """Perform a step of the schedule."""
    operator = soak.operator
    if step.action == "change_routes":
        await operator.change_routes()
        entries = [node for node in soak.nodes.values() if node.role == "entry"]
        await operator.check_propagation([(entry.host, soak.ports[0]) for entry in entries])
    elif step.action == "race_routes":
        await asyncio.gather(operator.change_routes(), operator.change_routes())
    elif step.action == "invalid_routes":
        await operator.send_invalid_routes()
    elif step.action == "evacuate":
        await operator.evacuate(ZONES[0], step.duration_s)
    elif step.action == "engine_silent":
        soak.findings.counts["silence of an upstream"] += 1
        soak.upstreams[step.target].fall_silent(step.duration_s)
    elif step.action == "silence_beside_refusals":
        await _silence_beside_refusals(soak, soak.upstreams[step.target], step.duration_s)
    elif step.action == "engine_pauses":
        await _let_responses_pause(soak, soak.upstreams[step.target], step.duration_s)
    elif step.action == "stop_in_silence":
        await _stop_in_silence(soak, soak.nodes[step.target], step.duration_s)
    elif step.action == "engine_limits":
        await _let_upstream_state_limit(soak, soak.upstreams[step.target], step.duration_s)
    elif step.action == "crashing_prompt":
        await _let_prompts_crash_engines(soak, step)
    elif step.action == "repeated_request":
        await _let_request_crash_upstreams(soak, step)
    elif step.action == "kill_all_cores":
        soak.findings.record_fault(step.action, step.duration_s + 1.0)
        soak.findings.record_fault_at(CORES, step.duration_s + 1.0)
        cores = [node for node in soak.nodes.values() if node.role == "core"]
        await asyncio.gather(*(_kill_and_restart(core, step.duration_s) for core in cores))
    elif step.target.startswith(("engine", "server")):
        with _excuse(soak, step.target):
            await _inject_upstream_fault(soak, step)
    else:
        node = soak.nodes[step.target]
        with _excuse(soak, node.host):
            await _inject_node_fault(soak, step, node)


async def _silence_beside_refusals(soak: RunState, upstream: Upstream, duration_s: float) -> None:
    """Let an upstream fall silent while all others of its service refuse requests."""
    soak.findings.counts["silence of an upstream"] += 1
    others = [
        other
        for other in soak.upstreams.values()
        if other.service == upstream.service and other is not upstream and not other.mode
    ]
    upstream.fall_silent(duration_s)
    for other in others:
        other.mode = "engine_refuses"
    await asyncio.sleep(duration_s)
    for other in others:
        if other.mode == "engine_refuses":
            other.mode = ""


async def _let_responses_pause(soak: RunState, upstream: Upstream, duration_s: float) -> None:
    """Let single responses of an upstream pause at random places."""
    soak.findings.counts["pauses of an upstream"] += 1
    upstream.pauses_responses = True
    await asyncio.sleep(duration_s)
    upstream.pauses_responses = False


async def _stop_in_silence(soak: RunState, node: Node, silence_s: float) -> None:
    """Stop an entry gracefully while all upstreams are silent."""
    soak.findings.counts["silence of an upstream"] += len(soak.upstreams)
    for upstream in soak.upstreams.values():
        upstream.fall_silent(silence_s)
    await _stop_and_restart(soak, node)


async def _let_prompts_crash_engines(soak: RunState, step: Step) -> None:
    """Let a part of prompts crash engines, and check that it is soon kept from them."""
    prompts = soak.tracker.prompts
    if prompts.part:
        return
    started_s = time.monotonic()
    soak.findings.counts["crashing prompt"] += 1
    prompts.start(f"c{int(step.at_s * 1000):x}")
    await asyncio.sleep(step.duration_s)
    prompts.part = ""
    _check_arrivals(soak, prompts.record, started_s, "prompts that crash engines are quarantined")


async def _let_request_crash_upstreams(soak: RunState, step: Step) -> None:
    """Let a request come again and crash upstreams, and check that it is soon kept from them."""
    repeated = soak.tracker.repeated
    if repeated.kind:
        return
    started_s = time.monotonic()
    soak.findings.counts["repeated request"] += 1
    repeated.start(step.target, f"r{int(step.at_s * 1000):x}")
    await asyncio.sleep(step.duration_s)
    repeated.stop()
    _check_arrivals(soak, repeated.record, started_s, "requests that crash upstreams are kept back")


def _check_arrivals(soak: RunState, record: CrashRecord, started_s: float, guarantee: str) -> None:
    late = record.list_late_arrivals()
    if len(late) > MAX_ARRIVALS and soak.findings.is_fault_free_since(started_s):
        detail = f"{len(late)} arrivals after {len(record.crashes_s)} crashes"
        soak.findings.report(guarantee, detail)


async def _let_upstream_state_limit(soak: RunState, upstream: Upstream, duration_s: float) -> None:
    """Let an upstream state a limit on its requests, and check that it is kept."""
    if upstream.limit is not None or upstream.mode:
        return
    soak.findings.counts["stated limit"] += 1
    limit = upstream.state_limit(LIMIT_REQUESTS_PER_S)
    await asyncio.sleep(duration_s)
    if upstream.limit is limit:
        upstream.end_limit()
    most = limit.count_most()
    if most > limit.max_arrivals:
        detail = f"{most} requests at {upstream.name}, {limit.max_arrivals} allowed"
        soak.findings.report("stated limits are kept", detail)


@contextlib.contextmanager
def _excuse(soak: RunState, name: str) -> Iterator[None]:
    """Do not count requests against stated limits during a fault of an entry or an upstream.

    Parameters
    ----------
    soak : RunState
        The run.
    name : str
        Host of the entry, whose requests are not counted, or name of the upstream.
    """
    _discard_counted(soak, name)
    soak.tracker.faulty[name] += 1
    try:
        yield
    finally:
        soak.tracker.faulty[name] -= 1


def _discard_counted(soak: RunState, name: str) -> None:
    for upstream in soak.upstreams.values():
        if upstream.limit is not None:
            if upstream.name == name:
                upstream.limit.excuse_all()
            else:
                upstream.limit.excuse(name)


async def _kill_and_restart(node: Node, down_s: float, while_down=None) -> None:
    if node.killed or node.graceful_stop:
        return
    node.killed = True
    node.process.send(signal.SIGCONT)
    node.process.kill()
    if while_down is not None:
        while_down()
    await asyncio.sleep(down_s)
    node.process.start()
    node.killed = False


async def _inject_node_fault(soak: RunState, step: Step, node: Node) -> None:
    action = step.action
    if action == "stop":
        await _stop_and_restart(soak, node)
        return
    if action == "reload":
        node.process.send(signal.SIGHUP)
        return
    target = CORES if node.role == "core" else node.host
    soak.findings.record_fault(action, step.duration_s + 1.0)
    soak.findings.record_fault_at(target, step.duration_s + 1.0)
    if action == "kill":
        await _kill_and_restart(node, step.duration_s)
    elif action == "lose_disk":
        data = node.process.data_folder
        await _kill_and_restart(
            node, step.duration_s, lambda: shutil.rmtree(data, ignore_errors=True)
        )
    elif action == "torn_write":
        await _kill_and_restart(node, step.duration_s, lambda: _append_torn_frame(node))
    elif action == "disk_full":
        fill_disk(node.process)
        await asyncio.sleep(step.duration_s)
        free_disk(node.process)
    elif action == "pause":
        node.process.send(signal.SIGSTOP)
        await asyncio.sleep(step.duration_s)
        node.process.send(signal.SIGCONT)
    else:
        await _inject_link_fault(node.proxy, step)
    soak.findings.record_fault(action)
    soak.findings.record_fault_at(target)


def _append_torn_frame(node: Node) -> None:
    log = node.process.data_folder / "log" / "log"
    if log.exists():
        with log.open("ab") as file:
            file.write(TORN_FRAME)


async def _stop_and_restart(soak: RunState, node: Node) -> None:
    """Stop a node gracefully and start it again."""
    if node.killed or node.graceful_stop or node.process.process.poll() is not None:
        return
    node.graceful_stop = True
    soak.findings.counts["planned stop"] += 1
    if node.role == "core":
        soak.findings.record_fault("core stop", 2.0)
        soak.findings.record_fault_at(CORES, 2.0)
    soak.stopping.add(node.host)
    soak.findings.record_fault_at(name_planned_stop(node.host), STOP_TIMEOUT_S)
    node.process.send(signal.SIGTERM)
    deadline_s = time.monotonic() + STOP_TIMEOUT_S
    while node.process.is_running and time.monotonic() < deadline_s:
        await asyncio.sleep(0.05)
    if node.process.is_running:
        soak.findings.report("graceful stops finish in time", node.name)
        node.process.kill()
    elif node.process.process.returncode != 0:
        status = node.process.process.returncode
        soak.findings.report("graceful stops exit with 0", f"{node.name}: {status}")
    soak.stopping.discard(node.host)
    node.process.start()
    node.graceful_stop = False


async def _inject_link_fault(proxy: FaultyProxy, step: Step) -> None:
    if step.action in ("reset", "abandon"):
        proxy.reset() if step.action == "reset" else proxy.abandon()
        return
    if step.action == "delay":
        proxy.delay_s = LINK_DELAY_S
    else:
        proxy.pause_forwarding(one_way=step.action == "silence_one_way")
    await asyncio.sleep(step.duration_s)
    proxy.heal()


async def _inject_upstream_fault(soak: RunState, step: Step) -> None:
    upstream = soak.upstreams[step.target]
    if upstream.mode:
        return
    soak.findings.record_fault(step.action, step.duration_s)
    soak.findings.record_fault_at(step.target, step.duration_s)
    if step.action == "engine_crash":
        upstream.crash()
        await asyncio.sleep(step.duration_s)
        await upstream.start()
    elif step.action == "engine_drains":
        upstream.state = "draining"
        await asyncio.sleep(step.duration_s + HEARTBEAT_S)
        upstream.crash()
        await upstream.start()
    elif step.action in ("silence", "silence_one_way", "reset", "abandon", "delay"):
        await _inject_link_fault(upstream.proxy, step)
    else:
        upstream.mode = step.action
        await asyncio.sleep(step.duration_s)
        upstream.mode = ""
    soak.findings.record_fault_at(step.target)
