"""Tests of background loops in which one turn raises an exception."""

import asyncio
import time
from types import SimpleNamespace

from laburnumrock.daemon import _due_timer, _order_task, _owner_monitor, _quota_task, _quotas
from laburnumrock.daemon._due_timer import DueTimer
from laburnumrock.daemon._order_task import OrderTask
from laburnumrock.daemon._owner_monitor import OwnerMonitor
from laburnumrock.daemon._permits import HeldPermit, PermitClient
from laburnumrock.daemon._quota_task import QuotaTask
from laburnumrock.daemon._quotas import QuotaClient
from laburnumrock.daemon.tests.fakes import FakeHub, FakeNetwork, make_settings

TURN_S = 0.01


class FailsOnce:
    """Callable that raises in its first call and counts the calls."""

    def __init__(self, answer=None):
        self.calls = 0
        self.answer = answer

    def __call__(self, *arguments):
        self.calls += 1
        if self.calls == 1:
            raise RuntimeError("unexpected")
        return self.answer


async def check_second_turn(task, turn):
    """Start a task and assert that a turn follows the one that raised."""
    await task.start()
    deadline_s = time.monotonic() + 2.0
    while turn.calls < 2:
        assert time.monotonic() < deadline_s, "the loop ended with the exception"
        await asyncio.sleep(TURN_S)
    await task.stop()


class TestLoops:
    settings = make_settings(["a1"], {"permit_ttl_s": 3 * TURN_S})["a1"]

    def test_permits_are_renewed(self):
        """Guards against permits that all expire after one failed turn of their renewal."""

        async def run():
            turn = FailsOnce(("pool", None))
            directory = SimpleNamespace(find_permit_owner=turn)
            network = FakeNetwork(FakeHub(), self.settings)
            client = PermitClient(self.settings, network, directory, None)
            grant = SimpleNamespace(placements=[SimpleNamespace(upstream_id="e1")])
            client.held["p"] = HeldPermit(grant, "pool")
            await check_second_turn(client, turn)

        asyncio.run(run())

    def test_quota_is_renewed(self, monkeypatch):
        """Guards against held quota that expires after one failed turn of its renewal."""
        monkeypatch.setattr(_quotas, "RENEWAL_S", TURN_S)

        async def run():
            turn = FailsOnce()
            network = FakeNetwork(FakeHub(), self.settings)
            client = QuotaClient(self.settings, network, SimpleNamespace(find_coordinator=turn))
            client.held["q"] = None
            await check_second_turn(client, turn)

        asyncio.run(run())

    def test_quota_manager_runs_on(self, monkeypatch):
        """Guards against a coordinator whose limits stop working after one failed turn."""
        monkeypatch.setattr(_quota_task, "TICK_S", TURN_S)

        async def run():
            turn = FailsOnce(False)
            network = FakeNetwork(FakeHub(), self.settings)
            ownership = SimpleNamespace(is_coordinator=turn)
            await check_second_turn(QuotaTask(self.settings, network, ownership, None), turn)

        asyncio.run(run())

    def test_orders_go_on(self, monkeypatch):
        """Guards against a controller that sends no order after one failed turn."""
        monkeypatch.setattr(_order_task, "FOLLOWER_TICK_S", TURN_S)

        async def run():
            turn = FailsOnce([])
            state = SimpleNamespace(parts={_order_task.PART: SimpleNamespace()})
            log = SimpleNamespace(state=state, runner=True, is_leader=False, term=1)
            task = OrderTask(self.settings, FakeNetwork(FakeHub(), self.settings), log)
            task.controller = SimpleNamespace(observe_leadership=turn, tick=lambda now_s: [])
            await check_second_turn(task, turn)

        asyncio.run(run())

    def test_dead_owners_are_found(self, monkeypatch):
        """Guards against operations of dead instances that stay open after one failed turn."""
        monkeypatch.setattr(_owner_monitor, "PERIOD_S", TURN_S)

        async def run():
            turn = FailsOnce([])
            log = SimpleNamespace(runner=True, is_leader=False)
            await check_second_turn(OwnerMonitor(self.settings, log, None, turn), turn)

        asyncio.run(run())


class TestDueTimer:
    def test_timer_survives_an_unknown_due_time(self, monkeypatch):
        """Guards against a state machine that is never run again."""

        monkeypatch.setattr(_due_timer, "MAX_DELAY_S", 0.05)

        async def run():
            runs = []
            timer = DueTimer(lambda: runs.append(1), FailsOnce(0.0))
            asyncio.get_running_loop().call_soon(timer.start)
            await asyncio.sleep(0.3)
            timer.stop()
            assert len(runs) > 1

        asyncio.run(run())
