"""Sample of the matrix of silent parties, phases of a request and changes of the configuration."""

import asyncio
from dataclasses import astuple

import pytest

from laburnumrock.forwarding.tests.silence_matrix import (
    OTHERS,
    PARTIES,
    Case,
    draw_cases,
    play_case,
    play_cases,
)
from laburnumrock.forwarding.tests.silence_phases import FRAMINGS, PHASES
from laburnumrock.platform.soak._changes import CHANGE_KINDS, CHANGES

SAMPLE = 200


class TestSilenceMatrix:
    """Each whole request is answered, whoever is silent for a moment and whatever changes."""

    @pytest.mark.parametrize("seed", [1, 2])
    def test_sample(self, seed):
        """Guards against requests that get no whole answer beside a silence and a change."""
        cases = draw_cases(seed, SAMPLE)
        outcomes = asyncio.run(play_cases(cases))
        assert len(outcomes) == SAMPLE
        found = {str(case): outcome.finding for case, outcome in outcomes.items()}
        assert {case: finding for case, finding in found.items() if finding} == {}

    def test_each_name_is_drawn(self):
        """Guards against a phase, a party or a change that is registered but never played."""
        drawn = {name for case in draw_cases(1, 0) for name in astuple(case)}
        registered = {*FRAMINGS, *PHASES, *PARTIES, *OTHERS, *CHANGES}
        assert registered <= drawn <= registered | set(CHANGE_KINDS)

    @pytest.mark.parametrize("kind", CHANGE_KINDS)
    def test_crash_is_found(self, kind, monkeypatch):
        """Guards against a matrix that would not see a request without a whole answer."""

        async def crash(scene, silence_s):
            for writer in scene.frontend.server.connections:
                writer.stream.close()

        monkeypatch.setitem(PARTIES, "crashing", crash)
        case = Case(kind, "chunks", "within a piece", "crashing", "none_free", "none")
        outcome = asyncio.run(play_case(case))
        assert outcome.finding == "closed without a whole answer"
