"""Seeded schedule of faults; the same seed gives the same schedule."""

import random
from collections.abc import Callable
from dataclasses import dataclass

ENTRIES = 3
CORES = 3
ENGINES = 4
SERVERS = 2
CORE_RECOVERY_S = 6.0
"""Time after the end of a core's fault until the next core may have one."""

Maker = Callable[[random.Random, float], "Step"]
ACTIONS: dict[str, Maker] = {}


@dataclass(frozen=True, slots=True)
class Step:
    """One fault or planned change.

    Parameters
    ----------
    at_s : float
        Time from the start.
    action : str
        Name in `ACTIONS`.
    target : str
        What it strikes; empty for none.
    lasts_s : float
        How long it lasts.
    """

    at_s: float
    action: str
    target: str = ""
    lasts_s: float = 0.0


def register_action(name: str) -> Callable[[Maker], Maker]:
    """Register the function that draws the steps of an action."""

    def register(make: Maker) -> Maker:
        ACTIONS[name] = make
        return make

    return register


def make_schedule(seed: int, length_s: float) -> list[Step]:
    """Draw the steps of a run.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    length_s : float, > 0
        Time in which steps begin.

    Notes
    -----
    Steps overlap and come in series; only the faults of cores are kept apart, since the system
    bears the loss of one at a time.
    """
    source = random.Random(seed)
    names = sorted(ACTIONS)
    steps = []
    at_s = source.uniform(1.0, 2.0)
    core_free_s = 0.0
    while at_s < length_s:
        step = ACTIONS[source.choice(names)](source, at_s)
        strikes_core = step.target.startswith("core")
        if not strikes_core or at_s >= core_free_s:
            steps.append(step)
            if strikes_core:
                core_free_s = at_s + step.lasts_s + CORE_RECOVERY_S
        at_s += source.choice((0.0, 0.3, 1.0, 2.5)) + source.uniform(0.0, 0.5)
    return steps


def _draw(source: random.Random, kind: str) -> str:
    count = {"core": CORES, "entry": ENTRIES, "engine": ENGINES, "server": SERVERS}[kind]
    return f"{kind}{source.randrange(count)}"


def _make(action: str, kinds: tuple[str, ...], shortest_s: float, longest_s: float) -> None:
    @register_action(action)
    def make(source: random.Random, at_s: float) -> Step:
        target = _draw(source, source.choice(kinds)) if kinds else ""
        return Step(at_s, action, target, source.uniform(shortest_s, longest_s))


_make("kill", ("core", "entry", "entry"), 0.2, 1.5)
_make("kill_all_cores", (), 0.1, 0.8)
_make("lose_disk", ("core",), 0.2, 1.0)
_make("torn_write", ("core",), 0.2, 1.0)
_make("pause", ("core", "entry", "entry"), 0.3, 3.0)
_make("stop", ("core", "entry", "entry"), 0.0, 0.0)
_make("reload", ("core", "entry"), 0.0, 0.0)
_make("silence", ("core", "entry", "engine"), 0.5, 3.0)
_make("silence_one_way", ("core", "entry", "engine"), 0.5, 3.0)
_make("reset", ("core", "entry", "engine"), 0.0, 0.0)
_make("abandon", ("core", "entry", "engine"), 0.0, 0.0)
_make("delay", ("core", "entry", "engine"), 1.0, 4.0)
_make("engine_crash", ("engine", "server"), 0.5, 2.0)
_make("engine_fails", ("engine", "server"), 1.0, 3.0)
_make("engine_cuts", ("engine",), 1.0, 3.0)
_make("engine_refuses", ("engine", "server"), 1.0, 3.0)
_make("engine_mute", ("engine", "server"), 0.5, 2.0)
_make("engine_drains", ("engine", "server"), 4.0, 4.0)
_make("change_routes", (), 0.0, 0.0)
_make("race_routes", (), 0.0, 0.0)
_make("invalid_routes", (), 0.0, 0.0)
_make("evacuate", (), 2.0, 5.0)
