"""Helpers that the scripts of the review share.

They start the programs of the project as separate processes with the project's own fault soak as
stand-in of callers, engines and operators, and record what is sent, answered and run.
"""

import asyncio
import os
import tempfile
import time
from pathlib import Path

from laburnumrock.platform.soak import _run
from laburnumrock.platform.soak._state import RunState, SoakSettings

START_S = time.monotonic()
_make_nodes = _run._make_nodes


def _make_nodes_with_libraries(soak: RunState) -> None:
    """Let the programs find the libraries that the build of the deploy file installs."""
    _make_nodes(soak)
    for node in soak.nodes.values():
        node.process.variables["PYTHONPATH"] = os.environ["PYTHONPATH"]


_run._make_nodes = _make_nodes_with_libraries


class Record:
    """Writes lines with their time since the start to the record of a case."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - START_S:8.3f} {text}\n")
        self.file.flush()


def make_state(folder: str, **sizes: int) -> RunState:
    """Return the state of a run with the given numbers of processes."""
    return RunState(
        SoakSettings(int.from_bytes(os.urandom(2)), 60.0, Path(folder) / "run", **sizes)
    )


def run_case(play) -> int:
    """Play a case in a temporary folder; 1 if the rule broke, 0 if it held, 2 if it could not run."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        try:
            return asyncio.run(play(folder))
        except Exception as error:
            print(f"the case could not run: {type(error).__name__}: {error}")
            return 2
