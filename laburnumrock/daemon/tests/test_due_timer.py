"""Tests of the timer for state machines."""

import asyncio
import socket
import time

from laburnumrock.daemon._due_timer import DueTimer


class TestDueTimer:
    def test_runs_when_due_and_earlier_after_an_update(self):
        """A due time that moves forward must be noticed after an update, without polling."""

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

    def test_messages_come_before_a_late_run(self):
        """Waiting messages must be processed before a late run.

        Otherwise a leader steps down because its event loop was busy.
        """

        async def run(own, peer):
            seen = []

            async def read():
                await reader.readexactly(1)
                seen.append("message")

            reader, writer = await asyncio.open_connection(sock=own)
            started_s = time.monotonic()
            timer = DueTimer(lambda: seen.append("run"), lambda: started_s + 0.05)
            timer.start()
            seen.clear()
            task = asyncio.create_task(read())
            await asyncio.sleep(0)
            peer.send(b"x")
            # Blocks the event loop beyond the due time.
            time.sleep(0.2)
            await asyncio.sleep(0.05)
            timer.stop()
            await task
            writer.close()
            return seen

        own, peer = socket.socketpair()
        own.setblocking(False)
        with peer:
            assert asyncio.run(run(own, peer))[:2] == ["message", "run"]
