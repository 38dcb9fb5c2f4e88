"""Fleet of engines that work in passes."""

import pytest

from laburnumrock.dispatch import EngineModel
from laburnumrock.routing import EngineParameters
from laburnumrock.standins import FleetReplay, ReplayRequest

PARAMETERS = EngineParameters()
MODEL = EngineModel(PARAMETERS)


def make_request(number: int, prompt_tokens: int, output_tokens: int = 460) -> ReplayRequest:
    return ReplayRequest(number, 0.0, prompt_tokens, output_tokens, 3.0, 0.2, 1.0)


def run(requests, sends) -> None:
    fleet = FleetReplay(4, PARAMETERS, lambda *_: None, lambda *_: None)
    for request, (at_s, engine, helpers) in zip(requests, sends, strict=True):
        request.arrives_s = at_s
        fleet.at(at_s, lambda r=request, e=engine, h=helpers: fleet.send(r, e, h))
    fleet.run(1000.0)


class TestFleetReplay:
    def test_first_event_follows_the_cost_model(self):
        """Guards against a replay whose engines are faster or slower than the published ones."""
        request = make_request(1, 100_000)
        run([request], [(0.0, 0, [])])
        expected_ms = MODEL.prefill_ms(0, 100_000) + MODEL.decode_pass_ms(1, 100_000)
        assert request.first_s == pytest.approx(expected_ms / 1000, rel=0.1)
        assert request.finished

    def test_helpers_divide_the_reading(self):
        """Guards against parts that cost more or less than their share of the pairs."""
        alone, helped = make_request(1, 200_000), make_request(2, 200_000)
        run([alone], [(0.0, 0, [])])
        run([helped], [(0.0, 0, [1, 2, 3])])
        assert helped.first_s == pytest.approx(alone.first_s / 4, rel=0.15)

    def test_long_prompt_stalls_the_streams_of_its_engine(self):
        """Guards against a replay in which the worst load does no harm."""
        stream, long = make_request(1, 5_000, 4_600), make_request(2, 200_000)
        run([stream, long], [(0.0, 0, []), (0.2, 0, [])])
        assert stream.longest_gap_s > 0.5
        assert stream.earned_value == 0.25

    def test_streams_on_other_engines_go_on(self):
        """Guards against stalls of streams that no prompt disturbs."""
        stream, long = make_request(1, 5_000, 4_600), make_request(2, 200_000)
        run([stream, long], [(0.0, 0, []), (0.2, 1, [])])
        assert stream.longest_gap_s < 0.1
        assert stream.earned_value == 1.0
