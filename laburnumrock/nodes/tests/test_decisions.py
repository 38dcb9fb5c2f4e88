"""Tests of the wait for a decision of the leader."""

import asyncio
from dataclasses import replace

import pytest

from laburnumrock.dispatch import (
    DispatchAnswer,
    DispatchDecided,
    DispatchSettings,
    SendEnded,
    SendOutcome,
    WithdrawCall,
)
from laburnumrock.nodes._decisions import PendingDecisions
from laburnumrock.nodes.tests.deployment import make_call

PLACED = DispatchAnswer(8, "u1", "127.0.0.1", 9)
REFUSED = DispatchAnswer(refusal="no_upstream")


class RecordingNetwork:
    """Network that records what is sent."""

    def __init__(self) -> None:
        self.sent = []

    def send(self, peer: str, message: object) -> None:
        self.sent.append((peer, message))


class TestSameMoment:
    """Decisions that arrive in the turn of the event loop in which their wait ends."""

    @pytest.mark.parametrize("decision", [PLACED, REFUSED])
    def test_decision_at_the_end_of_the_wait_counts(self, decision, monkeypatch):
        """Guards against an entry that drops a placement and takes its leader for lost."""
        monkeypatch.setattr("laburnumrock.nodes._decisions.DECISION_GRACE_S", 0.0)
        network = RecordingNetwork()

        async def run():
            decisions = PendingDecisions(network, DispatchSettings())
            call = replace(make_call(), remaining_s=0.0)
            waiting = asyncio.create_task(decisions.wait("leader", 7, call))
            # It runs after the wait has begun and before the time limit cancels it.
            asyncio.get_running_loop().call_soon(
                decisions.receive, "leader", DispatchDecided(7, decision)
            )
            return await waiting, decisions.futures

        assert asyncio.run(run()) == (decision, {})
        assert network.sent == []

    @pytest.mark.parametrize(
        ("decision", "sent"),
        [
            (PLACED, [("leader", SendEnded(8, SendOutcome.CANCELLED))]),
            (REFUSED, []),
            (None, [("leader", WithdrawCall(7))]),
        ],
        ids=["placed", "refused", "undecided"],
    )
    def test_placement_of_a_caller_that_has_left_is_given_back(self, decision, sent):
        """Guards against a slot that stays taken until the next hellos."""
        network = RecordingNetwork()

        async def run():
            decisions = PendingDecisions(network, DispatchSettings())
            waiting = asyncio.create_task(decisions.wait("leader", 7, make_call()))
            await asyncio.sleep(0)
            if decision is not None:
                decisions.receive("leader", DispatchDecided(7, decision))
            waiting.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting
            assert decisions.futures == {}

        asyncio.run(run())
        assert network.sent == sent
