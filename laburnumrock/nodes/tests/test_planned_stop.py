"""Tests of the planned stop of an entry node."""

import asyncio
import dataclasses
import time

from laburnumrock.forwarding.tests.scripted import (
    ScriptedUpstream,
    hang,
    make_request,
    read_response,
)
from laburnumrock.nodes.tests.deployment import ENTRY, make_report, open_deployment, wait_until

TIMEOUT_S = 1.8
"""Time until the process is killed, shorter than the load balancer's grace."""


def count_sends(leader) -> int:
    """Return the number of sends that the leader counts as load."""
    return sum(len(load.sends) for load in leader.dispatcher.fleet.loads.values())


class TestPlannedStop:
    def test_short_stop_answers_what_is_in_progress(self, tmp_path):
        """Guards against a stop shorter than the balancer's grace that cuts all requests."""

        async def run():
            upstream = ScriptedUpstream(hang())
            await upstream.start()
            async with open_deployment(tmp_path) as deployment:
                entry = deployment.entry
                await deployment.store(7)
                await wait_until(lambda: entry.is_ready and entry.leader is not None)
                for core in deployment.cores.values():
                    await core.observe_upstream(make_report(upstream.port))
                await wait_until(lambda: entry.directory.records)
                reader, writer = await asyncio.open_connection(ENTRY, deployment.ports[0])
                writer.write(make_request("/x/1", "POST", b"{}", {"Deadline-Ms": "9000"}))
                await wait_until(lambda: upstream.received)
                leader = deployment.leader()
                await wait_until(lambda: count_sends(leader))
                entry.settings = dataclasses.replace(entry.settings, shutdown_timeout_s=TIMEOUT_S)
                began_s = time.monotonic()
                stopping = asyncio.create_task(entry.stop())
                response = await read_response(reader)
                assert (response.status, response.headers["Connection"]) == (502, "close")
                await stopping
                assert time.monotonic() - began_s < TIMEOUT_S
                await wait_until(lambda: not count_sends(leader))
                writer.close()
            upstream.server.close()

        asyncio.run(run())
