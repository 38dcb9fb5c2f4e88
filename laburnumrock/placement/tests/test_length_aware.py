"""Tests of queue order, reserves and spanning prompts."""

from laburnumrock.placement import LengthClass, PermitGrant, PermitRefusal
from laburnumrock.placement._fairness import FairOrder
from laburnumrock.placement.tests.test_scheduler import (
    ask,
    make_announcement,
    make_request,
    make_scheduler,
    messages,
    release,
)

ENGINES = tuple(f"e{number}" for number in range(8))


class TestReserve:
    def test_medium_prompts_leave_upstreams_for_short_ones(self):
        """Guards against short prompts that wait behind medium ones on every upstream."""
        scheduler = make_scheduler(ENGINES)
        for number in range(60):
            ask(scheduler, name=f"m{number}", prompt_tokens=90_000, remaining_s=300.0)
        waits = [ledger.wait_s(0.0) for ledger in scheduler.table.ledgers.values()]
        assert sum(wait_s == 0.0 for wait_s in waits) >= 2
        effects = ask(scheduler, name="short")
        assert messages(effects, PermitGrant)
        assert scheduler.summarize(0.0).expected_wait_s["short"] == 0.0
        assert scheduler.summarize(0.0).expected_wait_s["medium"] > 0.0

    def test_one_long_prefill_per_upstream(self):
        """Guards against long prompts that pile up on one engine."""
        scheduler = make_scheduler(ENGINES)
        for number in range(20):
            ask(scheduler, name=f"l{number}", prompt_tokens=150_000, remaining_s=600.0)
        for ledger in scheduler.table.ledgers.values():
            assert ledger.count_long_prefills(0.0) <= 1

    def test_long_prompt_is_not_starved_by_smaller_ones(self):
        """Guards against smaller requests that take every bit of memory as it becomes free."""
        scheduler = make_scheduler(("e1",))
        held = []
        for number in range(40):
            effects = ask(scheduler, name=f"m{number}", prompt_tokens=20_000, remaining_s=900.0)
            held += messages(effects, PermitGrant)
        ask(scheduler, 0.1, name="long", prompt_tokens=400_000, remaining_s=900.0)
        granted = []
        now_s = 0.1
        for number in range(600):
            now_s += 0.1
            effects = scheduler.tick(now_s)
            effects += ask(
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
    def test_waiting_spans_are_served_in_turn(self):
        """Guards against two spanning prompts that each hold what the other one needs."""
        scheduler = make_scheduler(("e1", "e2", "e3", "e4"), permit_ttl_s=1e6)
        order = []
        running = messages(
            ask(scheduler, name="s0", prompt_tokens=1_000_000, remaining_s=900.0), PermitGrant
        )
        for number in (1, 2, 3):
            ask(scheduler, name=f"s{number}", prompt_tokens=1_000_000, remaining_s=900.0)
        now_s = 0.0
        while running:
            now_s += 20.0
            grant = running.pop()
            order.append(grant.request_id)
            running += messages(release(scheduler, grant, now_s), PermitGrant)
            running += messages(scheduler.tick(now_s + 0.1), PermitGrant)
        assert order == ["s0", "s1", "s2", "s3"]
        assert all(ledger.earmarked_kv == 0 for ledger in scheduler.table.ledgers.values())

    def test_prompt_beyond_the_pool_is_refused_at_once(self):
        """Guards against a request that waits for memory the pool does not have."""
        scheduler = make_scheduler(("e1", "e2"))
        refusal = messages(
            ask(scheduler, prompt_tokens=1_000_000, remaining_s=900.0), PermitRefusal
        )[0]
        assert refusal.kind == "prompt_too_long"
        assert refusal.retry_after_s is None

    def test_earmarks_end_with_the_drain_of_an_upstream(self):
        """Guards against memory set aside for a request that can no longer use it."""
        scheduler = make_scheduler(("e1", "e2", "e3"))
        ask(scheduler, name="s0", prompt_tokens=1_000_000, remaining_s=900.0)
        ask(scheduler, name="s1", prompt_tokens=1_000_000, remaining_s=900.0)
        assert scheduler.spans.key == ("s1", 1)
        scheduler.set_in_service("e2", False, 1.0)
        assert all(ledger.earmarked_kv == 0 for ledger in scheduler.table.ledgers.values())


class TestOrder:
    def test_account_that_floods_is_served_after_others(self):
        """Guards against a large account or caller that shuts out the others."""
        order = FairOrder()
        flood = [order.stamp("big", "x", 0.5, 0.0) for _ in range(10)]
        assert order.stamp("small", "y", 0.5, 0.0) < flood[-1]
        assert order.stamp("big", "z", 0.5, 0.0) <= flood[-1] + 1.0

    def test_priority_and_ageing(self):
        """Guards against an order that ignores priority, or that lets a class starve."""
        scheduler = make_scheduler()
        policy = scheduler.policy
        ranks = {}
        for name, tokens, priority, now_s in (
            ("old long", 200_000, 0, 80.0),
            ("short", 1_000, 0, 100.0),
            ("long", 200_000, 0, 100.0),
            ("urgent", 1_000, 1, 100.0),
        ):
            ask(scheduler, now_s, name=name, prompt_tokens=tokens, priority=priority)
            waiting = scheduler.allocator._prepare("entry", _request(name, tokens, priority), now_s)
            ranks[name] = policy.rank(waiting, now_s)
        assert ranks["urgent"] < ranks["short"] < ranks["long"]
        assert ranks["old long"] < ranks["short"]

    def test_refuses_at_arrival_what_cannot_start(self):
        """Guards against a request that waits for long and is then refused all the same."""
        scheduler = make_scheduler(("e1",))
        refusals = []
        for number in range(60):
            now_s = 0.2 * number
            effects = ask(
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

    def test_urgent_request_is_not_overtaken(self):
        """Guards against a queued request that requests of other accounts overtake until late."""
        scheduler = make_scheduler(("e1",), warm=False)
        first = messages(ask(scheduler), PermitGrant)[0]
        for number in range(20):
            ask(scheduler, name=f"q{number}", remaining_s=60.0)
        last = scheduler.queue.by_key["q19", 1]
        scheduler.queue.promote_urgent(29.0)
        ask(scheduler, 29.0, name="new", client_account="other", remaining_s=1e6)
        assert last.order < scheduler.queue.by_key["new", 1].order
        assert len(scheduler.queue) == 21
        scheduler.queue.remove(last.key)
        assert last.key not in scheduler.queue.by_key
        assert first.permit_id in scheduler.registry.permits

    def test_queue_wait_is_bounded(self):
        """Guards against a refusal that is held back until near the deadline."""
        scheduler = make_scheduler(("e1",), warm=False)
        ask(scheduler)
        ask(scheduler, name="r2", remaining_s=60.0)
        assert not messages(scheduler.tick(29.0), PermitRefusal)
        assert messages(scheduler.tick(30.1), PermitRefusal)


class TestAbsentUpstream:
    def test_drained_upstream_stays_drained_when_it_comes_back(self):
        """Guards against a service state that is lost with the announcements."""
        scheduler = make_scheduler(("e1",))
        scheduler.set_in_service("e1", False, 0.0)
        scheduler.remove_upstream("e1", 1.0)
        scheduler.observe_upstream(make_announcement(), 2.0)
        assert not messages(ask(scheduler, 2.0), PermitGrant)

    def test_ledger_of_a_silent_upstream_is_dropped(self):
        """Guards against memory and cancels that are kept for ever for a dead engine."""
        scheduler = make_scheduler(("e1",))
        ask(scheduler)
        scheduler.remove_upstream("e1", 1.0)
        assert scheduler.tick(3.0)
        scheduler.tick(61.0)
        assert not scheduler.table.ledgers
        assert not scheduler.registry.permits
        assert scheduler.tick(62.0) == []


def test_length_classes():
    """Guards against a request that is planned on one engine and does not fit it."""
    scheduler = make_scheduler()
    classes = [
        scheduler.allocator._prepare("entry", _request("x", tokens, 0), 0.0).length_class
        for tokens in (8_000, 8_001, 100_001, 449_801)
    ]
    assert classes == list(LengthClass)


def _request(name, tokens, priority):
    return make_request(name, prompt_tokens=tokens, priority=priority)
