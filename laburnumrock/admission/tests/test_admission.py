"""Tests of account limits, domain shares and deadline prediction."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from laburnumrock.admission import (
    AccountDemand,
    AccountLimits,
    QuotaGrant,
    QuotaManager,
    QuotaRefusal,
    QuotaRelease,
    QuotaRenewal,
    QuotaRequest,
    RetryBudget,
    ShareAllocator,
    order_pools,
)
from laburnumrock.errors import ErrorKind
from laburnumrock.placement import PoolSummary

DOMAINS = ["a", "b", "c"]
LIMITS = AccountLimits(requests_per_s=30.0, tokens_per_s=300_000.0, concurrency=30)


def make_manager(domain="a", domains=("a",), limits=LIMITS):
    manager = QuotaManager(ShareAllocator(domain, list(domains)))
    manager.set_limits({"acme": limits}, 0.0)
    manager.set_coordinators({name: name for name in domains})
    return manager


def request_quota(manager, number, now_s=0.0, caller="clerk", tokens=100, account="acme"):
    request = QuotaRequest(f"q{number}", account, caller, tokens)
    return manager.receive("entry", request, now_s)[0].message


class TestQuotaManager:
    def test_rate_limit_and_retry_after(self):
        """Guards against admitting more requests than the account's rate and burst allow."""
        manager = make_manager(limits=AccountLimits(10.0, 1e6, 1000, burst_s=1.0))
        answers = [request_quota(manager, number) for number in range(15)]
        assert sum(isinstance(answer, QuotaGrant) for answer in answers) == 10
        assert answers[-1].kind is ErrorKind.RATE_LIMITED
        assert isinstance(request_quota(manager, 99, answers[-1].retry_after_s), QuotaGrant)

    def test_concurrency_is_released_and_expires(self):
        """Guards against leaking the concurrency slots of an entry instance that has failed."""
        manager = make_manager(limits=AccountLimits(100.0, 1e6, 2))
        assert isinstance(request_quota(manager, 1), QuotaGrant)
        assert isinstance(request_quota(manager, 2), QuotaGrant)
        assert request_quota(manager, 3).kind is ErrorKind.CONCURRENCY_LIMITED
        manager.receive("entry", QuotaRelease("q1"), 0.1)
        assert isinstance(request_quota(manager, 3, 0.1), QuotaGrant)
        manager.tick(6.0)
        assert manager.accounts["acme"].running == 0

    def test_resend_is_charged_once(self):
        """Guards against charging a request twice when it is resent after a lost answer."""
        manager = make_manager()
        assert request_quota(manager, 1) == request_quota(manager, 1)
        assert manager.accounts["acme"].running == 1

    def test_new_coordinator_counts_renewed_quotas(self):
        """Guards against exceeding the concurrency limit after a failover of the coordinator."""
        manager = make_manager(limits=AccountLimits(100.0, 1e6, 1))
        manager.receive("entry", QuotaRenewal([QuotaRequest("old", "acme", "clerk", 5)]), 0.0)
        assert request_quota(manager, 1).kind is ErrorKind.CONCURRENCY_LIMITED

    def test_unknown_account(self):
        """Guards against admitting requests of an account without a template."""
        assert (
            request_quota(make_manager(), 1, account="no").kind is ErrorKind.UNKNOWN_CLIENT_ACCOUNT
        )

    def test_caller_that_floods_does_not_shut_out_others(self):
        """Guards against one caller that uses up the limits of the whole account."""
        manager = make_manager(limits=AccountLimits(20.0, 1e9, 100_000))
        granted = {"flood": 0, "calm": 0}
        for step in range(2_000):
            now_s = step * 0.01
            callers = ["flood"] * 3 + (["calm"] if step % 20 == 0 else [])
            for index, caller in enumerate(callers):
                answer = request_quota(manager, f"{step}.{index}", now_s, caller)
                granted[caller] += isinstance(answer, QuotaGrant)
        assert granted["calm"] >= 80
        assert granted["flood"] >= 200

    def test_grown_share_does_not_count_as_use(self):
        """Guards against refusing requests of an idle account after its domain's share has grown.

        A new coordinator starts with a small share. When the share grew, the level of the bucket
        was below half of its new size, so that the most active caller was refused.
        """
        allocator = ShareAllocator("a", DOMAINS, started_s=0.0)
        manager = QuotaManager(allocator)
        manager.set_limits({"acme": LIMITS}, 0.0)
        manager.receive("x", QuotaRequest("probe", "acme", "other", 1), 1.0)
        for index in range(6):
            request = QuotaRequest(f"q{index}", "acme", "clerk", 1)
            (answer,) = manager.receive("x", request, 5.0 + index / 5)
            assert isinstance(answer.message, QuotaGrant)
            manager.receive("x", QuotaRelease(request.quota_id), 5.1 + index / 5)


class TestShares:
    def exchange(self, managers, now_s):
        for manager in managers.values():
            for effect in manager.tick(now_s):
                sender = manager.allocator.failure_domain
                for answer in managers[effect.destination].receive(sender, effect.message, now_s):
                    manager.receive(effect.destination, answer.message, now_s)

    def test_unused_share_is_lent_and_comes_back(self):
        """Guards against refusing requests while other domains leave their shares unused."""
        managers = {name: make_manager(name, DOMAINS) for name in DOMAINS}
        granted = 0
        for step in range(1_000):
            now_s = step * 0.01
            if step % 100 == 0:
                self.exchange(managers, now_s)
            answer = request_quota(managers["a"], step, now_s, caller=f"c{step % 50}")
            if isinstance(answer, QuotaGrant):
                granted += now_s >= 5.0
                managers["a"].receive("entry", QuotaRelease(f"q{step}"), now_s)
        # The base share allows 10 requests/s; 20 requests/s need loans.
        assert granted > 100
        assert abs(managers["a"].allocator.share("acme", 20.0) - 1 / 3) < 1e-9

    @settings(max_examples=150, deadline=None)
    @given(st.integers(0, 2**32))
    def test_shares_never_exceed_the_limit(self, seed):
        """Guards against exceeding the limit over all domains if messages are lost or delayed."""
        rng = random.Random(seed)
        allocators = {name: ShareAllocator(name, DOMAINS) for name in DOMAINS}
        in_flight = []
        now_s = 0.0
        for _ in range(80):
            now_s += rng.random()
            for name, allocator in allocators.items():
                demand = [AccountDemand("acme", rng.random() * 1.5, rng.random())]
                if rng.random() < 0.7:
                    for effect in allocator.make_reports(dict.fromkeys(DOMAINS), demand, now_s):
                        others = [other for other in DOMAINS if other != name]
                        in_flight.append((rng.choice(others), name, effect.message))
            rng.shuffle(in_flight)
            for _ in range(rng.randrange(len(in_flight) + 1)):
                target, source, message = in_flight.pop()
                if rng.random() < 0.2:
                    continue
                if hasattr(message, "demands"):
                    own = {"acme": rng.random()}
                    for effect in allocators[target].lend(source, message, own, now_s):
                        in_flight.append((source, target, effect.message))
                else:
                    allocators[target].accept(message, now_s)
            total = sum(allocator.share("acme", now_s) for allocator in allocators.values())
            assert total <= 1 + 1e-9

    def test_lent_concurrency_counts_until_it_is_returned(self):
        """Guards against two domains that use the same part of the concurrency limit."""
        lender = ShareAllocator("a", DOMAINS)
        borrower = ShareAllocator("b", DOMAINS)

        def report(fraction, concurrency, now_s):
            demand = [AccountDemand("acme", fraction, concurrency)]
            message = borrower.make_reports({"a": "a"}, demand, now_s)[0].message
            for effect in lender.lend("b", message, {}, now_s):
                borrower.accept(effect.message, now_s)

        report(0.5, 0.1, 0.0)
        assert borrower.concurrency_share("acme", 0.0) > 0.5
        lender_share = lender.concurrency_share("acme", 0.0)
        report(0.1, 0.5, 4.0)
        assert lender.share("acme", 4.0) > lender_share
        assert lender.concurrency_share("acme", 4.0) == lender_share
        report(0.1, 0.2, 5.0)
        assert abs(lender.concurrency_share("acme", 5.0) - 1 / 3) < 1e-9

    def test_new_coordinator_does_not_use_what_was_lent(self):
        """Guards against a share used by both lender and borrower after a coordinator restart."""
        allocator = ShareAllocator("a", DOMAINS, started_s=10.0)
        assert allocator.share("acme", 10.1) < 0.1
        assert abs(allocator.share("acme", 14.0) - 1 / 3) < 1e-9


class TestRetryBudget:
    def test_retries_are_limited_to_a_fraction_of_first_attempts(self):
        """Guards against a retry storm when a failure domain is lost."""
        budget = RetryBudget(ratio=0.2, min_per_s=0.0, max_burst=10.0)
        retries = 0
        for number in range(1_000):
            budget.record_first_attempt(number * 0.001)
            retries += budget.try_retry(number * 0.001)
        assert retries <= 0.2 * 1_000 + 10


class TestDeadlines:
    def test_pools_that_cannot_finish_are_left_out(self):
        """Guards against requesting a permit from a pool that is drained or too slow."""
        pools = [
            PoolSummary("a/m", 1, True, 7, 500, 0, {"short": 9.0}, 450_000, 60_000.0, 0.015),
            PoolSummary("b/m", 1, True, 7, 500, 0, {"short": 0.0}, 450_000, 60_000.0, 0.015),
            PoolSummary("c/m", 1, False, 0, 0, 0),
        ]
        rng = random.Random(1)
        names = [pool.pool_id for pool in order_pools(pools, 2_000, 100, 30.0, rng)]
        assert names == ["b/m", "a/m"]
        assert [pool.pool_id for pool in order_pools(pools, 2_000, 100, 3.0, rng)] == ["b/m"]

    def test_equal_pools_are_drawn_by_free_memory(self):
        """Guards against all instances sending requests to one pool until the next summary."""
        pools = [
            PoolSummary(name, 1, True, 7, free, 0, {"short": 0.0}, 450_000, 60_000.0, 0.015)
            for name, free in (("a/m", 1_000_000), ("b/m", 3_000_000))
        ]
        rng = random.Random(1)
        first = [order_pools(pools, 2_000, 100, 30.0, rng)[0].pool_id for _ in range(1_000)]
        assert 700 <= first.count("b/m") <= 800


def test_refusals_name_a_retry_time():
    """Guards against refusing a request for its limits without a Retry-After time."""
    manager = make_manager(limits=AccountLimits(1.0, 1e6, 1))
    request_quota(manager, 1)
    refusal = request_quota(manager, 2)
    assert isinstance(refusal, QuotaRefusal)
    assert refusal.retry_after_s > 0
