"""Detection of times in which a process does not run."""

import time
from collections.abc import Callable


def read_boot_clock_s() -> float:
    """Return the time since the boot of the machine in seconds, with the time it was suspended.

    The monotonic clock does not count the time for which a machine is suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class StallDetector:
    """Tells whether input that is read now may have waited while the process did not run.

    Parameters
    ----------
    min_stall_s : float, > 0
        Shorter gaps between two ticks are no stall.
    memory_s : float, >= 0
        Time after a stall within which the input that has waited is read.
    clock : callable
        Returns a time in seconds that also counts the time for which the machine is suspended.
    """

    def __init__(
        self, min_stall_s: float, memory_s: float, clock: Callable[[], float] = read_boot_clock_s
    ) -> None:
        self.min_stall_s = min_stall_s
        self.memory_s = memory_s
        self.clock = clock
        # Without a tick, nothing is known of the time before.
        self.last_tick_s = float("inf")
        self.stall_end_s = float("-inf")

    def record_tick(self) -> None:
        """Record that the process runs; call this several times per `min_stall_s`."""
        now_s = self.clock()
        if now_s - self.last_tick_s >= self.min_stall_s:
            self.stall_end_s = now_s
        self.last_tick_s = now_s

    def may_be_late(self) -> bool:
        """Return whether input that is read now may have waited for `min_stall_s` or longer."""
        return self.has_stalled_since(self.clock() - self.memory_s)

    def has_stalled_since(self, began_s: float) -> bool:
        """Return whether a stall ended after a reading of the clock, or has just ended."""
        is_stall_unrecorded = self.clock() - self.last_tick_s >= self.min_stall_s
        return is_stall_unrecorded or self.stall_end_s > began_s
