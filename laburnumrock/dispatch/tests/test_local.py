"""Tests of placement by an entry node that cannot reach a dispatcher."""

import random
from dataclasses import replace

from laburnumrock.dispatch import (
    DispatchCall,
    DispatchSettings,
    LocalDispatcher,
    SendEnded,
    SendOutcome,
    UpstreamDirectory,
    UpstreamReport,
    UpstreamState,
)
from laburnumrock.errors import ErrorKind

SHORT = DispatchCall("s", 1, "llm", "one", 1, 5_000, 1_600, 0.3, 0.2, 10.0)
LONG = replace(SHORT, prompt_tokens=200_000)


def make_upstreams(count: int = 20, **values):
    directory = UpstreamDirectory(4.0, 30.0)
    for number in range(count):
        fields = {
            "upstream_id": f"u{number}",
            "service": "llm",
            "host": f"10.0.0.{number}",
            "port": 80,
            "failure_domain": "abc"[number % 3],
            "incarnation": 1,
            "sequence": 1,
            "slots": 8,
            "state": UpstreamState.READY,
        }
        directory.observe(UpstreamReport(**{**fields, **values}), 0.0)
    return directory.usable("llm", 0.0)


def make_local(seed: int = 1) -> LocalDispatcher:
    return LocalDispatcher(DispatchSettings(), random.Random(seed))


class TestLocalDispatcher:
    def test_entries_choose_different_upstreams(self):
        """Guards against all entry nodes choosing the same engine when the leader is lost."""
        upstreams = make_upstreams()
        chosen = [make_local(seed).place("a", upstreams, SHORT, 1.0) for seed in range(30)]
        names = [answer.upstream_id for answer in chosen]
        assert max(names.count(name) for name in set(names)) <= 12
        assert len(set(names)) >= 3

    def test_short_and_long_prompts_use_different_engines(self):
        """Guards against long prompts on engines where other entry nodes run streams."""
        upstreams = make_upstreams()
        short = {make_local(s).place("a", upstreams, SHORT, 1.0).upstream_id for s in range(30)}
        long = {make_local(s).place("a", upstreams, LONG, 1.0).upstream_id for s in range(30)}
        assert not short & long

    def test_cold_upstreams_get_nothing(self):
        """Guards against a cold upstream that several entry nodes overload together."""
        answer = make_local().place("a", make_upstreams(cold_left_s=5.0), SHORT, 1.0)
        assert answer.refusal

    def test_retries_share_a_budget(self):
        """Guards against more retries than all entry nodes may make together."""
        local = make_local()
        local.share_budget(15, 0.0)
        second = replace(SHORT, attempt=2, arrivals=1)
        granted = [local.place("a", make_upstreams(), second, 1.0).permit for _ in range(10)]
        assert sum(permit != 0 for permit in granted) == 1

    def test_refused_retries_take_nothing_from_the_budget(self):
        """Guards against a budget that is spent by asking again while nothing is sent."""
        local = make_local()
        local.share_budget(15, 0.0)
        second = replace(SHORT, attempt=2, arrivals=1, excluded=["u0"])
        for _ in range(5):
            refusal = local.place("a", make_upstreams(1), second, 1.0).refusal
            assert refusal == ErrorKind.NO_UPSTREAM
        assert local.place("a", make_upstreams(2), second, 1.0).permit

    def test_send_that_reached_no_upstream_is_no_retry(self):
        """Guards against refusals of requests that no upstream has received."""
        local = make_local()
        local.share_budget(15, 0.0)
        second = replace(SHORT, attempt=2)
        granted = [local.place("a", make_upstreams(), second, 1.0).permit for _ in range(10)]
        assert all(granted)

    def test_own_domain_comes_first(self):
        """Guards against requests that try the engines beyond a partition one after the other."""
        local, upstreams = make_local(), make_upstreams()
        chosen = [local.place("a", upstreams, SHORT, 1.0).upstream_id for _ in range(14)]
        assert {int(name[1:]) % 3 for name in chosen} == {0}

    def test_other_domains_take_the_overflow(self):
        """Guards against engines of one domain that get all requests of an entry node."""
        local, upstreams = make_local(), make_upstreams()
        chosen = [local.place("a", upstreams, SHORT, 1.0).upstream_id for _ in range(60)]
        assert {int(name[1:]) % 3 for name in chosen} == {0, 1, 2}

    def test_partitioned_domain_is_avoided(self):
        """Guards against requests that try one unreachable engine after the other."""
        local, upstreams = make_local(), make_upstreams()
        for name in ("u1", "u4", "u7"):
            others = [entry for entry in upstreams if entry.report.upstream_id == name]
            answer = local.place("a", others, SHORT, 1.0)
            local.record_ended(SendEnded(answer.permit, SendOutcome.UNREACHABLE), 1.0)
        for now_s in [1.5, 3.0, 4.5] * 10:
            answer = local.place("b", upstreams, SHORT, now_s)
            number = int(answer.upstream_id[1:])
            assert number % 3 != 1
