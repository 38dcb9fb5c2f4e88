"""Non-blocking, rate-limited writer of log lines."""

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
"""Lines are written in batches, because each write costs a system call and a thread wake-up."""


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Limits on the log volume.

    Parameters
    ----------
    lines_per_s : int, > 0
        Maximum lines per second of one event type; omitted lines are counted in a separate line.
    queued_lines : int, > 0
        Maximum lines queued for a slow reader; further lines are dropped and counted.
    """

    lines_per_s: int = 300
    queued_lines: int = 5_000


@dataclass(slots=True)
class _EventBudget:
    """Line counts of one event type in the current second."""

    second: int
    written: int = 0
    omitted: int = 0


@dataclass(slots=True)
class LogWriter:
    """Eliot destination that queues messages and writes them as JSON lines.

    Parameters
    ----------
    place : dict of str to str
        Fields that tell which process writes the log, such as the instance and its failure domain;
        they are added to every line.
    limits : LogLimits
        Limits on the log volume.
    write : callable
        Writes bytes, and returns how many of them it has written, or None for all. It may block, so
        it is called on a separate thread. Bytes that it refuses with an OSError, for example
        because the disk is full, are offered again at the next interval.
    clock : callable
        Returns the time in seconds, by which lines are assigned to a second.

    Notes
    -----
    The task id and task level of eliot messages are omitted, because only eliot actions use them.
    """

    place: dict[str, str]
    limits: LogLimits
    write: Callable[[bytes], int | None]
    clock: Callable[[], float] = time.monotonic
    queue: deque[bytes] = field(default_factory=deque)
    budgets: dict[str, _EventBudget] = field(default_factory=dict)
    unwritten: bytes = b""
    dropped: int = 0
    closing: bool = False
    lines_available: threading.Event = field(default_factory=threading.Event)

    def __call__(self, message: dict) -> None:
        """Queue a message, or omit it if its event type has used up its lines of this second."""
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
        """Write queued lines periodically until the writer is closed."""
        while True:
            if not self.unwritten:
                self.lines_available.wait()
            self.lines_available.clear()
            self.flush()
            if self.closing:
                return
            time.sleep(FLUSH_INTERVAL_S)

    def flush(self) -> None:
        """Write all queued lines, and a line with the number of dropped ones if there are any."""
        # Lines stay in the queue, whose length is bounded, while earlier ones cannot be written.
        if self.unwritten and not self._write():
            return
        lines = []
        while self.queue:
            lines.append(self.queue.popleft())
        if self.dropped:
            count, self.dropped = self.dropped, 0
            lines.append(self._encode({"message_type": "lines_dropped", "count": count}))
        if lines:
            self.unwritten = b"".join(lines)
            self._write()

    def _write(self) -> bool:
        """Write the bytes taken from the queue; returns whether all of them are written."""
        while self.unwritten:
            try:
                count = self.write(self.unwritten)
            except OSError:
                # A line about it would go to the same place.
                return False
            self.unwritten = b"" if count is None else self.unwritten[count:]
        return True

    def close(self) -> None:
        """Make `run` return after it has written the queued lines."""
        self.closing = True
        self.lines_available.set()

    def _append(self, message: dict) -> None:
        self.queue_line(self._encode(message))

    def queue_line(self, line: bytes) -> None:
        """Queue an encoded line, or count it as dropped if the queue is full."""
        if len(self.queue) >= self.limits.queued_lines:
            self.dropped += 1
            return
        self.queue.append(line)
        if not self.lines_available.is_set():
            self.lines_available.set()

    def _encode(self, message: dict) -> bytes:
        line = {
            "at": round(message.get("timestamp") or time.time(), 4),
            "event": message.get("message_type"),
            **self.place,
        }
        for name, value in message.items():
            if name not in ("timestamp", "message_type", "task_uuid", "task_level"):
                # A message may have a field with the name of a common one, such as the event that
                # `lines_omitted` reports. The prefix keeps both.
                line[f"subject_{name}" if name in line else name] = value
        return json.dumps(line, default=str, separators=(",", ":")).encode() + b"\n"


@contextlib.contextmanager
def open_log_writer(
    common_fields: dict[str, str],
    limits: LogLimits,
    write: Callable[[bytes], int | None] | None = None,
) -> Iterator[LogWriter]:
    """Write the log lines of this process to standard output while the context is active.

    Parameters
    ----------
    common_fields : dict of str to str
        Fields that are added to every line.
    limits : LogLimits
        Limits on the log volume.
    write : callable, optional
        Function that writes the lines instead of writing to standard output.
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
        # A blocked reader of the log must not delay the exit of the process.
        thread.join(timeout=5 * FLUSH_INTERVAL_S)


def _write_stdout(data: bytes) -> int:
    return os.write(sys.stdout.fileno(), data)
