"""Tests of the predicted load of an upstream."""

import random

import pytest

from laburnumrock.dispatch._engine_model import EngineModel
from laburnumrock.dispatch._load import ActiveSend, UpstreamLoad, summarize_sends
from laburnumrock.routing import EngineParameters

MODEL = EngineModel(EngineParameters())


def make_send(rng: random.Random, permit: int) -> ActiveSend:
    """Return a random prompt, part or stream."""
    tokens = rng.choice((500, 5_000, 50_000, 250_000))
    prefill_ms = MODEL.prefill_ms(0, tokens)
    is_part = rng.random() < 0.2
    decodes = not is_part and rng.random() < 0.5
    return ActiveSend(
        permit,
        "entry",
        "engine",
        0 if is_part else tokens,
        0 if is_part else 800,
        tokens,
        0.0 if is_part else rng.choice((0.0, 0.25, 1.0)),
        0.0 if is_part else rng.uniform(0.3, 20.0),
        0.0,
        0.0 if decodes else prefill_ms,
        prefill_ms,
        peak_prefill_ms=MODEL.peak_prefill_ms(tokens),
        is_part=is_part,
    )


class TestLoadSummary:
    @pytest.mark.parametrize("seed", range(20))
    def test_summary_follows_every_change(self, seed):
        """Guards against a placement by the sends of an engine as they were before a change."""
        rng = random.Random(seed)
        load = UpstreamLoad(MODEL, 8)
        now_s = 0.0
        for permit in range(1, 200):
            now_s += rng.uniform(0.0, 0.3)
            change = rng.random()
            known = list(load.sends)
            if change < 0.4:
                load.add(make_send(rng, permit), now_s)
            elif change < 0.6 and known:
                load.remove(rng.choice(known), now_s)
            elif change < 0.8 and known:
                load.record_first_event(rng.choice(known), rng.uniform(0.01, 2.0), now_s)
            else:
                load.advance(now_s)
            assert load.summary == summarize_sends(MODEL, load.sends.values())
            pending = [send.prefill_left_ms for send in load.sends.values()]
            assert load.pending_prefill_ms() == pytest.approx(sum(pending))
            parts = sum(send.is_part for send in load.sends.values())
            assert load.free_slots == load.slots - len(load.sends) + parts

    def test_new_model_replaces_the_predicted_passes(self):
        """Guards against predictions with the parameters of an earlier version of the routes."""
        load = UpstreamLoad(MODEL, 8)
        load.add(make_send(random.Random(1), 1), 0.0)
        assert load.summary.base_ms
        slow = EngineModel(EngineParameters(step_ms=10.0))
        load.set_model(slow)
        assert load.summary == summarize_sends(slow, load.sends.values())
