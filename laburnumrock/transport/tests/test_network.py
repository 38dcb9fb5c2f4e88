"""Tests of the links between instances."""

import asyncio
import socket

from laburnumrock.errors import ErrorKind
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerHello, PeerNetwork

KEY = b"k" * 32


def _free_ports(count):
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


def _make_settings():
    ports = _free_ports(4)
    peers = [
        {
            "instance_id": name,
            "failure_domain": "a",
            "host": "127.0.0.1",
            "caller_port": ports[2 * index],
            "peer_port": ports[2 * index + 1],
        }
        for index, name in enumerate(("a1", "a2"))
    ]
    common = {"shared_key_file": "x", "operator_key_file": "x", "peers": peers}
    return [
        InstanceSettings.model_validate(
            {
                "instance_id": peer["instance_id"],
                "failure_domain": "a",
                "listen": {key: peer[key] for key in ("host", "caller_port", "peer_port")},
                **common,
            }
        )
        for peer in peers
    ]


async def _exchange(first_key, second_key):
    first, second = (
        PeerNetwork(settings, key)
        for settings, key in zip(_make_settings(), (first_key, second_key), strict=True)
    )
    second.handle(PeerHello, lambda sender, message: PeerHello(sender, message.nonce, 2))
    await first.start()
    await second.start()
    answer = await first.call("a2", PeerHello("a1", b"n", 1), 1.0)
    await first.stop()
    await second.stop()
    return answer


class TestPeerNetwork:
    def test_call_returns_the_answer(self):
        """Guards against an answer that reaches the wrong call."""
        assert asyncio.run(_exchange(KEY, KEY)).unwrap() == PeerHello("a1", b"n", 2)

    def test_peer_without_the_key_is_refused(self):
        """Guards against messages from a process that does not know the shared key."""
        failure = asyncio.run(_exchange(KEY, b"x" * 32)).unwrap_err()
        assert failure.kind is ErrorKind.PEER_UNREACHABLE

    def test_stopped_network_leaves_no_task(self):
        """Guards against a pending task of a cancelled link, which the loop reports as an error."""

        async def scenario():
            first, second = (PeerNetwork(settings, KEY) for settings in _make_settings())
            second.handle(PeerHello, lambda sender, message: PeerHello(sender, message.nonce, 2))
            await first.start()
            await second.start()
            assert (await first.call("a2", PeerHello("a1", b"n", 1), 1.0)).is_ok()
            await first.stop()
            await second.stop()
            names = [task.get_coro().__qualname__ for task in asyncio.all_tasks()]
            waits = ("Queue.get", "Event.wait", "Connection.wait_closed", "PeerNetwork._run_link")
            return [name for name in names if name in waits]

        assert asyncio.run(scenario()) == []
