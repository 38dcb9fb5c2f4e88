"""Differential test of the pool scheduler against a naive ledger."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumrock.placement import (
    POLICIES,
    CancelOnUpstream,
    PermitCancel,
    PermitGrant,
    PermitOutcome,
    PermitRefusal,
    PermitRelease,
    PermitRenewal,
    PermitRequest,
    PoolScheduler,
    PoolSettings,
)
from laburnumrock.placement.tests.test_scheduler import make_announcement
from laburnumrock.upstreams import UpstreamState

ENGINES = ["e1", "e2", "e3", "e4"]
PERMITS = 3
SIZES = (0, 500, 5_000, 60_000, 200_000, 440_000, 700_000, 1_000_000)


class NaiveLedger:
    """Plain account of grants, written without any of the scheduler's structures."""

    def __init__(self):
        self.asked = {}
        self.answered = {}
        self.held = {}
        self.drained = set()
        self.leaving = set()

    def ask(self, request):
        self.asked[(request.request_id, request.attempt)] = request

    def take(self, effects):
        for effect in effects:
            if isinstance(effect, CancelOnUpstream):
                continue
            message = effect.message
            if isinstance(message, PermitGrant):
                self._grant(message)
            elif isinstance(message, PermitRefusal):
                key = (message.request_id, message.attempt)
                assert key not in self.answered, "answered twice"
                self.answered[key] = message

    def _grant(self, grant):
        key = (grant.request_id, grant.attempt)
        assert key not in self.answered, "granted twice"
        request = self.asked[key]
        self.answered[key] = grant
        self.held[grant.permit_id] = grant
        names = [placement.upstream_id for placement in grant.placements]
        assert len(set(names)) == len(names)
        assert not set(names) & (self.drained | self.leaving | set(request.excluded_upstreams))
        total = sum(placement.kv_tokens for placement in grant.placements)
        assert total == request.prompt_tokens + request.max_output_tokens

    def check(self, scheduler):
        for name in ENGINES:
            parts = [
                placement.kv_tokens
                for grant in self.held.values()
                for placement in grant.placements
                if placement.upstream_id == name
            ]
            assert sum(parts) <= 450_000, "memory granted twice"
            assert len(parts) <= PERMITS, "over the cap"
            ledger = scheduler.table.ledgers[name]
            assert (ledger.kv_used, len(ledger.permits)) == (sum(parts), len(parts))


@pytest.mark.parametrize("policy", sorted(POLICIES))
class TestAgainstNaiveLedger:
    @settings(max_examples=40, deadline=None)
    @given(seed=st.integers(0, 2**32))
    def test_nothing_lost_granted_twice_or_left(self, policy, seed):
        """Guards against lost requests, double grants, exceeded caps and leaked memory."""
        rng = random.Random(seed)
        pool = PoolSettings("a/m", policy=policy, permits_per_upstream=PERMITS)
        scheduler = PoolScheduler(pool, random.Random(seed), 0.0)
        naive = NaiveLedger()
        now_s = 0.0
        for name in ENGINES:
            naive.take(scheduler.observe_upstream(make_announcement(name), now_s))
        for number in range(120):
            now_s += rng.random() * 0.2
            naive.take(self.step(rng, scheduler, naive, number, now_s))
            naive.check(scheduler)
            if number % 3 == 0:
                grants = list(naive.held.values())
                scheduler.receive("entry", PermitRenewal("a/m", grants), now_s)
                naive.take(scheduler.tick(now_s))
                naive.check(scheduler)
        for name in ENGINES:
            naive.drained.discard(name)
            naive.leaving.discard(name)
            naive.take(scheduler.set_in_service(name, True, now_s))
            naive.take(scheduler.observe_upstream(make_announcement(name), now_s))
        while len(naive.answered) < len(naive.asked) or naive.held:
            now_s += 0.5
            assert now_s < 2_000, "requests are never answered"
            for permit_id in list(naive.held):
                naive.take(self.release(naive, scheduler, permit_id, now_s, rng))
                naive.check(scheduler)
            naive.take(scheduler.tick(now_s))
        for ledger in scheduler.table.ledgers.values():
            assert (ledger.kv_used, ledger.earmarked_kv, ledger.permits) == (0, 0, {})
        assert not scheduler.registry.permits
        assert not scheduler.registry.by_key

    def step(self, rng, scheduler, naive, number, now_s):
        action = rng.random()
        name = rng.choice(ENGINES)
        if action < 0.55:
            request = PermitRequest(
                request_id=f"r{number}",
                attempt=1,
                client_account=rng.choice("xy"),
                caller=rng.choice("pq"),
                model="m",
                prompt_tokens=rng.choice(SIZES),
                max_output_tokens=rng.randrange(1, 400),
                remaining_s=rng.choice((1.0, 30.0, 300.0)),
                priority=rng.randrange(2),
                excluded_upstreams=[name] if rng.random() < 0.2 else [],
            )
            naive.ask(request)
            return scheduler.receive("entry", request, now_s)
        if action < 0.8 and naive.held:
            permit_id = rng.choice(sorted(naive.held))
            return self.release(naive, scheduler, permit_id, now_s, rng)
        if action < 0.85:
            return self.cancel(rng, scheduler, naive, now_s)
        if action < 0.93:
            in_service = rng.random() < 0.6
            (naive.drained.discard if in_service else naive.drained.add)(name)
            return scheduler.set_in_service(name, in_service, now_s)
        state = rng.choice(list(UpstreamState))
        leaving = state is UpstreamState.LEAVING
        (naive.leaving.add if leaving else naive.leaving.discard)(name)
        return scheduler.observe_upstream(make_announcement(name, state=state), now_s)

    def release(self, naive, scheduler, permit_id, now_s, rng):
        del naive.held[permit_id]
        message = PermitRelease(permit_id, rng.choice(list(PermitOutcome)), 0.1, 3)
        return scheduler.receive("entry", message, now_s)

    def cancel(self, rng, scheduler, naive, now_s):
        queued = sorted(naive.asked.keys() - naive.answered.keys())
        if not queued:
            return []
        key = rng.choice(queued)
        naive.answered[key] = "cancelled"
        return scheduler.receive("entry", PermitCancel(*key), now_s)
