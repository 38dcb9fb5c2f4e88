"""Shows that the stop of an entry never ends if a hello is answered in the moment of its end.

Not a case: no rule is broken by it. Run it with `.venv/bin/python review/entry_stop.py`; with
`TROUBLE=0` the answer comes at another moment. Exits with 1 if the stop did not end.
"""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from laburnumrock.nodes.tests.deployment import open_deployment, wait_until

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STOP_S = 4.0
"""Time that the settings allow for the stop; the platform kills a process after 8 s."""
LIMIT_S = 8.0


async def run(folder: Path) -> bool:
    """Return whether the stop of an entry ended within its time."""
    async with open_deployment(folder) as deployment:
        entry = deployment.entry
        await deployment.store(7)
        await wait_until(lambda: entry.is_ready and entry.leader is not None)
        answered = asyncio.Event()
        dispatch, flush = entry.network._dispatch, entry.network.flush

        def record(peer, frame) -> None:
            dispatch(peer, frame)
            if frame.answered_call is not None:
                answered.set()

        async def flush_until_answered(timeout_s: float) -> None:
            # The last step before the tasks are cancelled; it takes until a hello is answered.
            await flush(timeout_s)
            if TROUBLE:
                answered.clear()
                await answered.wait()

        entry.network._dispatch = record
        entry.network.flush = flush_until_answered
        stopping = asyncio.create_task(entry.stop())
        done, _ = await asyncio.wait([stopping], timeout=LIMIT_S)
        for task in (*entry.tasks, stopping):
            task.cancel()
        await asyncio.wait([stopping])
        return bool(done)


def main() -> None:
    """Print the result, and exit with 1 if the stop did not end."""
    with tempfile.TemporaryDirectory() as folder:
        ended = asyncio.run(run(Path(folder)))
    print("the stop ended" if ended else f"the stop did not end within {LIMIT_S} s")
    sys.exit(0 if ended else 1)


if __name__ == "__main__":
    main()
