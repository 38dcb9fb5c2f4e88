"""Tests of the batching model."""

import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from laburnumrock.standins import (
    BatchingModel,
    EngineParameters,
    EngineRequest,
    PrefillFinished,
    RefusalReason,
    RequestAborted,
    TokenEvent,
)
from laburnumrock.upstreams import UpstreamState


def make_model(is_cold=False, **parameters):
    return BatchingModel(EngineParameters(**parameters), random.Random(1), is_cold)


def run_until_idle(model, limit_s=10_000.0):
    """Return all events as (time, event) pairs until the engine is idle."""
    timed_events = [(0.0, event) for event in model.advance(0.0)]
    while model.next_event_s() is not None and model.next_event_s() < limit_s:
        now_s = model.next_event_s()
        timed_events += [(now_s, event) for event in model.advance(now_s)]
    return timed_events


def first_token_s(timed_events, request_id):
    return next(
        t for t, e in timed_events if isinstance(e, TokenEvent) and e.request_id == request_id
    )


class TestSteps:
    def test_tokens_are_whole_and_in_order(self):
        """Guards against lost, duplicated or reordered tokens in a shared batch."""
        model = make_model()
        for name in "abc":
            assert model.submit(EngineRequest(name, 1, 3_000, 5), 0.0) is None
        timed_events = run_until_idle(model)
        for name in "abc":
            assert [e.index for _, e in timed_events if e.request_id == name] == [0, 1, 2, 3, 4]
        assert model.memory.used_tokens == 0

    def test_step_time_grows_with_batch_and_chunk(self):
        """Guards against a step time that ignores the batch size or the prefill chunk."""
        durations = []
        for sequences, prompt_tokens in ((1, 1), (40, 1), (40, 50_000)):
            model = make_model()
            for index in range(sequences):
                model.submit(EngineRequest(f"r{index}", 1, 1, 100), 0.0)
            model.submit(EngineRequest("last", 1, prompt_tokens, 100), 0.0)
            model.advance(model.next_event_s())
            first_end_s = model.next_event_s()
            model.advance(first_end_s)
            durations.append(model.next_event_s() - first_end_s)
        assert durations[0] * 1.2 < durations[1]
        assert durations[1] * 1.2 < durations[2]

    def test_long_prefill_delays_short_request_unless_it_has_priority(self):
        """Guards against ignored priorities, and long prefills that do not delay others."""
        times = []
        for priority in (0, 1):
            model = make_model()
            model.submit(EngineRequest("long", 1, 400_000, 5), 0.0)
            model.submit(EngineRequest("short", 1, 1_000, 5, priority), 0.0)
            times.append(first_token_s(run_until_idle(model), "short"))
        assert times[0] > 7.0
        assert times[1] < 0.1

    def test_resume_starts_at_offset(self):
        """Guards against a resumed stream with duplicated or missing tokens."""
        model = make_model()
        model.submit(EngineRequest("r", 2, 100, 10, resume_from=7), 0.0)
        assert [e.index for _, e in run_until_idle(model)] == [7, 8, 9]

    def test_cancel_frees_memory_and_stops_tokens(self):
        """Guards against a memory leak when a running or waiting request is cancelled."""
        model = make_model(max_batch=1)
        model.submit(EngineRequest("a", 1, 1_000, 50), 0.0)
        model.submit(EngineRequest("b", 1, 1_000, 50), 0.0)
        assert model.cancel("a", 0.1)
        assert model.cancel("b", 0.1)
        assert not model.cancel("b", 0.1)
        events = model.advance(100.0)
        assert [e.request_id for e in events if isinstance(e, RequestAborted)] == ["a", "b"]
        assert model.memory.used_tokens == 0

    def test_new_attempt_replaces_running_one(self):
        """Guards against two concurrent attempts of one request that both use memory."""
        model = make_model()
        model.submit(EngineRequest("a", 1, 1_000, 5), 0.0)
        model.submit(EngineRequest("a", 2, 1_000, 5), 0.001)
        timed_events = run_until_idle(model)
        assert {e.attempt for _, e in timed_events if isinstance(e, TokenEvent)} == {2}
        assert model.memory.used_tokens == 0


class TestMemory:
    def test_exhausted_memory_queues_and_too_large_is_refused(self):
        """Guards against allocations beyond the memory capacity."""
        model = make_model()
        model.submit(EngineRequest("a", 1, 300_000, 10), 0.0)
        model.submit(EngineRequest("b", 1, 300_000, 10), 0.0)
        assert (len(model.running), len(model.waiting)) == (1, 1)
        assert model.submit(EngineRequest("c", 1, 460_000, 10), 0.0) is RefusalReason.NO_MEMORY
        timed_events = run_until_idle(model)
        assert len([e for _, e in timed_events if isinstance(e, TokenEvent)]) == 20

    def test_reservation_expires_renews_and_carries_a_segment(self):
        """Guards against memory leaks by reservations whose owner has failed."""
        model = make_model()
        assert model.reserve("r", 400_000, 2.0, 0.0)
        assert not model.reserve("other", 100_000, 2.0, 1.0)
        assert model.reserve("r", 400_000, 2.0, 1.5)
        model.submit(EngineRequest("r", 1, 400_000, 0), 2.0)
        timed_events = run_until_idle(model)
        assert isinstance(timed_events[-1][1], PrefillFinished)
        assert model.memory.used_tokens == 400_000
        model.advance(timed_events[-1][0] + 2.1)
        assert model.memory.used_tokens == 0

    @example([("r", 0, 1_998), ("r", 1, 4_000), ("s", 2, 4_000)])
    @settings(max_examples=60, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from("srcx"), st.integers(0, 5), st.integers(1, 4_000))))
    def test_ledger_is_exact(self, actions):
        """Guards against a used total that differs from the sum of the allocations."""
        model = make_model(kv_capacity_tokens=10_000, max_batch=3, cache_capacity_tokens=500)
        now_s = 0.0
        for action, name, tokens in actions:
            now_s += 0.05
            if action == "s":
                model.submit(EngineRequest(f"r{name}", 1, tokens, 3), now_s)
            elif action == "r":
                model.reserve(f"r{name}", tokens, 0.2, now_s)
            elif action == "c":
                model.cancel(f"r{name}", now_s)
            else:
                model.advance(now_s)
            held = sum(allocation.tokens for allocation in model.memory.allocations.values())
            assert held == model.memory.used_tokens <= 10_000
        run_until_idle(model)
        # A request that waited for a reservation to expire starts only now and must also finish.
        model.advance(now_s + 100.0)
        run_until_idle(model)
        assert model.memory.used_tokens == 0


class TestPrefixCache:
    PREFIXES = ((256, "p256"), (1_024, "p1024"))

    def test_cached_prefix_shortens_prefill_until_evicted(self):
        """Guards against a cache that does not shorten prefills or exceeds its capacity."""
        model = make_model(cache_capacity_tokens=1_024)
        times = []
        for name, prefixes in (("a", self.PREFIXES), ("b", self.PREFIXES), ("c", ((300, "q"),))):
            start_s = max(model.step_end_s or 0.0, 10.0 * len(times))
            model.submit(EngineRequest(name, 1, 2_000, 1, prefixes=prefixes), start_s)
            times.append(first_token_s(run_until_idle(model), name) - start_s)
        assert times[1] < times[0] * 0.7
        assert model.cache.used_tokens <= 1_024
        assert model.cache.find(((256, "p256"),)) == 0

    def test_events_are_late_and_have_gaps(self):
        """Guards against cache events without delay and loss, unlike those of real engines."""
        model = make_model(cache_capacity_tokens=256 * 200)
        for index in range(200):
            model.cache.store(((256, f"p{index}"),), 450_000, 0.0)
        assert model.cache.take_events(0.0) == []
        events = [event for _ in range(10) for event in model.cache.take_events(5.0)]
        numbers = [event["sequence"] for event in events]
        assert 150 < len(numbers) < 200
        assert len(set(numbers)) == len(numbers)


class TestColdStart:
    def test_serves_little_and_loses_progress_under_full_load(self):
        """Guards against a cold engine that accepts full load or hides its refusals."""
        model = make_model(is_cold=True)
        refusals = [model.submit(EngineRequest(f"r{i}", 1, 10, 2), 0.0) for i in range(3)]
        assert refusals == [None, None, RefusalReason.OVERLOADED]
        assert model.cold_start.overload_events == 1
        run_until_idle(model)
        assert model.cold_start.state is UpstreamState.WARMING
        for index in range(7):
            model.submit(EngineRequest(f"s{index}", 1, 10, 2), 1.0)
        assert model.cold_start.finished == 0
        assert model.cold_start.overload_events == 2

    @pytest.mark.parametrize("spare", [0, 1])
    def test_slow_start_reaches_ready_without_overload(self, spare):
        """Guards against a warm-up that a slow-start limiter (+1 per finish) cannot complete."""
        model = make_model(is_cold=True)
        now_s = 0.0
        while model.cold_start.is_cold and now_s < 100.0:
            now_s += 1.0
            for index in range(model.cold_start.limit - spare):
                model.submit(EngineRequest(f"{now_s}/{index}", 1, 10, 2), now_s)
        assert model.cold_start.state is UpstreamState.READY
        assert model.cold_start.overload_events == 0

    def test_turning_cold_drops_progress(self):
        """Guards against warm-up progress that is kept after the engine turned cold."""
        model = make_model()
        model.cold_start.turn_cold(5.0)
        assert model.cold_start.state is UpstreamState.COLD
        assert model.cold_start.limit == 2
