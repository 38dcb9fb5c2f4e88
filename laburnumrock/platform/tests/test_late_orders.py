"""Tests of orders that a core reads after their caller has gone."""

import asyncio
import re
import socket

import pytest

from laburnumrock.nodes.tests.deployment import CORES, open_deployment, wait_until, waits
from laburnumrock.platform._control import listen_control

ORDER = "{} /laburnumrock/evacuations/a HTTP/1.1\r\nHost: core\r\nContent-Length: 0\r\n\r\n"


def find_drained(deployment) -> list[str]:
    return deployment.leader().log.state.parts["routes"].current.drained


def send_order(port: int, method: str) -> socket.socket:
    """Send an order over a new connection, which the kernel accepts even while no loop runs."""
    client = socket.create_connection((CORES[1], port))
    client.sendall(ORDER.format(method).encode())
    return client


def read_status(client: socket.socket) -> int:
    client.settimeout(5.0)
    with client:
        return int(client.recv(4096).split()[1])


def read_final_status(client: socket.socket) -> int:
    """Return the status after interim responses."""
    client.settimeout(5.0)
    with client:
        data = b"".join(iter(lambda: client.recv(4096), b""))
    statuses = re.findall(rb"HTTP/1.1 (\d+) ", data)
    return int(statuses[-1]) if statuses else 0


@pytest.fixture
def play(tmp_path):
    """Return a function that runs a scenario with a deployment and the port of its second core."""

    def run(scenario):
        async def body():
            async with open_deployment(tmp_path) as deployment:
                server = listen_control(deployment.cores[CORES[1]], CORES[1], 0)
                [listener] = server._sockets.values()
                try:
                    return await scenario(deployment, listener.getsockname()[1])
                finally:
                    server.stop()

        return asyncio.run(body())

    return run


class TestLateOrders:
    @pytest.mark.parametrize("method, drained", [("DELETE", ["a"]), ("POST", [])])
    def test_order_of_a_caller_that_has_gone(self, play, method, drained):
        """Guards against an order that is read late and undoes an acknowledged newer one."""

        async def scenario(deployment, port):
            core = deployment.cores[CORES[1]]
            assert (await core.changes.set_drain("a", bool(drained), waits)).is_ok()
            # The order and the end of its connection are read in the same pass of the loop.
            send_order(port, method).close()
            await asyncio.sleep(1.0)
            assert find_drained(deployment) == drained

        play(scenario)

    @pytest.mark.parametrize("method, drained", [("DELETE", []), ("POST", ["a"])])
    def test_order_of_a_caller_that_only_ends_its_input(self, play, method, drained):
        """Guards against orders without an acknowledgement after a half-close of their caller."""

        async def scenario(deployment, port):
            core = deployment.cores[CORES[1]]
            assert (await core.changes.set_drain("a", not drained, waits)).is_ok()
            client = send_order(port, method)
            client.shutdown(socket.SHUT_WR)
            status = await asyncio.to_thread(read_final_status, client)
            assert (status, find_drained(deployment)) == (200, drained)

        play(scenario)

    def test_order_that_waited_while_the_core_was_frozen(self, play):
        """Guards against a late order of a caller whose connection still seems to be open."""

        async def scenario(deployment, port):
            core = deployment.cores[CORES[1]]
            assert (await core.changes.set_drain("a", True, waits)).is_ok()
            client = send_order(port, "DELETE")
            core.stalls.last_tick_s -= 3.0
            status = await asyncio.to_thread(read_status, client)
            assert (status, find_drained(deployment)) == (503, ["a"])
            await wait_until(lambda: not core.stalls.may_be_late())
            status = await asyncio.to_thread(read_status, send_order(port, "DELETE"))
            assert (status, find_drained(deployment)) == (200, [])

        play(scenario)

    def test_departure_that_waited_while_the_core_was_frozen(self, play):
        """Guards against a late departure of an upstream that has started again since."""

        async def scenario(deployment, port):
            core = deployment.cores[CORES[1]]
            core.stalls.last_tick_s -= 3.0
            assert not await core.remove_upstream("u1")

        play(scenario)

    def test_two_orders_at_the_same_time_are_both_acknowledged(self, play):
        """Guards against a refusal of an order because another one is committed meanwhile."""

        async def scenario(deployment, port):
            orders = [
                asyncio.to_thread(lambda method=method: read_status(send_order(port, method)))
                for method in ["POST", "DELETE"] * 4
            ]
            assert await asyncio.gather(*orders) == [200] * 8

        play(scenario)
