"""Tests of upstreams that state in their responses that they want no new requests."""

import asyncio
from dataclasses import replace

import pytest

from laburnumrock.dispatch import UpstreamStatement
from laburnumrock.forwarding.tests.scripted import (
    CallerResponse,
    ScriptedUpstream,
    answer,
    make_request,
    read_response,
)
from laburnumrock.nodes.tests.deployment import (
    CORES,
    ENTRY,
    Deployment,
    make_call,
    make_report,
    open_deployment,
    wait_until,
)

LEAVING = {"Server_Leaving": "1"}
DECLINED = {"Not_Executed": "1", "Retry_After": "1.5"}


async def request_app(deployment: Deployment, number: int) -> CallerResponse:
    reader, writer = await asyncio.open_connection(ENTRY, deployment.ports[0])
    writer.write(make_request("/y/1", "POST", b"{}", {"Request_Id": f"r{number}"}))
    response = await asyncio.wait_for(read_response(reader), 5.0)
    writer.close()
    return response


async def start_upstreams(deployment: Deployment, *upstreams: ScriptedUpstream) -> None:
    """Store the routes, and let a core know the upstreams u1, u2 and so on of one service."""
    await deployment.store(7)
    await wait_until(lambda: deployment.entry.is_ready)
    for number, upstream in enumerate(upstreams, start=1):
        await upstream.start()
        await report(deployment, upstream, f"u{number}")
    directory = deployment.entry.directory
    await wait_until(lambda: len(directory.usable("app", 0.0)) == len(upstreams))


async def report(deployment: Deployment, upstream: ScriptedUpstream, name: str, **values) -> None:
    values = {"upstream_id": name, "service": "app", **values}
    await deployment.leader().observe_upstream(make_report(upstream.port, **values))


async def stop_cores(deployment: Deployment) -> None:
    for name in CORES:
        if name in deployment.cores:
            await deployment.cores.pop(name).stop()


async def keep_state(deployment: Deployment) -> None:
    """Leave the leader as it is."""


async def replace_leader(deployment: Deployment) -> None:
    leader = deployment.leader()
    await deployment.cores.pop(leader.settings.instance_id).stop()
    await wait_until(deployment.leader)


STATES = [keep_state, replace_leader, stop_cores]


class TestLeaving:
    @pytest.mark.parametrize("change_state", STATES)
    def test_no_request_after_the_response(self, change_state, tmp_path):
        """Guards against requests to an upstream that says only in its responses that it leaves."""

        async def run():
            upstreams = [ScriptedUpstream(answer(**LEAVING)), ScriptedUpstream(answer())]
            async with open_deployment(tmp_path) as deployment:
                await start_upstreams(deployment, *upstreams)
                for number in range(20):
                    if upstreams[0].received:
                        break
                    assert (await request_app(deployment, number)).status == 200
                assert len(upstreams[0].received) == 1
                await change_state(deployment)
                statuses = [(await request_app(deployment, n)).status for n in range(100, 120)]
                assert len(upstreams[0].received) == 1
                assert statuses == [200] * 20

        asyncio.run(run())

    def test_new_incarnation_gets_requests(self, tmp_path):
        """Guards against an upstream that is avoided after it has started again."""

        async def run():
            upstream = ScriptedUpstream(answer(**LEAVING), answer())
            async with open_deployment(tmp_path) as deployment:
                await start_upstreams(deployment, upstream)
                assert (await request_app(deployment, 1)).status == 200
                refused = await request_app(deployment, 2)
                assert (refused.status, len(upstream.received)) == (503, 1)
                assert float(refused.headers["Retry-After"]) > 0
                await report(deployment, upstream, "u1", incarnation=2)
                await wait_until(lambda: not deployment.entry.statements.list_avoided(0.0))
                assert (await request_app(deployment, 3)).status == 200

        asyncio.run(run())


class TestPlacementUnderWay:
    def test_is_given_back(self, tmp_path):
        """Guards against a request to an upstream that declined while the request was placed, and
        against a permit that is held for it.
        """

        async def run():
            async with open_deployment(tmp_path) as deployment:
                await start_upstreams(deployment, *(ScriptedUpstream(answer()) for _ in range(2)))
                entry, leader = deployment.entry, deployment.leader()
                place = entry._place_once
                declined = []

                async def place_and_decline(call):
                    placed = await place(call)
                    if not declined:
                        declined.append(placed)
                        entry.record_statement(UpstreamStatement(placed.upstream_id, True))
                    return placed

                entry._place_once = place_and_decline
                call = replace(make_call(), service="app", prompt_tokens=0, output_tokens=0)
                placed = await entry.place(call)
                assert placed.permit > 0
                assert placed.upstream_id != declined[0].upstream_id
                await wait_until(lambda: list(leader.dispatcher.sends) == [placed.permit])

        asyncio.run(run())


class TestRefusing:
    @pytest.mark.parametrize("change_state", STATES)
    def test_all_upstreams_of_a_service(self, change_state, tmp_path):
        """Guards against requests to upstreams that want none for a time, and against callers that
        are not told when that time ends.
        """

        async def run():
            upstreams = [ScriptedUpstream(answer(503, **DECLINED), answer()) for _ in range(2)]
            async with open_deployment(tmp_path) as deployment:
                await start_upstreams(deployment, *upstreams)
                for number in range(20):
                    refused = await request_app(deployment, number)
                    assert refused.status in (429, 503)
                    if all(upstream.received for upstream in upstreams):
                        break
                began_s = asyncio.get_running_loop().time()
                refused = await request_app(deployment, 50)
                assert refused.status == 429
                retry_s = float(refused.headers["Retry-After"])
                assert 0.5 < retry_s < 2.1
                await change_state(deployment)
                left_s = began_s + 1.2 - asyncio.get_running_loop().time()
                if left_s > 0:
                    assert (await request_app(deployment, 51)).status == 429
                assert [len(upstream.received) for upstream in upstreams] == [1, 1]
                await asyncio.sleep(began_s + retry_s - asyncio.get_running_loop().time())
                await wait_until_served(deployment)

        asyncio.run(run())


async def wait_until_served(deployment: Deployment) -> None:
    async with asyncio.timeout(2.0):
        number = 60
        while (await request_app(deployment, number)).status != 200:
            number += 1
            await asyncio.sleep(0.05)
