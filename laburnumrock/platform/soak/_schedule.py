"""Random schedule of faults, reproducible from its seed."""

import random
from collections.abc import Callable
from dataclasses import dataclass

ENTRIES = 3
CORES = 3
ENGINES = 4
SERVERS = 2
REQUEST_KINDS = ("stream", "once", "again")
"""Path prefixes of streaming, non-idempotent and idempotent requests."""
CORE_RECOVERY_S = 6.0
"""Minimum time between the end of a core fault and the start of the next one."""

StepFactory = Callable[[random.Random, float], "Step"]
ACTIONS: dict[str, StepFactory] = {}


@dataclass(frozen=True, slots=True)
class Step:
    """One fault or configuration change.

    Parameters
    ----------
    at_s : float
        Start time, relative to the start of the schedule.
    action : str
        Name in `ACTIONS`.
    target : str
        Node, upstream or kind of request that is affected; empty if there is none.
    duration_s : float
        Duration.
    """

    at_s: float
    action: str
    target: str = ""
    duration_s: float = 0.0


def register_action(name: str) -> Callable[[StepFactory], StepFactory]:
    """Register the function that draws random steps of an action."""

    def register(make: StepFactory) -> StepFactory:
        ACTIONS[name] = make
        return make

    return register


def make_schedule(seed: int, length_s: float) -> list[Step]:
    """Draw the random steps of a run.

    Parameters
    ----------
    seed : int
        Seed of the schedule.
    length_s : float, > 0
        Period in which steps start.

    Notes
    -----
    Steps may overlap and follow each other closely. Only faults of single cores are kept apart,
    because the system tolerates the loss of one core at a time.
    """
    rng = random.Random(seed)
    names = sorted(ACTIONS)
    steps = []
    at_s = rng.uniform(1.0, 2.0)
    next_core_fault_s = 0.0
    while at_s < length_s:
        step = ACTIONS[rng.choice(names)](rng, at_s)
        targets_core = step.target.startswith("core")
        if not targets_core or at_s >= next_core_fault_s:
            steps.append(step)
            if targets_core:
                next_core_fault_s = at_s + step.duration_s + CORE_RECOVERY_S
        at_s += rng.choice((0.0, 0.3, 1.0, 2.5)) + rng.uniform(0.0, 0.5)
    return steps


@register_action("repeated_request")
def _make_repeated_request(rng: random.Random, at_s: float) -> Step:
    return Step(at_s, "repeated_request", rng.choice(REQUEST_KINDS), rng.uniform(5.0, 9.0))


def _draw_target(rng: random.Random, kind: str) -> str:
    count = {"core": CORES, "entry": ENTRIES, "engine": ENGINES, "server": SERVERS}[kind]
    return f"{kind}{rng.randrange(count)}"


def _define_action(
    action: str, kinds: tuple[str, ...], min_duration_s: float, max_duration_s: float
) -> None:
    @register_action(action)
    def make(rng: random.Random, at_s: float) -> Step:
        target = _draw_target(rng, rng.choice(kinds)) if kinds else ""
        return Step(at_s, action, target, rng.uniform(min_duration_s, max_duration_s))


_define_action("kill", ("core", "entry", "entry"), 0.2, 1.5)
_define_action("kill_all_cores", (), 0.1, 0.8)
_define_action("lose_disk", ("core",), 0.2, 1.0)
_define_action("torn_write", ("core",), 0.2, 1.0)
_define_action("disk_full", ("core",), 1.0, 4.0)
_define_action("pause", ("core", "entry", "entry"), 0.3, 3.0)
_define_action("stop", ("core", "entry", "entry"), 0.0, 0.0)
_define_action("reload", ("core", "entry"), 0.0, 0.0)
_define_action("silence", ("core", "entry", "engine"), 0.5, 3.0)
_define_action("silence_one_way", ("core", "entry", "engine"), 0.5, 3.0)
_define_action("reset", ("core", "entry", "engine"), 0.0, 0.0)
_define_action("abandon", ("core", "entry", "engine"), 0.0, 0.0)
_define_action("delay", ("core", "entry", "engine"), 1.0, 4.0)
_define_action("engine_crash", ("engine", "server"), 0.5, 2.0)
_define_action("engine_fails", ("engine", "server"), 1.0, 3.0)
_define_action("engine_cuts", ("engine",), 1.0, 3.0)
_define_action("engine_refuses", ("engine", "server"), 1.0, 3.0)
_define_action("engine_repeats_refusals", ("engine", "server"), 1.0, 3.0)
_define_action("engine_mute", ("engine", "server"), 0.5, 2.0)
_define_action("engine_silent", ("engine", "server"), 0.3, 1.6)
_define_action("silence_beside_refusals", ("engine", "server"), 1.1, 1.6)
_define_action("engine_pauses", ("engine", "server"), 2.0, 5.0)
_define_action("stop_in_silence", ("entry",), 0.3, 1.6)
_define_action("engine_drains", ("engine", "server"), 4.0, 4.0)
_define_action("engine_limits", ("engine", "server"), 5.0, 8.0)
_define_action("crashing_prompt", (), 5.0, 9.0)
_define_action("change_routes", (), 0.0, 0.0)
_define_action("race_routes", (), 0.0, 0.0)
_define_action("invalid_routes", (), 0.0, 0.0)
_define_action("evacuate", (), 2.0, 5.0)
