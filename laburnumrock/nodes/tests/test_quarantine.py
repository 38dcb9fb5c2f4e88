"""Tests of quarantined prompt parts across leaders, restarts and entry nodes without a leader."""

import asyncio
from dataclasses import replace

from laburnumrock.dispatch import SendEnded, SendOutcome
from laburnumrock.errors import ErrorKind
from laburnumrock.nodes.tests.deployment import (
    CORES,
    Deployment,
    make_call,
    make_report,
    open_deployment,
    wait_until,
)

PARTS = ["common", "dead"]
CALL = replace(make_call(), parts=PARTS)


async def crash_engines(deployment: Deployment) -> None:
    """Let the entry node report crashes under a part until the leader has quarantined it."""
    entry, leader = deployment.entry, deployment.leader()
    await deployment.store(7)
    await wait_until(lambda: entry.is_ready and entry.leader == leader.settings.instance_id)
    for core in deployment.cores.values():
        await core.observe_upstream(make_report(9))
    for permit in range(1, 1 + leader.settings.dispatch.quarantine.max_crashes):
        entry.record_ended(SendEnded(permit, SendOutcome.CRASHED, [], PARTS, 0.0))
        histories = leader.dispatcher.quarantine.suspects
        await wait_until(lambda n=permit, h=histories: "dead" in h and h["dead"].crashes == n)
    entry.record_ended(SendEnded(99, SendOutcome.DONE, [], ["common"], 0.0))
    await wait_until(lambda: all(is_stored(core) for core in deployment.cores.values()))


def is_stored(core) -> bool:
    return core.quarantine.applied_groups == [["dead"]]


class TestQuarantine:
    def test_entry_node_without_a_leader_refuses(self, tmp_path):
        """Guards against an entry node that sends harmful prompts once it places requests alone."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await crash_engines(deployment)
                entry = deployment.entry
                await wait_until(lambda: entry.quarantine.list_groups() == [["dead"]])
                for name in CORES:
                    await deployment.cores.pop(name).stop()
                refused = await entry.place(CALL)
                assert refused.refusal == ErrorKind.PROMPT_QUARANTINED
                placed = await entry.place(replace(CALL, parts=["common"]))
                assert placed.permit < 0

        asyncio.run(run())

    def test_new_leader_refuses(self, tmp_path):
        """Guards against engines that crash again under a part after each change of the leader."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await crash_engines(deployment)
                leader = deployment.leader()
                del deployment.cores[leader.settings.instance_id]
                await leader.stop()
                await wait_until(deployment.leader)
                assert deployment.leader().dispatcher.quarantine.list_groups() == [["dead"]]

        asyncio.run(run())

    def test_restart_of_all_cores(self, tmp_path):
        """Guards against a quarantine that ends with a restart, before the harmful requests do."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await crash_engines(deployment)
                for name in CORES:
                    await deployment.cores.pop(name).stop()
                for name in CORES:
                    await deployment.start_core(name, may_bootstrap=False)
                await wait_until(deployment.leader)
                assert deployment.leader().dispatcher.quarantine.list_groups() == [["dead"]]

        asyncio.run(run())

    def test_release_reaches_all_nodes(self, tmp_path):
        """Guards against a part that some nodes go on to refuse after its quarantine has ended."""

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await crash_engines(deployment)
                entry = deployment.entry
                await wait_until(lambda: entry.quarantine.groups)
                entry.record_ended(SendEnded(100, SendOutcome.DONE, [], ["dead"], 0.0))
                cores = deployment.cores.values()
                await wait_until(lambda: not any(core.quarantine.applied_groups for core in cores))
                await wait_until(lambda: not entry.quarantine.groups)
                quarantines = [core.dispatcher.quarantine for core in cores]
                assert not any(quarantine.groups for quarantine in quarantines)

        asyncio.run(run())
