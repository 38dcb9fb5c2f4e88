"""Tests of upstreams that state a limit on their requests, at the owner of a pool."""

from collections import Counter

import pytest

from laburnumrock.errors import ErrorKind
from laburnumrock.placement import PermitGrant, PermitOutcome, PermitRefusal, PermitRelease
from laburnumrock.placement.tests.test_scheduler import (
    make_announcement,
    make_request,
    make_scheduler,
    messages,
    request_permit,
)

WINDOW_S = 4.0


def state_limit(scheduler, now_s, limit, names=("e1",)):
    """Let upstreams announce a limit; return the permits that are granted at once."""
    effects = []
    for name in names:
        announcement = make_announcement(name, max_requests_per_s=limit)
        effects += scheduler.observe_upstream(announcement, now_s)
    return messages(effects, PermitGrant)


def count_most(sent_s):
    """Return the largest number of requests in any window."""
    return max(
        (sum(first_s <= time_s < first_s + WINDOW_S for time_s in sent_s) for first_s in sent_s),
        default=0,
    )


def replay(scheduler, limit, names, until_s, since_s=0.0, calls_per_s=20):
    """Request permits at a constant rate, and return the times of the requests by upstream."""
    sent = {}
    running = []
    for number in range(int((until_s - since_s) * calls_per_s)):
        now_s = since_s + number / calls_per_s
        ended = [grant for end_s, grant in running if end_s <= now_s]
        running = [one for one in running if one[0] > now_s]
        effects = []
        for grant in ended:
            release = PermitRelease(grant.permit_id, PermitOutcome.FINISHED, 0.1, 5)
            effects += scheduler.receive("entry", release, now_s)
        if number % (calls_per_s // 2) == 0:
            granted = state_limit(scheduler, now_s, limit, names)
        else:
            granted = []
        request = make_request(f"{since_s}-{number}", remaining_s=8.0)
        effects += scheduler.receive("entry", request, now_s)
        effects += scheduler.tick(now_s)
        for grant in granted + messages(effects, PermitGrant):
            running.append((now_s + 0.5, grant))
            for placement in grant.placements:
                sent.setdefault(placement.upstream_id, []).append(now_s)
    return sent


class TestLimits:
    @pytest.mark.parametrize("limit", [0.0, 1.0, 3.0])
    @pytest.mark.parametrize("names", [("e1",), ("e1", "e2", "e3")])
    def test_rate(self, limit, names):
        """Guards against an upstream in need that gets more requests than it announces."""
        sent = replay(make_scheduler(), limit, names, 20.0)
        for name in names:
            assert count_most(sent.get(name, [])) <= WINDOW_S * limit + 2
        if len(names) == 3:
            assert all(len(sent[name]) >= 0.8 * 20.0 * limit for name in names if limit)

    def test_new_owner(self):
        """Guards against an owner that uses the whole limit again after it has taken over."""
        names = ("e1", "e2", "e3")
        sent = Counter()
        times = {}
        for term in range(4):
            since_s = 2.0 * term
            scheduler = make_scheduler(names=())
            for name in names:
                scheduler.observe_upstream(make_announcement(name, max_requests_per_s=2.0), since_s)
            for name, sent_s in replay(scheduler, 2.0, names, since_s + 2.0, since_s).items():
                times.setdefault(name, []).extend(sent_s)
                sent[name] += len(sent_s)
        assert sent.total() > 0
        assert all(count_most(sent_s) <= WINDOW_S * 2.0 + 2 for sent_s in times.values())

    def test_end(self):
        """Guards against an upstream that is held to a limit which it announces no more."""
        scheduler = make_scheduler(names=("e1",))
        state_limit(scheduler, 1.0, 0.1)
        assert not messages(request_permit(scheduler, 1.0), PermitGrant)
        effects = scheduler.observe_upstream(make_announcement("e1"), 1.5)
        assert len(messages(effects, PermitGrant)) == 1
        assert not scheduler.table.limited

    def test_unreachable_wait(self):
        """Guards against requests that wait in vain for upstreams that take too few requests."""
        scheduler = make_scheduler(names=("e1",))
        state_limit(scheduler, 1.0, 0.2)
        (refusal,) = messages(request_permit(scheduler, 1.0, remaining_s=4.0), PermitRefusal)
        assert refusal.kind is ErrorKind.DEADLINE_UNREACHABLE
        assert refusal.retry_after_s >= 4.0
        assert not messages(request_permit(scheduler, 1.0, remaining_s=60.0), PermitRefusal)

    def test_upstream_that_leaves(self):
        """Guards against an error when a limited upstream is removed."""
        scheduler = make_scheduler()
        state_limit(scheduler, 1.0, 1.0)
        scheduler.remove_upstream("e1", 2.0)
        scheduler.tick(3.0)
        assert not scheduler.table.limited

    def test_plain_service(self):
        """Guards against application engines in need that get more calls than they announce."""
        scheduler = make_scheduler(names=())
        values = {"kv_capacity_tokens": 0, "models": [], "services": ["stock"]}
        granted_s = []
        for number in range(400):
            now_s = 0.05 * number
            announcement = make_announcement("s1", max_requests_per_s=2.0, **values)
            effects = scheduler.observe_upstream(announcement, now_s)
            call = make_request(
                f"c{number}",
                model="stock",
                prompt_tokens=0,
                max_output_tokens=0,
                remaining_s=2.0,
            )
            effects += scheduler.receive("entry", call, now_s) + scheduler.tick(now_s)
            for grant in messages(effects, PermitGrant):
                granted_s.append(now_s)
                release = PermitRelease(grant.permit_id, PermitOutcome.FINISHED, None, 0)
                scheduler.receive("entry", release, now_s)
        assert count_most(granted_s) <= WINDOW_S * 2.0 + 2
        assert len(granted_s) >= 0.8 * 20.0 * 2.0
