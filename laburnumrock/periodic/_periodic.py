"""Periodic work, which a single error does not end."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import NoReturn

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
        with log_errors(work.__name__):
            work()


async def run_periodically(
    name: str, turn: Callable[[], Awaitable[None]], find_pause_s: Callable[[], float]
) -> NoReturn:
    """Run a coroutine function again and again; an exception ends only its turn.

    Parameters
    ----------
    name : str
        Name of the work in the log.
    turn : coroutine function
        Work of one turn.
    find_pause_s : callable
        Returns the pause after a turn in seconds.
    """
    while True:
        with log_errors(name):
            await turn()
        raise_if_cancelled()
        await asyncio.sleep(find_pause_s())


def raise_if_cancelled() -> None:
    """Raise the cancellation of the current task that an awaited call did not raise.

    Notes
    -----
    `asyncio.wait_for` of Python 3.11 returns a result that is there instead of raising the
    CancelledError, so a loop that is cancelled in that moment would go on for ever.
    """
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        raise asyncio.CancelledError


@contextlib.contextmanager
def log_errors(name: str) -> Iterator[None]:
    """Log an error of periodic work, which then goes on.

    Parameters
    ----------
    name : str
        Name of the work in the log line.
    """
    try:
        yield
    except Exception as error:
        log_message("periodic_work_failed", work=name, error=f"{type(error).__name__}: {error}")
