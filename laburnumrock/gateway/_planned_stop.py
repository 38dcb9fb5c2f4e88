"""End of requests that still run at the end of a planned stop."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._interfaces import Lifecycle

T = TypeVar("T")
RETRY_AFTER_STOP_S = 1.0


async def run_until_cut(
    lifecycle: Lifecycle, work: Coroutine[Any, Any, T], extra_s: float = 0.0
) -> T | None:
    """Run a coroutine unless the planned stop cuts the running requests.

    Parameters
    ----------
    lifecycle : Lifecycle
        Lifecycle of the instance.
    work : coroutine
        Work to run.
    extra_s : float, >= 0
        Time that the work has after the cut, in seconds.

    Returns
    -------
    object
        Result of the work; None if it was cancelled because of the planned stop.
    """
    if lifecycle.requests_cut.is_set() and not extra_s:
        # A task that has been created runs up to its first await before it can be cancelled.
        work.close()
        return None
    work_task = asyncio.create_task(work)
    cut_task = asyncio.create_task(_wait_for_cut(lifecycle, extra_s))
    try:
        await asyncio.wait([work_task, cut_task], return_when=asyncio.FIRST_COMPLETED)
        return work_task.result() if work_task.done() else None
    finally:
        cut_task.cancel()
        if not work_task.done():
            work_task.cancel()
            await asyncio.gather(work_task, return_exceptions=True)


async def _wait_for_cut(lifecycle: Lifecycle, extra_s: float) -> None:
    await lifecycle.requests_cut.wait()
    await asyncio.sleep(extra_s)


def make_cut_failure(may_have_run: bool) -> Failure:
    """Return the failure that a request gets which the planned stop cuts.

    Parameters
    ----------
    may_have_run : bool
        Whether the request was sent to an upstream.
    """
    if not may_have_run:
        return Failure(ErrorKind.STOPPING, retry_after_s=RETRY_AFTER_STOP_S)
    detail = "this instance stopped before the upstream answered"
    return Failure(ErrorKind.UPSTREAM_FAILED, detail, retry_after_s=RETRY_AFTER_STOP_S)
