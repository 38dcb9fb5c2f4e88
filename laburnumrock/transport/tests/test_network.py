"""Tests of the links between instances."""

import asyncio

import pytest

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import MAX_FRAME_BYTES, Frame
from laburnumrock.scenarios import find_free_ports
from laburnumrock.settings import InstanceSettings
from laburnumrock.standins import FaultyProxy
from laburnumrock.transport import PeerHello, PeerNetwork

KEY = b"k" * 32


def _make_settings():
    ports = find_free_ports(4)
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
        """Guards against an answer that is delivered to the wrong call."""
        assert asyncio.run(_exchange(KEY, KEY)).unwrap() == PeerHello("a1", b"n", 2)

    def test_answer_at_the_end_of_the_wait_counts(self):
        """Guards against a peer that is taken for unreachable, and acts on a message nevertheless,
        since its answer arrives in the turn of the event loop in which the time limit ends.
        """

        async def run():
            network = PeerNetwork(_make_settings()[0], KEY)
            network._enqueue = lambda peer, frame: True
            calling = asyncio.create_task(network.call("a2", PeerHello("a1", b"n", 1), 0.0))
            answer = Frame(PeerHello("a2", b"n", 2), answered_call=network.next_call_number)
            # It runs after the call has begun and before the time limit cancels it.
            asyncio.get_running_loop().call_soon(network._dispatch, "a2", answer)
            return await calling

        assert asyncio.run(run()).unwrap() == PeerHello("a2", b"n", 2)

    def test_peer_without_the_key_is_refused(self):
        """Guards against accepting messages from a process without the shared key."""
        failure = asyncio.run(_exchange(KEY, b"x" * 32)).unwrap_err()
        assert failure.kind is ErrorKind.PEER_UNREACHABLE

    def test_stopped_network_leaves_no_task(self):
        """Guards against pending tasks of a cancelled link, which the loop reports as errors."""

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


class TestCancelledCall:
    """A stop cancels the tasks that wait for an answer, and then waits for these tasks."""

    def test_cancellation_beside_the_answer_of_a_local_handler(self):
        """Guards against a cancelled call that returns, so that its caller goes on after a stop."""

        async def is_cancelled_after(passes):
            network = PeerNetwork(_make_settings()[0], KEY)

            async def answer(sender, message):
                await asyncio.sleep(0)
                return message

            network.handle(PeerHello, answer)
            task = asyncio.create_task(network.call("a1", PeerHello("a1", b"n", 1), 1.0))
            for _ in range(passes):
                await asyncio.sleep(0)
            if not task.cancel():
                return None
            await asyncio.wait([task])
            return task.cancelled()

        results = [asyncio.run(is_cancelled_after(passes)) for passes in range(12)]
        assert results[0] is True
        assert results[-1] is None, "the call did not end within the passes"
        assert False not in results

    def test_cancellation_beside_the_answer_of_a_peer(self):
        """Guards against a cancelled call that returns, so that its caller goes on after a stop."""

        async def scenario():
            first, second = (PeerNetwork(settings, KEY) for settings in _make_settings())
            second.handle(PeerHello, lambda sender, message: None)
            await first.start()
            await second.start()
            task = asyncio.create_task(first.call("a2", PeerHello("a1", b"n", 1), 5.0))
            await asyncio.sleep(0.05)
            [pending] = first.pending_calls.values()
            pending.answer.set_result(PeerHello("a2", b"n", 2))
            task.cancel()
            await asyncio.wait([task])
            await first.stop()
            await second.stop()
            return task.cancelled(), first.pending_calls

        assert asyncio.run(scenario()) == (True, {})


class TestHandlerErrors:
    @pytest.mark.parametrize("peer", ["a1", "a2"])
    def test_call_fails_if_the_handler_raises(self, peer):
        """Guards against an error of the own coordinator or log that ends the work of a caller."""

        async def fail(sender, message):
            raise RuntimeError("unexpected")

        async def scenario():
            networks = [PeerNetwork(settings, KEY) for settings in _make_settings()]
            for network in networks:
                network.handle(PeerHello, fail)
                await network.start()
            try:
                return await networks[0].call(peer, PeerHello("a1", b"n", 1), 0.5)
            finally:
                for network in networks:
                    await network.stop()

        assert asyncio.run(scenario()).unwrap_err().kind is ErrorKind.PEER_UNREACHABLE


class TestSilentLink:
    def test_silent_link_is_reopened(self):
        """Guards against a link that stays closed for seconds after its path has recovered."""

        async def run():
            first_settings, second_settings = _make_settings()
            [port] = find_free_ports(1)
            peer = second_settings.own_peer
            proxy = FaultyProxy("127.0.0.1", port, peer.peer_port)
            timing = first_settings.timing.model_copy(
                update={"link_ping_s": 0.2, "connect_timeout_s": 0.3}
            )
            other = peer.model_copy(update={"peer_port": port})
            peers = [first_settings.own_peer, other]
            first_settings = first_settings.model_copy(update={"timing": timing, "peers": peers})
            first = PeerNetwork(first_settings, KEY)
            second = PeerNetwork(second_settings, KEY)
            second.handle(PeerHello, lambda sender, message: PeerHello(sender, b"", 2))
            await proxy.start()
            await first.start()
            await second.start()
            hello = PeerHello("a1", b"n", 1)
            assert (await first.call("a2", hello, 1.0)).is_ok()
            proxy.abandon()
            answers = [await first.call("a2", hello, 0.4) for _ in range(5)]
            assert any(answer.is_ok() for answer in answers)
            proxy.close()
            await first.stop()
            await second.stop()

        asyncio.run(run())


class TestFailedLink:
    def run_after(self, fail):
        """Send a message before and after `fail`, and return the second answer."""

        async def scenario():
            first, second = (PeerNetwork(settings, KEY) for settings in _make_settings())
            second.handle(PeerHello, lambda sender, message: PeerHello(sender, message.nonce, 2))
            await first.start()
            await second.start()
            assert (await first.call("a2", PeerHello("a1", b"n", 1), 1.0)).is_ok()
            await fail(first)
            answer = None
            for _ in range(10):
                answer = await first.call("a2", PeerHello("a1", b"m", 1), 0.5)
                if answer.is_ok():
                    break
                await asyncio.sleep(0.1)
            await first.stop()
            await second.stop()
            return answer

        return asyncio.run(scenario())

    def test_unexpected_error_does_not_end_the_link(self, monkeypatch):
        """Guards against a link whose task ends with an error and is never opened again. asyncio
        raises an AttributeError when a transport is aborted that was closed during a write.
        """
        send_frames = PeerNetwork._send_frames
        failures = iter([AttributeError("'NoneType' object has no attribute 'call_soon'")])

        async def send_or_fail(network, connection, link):
            for error in failures:
                raise error
            await send_frames(network, connection, link)

        async def fail(first):
            monkeypatch.setattr(PeerNetwork, "_send_frames", send_or_fail)
            first.links["a2"].task.cancel()
            await asyncio.sleep(0)
            del first.links["a2"]

        assert self.run_after(fail).is_ok()

    def test_link_that_is_closed_during_a_large_write_is_reopened(self):
        """Guards against a dead link after the peer closes it in the middle of a large frame."""

        async def fail(first):
            for _ in range(5):
                first.links["a2"].frames.append(bytes(MAX_FRAME_BYTES + 1))
                first.links["a2"].has_frames.set()
                await asyncio.sleep(0.2)

        assert self.run_after(fail).is_ok()
