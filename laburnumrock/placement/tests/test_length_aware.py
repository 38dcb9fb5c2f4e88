"""Tests of the length-aware policy: queue order, headroom and spanning prompts."""

import pytest

from laburnumrock.errors import ErrorKind
from laburnumrock.placement import LengthClass, PermitGrant, PermitRefusal
from laburnumrock.placement._fairness import AccountFairness
from laburnumrock.placement.tests.test_scheduler import (
    make_announcement,
    make_request,
    make_scheduler,
    messages,
    release,
    request_permit,
)
from laburnumrock.upstreams import CacheEvent, UpstreamState

ENGINES = tuple(f"e{number}" for number in range(8))


class TestHeadroom:
    def test_medium_prompts_leave_upstreams_for_short_ones(self):
        """Guards against medium prompts that occupy all upstreams and delay short ones."""
        scheduler = make_scheduler(ENGINES)
        for number in range(60):
            request_permit(scheduler, name=f"m{number}", prompt_tokens=90_000, remaining_s=300.0)
        waits = [ledger.wait_s(0.0) for ledger in scheduler.table.ledgers.values()]
        assert sum(wait_s == 0.0 for wait_s in waits) >= 2
        effects = request_permit(scheduler, name="short")
        assert messages(effects, PermitGrant)
        assert scheduler.summarize(0.0).expected_wait_s["short"] == 0.0
        assert scheduler.summarize(0.0).expected_wait_s["medium"] > 0.0

    def test_one_long_prefill_per_upstream(self):
        """Guards against several long prefills at once on one engine."""
        scheduler = make_scheduler(ENGINES)
        for number in range(20):
            request_permit(scheduler, name=f"l{number}", prompt_tokens=150_000, remaining_s=600.0)
        for ledger in scheduler.table.ledgers.values():
            assert ledger.count_long_prefills(0.0) <= 1

    def test_long_prompt_is_not_starved_by_smaller_ones(self):
        """Guards against smaller requests that take all freed memory and starve a long prompt."""
        scheduler = make_scheduler(("e1",))
        held = []
        for number in range(40):
            effects = request_permit(
                scheduler, name=f"m{number}", prompt_tokens=20_000, remaining_s=900.0
            )
            held += messages(effects, PermitGrant)
        request_permit(scheduler, 0.1, name="long", prompt_tokens=400_000, remaining_s=900.0)
        granted = []
        now_s = 0.1
        for number in range(600):
            now_s += 0.1
            effects = scheduler.tick(now_s)
            effects += request_permit(
                scheduler, now_s, name=f"n{number}", prompt_tokens=20_000, remaining_s=900.0
            )
            if held:
                effects += release(scheduler, held.pop(0), now_s)
            for grant in messages(effects, PermitGrant):
                granted.append(grant.request_id)
                held.append(grant)
            if "long" in granted:
                break
            scheduler.registry._expiries.clear()
        assert "long" in granted


class TestSpanning:
    def test_spanning_requests_are_served_in_order_of_arrival(self):
        """Guards against a deadlock of spanning prompts that hold each other's memory."""
        scheduler = make_scheduler(("e1", "e2", "e3", "e4"), permit_ttl_s=1e6)
        order = []
        running = messages(
            request_permit(scheduler, name="s0", prompt_tokens=1_000_000, remaining_s=900.0),
            PermitGrant,
        )
        for number in (1, 2, 3):
            request_permit(scheduler, name=f"s{number}", prompt_tokens=1_000_000, remaining_s=900.0)
        now_s = 0.0
        while running:
            now_s += 20.0
            grant = running.pop()
            order.append(grant.request_id)
            running += messages(release(scheduler, grant, now_s), PermitGrant)
            running += messages(scheduler.tick(now_s + 0.1), PermitGrant)
        assert order == ["s0", "s1", "s2", "s3"]
        assert all(ledger.reserved_kv == 0 for ledger in scheduler.table.ledgers.values())

    def test_prompt_beyond_the_pool_is_refused_at_once(self):
        """Guards against queueing a request that needs more memory than the pool has."""
        scheduler = make_scheduler(("e1", "e2"))
        refusal = messages(
            request_permit(scheduler, prompt_tokens=1_000_000, remaining_s=900.0), PermitRefusal
        )[0]
        assert refusal.kind == "prompt_too_long"
        assert refusal.retry_after_s is None

    def test_reservations_end_with_the_drain_of_an_upstream(self):
        """Guards against memory that stays reserved on an upstream out of service."""
        scheduler = make_scheduler(("e1", "e2", "e3"))
        request_permit(scheduler, name="s0", prompt_tokens=1_000_000, remaining_s=900.0)
        request_permit(scheduler, name="s1", prompt_tokens=1_000_000, remaining_s=900.0)
        assert scheduler.spanning_reservation.key == ("s1", 1)
        scheduler.set_in_service("e2", False, 1.0)
        assert all(ledger.reserved_kv == 0 for ledger in scheduler.table.ledgers.values())


class TestOrder:
    def test_account_that_floods_is_served_after_others(self):
        """Guards against one account or caller with many requests that starves the others."""
        fairness = AccountFairness()
        flood = [fairness.assign_tag("big", "x", 0.5, 0.0) for _ in range(10)]
        assert fairness.assign_tag("small", "y", 0.5, 0.0) < flood[-1]
        assert fairness.assign_tag("big", "z", 0.5, 0.0) <= flood[-1] + 1.0

    def test_priority_and_ageing(self):
        """Guards against a queue order that ignores priority or starves a length class."""
        scheduler = make_scheduler()
        policy = scheduler.policy
        ranks = {}
        for name, tokens, priority, now_s in (
            ("old long", 200_000, 0, 80.0),
            ("short", 1_000, 0, 100.0),
            ("long", 200_000, 0, 100.0),
            ("urgent", 1_000, 1, 100.0),
        ):
            request_permit(scheduler, now_s, name=name, prompt_tokens=tokens, priority=priority)
            waiting = scheduler.allocator._prepare("entry", _request(name, tokens, priority), now_s)
            ranks[name] = policy.rank(waiting, now_s)
        assert ranks["urgent"] < ranks["short"] < ranks["long"]
        assert ranks["old long"] < ranks["short"]

    def test_refuses_at_arrival_what_cannot_start(self):
        """Guards against queueing requests that are refused only after a long wait."""
        scheduler = make_scheduler(("e1",))
        refusals = []
        for number in range(60):
            now_s = 0.2 * number
            effects = request_permit(
                scheduler, now_s, name=f"r{number}", prompt_tokens=90_000, remaining_s=90.0
            )
            refusals += messages(effects, PermitRefusal)
        assert 30 <= len(refusals) < 60
        assert all(refusal.retry_after_s > 5.0 for refusal in refusals)
        for tick in range(120, 800):
            effects = scheduler.tick(0.1 * tick)
            assert not messages(effects, PermitRefusal)
            for grant in messages(effects, PermitGrant):
                release(scheduler, grant, 0.1 * tick)

    def test_promoted_request_is_not_overtaken(self):
        """Guards against a queued request that later requests of other accounts keep overtaking."""
        scheduler = make_scheduler(("e1",), warm=False)
        first = messages(request_permit(scheduler), PermitGrant)[0]
        for number in range(20):
            request_permit(scheduler, name=f"q{number}", remaining_s=60.0)
        last = scheduler.queue.by_key["q19", 1]
        scheduler.queue.promote_aged(29.0)
        request_permit(scheduler, 29.0, name="new", client_account="other", remaining_s=1e6)
        assert last.order < scheduler.queue.by_key["new", 1].order
        assert len(scheduler.queue) == 21
        scheduler.queue.remove(last.key)
        assert last.key not in scheduler.queue.by_key
        assert first.permit_id in scheduler.registry.permits

    def test_queue_wait_is_bounded(self):
        """Guards against refusing a queued request only shortly before its deadline."""
        scheduler = make_scheduler(("e1",), warm=False)
        request_permit(scheduler)
        request_permit(scheduler, name="r2", remaining_s=60.0)
        assert not messages(scheduler.tick(29.0), PermitRefusal)
        assert messages(scheduler.tick(30.1), PermitRefusal)


class TestAbsentUpstream:
    def test_drained_upstream_stays_drained_when_it_comes_back(self):
        """Guards against losing the service state of an upstream that stops announcing itself."""
        scheduler = make_scheduler(("e1",))
        scheduler.set_in_service("e1", False, 0.0)
        scheduler.remove_upstream("e1", 1.0)
        scheduler.observe_upstream(make_announcement(), 2.0)
        assert not messages(request_permit(scheduler, 2.0), PermitGrant)

    def test_request_waits_for_a_silent_upstream(self):
        """Guards against a refusal between the silence of the only engine and its announcement."""
        scheduler = make_scheduler(("e1",))
        scheduler.remove_upstream("e1", 2.0)
        assert request_permit(scheduler, 2.1) == []
        assert scheduler.tick(2.6) == []
        effects = scheduler.observe_upstream(make_announcement(), 2.8)
        assert messages(effects, PermitGrant)

    def test_silent_upstream_is_not_waited_for_long(self):
        """Guards against requests that wait in vain for an engine that has died."""
        scheduler = make_scheduler(("e1",))
        scheduler.remove_upstream("e1", 2.0)
        assert request_permit(scheduler, 2.1) == []
        assert not messages(scheduler.tick(2.9), PermitRefusal)
        (refusal,) = messages(scheduler.tick(3.05), PermitRefusal)
        assert refusal.kind is ErrorKind.NO_UPSTREAM
        (refusal,) = messages(request_permit(scheduler, 3.1, name="late"), PermitRefusal)
        assert refusal.kind is ErrorKind.NO_UPSTREAM

    @pytest.mark.parametrize("changes", [{"state": UpstreamState.LEAVING}, {"models": ["other"]}])
    def test_upstream_that_left_is_not_waited_for(self, changes):
        """Guards against requests that wait although nothing can serve them."""
        scheduler = make_scheduler(("e1",))
        scheduler.observe_upstream(make_announcement(**changes), 0.5)
        scheduler.remove_upstream("e1", 2.0)
        assert messages(request_permit(scheduler, 2.1), PermitRefusal)

    def test_warm_upstream_is_warm_after_a_silence(self):
        """Guards against requests that wait for a sound engine as if it had been restarted."""
        scheduler = make_scheduler(("e1",))
        scheduler.observe_upstream(
            make_announcement(cache_events=[CacheEvent(1, "p", "stored")]), 0.5
        )
        scheduler.remove_upstream("e1", 2.5)
        scheduler.observe_upstream(make_announcement(), 3.0)
        for number in range(3):
            granted = request_permit(scheduler, 3.1, name=f"r{number}")
            assert messages(granted, PermitGrant)
        assert scheduler.table.ledgers["e1"].prefixes.match(["p"]) == 1

    def test_absent_upstream_that_was_restarted_is_cold(self):
        """Guards against a full load on an engine that was restarted while it was silent."""
        scheduler = make_scheduler(("e1",))
        scheduler.remove_upstream("e1", 2.5)
        scheduler.observe_upstream(make_announcement(incarnation=2), 3.0)
        assert messages(request_permit(scheduler, 3.1, name="r1"), PermitGrant)
        assert not messages(request_permit(scheduler, 3.1, name="r2"), PermitGrant)

    def test_ledger_of_a_silent_upstream_is_dropped(self):
        """Guards against a leak of ledgers, permits and cancels of an engine that never returns."""
        scheduler = make_scheduler(("e1",))
        request_permit(scheduler)
        scheduler.remove_upstream("e1", 1.0)
        assert scheduler.tick(6.0)
        scheduler.tick(61.0)
        assert not scheduler.table.ledgers
        assert not scheduler.registry.permits
        assert scheduler.tick(62.0) == []


def test_length_classes():
    """Guards against classifying a request that exceeds one engine as fitting it."""
    scheduler = make_scheduler()
    classes = [
        scheduler.allocator._prepare("entry", _request("x", tokens, 0), 0.0).length_class
        for tokens in (8_000, 8_001, 100_001, 449_801)
    ]
    assert classes == list(LengthClass)


def _request(name, tokens, priority):
    return make_request(name, prompt_tokens=tokens, priority=priority)
