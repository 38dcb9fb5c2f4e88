"""Tests of sending orders to engines over loopback."""

import asyncio
import time

import pytest

from laburnumrock.daemon._log_task import LogTask
from laburnumrock.daemon._order_calls import OrderCalls
from laburnumrock.daemon._order_task import OrderTask
from laburnumrock.orders import AddOrder, Order, OrderKind, SendOrder, SendStatus
from laburnumrock.scenarios import make_loopback_settings
from laburnumrock.standins.tests._servers import start_engine
from laburnumrock.transport import PeerNetwork
from laburnumrock.upstreams import UpstreamAnnouncement, UpstreamKind

KEY = b"k" * 32


def _announce(task, engine):
    announced = engine.build_announcement()
    task.observe(
        UpstreamAnnouncement(
            "e", UpstreamKind.MODEL_ENGINE, "a", announced["incarnation"], announced["base_url"]
        )
    )


async def _wait_for(condition):
    deadline_s = time.monotonic() + 15.0
    while not condition() and time.monotonic() < deadline_s:
        await asyncio.sleep(0.05)
    assert condition()


async def _run_with_voter(folder, scenario):
    settings = make_loopback_settings(folder, ["a1"])["a1"]
    network = PeerNetwork(settings, KEY)
    log = LogTask(settings, network)
    task = OrderTask(settings, network, log)
    await network.start()
    await log.start()
    await task.start()
    try:
        return await scenario(task)
    finally:
        await task.stop()
        await log.stop()
        await network.stop()


class TestUnexpectedErrors:
    """An accepted order must reach its engine although one step towards it raises an exception."""

    @pytest.mark.parametrize("step", ["read", "send", "propose"])
    def test_order_is_carried_out(self, step, tmp_path):
        """Guards against an order that nobody sends, as the controller waits for a dead task."""

        async def scenario(task):
            owner = task.log if step == "propose" else task.calls
            original = getattr(owner, step)
            failures = []

            async def fail_once(argument, *arguments):
                if not failures and not isinstance(argument, AddOrder):
                    failures.append(argument)
                    raise RuntimeError("unexpected")
                return await original(argument, *arguments)

            setattr(owner, step, fail_once)
            engine = await start_engine(enforces_fencing=False)
            _announce(task, engine)
            added = await task.add_order("o1", "e", "load_model", {"model": "review"})
            assert added.is_ok()
            await _wait_for(lambda: "review" in engine.orders.models)
            assert len(failures) == 1
            assert len(engine.orders.accepted) == 1
            await engine.stop()

        asyncio.run(_run_with_voter(tmp_path, scenario))


class TestOrderTask:
    def test_engine_gets_each_order_once_and_again_after_a_restart(self, tmp_path):
        """Orders must not be lost or repeated, and a restarted engine must be loaded again."""

        async def scenario(task):
            engine = await start_engine(enforces_fencing=False)
            _announce(task, engine)
            added = await task.add_order("o1", "e", "load_model", {"model": "review"})
            again = await task.add_order("o1", "e", "load_model", {"model": "review"})
            other = await task.add_order("o1", "e", "load_model", {"model": "draft"})
            await _wait_for(lambda: "review" in engine.orders.models)
            port = engine.options.port
            numbers = [one["fencing_number"] for one in engine.orders.accepted.values()]
            await _wait_for(lambda: task.log.state.parts["orders"].orders["o1"].state == "done")
            engine.orders.models.remove("review")
            engine.orders.accepted.clear()
            engine.incarnation += 1
            _announce(task, engine)
            await _wait_for(lambda: "review" in engine.orders.models)
            listed = (await task.list_orders("e")).unwrap()["orders"]
            await engine.stop()
            return added, again, other, numbers, listed, port

        added, again, other, numbers, listed, _ = asyncio.run(_run_with_voter(tmp_path, scenario))
        assert added.unwrap() == again.unwrap()
        assert other.is_err()
        assert len(numbers) == 1
        assert numbers[0] > 0
        assert [one["reload_of"] for one in listed] == ["", "o1"]

    def test_order_is_not_written_after_the_leadership_ended(self):
        """A process that was paused after deciding to send must not send as a former leader."""

        async def scenario():
            engine = await start_engine()
            calls = OrderCalls(1.0)
            order = Order("o1", "e", OrderKind.CHANGE_ROLE, {"role": "long"})
            effect = SendOrder("e", engine.options.base_url, order, 3)
            refused = await calls.send(effect, lambda: False)
            before = dict(engine.orders.accepted)
            accepted = await calls.send(effect, lambda: True)
            calls.close()
            await engine.stop()
            return refused.status, before, accepted.status, list(engine.orders.accepted)

        refused, before, accepted, after = asyncio.run(scenario())
        assert (refused, before) == (SendStatus.NOT_SENT, {})
        assert (accepted, after) == (SendStatus.ACCEPTED, ["o1"])

    def test_engine_that_checks_orders_gets_the_key(self):
        """The order key must be sent, or engines that authenticate orders reject all of them."""

        async def scenario():
            engine = await start_engine(order_key=KEY.decode())
            order = Order("o1", "e", OrderKind.CHANGE_ROLE, {"role": "long"})
            effect = SendOrder("e", engine.options.base_url, order, 3)
            accepted = []
            for key in (None, b"x" * 32, KEY):
                calls = OrderCalls(1.0, key)
                answer = await calls.send(effect, lambda: True)
                accepted.append(answer.status is SendStatus.ACCEPTED)
                calls.close()
            await engine.stop()
            return accepted

        assert asyncio.run(scenario()) == [False, False, True]
