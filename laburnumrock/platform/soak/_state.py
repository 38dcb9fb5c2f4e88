"""Settings and state of a soak run."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from laburnumrock.platform.soak._findings import Findings
from laburnumrock.platform.soak._operator import Operator
from laburnumrock.platform.soak._schedule import ENGINES, ENTRIES, SERVERS
from laburnumrock.platform.soak._upstreams import RequestTracker, Upstream
from laburnumrock.scenarios import ManagedProcess
from laburnumrock.standins import FaultyProxy

ZONES = ("zone-a", "zone-b", "zone-c")


@dataclass(frozen=True, slots=True)
class SoakSettings:
    """Settings of a run.

    Parameters
    ----------
    seed : int
        Seed of the schedule and of all random sources.
    length_s : float, > 0
        Period in which faults start.
    folder : Path
        Folder for settings, data and logs of the processes.
    callers : int
        Number of concurrent callers.
    engines : int
        Number of engines; faults of the schedule affect the first four.
    entries : int
        Number of entries; faults of the schedule affect the first three.
    servers : int
        Number of servers of plain requests; faults of the schedule affect the first two.
    """

    seed: int
    length_s: float
    folder: Path
    callers: int = 8
    engines: int = ENGINES
    entries: int = ENTRIES
    servers: int = SERVERS


@dataclass(slots=True)
class Node:
    """One process of the system with the proxy in front of it."""

    name: str
    host: str
    role: str
    process: ManagedProcess
    proxy: FaultyProxy
    graceful_stop: bool = False
    paused: bool = False
    killed: bool = False


@dataclass(slots=True)
class RunState:
    """State of a run."""

    settings: SoakSettings
    findings: Findings = field(default_factory=Findings)
    tracker: RequestTracker = field(default_factory=RequestTracker)
    nodes: dict[str, Node] = field(default_factory=dict)
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    rejected_ids: set[str] = field(default_factory=set)
    stopping: set[str] = field(default_factory=set)
    tasks: set[asyncio.Task] = field(default_factory=set)
    operator: Operator | None = None
    ports: list[int] = field(default_factory=list)
    network: str = ""

    def start_task(self, coroutine) -> None:
        """Run a coroutine concurrently with the schedule."""
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
