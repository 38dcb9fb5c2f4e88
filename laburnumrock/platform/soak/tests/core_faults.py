"""Faults of the cores that several tests inject while they play a load."""

import asyncio
import signal

from laburnumrock.platform.soak._state import Node, RunState


def list_cores(soak: RunState) -> list[Node]:
    """Return the cores of a run."""
    return [node for node in soak.nodes.values() if node.role == "core"]


async def keep_cores(soak: RunState) -> None:
    """Leave the leader alone."""


async def freeze_all_cores(soak: RunState) -> None:
    """Freeze all cores to the end, so that the entries place requests alone."""
    for core in list_cores(soak):
        core.process.send(signal.SIGSTOP)
    # The entries notice within a second that no core answers.
    await asyncio.sleep(1.0)


async def freeze_cores_in_turn(soak: RunState) -> None:
    """Freeze one core after the other, so that the leader changes several times."""
    for core in list_cores(soak):
        core.process.send(signal.SIGSTOP)
        await asyncio.sleep(1.5)
        core.process.send(signal.SIGCONT)
        await asyncio.sleep(1.5)
