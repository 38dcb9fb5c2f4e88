"""Tests of the periodic tasks of an instance."""

import asyncio
from types import SimpleNamespace

import pytest

from laburnumrock.daemon import (
    _declaration_task,
    _order_task,
    _owner_monitor,
    _permits,
    _quota_task,
    _quotas,
)

WAIT_S = 2.0


class FailingWork:
    """Work of a periodic task that always fails."""

    def __init__(self) -> None:
        self.calls = 0

    def __call__(self, *arguments):
        self.calls += 1
        raise OverflowError("odd value")

    def values(self):
        return self()


def make_tasks(work: FailingWork) -> dict:
    """Return the periodic tasks, with states in which their work fails."""
    timing = SimpleNamespace(permit_ttl_s=0.03)
    log = SimpleNamespace(is_leader=True)
    holds = SimpleNamespace(pending=work)
    detector = SimpleNamespace(observe_own_domain=work)
    return {
        "owners": _owner_monitor.OwnerMonitor._run(
            SimpleNamespace(
                settings=SimpleNamespace(failure_domain="a"),
                live_members=lambda domain: [],
                dead_instance_detector=detector,
                log=log,
            )
        ),
        "permits": _permits.PermitClient._renew_permits(
            SimpleNamespace(settings=SimpleNamespace(timing=timing), held=work)
        ),
        "orders": _order_task.OrderTask._run(
            SimpleNamespace(
                leader_term=lambda: 1,
                controller=SimpleNamespace(observe_leadership=work),
                log=log,
            )
        ),
        "holds": _declaration_task.DeclarationTask._enter_holds(
            SimpleNamespace(view=SimpleNamespace(holds=holds))
        ),
        "quota renewals": _quotas.QuotaClient._renew(
            SimpleNamespace(held=SimpleNamespace(values=work), _send=work)
        ),
        "quotas": _quota_task.QuotaTask._run(SimpleNamespace(_find_manager=work)),
    }


NAMES = ("owners", "permits", "orders", "holds", "quota renewals", "quotas")


class TestPeriodicTasks:
    @pytest.mark.parametrize("name", NAMES)
    def test_error_does_not_end_the_task(self, name, monkeypatch):
        """Guards against a task that an odd value ends for ever, without a log line."""
        monkeypatch.setattr(_owner_monitor, "PERIOD_S", 0.01)
        monkeypatch.setattr(_declaration_task, "ENTER_HOLDS_PERIOD_S", 0.01)
        monkeypatch.setattr(_quotas, "RENEWAL_S", 0.01)

        async def run() -> int:
            work = FailingWork()
            tasks = make_tasks(work)
            running = asyncio.create_task(tasks.pop(name))
            for unused in tasks.values():
                unused.close()
            async with asyncio.timeout(WAIT_S):
                while work.calls < 3 and not running.done():
                    await asyncio.sleep(0.01)
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            return work.calls

        assert asyncio.run(run()) >= 3
