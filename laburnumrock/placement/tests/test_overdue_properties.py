"""Property tests of permits whose entry instances fall silent and whose owner changes."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumrock.messages import Send
from laburnumrock.placement import (
    CancelOnUpstream,
    PermitGrant,
    PermitOutcome,
    PermitRelease,
    PermitRenewal,
    PermitRequest,
    PoolScheduler,
    PoolSettings,
)
from laburnumrock.placement.tests.test_scheduler import make_announcement

ENGINES = ("e1", "e2")
CAPACITY = 450_000
SIZES = (1_000, 90_000, 200_000, 400_000)
STEP_S = 0.2


class Fleet:
    """Engines and entries as they are, whatever the pool owner believes."""

    def __init__(self, rng):
        self.rng = rng
        self.epoch = 1
        self.scheduler = self.make_owner(0.0, False)
        self.running: dict[str, PermitGrant] = {}
        self.cancels: list[tuple[float, CancelOnUpstream]] = []
        self.silent_until_s: dict[str, float] = {}

    def make_owner(self, now_s, take_over):
        pool = PoolSettings("a/m", owner_epoch=self.epoch)
        scheduler = PoolScheduler(pool, random.Random(self.epoch), now_s, take_over=take_over)
        for name in ENGINES:
            scheduler.observe_upstream(make_announcement(name), now_s)
            scheduler.table.ledgers[name].slow_start.limit = 64
        return scheduler

    def apply(self, effects, now_s):
        for effect in effects:
            if isinstance(effect, CancelOnUpstream):
                self.cancels.append((now_s + self.rng.random(), effect))
            elif isinstance(effect, Send) and isinstance(effect.message, PermitGrant):
                self.running[effect.message.permit_id] = effect.message
        for name in ENGINES:
            held = [
                placement.kv_tokens
                for grant in self.running.values()
                for placement in grant.placements
                if placement.upstream_id == name
            ]
            assert sum(held) <= CAPACITY, "memory granted twice"

    def confirm_cancels(self, now_s):
        for due_s, cancel in list(self.cancels):
            if due_s > now_s:
                continue
            self.cancels.remove((due_s, cancel))
            for permit_id, grant in list(self.running.items()):
                if grant.request_id == cancel.request_id:
                    del self.running[permit_id]
            confirm = self.scheduler.confirm_cancel
            self.apply(confirm(cancel.upstream_id, cancel.request_id, now_s), now_s)

    def renew(self, now_s):
        grants = [
            grant
            for permit_id, grant in self.running.items()
            if self.silent_until_s.get(permit_id, 0.0) <= now_s
        ]
        self.scheduler.receive("entry", PermitRenewal("a/m", grants), now_s)

    def change_owner(self, now_s):
        self.epoch += 1
        self.cancels.clear()
        self.scheduler = self.make_owner(now_s, True)
        for name in ENGINES:
            self.report(name, now_s)

    def report(self, name, now_s):
        held = {
            grant.request_id: placement.kv_tokens
            for grant in self.running.values()
            for placement in grant.placements
            if placement.upstream_id == name
        }
        self.apply(self.scheduler.observe_held_requests(name, held, now_s, now_s), now_s)


class TestSilentEntries:
    @settings(max_examples=60, deadline=None)
    @given(seed=st.integers(0, 2**32))
    def test_memory_is_never_granted_twice(self, seed):
        """Guards against memory of an overdue permit that is granted again, or never freed."""
        rng = random.Random(seed)
        fleet = Fleet(rng)
        now_s = 0.0
        for number in range(150):
            now_s += STEP_S
            fleet.confirm_cancels(now_s)
            if rng.random() < 0.3:
                request = PermitRequest(
                    request_id=f"r{number}",
                    attempt=1,
                    client_account="x",
                    caller="p",
                    model="m",
                    prompt_tokens=rng.choice(SIZES),
                    max_output_tokens=100,
                    remaining_s=300.0,
                )
                fleet.apply(fleet.scheduler.receive("entry", request, now_s), now_s)
            if rng.random() < 0.2 and fleet.running:
                permit_id = rng.choice(sorted(fleet.running))
                fleet.silent_until_s[permit_id] = now_s + rng.choice((1.0, 2.5, 5.0, 60.0))
            if rng.random() < 0.15 and fleet.running:
                permit_id = rng.choice(sorted(fleet.running))
                if fleet.silent_until_s.get(permit_id, 0.0) <= now_s:
                    del fleet.running[permit_id]
                    release = PermitRelease(permit_id, PermitOutcome.FINISHED, 0.1, 3)
                    fleet.apply(fleet.scheduler.receive("entry", release, now_s), now_s)
            if rng.random() < 0.02:
                fleet.change_owner(now_s)
            if number % 3 == 0:
                fleet.renew(now_s)
            if number % 25 == 0:
                for name in ENGINES:
                    fleet.report(name, now_s)
            fleet.apply(fleet.scheduler.tick(now_s), now_s)
        for _ in range(400):
            now_s += 0.5
            fleet.confirm_cancels(now_s)
            for name in ENGINES:
                fleet.report(name, now_s)
            fleet.apply(fleet.scheduler.tick(now_s), now_s)
        # Nothing was renewed meanwhile, so all engines are free again.
        assert not fleet.running
        assert not fleet.scheduler.registry.overdue
        assert all(ledger.kv_used == 0 for ledger in fleet.scheduler.table.ledgers.values())
