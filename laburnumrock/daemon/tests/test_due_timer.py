"""Tests of the timer of state machines."""

import asyncio
import time

from laburnumrock.daemon._due_timer import DueTimer


class TestDueTimer:
    def test_runs_when_due_and_earlier_after_an_update(self):
        """Guards against a due time that moves forward unnoticed, and against polling."""

        async def run():
            started_s = time.monotonic()
            due = [0.5]
            runs = []
            timer = DueTimer(lambda: runs.append(time.monotonic() - started_s), find_due_s)
            find_due_s.due_s = lambda: started_s + due[0]
            timer.start()
            await asyncio.sleep(0.1)
            assert len(runs) == 1
            due[0] = 0.2
            timer.update()
            await asyncio.sleep(0.15)
            due[0] = 9.0
            timer.stop()
            return runs

        def find_due_s():
            return find_due_s.due_s()

        runs = asyncio.run(run())
        assert len(runs) >= 2
        assert runs[1] >= 0.19
