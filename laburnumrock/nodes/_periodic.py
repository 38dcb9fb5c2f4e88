"""Periodic work of a node, which a single error does not end."""

import asyncio
from collections.abc import Callable

from eliot import log_message


async def run_every(interval_s: float, work: Callable[[], None]) -> None:
    """Call a function at an interval until the task is cancelled.

    Parameters
    ----------
    interval_s : float, > 0
        Time between two calls.
    work : callable
        Function to call; an exception is logged and the next call takes place as usual.
    """
    while True:
        await asyncio.sleep(interval_s)
        try:
            work()
        except Exception as error:
            log_failed_work(work.__name__, error)


def log_failed_work(name: str, error: Exception) -> None:
    """Log the error of periodic work that goes on."""
    log_message("periodic_work_failed", work=name, error=f"{type(error).__name__}: {error}")
