"""Timer of a state machine that tells when it next needs a tick."""

import asyncio
import time
from collections.abc import Callable

MIN_DELAY_S = 0.005
"""Bounds the wake-ups of a state machine whose due time stays in the past."""
MAX_DELAY_S = 1.0
"""Bounds the damage of a due time that was computed too late."""
LATE_S = 0.05
"""Lateness of a run that shows a busy event loop; timers of an idle one are exact to 2 ms."""
DEFER_S = 0.01
"""Time in which an event loop takes up the messages that wait in its sockets."""


class DueTimer:
    """Calls a function at its due time instead of at a fixed short interval.

    Parameters
    ----------
    run : callable
        The work; called without arguments.
    find_due_s : callable
        Returns the clock reading at which `run` is needed next.
    clock : callable
        Monotonic clock in seconds.

    Notes
    -----
    Polling every 25 to 50 ms made 120 wake-ups a second on an idle instance, half of its
    processor time.

    A run that is late by more than `LATE_S` is put off by `DEFER_S` once: the event loop was busy,
    and messages that have arrived meanwhile must be seen before time limits are. A leader that did
    not read its answers in time stepped down under load.
    """

    def __init__(
        self,
        run: Callable[[], None],
        find_due_s: Callable[[], float],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.run = run
        self.find_due_s = find_due_s
        self.clock = clock
        self.handle: asyncio.TimerHandle | None = None
        self.due_s = float("inf")
        self.running = False
        self.deferred = False

    def start(self) -> None:
        """Run at once and then whenever due."""
        self.running = True
        self._fire()

    def stop(self) -> None:
        """Run no more."""
        self.running = False
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def update(self) -> None:
        """Take over an earlier due time; to be called after inputs other than ticks.

        A later due time is noticed when the timer fires, which costs less than to set it anew
        after each message.
        """
        if self.running:
            self.run_before(self.find_due_s())

    def run_before(self, due_s: float) -> None:
        """Run at `due_s` at the latest."""
        if self.running and due_s < self.due_s:
            self._schedule(due_s)

    def wake(self) -> None:
        """Run soon."""
        if self.running:
            self._schedule(self.clock())

    def _fire(self) -> None:
        now_s = self.clock()
        if now_s - self.due_s > LATE_S and not self.deferred:
            self.deferred = True
            self._schedule(now_s + DEFER_S)
            return
        self.deferred = False
        self.due_s = float("inf")
        try:
            self.run()
        finally:
            if self.running:
                self._schedule(self.find_due_s())

    def _schedule(self, due_s: float) -> None:
        if self.handle is not None:
            self.handle.cancel()
        now_s = self.clock()
        delay_s = min(max(due_s - now_s, MIN_DELAY_S), MAX_DELAY_S)
        self.due_s = now_s + delay_s
        self.handle = asyncio.get_running_loop().call_later(delay_s, self._fire)
