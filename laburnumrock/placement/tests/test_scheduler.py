"""Tests of the pool scheduler."""

import random
from dataclasses import replace

import pytest

from laburnumrock.errors import ErrorKind
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
    make_renewal,
)
from laburnumrock.upstreams import CacheEvent, UpstreamAnnouncement, UpstreamKind, UpstreamState


def make_announcement(name="e1", **changes):
    values = {
        "upstream_id": name,
        "kind": UpstreamKind.MODEL_ENGINE,
        "failure_domain": "a",
        "incarnation": 1,
        "base_url": f"http://{name}",
        "models": ["m"],
        "kv_capacity_tokens": 450_000,
        "prefill_tokens_per_s": 60_000.0,
        "decode_step_s": 0.015,
    }
    return UpstreamAnnouncement(**(values | changes))


def make_request(name="r1", **changes):
    values = {
        "request_id": name,
        "attempt": 1,
        "client_account": "acme",
        "caller": "clerk",
        "model": "m",
        "prompt_tokens": 2_000,
        "max_output_tokens": 200,
        "remaining_s": 60.0,
    }
    return PermitRequest(**(values | changes))


def make_scheduler(names=("e1", "e2", "e3"), policy="length_aware", warm=True, **changes):
    settings = PoolSettings(pool_id="a/m", policy=policy, **changes)
    scheduler = PoolScheduler(settings, random.Random(7), now_s=0.0)
    for name in names:
        scheduler.observe_upstream(make_announcement(name), 0.0)
        if warm:
            scheduler.table.ledgers[name].slow_start.limit = settings.permits_per_upstream
    scheduler.tick(0.0)
    return scheduler


def messages(effects, message_type):
    return [
        effect.message
        for effect in effects
        if isinstance(getattr(effect, "message", 0), message_type)
    ]


def request_permit(scheduler, now_s=0.0, **changes):
    return scheduler.receive("entry", make_request(**changes), now_s)


def release(scheduler, grant, now_s=1.0, outcome=PermitOutcome.FINISHED):
    return scheduler.receive("entry", PermitRelease(grant.permit_id, outcome, 0.1, 5), now_s)


@pytest.mark.parametrize("policy", sorted(POLICIES))
class TestEveryPolicy:
    def test_drained_and_leaving_upstreams_get_nothing(self, policy):
        """Guards against grants on an upstream that is leaving or out of service."""
        scheduler = make_scheduler(policy=policy)
        scheduler.set_in_service("e1", False, 0.0)
        leaving = make_announcement("e2", state=UpstreamState.LEAVING)
        scheduler.observe_upstream(leaving, 0.0)
        for number in range(20):
            for grant in messages(request_permit(scheduler, name=f"r{number}"), PermitGrant):
                assert grant.placements[0].upstream_id == "e3"

    def test_permit_and_memory_limits_are_respected(self, policy):
        """Guards against granting more permits or memory than an upstream has."""
        scheduler = make_scheduler(policy=policy, permits_per_upstream=4)
        for number in range(40):
            tokens = 1_000 + 20_000 * (number % 9)
            request_permit(scheduler, name=f"r{number}", prompt_tokens=tokens, remaining_s=500.0)
        for ledger in scheduler.table.ledgers.values():
            assert len(ledger.permits) <= 4
            assert ledger.kv_used <= ledger.kv_capacity

    def test_excluded_upstreams_get_nothing(self, policy):
        """Guards against a retry on an upstream where an earlier attempt failed."""
        scheduler = make_scheduler(policy=policy)
        for number in range(12):
            effects = request_permit(scheduler, name=f"r{number}", excluded_upstreams=["e1", "e2"])
            for grant in messages(effects, PermitGrant):
                assert grant.placements[0].upstream_id == "e3"

    def test_adapter_and_version_match(self, policy):
        """Guards against placing a request on an engine without its adapter or model version."""
        scheduler = make_scheduler((), policy=policy)
        for name, adapter, version in (("e1", "x", "1"), ("e2", "y", "1"), ("e3", "y", "2")):
            announcement = make_announcement(name, adapters=[adapter], versions=[version])
            scheduler.observe_upstream(announcement, 0.0)
        scheduler.tick(2.0)
        grant = messages(request_permit(scheduler, 2.0, adapter="y", version="2"), PermitGrant)[0]
        assert grant.placements[0].upstream_id == "e3"
        refusal = messages(request_permit(scheduler, 2.0, name="r2", adapter="z"), PermitRefusal)[0]
        assert refusal.kind is ErrorKind.NO_UPSTREAM

    def test_same_seed_same_choices(self, policy):
        """Guards against placements that depend on hash order or the system clock."""
        runs = []
        for _ in range(2):
            scheduler = make_scheduler(policy=policy)
            effects = [
                request_permit(scheduler, number * 0.01, name=f"r{number}") for number in range(30)
            ]
            runs.append(effects)
        assert runs[0] == runs[1]

    def test_cold_upstream_gets_one_permit(self, policy):
        """Guards against sending full load to an upstream during its cold start."""
        scheduler = make_scheduler(("e1",), policy=policy, warm=False)
        effects = request_permit(scheduler) + request_permit(scheduler, name="r2")
        grants = messages(effects, PermitGrant)
        assert len(grants) == 1
        assert len(messages(release(scheduler, grants[0]), PermitGrant)) == 1

    def test_spanning_is_all_or_none(self, policy):
        """Guards against a partial grant that blocks other requests and never completes."""
        scheduler = make_scheduler(policy=policy)
        effects = request_permit(scheduler, prompt_tokens=1_000_000, remaining_s=600.0)
        placements = messages(effects, PermitGrant)[0].placements
        assert len(placements) == 3
        assert sum(placement.kv_tokens for placement in placements) == 1_000_200
        assert [p.first_token_index for p in placements] == [0, 333400, 666800]
        request_permit(scheduler, name="r2", prompt_tokens=1_000_000, remaining_s=600.0)
        assert sum(ledger.kv_used for ledger in scheduler.table.ledgers.values()) == 1_000_200

    def test_drained_pool_refuses_the_queue_at_once(self, policy):
        """Guards against requests that stay queued in a drained pool until their deadline."""
        scheduler = make_scheduler(("e1",), policy=policy, warm=False)
        effects = request_permit(scheduler) + request_permit(scheduler, name="r2")
        refusals = messages(scheduler.set_pool_in_service(False, 0.1), PermitRefusal)
        assert [refusal.request_id for refusal in refusals] == ["r2"]
        assert refusals[0].retry_after_s is not None
        assert not messages(request_permit(scheduler, 0.2, name="r3"), PermitGrant)
        assert len(messages(effects, PermitGrant)) == 1


class TestPermits:
    @pytest.mark.parametrize("is_needed", [False, True])
    def test_expired_permit_keeps_memory_until_cancel_is_confirmed(self, is_needed):
        """Guards against granting memory that the engine has not freed yet."""
        scheduler = make_scheduler(("e1",))
        request_permit(scheduler, prompt_tokens=400_000, remaining_s=600.0)
        cancels = [CancelOnUpstream("e1", "http://e1", "r1")]
        end_s = 6.1
        if is_needed:
            waiting = {"name": "r2", "prompt_tokens": 300_000, "remaining_s": 600.0}
            assert request_permit(scheduler, 1.0, **waiting) == []
            end_s = 2.1
        assert scheduler.tick(end_s - 0.2) == []
        assert scheduler.tick(end_s) == cancels
        assert scheduler.tick(end_s + 0.1) == []
        assert scheduler.tick(end_s + 0.6) == cancels
        assert scheduler.table.ledgers["e1"].kv_used == 400_200
        effects = scheduler.confirm_cancel("e1", "r1", end_s + 0.7)
        assert len(messages(effects, PermitGrant)) == is_needed
        assert scheduler.table.ledgers["e1"].kv_used == (300_200 if is_needed else 0)
        assert scheduler.tick(end_s + 1.9) == []

    def test_silent_entry_keeps_its_permit(self):
        """Guards against a sound request that is cancelled for an overdue renewal alone."""
        scheduler = make_scheduler(("e1", "e2"))
        grant = messages(request_permit(scheduler), PermitGrant)[0]
        assert scheduler.tick(2.1) == []
        # A request that another engine can take needs nothing of the overdue one.
        assert messages(request_permit(scheduler, 3.0, name="r2"), PermitGrant)
        renewal = PermitRenewal("a/m", [grant])
        assert scheduler.receive("entry", renewal, 4.0)[0].message.revoked_permits == []
        assert scheduler.tick(5.9) == []
        assert scheduler.tick(7.0) == []
        assert scheduler.table.ledgers[grant.placements[0].upstream_id].kv_used == 2_200

    def test_overdue_permit_ends_for_a_request_that_needs_it(self):
        """Guards against a request that waits for the memory of a dead entry's request."""
        scheduler = make_scheduler(("e1",))
        request_permit(scheduler, prompt_tokens=400_000, remaining_s=600.0)
        assert scheduler.tick(3.0) == []
        request_permit(scheduler, 3.1, name="r2", prompt_tokens=300_000, remaining_s=600.0)
        assert scheduler.tick(3.15) == [CancelOnUpstream("e1", "http://e1", "r1")]
        effects = scheduler.confirm_cancel("e1", "r1", 3.2)
        assert len(messages(effects, PermitGrant)) == 1

    def test_renewal_keeps_and_revokes(self):
        """Guards against expiry of a renewed permit and against renewal of an expired one."""
        scheduler = make_scheduler(("e1",))
        grant = messages(request_permit(scheduler), PermitGrant)[0]
        renewal = PermitRenewal("a/m", [grant])
        assert scheduler.receive("entry", renewal, 1.5)[0].message.revoked_permits == []
        assert scheduler.tick(3.0) == []
        scheduler.tick(7.6)
        answer = scheduler.receive("entry", renewal, 7.7)[0].message
        assert answer.revoked_permits == [grant.permit_id]

    def test_renewal_by_number_keeps_and_revokes(self):
        """Guards against renewing by sequence number the permits of another owner or pool."""
        scheduler = make_scheduler(("e1",))
        grant = messages(request_permit(scheduler), PermitGrant)[0]
        epoch = grant.owner_epoch
        renewal = make_renewal("a/m", epoch, [grant])
        assert renewal == PermitRenewal("a/m", [], epoch, [1])
        assert make_renewal("a/m", epoch + 1, [grant]).grants == [grant]
        assert make_renewal("a/m/0", epoch, [grant]).grants == [grant]
        assert scheduler.receive("entry", renewal, 1.5)[0].message.revoked_permits == []
        assert scheduler.tick(3.0) == []
        early = replace(renewal, owner_epoch=epoch - 1)
        assert scheduler.receive("entry", early, 3.2)[0].message.revoked_permits == []
        scheduler.tick(7.6)
        answer = scheduler.receive("entry", renewal, 7.7)[0].message
        assert answer.revoked_permits == [grant.permit_id]

    def test_resend_gets_the_same_permit(self):
        """Guards against a second permit when a request is resent after a lost answer."""
        scheduler = make_scheduler()
        assert request_permit(scheduler) == request_permit(scheduler, 0.1)

    def test_new_attempt_avoids_the_upstream_that_cancels_the_old_one(self):
        """Guards against a cancel by request id that also stops a new attempt on that upstream."""
        scheduler = make_scheduler(("e1", "e2"))
        first = messages(request_permit(scheduler), PermitGrant)[0].placements[0].upstream_id
        scheduler.tick(2.1)
        for number in range(6):
            grant = messages(request_permit(scheduler, 2.2, attempt=number + 2), PermitGrant)[0]
            assert grant.placements[0].upstream_id != first
        scheduler.confirm_cancel(first, "r1", 2.3)
        grant = messages(request_permit(scheduler, 2.4, attempt=9), PermitGrant)[0]
        assert grant.placements[0].upstream_id == first

    def test_cancel_of_a_queued_request(self):
        """Guards against granting a permit for a request that was withdrawn."""
        scheduler = make_scheduler(("e1",), warm=False)
        grant = messages(request_permit(scheduler), PermitGrant)[0]
        request_permit(scheduler, name="r2")
        scheduler.receive("entry", PermitCancel("r2", 1), 0.1)
        assert release(scheduler, grant) == []

    def test_restart_of_an_engine_frees_its_ledger(self):
        """Guards against memory that stays allocated to requests lost in an engine restart."""
        scheduler = make_scheduler(("e1",))
        request_permit(scheduler, prompt_tokens=400_000, remaining_s=600.0)
        scheduler.observe_upstream(make_announcement(incarnation=2), 1.0)
        assert scheduler.table.ledgers["e1"].kv_used == 0
        assert scheduler.table.ledgers["e1"].slow_start.limit == 1

    def test_refused_at_once_when_the_deadline_cannot_be_met(self):
        """Guards against delaying a refusal until shortly before the deadline."""
        scheduler = make_scheduler()
        refusal = messages(request_permit(scheduler, remaining_s=0.5), PermitRefusal)[0]
        assert refusal.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert refusal.retry_after_s > 0

    def test_gap_in_cache_events_invalidates_hints(self):
        """Guards against using hints about prefixes that may have been evicted."""
        scheduler = make_scheduler(("e1",))
        hints = scheduler.table.ledgers["e1"].prefixes
        for sequence, matched in ((1, 1), (2, 1), (9, 0)):
            event = CacheEvent(sequence, f"p{sequence}", "stored")
            scheduler.observe_upstream(make_announcement(cache_events=[event]), 0.0)
            assert hints.match(["p1"]) == matched


class TestTakeOver:
    def make(self):
        settings = PoolSettings(pool_id="a/m", owner_epoch=2)
        scheduler = PoolScheduler(settings, random.Random(1), 10.0, take_over=True)
        scheduler.observe_upstream(make_announcement(), 10.0)
        return scheduler

    def test_grants_nothing_until_the_ttl_has_passed(self):
        """Guards against memory granted by the old and the new owner at once."""
        scheduler = self.make()
        assert request_permit(scheduler, 10.1) == []
        assert scheduler.tick(11.9) == []
        assert len(messages(scheduler.tick(12.0), PermitGrant)) == 1

    def test_report_and_renewals_rebuild_the_ledger(self):
        """Guards against losing track of permits that outlive the owner that granted them."""
        old = make_scheduler(("e1",))
        grant = messages(
            request_permit(old, prompt_tokens=300_000, remaining_s=600.0), PermitGrant
        )[0]
        scheduler = self.make()
        scheduler.observe_held_requests("e1", {"r1": 300_200, "lost": 50}, 10.2, 10.2)
        ledger = scheduler.table.ledgers["e1"]
        assert ledger.free_kv == 450_000 - 300_250
        answer = scheduler.receive("entry", PermitRenewal("a/m", [grant]), 10.3)[0].message
        assert answer.revoked_permits == []
        assert (ledger.kv_used, ledger.kv_unattributed) == (300_200, 50)
        scheduler.receive("entry", PermitRenewal("a/m", [grant]), 11.9)
        cancel = CancelOnUpstream("e1", "http://e1", "lost")
        assert cancel not in scheduler.tick(12.0)
        request_permit(scheduler, 12.1, name="r2", prompt_tokens=300_000, remaining_s=600.0)
        assert cancel in scheduler.tick(12.2)

    @pytest.mark.parametrize("is_needed", [False, True])
    def test_late_renewal_is_taken_over(self, is_needed):
        """Guards against a sound request that ends since its entry heard late of the new owner."""
        old = make_scheduler(("e1",))
        grant = messages(
            request_permit(old, prompt_tokens=300_000, remaining_s=600.0), PermitGrant
        )[0]
        scheduler = self.make()
        scheduler.observe_held_requests("e1", {"r1": 1_000}, 10.2, 10.2)
        scheduler.tick(12.1)
        if is_needed:
            # The engine has reserved only the part of the memory that the request uses yet.
            waiting = {"prompt_tokens": 200_000, "remaining_s": 600.0}
            granted = request_permit(scheduler, 12.2, name="r2", **waiting)
            assert messages(granted, PermitGrant)
        answer = scheduler.receive("entry", PermitRenewal("a/m", [grant]), 12.3)[0].message
        assert answer.revoked_permits == ([grant.permit_id] if is_needed else [])
        ledger = scheduler.table.ledgers["e1"]
        assert ledger.kv_used == (200_200 if is_needed else 300_200)
        assert ledger.free_kv >= 0

    def test_unclaimed_requests_are_cancelled(self):
        """Guards against engine memory that a dead entry's request holds for ever."""
        scheduler = self.make()
        scheduler.observe_held_requests("e1", {"lost": 50}, 10.2, 10.2)
        assert scheduler.tick(12.0) == []
        assert scheduler.tick(15.9) == []
        assert scheduler.tick(16.0) == [CancelOnUpstream("e1", "http://e1", "lost")]
