"""Tests of the voters of the log when cores stop and are replaced."""

import asyncio
import shutil

import pytest

from laburnumrock.nodes.tests.deployment import CORES, open_deployment, wait_until

SUCCESSOR = "127.0.0.14"


def list_voters(deployment) -> list[str]:
    leader = deployment.leader()
    return [] if leader is None else sorted(leader.log.members.voters.values())


class TestReplacedCore:
    @pytest.mark.parametrize("leads", [True, False])
    def test_disk_lost_right_after_the_planned_stop(self, tmp_path, leads):
        """Guards against a log that stops for good when a core loses its disk just after another
        one, which has a successor, has stopped as planned.
        """

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await deployment.store(7)
                await deployment.start_core(SUCCESSOR, may_bootstrap=False)
                await wait_until(lambda: list_voters(deployment) == [*CORES, SUCCESSOR])
                leader = deployment.leader().settings.instance_id
                old = leader if leads else next(name for name in CORES if name != leader)
                await deployment.cores.pop(old).stop()
                await wait_until(deployment.leader)
                assert old not in list_voters(deployment)
                lost = next(name for name in CORES if name != old)
                core = deployment.cores.pop(lost)
                core.log.voter_policy = None
                await core.stop()
                shutil.rmtree(tmp_path / lost)
                await deployment.start_core(lost, may_bootstrap=False)
                await wait_until(deployment.leader)
                await deployment.store(8)

        asyncio.run(run())
