"""Tests of work that a planned stop cuts."""

import asyncio
from types import SimpleNamespace

import pytest

from laburnumrock.gateway._planned_stop import run_until_cut


class TestRunUntilCut:
    @pytest.mark.parametrize(("extra_s", "runs"), [(0.0, []), (0.5, ["sent"])])
    def test_work_after_the_cut_does_not_begin(self, extra_s, runs):
        """Guards against a request that is sent after its caller was told that it was not."""

        async def run() -> list[str]:
            sent = []

            async def send() -> None:
                sent.append("sent")

            lifecycle = SimpleNamespace(requests_cut=asyncio.Event())
            lifecycle.requests_cut.set()
            await run_until_cut(lifecycle, send(), extra_s)
            return sent

        assert asyncio.run(run()) == runs
