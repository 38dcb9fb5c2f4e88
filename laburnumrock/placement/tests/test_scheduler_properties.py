"""Differential test of the pool scheduler against an independent reference model."""

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


class ReferenceLedger:
    """Reference model of the granted capacity that shares no code with the scheduler."""

    def __init__(self):
        self.requested = {}
        self.answered = {}
        self.held = {}
        self.drained = set()
        self.leaving = set()

    def record_request(self, request):
        self.requested[(request.request_id, request.attempt)] = request

    def apply_effects(self, effects):
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
        request = self.requested[key]
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
            assert len(parts) <= PERMITS, "more permits than allowed"
            ledger = scheduler.table.ledgers[name]
            assert (ledger.kv_used, len(ledger.permits)) == (sum(parts), len(parts))


@pytest.mark.parametrize("policy", sorted(POLICIES))
class TestAgainstReferenceLedger:
    @settings(max_examples=40, deadline=None)
    @given(seed=st.integers(0, 2**32))
    def test_nothing_lost_granted_twice_or_left(self, policy, seed):
        """Guards against lost requests, duplicate grants, exceeded limits and leaked memory."""
        rng = random.Random(seed)
        pool = PoolSettings("a/m", policy=policy, permits_per_upstream=PERMITS)
        scheduler = PoolScheduler(pool, random.Random(seed), 0.0)
        reference = ReferenceLedger()
        now_s = 0.0
        for name in ENGINES:
            reference.apply_effects(scheduler.observe_upstream(make_announcement(name), now_s))
        for number in range(120):
            now_s += rng.random() * 0.2
            reference.apply_effects(self.step(rng, scheduler, reference, number, now_s))
            reference.check(scheduler)
            if number % 3 == 0:
                grants = list(reference.held.values())
                scheduler.receive("entry", PermitRenewal("a/m", grants), now_s)
                reference.apply_effects(scheduler.tick(now_s))
                reference.check(scheduler)
        for name in ENGINES:
            reference.drained.discard(name)
            reference.leaving.discard(name)
            reference.apply_effects(scheduler.set_in_service(name, True, now_s))
            reference.apply_effects(scheduler.observe_upstream(make_announcement(name), now_s))
        while len(reference.answered) < len(reference.requested) or reference.held:
            now_s += 0.5
            assert now_s < 2_000, "requests are never answered"
            for permit_id in list(reference.held):
                reference.apply_effects(self.release(reference, scheduler, permit_id, now_s, rng))
                reference.check(scheduler)
            reference.apply_effects(scheduler.tick(now_s))
        for ledger in scheduler.table.ledgers.values():
            assert (ledger.kv_used, ledger.reserved_kv, ledger.permits) == (0, 0, {})
        assert not scheduler.registry.permits
        assert not scheduler.registry.by_key

    def step(self, rng, scheduler, reference, number, now_s):
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
            reference.record_request(request)
            return scheduler.receive("entry", request, now_s)
        if action < 0.8 and reference.held:
            permit_id = rng.choice(sorted(reference.held))
            return self.release(reference, scheduler, permit_id, now_s, rng)
        if action < 0.85:
            return self.cancel(rng, scheduler, reference, now_s)
        if action < 0.93:
            in_service = rng.random() < 0.6
            (reference.drained.discard if in_service else reference.drained.add)(name)
            return scheduler.set_in_service(name, in_service, now_s)
        state = rng.choice(list(UpstreamState))
        leaving = state is UpstreamState.LEAVING
        (reference.leaving.add if leaving else reference.leaving.discard)(name)
        return scheduler.observe_upstream(make_announcement(name, state=state), now_s)

    def release(self, reference, scheduler, permit_id, now_s, rng):
        del reference.held[permit_id]
        message = PermitRelease(permit_id, rng.choice(list(PermitOutcome)), 0.1, 3)
        return scheduler.receive("entry", message, now_s)

    def cancel(self, rng, scheduler, reference, now_s):
        queued = sorted(reference.requested.keys() - reference.answered.keys())
        if not queued:
            return []
        key = rng.choice(queued)
        reference.answered[key] = "cancelled"
        return scheduler.receive("entry", PermitCancel(*key), now_s)
