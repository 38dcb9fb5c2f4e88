"""Timer for state machines that report when their next tick is due."""

import asyncio
import time
from collections.abc import Callable

from eliot import log_message

MIN_DELAY_S = 0.005
"""Limits the wake-up rate when a state machine keeps returning a due time in the past."""
MAX_DELAY_S = 1.0
"""Longest time without a run, in case a state machine reports a due time that is too late."""
LATE_THRESHOLD_S = 0.05
"""A run later than this indicates a busy event loop; on an idle one, timers fire within 2 ms."""
DEFER_S = 0.01
"""Enough time for the event loop to read the messages already waiting in its sockets."""


class DueTimer:
    """Calls a function when it is due instead of polling at a short fixed interval.

    Parameters
    ----------
    run : callable
        Function to call, without arguments.
    find_due_s : callable
        Returns the clock reading at which `run` must be called next.
    clock : callable
        Returns the monotonic time in seconds.

    Notes
    -----
    Polling every 25 to 50 ms caused 120 wake-ups per second on an idle instance, which was half of
    its CPU time.

    A run that is late by more than `LATE_THRESHOLD_S` is deferred once by `DEFER_S`: the event loop
    was busy, and messages that arrived meanwhile must be processed before timeouts are evaluated.
    Without this, a leader under load stepped down because the responses of its followers were
    still unread.
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
        """Run immediately and then whenever due."""
        self.running = True
        self._fire()

    def stop(self) -> None:
        """Cancel the timer."""
        self.running = False
        if self.handle is not None:
            self.handle.cancel()
            self.handle = None

    def update(self) -> None:
        """Reschedule if the due time moved forward; call after inputs other than ticks.

        A due time that moved back is only noticed when the timer fires, which is cheaper than
        rescheduling after every message.
        """
        if self.running:
            self.run_before(self.find_due_s())

    def run_before(self, due_s: float) -> None:
        """Ensure a run at `due_s` at the latest."""
        if self.running and due_s < self.due_s:
            self._schedule(due_s)

    def wake(self) -> None:
        """Run as soon as possible, subject to the minimum delay."""
        if self.running:
            self._schedule(self.clock())

    def _fire(self) -> None:
        now_s = self.clock()
        if now_s - self.due_s > LATE_THRESHOLD_S and not self.deferred:
            self.deferred = True
            self._schedule(now_s + DEFER_S)
            return
        self.deferred = False
        self.due_s = float("inf")
        try:
            self.run()
        finally:
            if self.running:
                self._schedule(self._find_next_s())

    def _find_next_s(self) -> float:
        """Return the due time; after an exception, the latest one at which the timer may run."""
        try:
            return self.find_due_s()
        except Exception as error:
            log_message("due_time_unknown", error=repr(error))
            return self.clock() + MAX_DELAY_S

    def _schedule(self, due_s: float) -> None:
        if self.handle is not None:
            self.handle.cancel()
        now_s = self.clock()
        delay_s = min(max(due_s - now_s, MIN_DELAY_S), MAX_DELAY_S)
        self.due_s = now_s + delay_s
        self.handle = asyncio.get_running_loop().call_later(delay_s, self._fire)
