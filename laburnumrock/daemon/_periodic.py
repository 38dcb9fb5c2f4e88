"""Background loop that survives an exception."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NoReturn

from eliot import log_message


async def run_periodically(
    name: str, turn: Callable[[], Awaitable[None]], find_pause_s: Callable[[], float]
) -> NoReturn:
    """Run a coroutine function again and again; an exception ends only its turn.

    Parameters
    ----------
    name : str
        Name of the loop in the log.
    turn : coroutine function
        Work of one turn.
    find_pause_s : callable
        Returns the pause after a turn in seconds.
    """
    while True:
        try:
            await turn()
        except Exception as error:
            log_message("background_turn_failed", loop=name, error=repr(error))
        await asyncio.sleep(find_pause_s())
