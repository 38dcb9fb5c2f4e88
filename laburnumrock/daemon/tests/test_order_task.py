"""Tests of the orders to engines over loopback."""

import asyncio
import time

from laburnumrock.daemon._log_task import LogTask
from laburnumrock.daemon._order_calls import OrderCalls
from laburnumrock.daemon._order_task import OrderTask
from laburnumrock.orders import Order, OrderKind, SendOrder, SendStatus
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
    ends_s = time.monotonic() + 15.0
    while not condition() and time.monotonic() < ends_s:
        await asyncio.sleep(0.05)
    assert condition()


async def _with_voter(folder, scenario):
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


class TestOrderTask:
    def test_engine_gets_each_order_once_and_again_after_a_restart(self, tmp_path):
        """Guards against lost orders, repeated orders, and an engine that stays empty."""

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

        added, again, other, numbers, listed, _ = asyncio.run(_with_voter(tmp_path, scenario))
        assert added.unwrap() == again.unwrap()
        assert other.is_err()
        assert len(numbers) == 1
        assert numbers[0] > 0
        assert [one["reload_of"] for one in listed] == ["", "o1"]

    def test_order_is_not_written_after_the_leadership_ended(self):
        """Guards against an order from a process that was frozen after its decision to send."""

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
        """Guards against engines that refuse every order because no key is sent."""

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
