"""Writer of log lines that never blocks and has a bounded volume."""

import contextlib
import json
import os
import sys
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from eliot import add_destinations, remove_destination

FLUSH_INTERVAL_S = 0.2
"""Lines are written in groups; each write costs a system call and a wake-up."""


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Bounds of the volume.

    Parameters
    ----------
    lines_per_s : int, > 0
        Lines of one event in a second; what is left out is counted in a line of its own.
    queued_lines : int, > 0
        Lines that wait for a slow reader; later ones are dropped and counted.
    """

    lines_per_s: int = 300
    queued_lines: int = 5_000


@dataclass(slots=True)
class _EventBudget:
    """Lines of one event in the current second."""

    second: int
    written: int = 0
    omitted: int = 0


@dataclass(slots=True)
class LogWriter:
    """Destination of eliot messages.

    Parameters
    ----------
    place : dict of str to str
        Fields that every line carries.
    limits : LogLimits
        Bounds of the volume.
    write : callable
        Writes bytes and may block; called on a thread of its own.
    clock : callable
        Seconds; decides which second a line belongs to.

    Notes
    -----
    The messages of eliot carry a task id and level that only its actions use; they are left out.
    """

    common_fields: dict[str, str]
    limits: LogLimits
    write: Callable[[bytes], None]
    clock: Callable[[], float] = time.monotonic
    queue: deque[bytes] = field(default_factory=deque)
    budgets: dict[str, _EventBudget] = field(default_factory=dict)
    dropped: int = 0
    closing: bool = False
    filled: threading.Event = field(default_factory=threading.Event)

    def __call__(self, message: dict) -> None:
        """Queue a message, or leave it out when its event is over budget."""
        event = message.get("message_type", "")
        second = int(self.clock())
        budget = self.budgets.get(event)
        if budget is None:
            budget = self.budgets[event] = _EventBudget(second)
        elif budget.second != second:
            if budget.omitted:
                self._append(
                    {
                        "message_type": "lines_omitted",
                        "event": event,
                        "count": budget.omitted,
                        "timestamp": message.get("timestamp"),
                    }
                )
            budget.second, budget.written, budget.omitted = second, 0, 0
        if budget.written >= self.limits.lines_per_s:
            budget.omitted += 1
            return
        budget.written += 1
        self._append(message)

    def run(self) -> None:
        """Write queued lines until the writer is closed."""
        while True:
            self.filled.wait()
            self.filled.clear()
            self.flush()
            if self.closing:
                return
            time.sleep(FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write the queued lines."""
        lines = []
        while self.queue:
            lines.append(self.queue.popleft())
        if self.dropped:
            count, self.dropped = self.dropped, 0
            lines.append(self._encode({"message_type": "lines_dropped", "count": count}))
        if lines:
            self.write(b"".join(lines))

    def close(self) -> None:
        """End `run` after the queued lines are written."""
        self.closing = True
        self.filled.set()

    def _append(self, message: dict) -> None:
        if len(self.queue) >= self.limits.queued_lines:
            self.dropped += 1
            return
        self.queue.append(self._encode(message))
        if not self.filled.is_set():
            self.filled.set()

    def _encode(self, message: dict) -> bytes:
        line = {
            "at": round(message.get("timestamp") or time.time(), 4),
            "event": message.get("message_type"),
            **self.common_fields,
        }
        for name, value in message.items():
            if name not in ("timestamp", "message_type", "task_uuid", "task_level"):
                # A field that every line has may also be the subject of one.
                line[f"subject_{name}" if name in line else name] = value
        return json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n"


@contextlib.contextmanager
def open_log_writer(
    common_fields: dict[str, str], limits: LogLimits, write: Callable[[bytes], None] | None = None
) -> Iterator[LogWriter]:
    """Write the log lines of this process to standard output.

    Parameters
    ----------
    place : dict of str to str
        Fields that every line carries.
    limits : LogLimits
        Bounds of the volume.
    write : callable, optional
        Replaces standard output.
    """
    writer = LogWriter(common_fields, limits, write if write is not None else _write_stdout)
    thread = threading.Thread(target=writer.run, name="log-writer", daemon=True)
    thread.start()
    add_destinations(writer)
    try:
        yield writer
    finally:
        remove_destination(writer)
        writer.close()
        # A reader that blocks must not hold up the end of the process.
        thread.join(timeout=5 * FLUSH_INTERVAL_S)


def _write_stdout(data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(sys.stdout.fileno(), view) :]
