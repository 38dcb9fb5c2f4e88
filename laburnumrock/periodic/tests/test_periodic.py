"""Tests of periodic work in which one turn raises an exception."""

import asyncio

from laburnumrock.periodic import run_every, run_periodically

TURN_S = 0.01


class FailsOnce:
    """Work that raises in its first call and counts the calls."""

    __name__ = "work"

    def __init__(self) -> None:
        self.calls = 0

    def __call__(self) -> None:
        self.calls += 1
        if self.calls == 1:
            raise OverflowError("odd value")


async def run_until_second_call(periodic_work, work: FailsOnce) -> None:
    task = asyncio.create_task(periodic_work)
    async with asyncio.timeout(2.0):
        while work.calls < 2 and not task.done():
            await asyncio.sleep(TURN_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


class TestPeriodicWork:
    def test_function_is_called_again(self):
        """Guards against periodic work that an odd value ends for ever."""
        work = FailsOnce()
        asyncio.run(run_until_second_call(run_every(TURN_S, work), work))
        assert work.calls >= 2

    def test_coroutine_function_is_called_again(self):
        """Guards against a background loop that one failed turn ends."""
        work = FailsOnce()

        async def turn() -> None:
            work()

        loop = run_periodically("work", turn, lambda: TURN_S)
        asyncio.run(run_until_second_call(loop, work))
        assert work.calls >= 2


class TestCancellation:
    def test_cancellation_beside_a_result_ends_the_work(self):
        """Guards against a stop that waits for ever, as its work was cancelled in the moment in
        which a call of the work was answered.
        """

        async def run():
            answer = asyncio.get_running_loop().create_future()
            turns = 0

            async def turn() -> None:
                nonlocal turns
                turns += 1
                await asyncio.wait_for(answer, 2.0)

            task = asyncio.create_task(run_periodically("work", turn, lambda: TURN_S))
            while not turns:
                await asyncio.sleep(0)
            await asyncio.sleep(TURN_S)
            answer.set_result(None)
            task.cancel()
            await asyncio.wait([task], timeout=1.0)
            assert task.cancelled()

        asyncio.run(run())
