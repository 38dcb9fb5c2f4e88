"""Tests of the operation client with a log in memory."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Err, Ok

from laburnumrock.daemon._operations import OperationClient
from laburnumrock.daemon._owner_watch import OwnerWatch
from laburnumrock.daemon.tests.fakes import make_settings
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.journal import (
    AbandonOwner,
    JournalPart,
    OperationOutcome,
    OperationState,
    RecordedAnswer,
    StartDispatch,
)


class _Settings:
    instance_id = "a1"


class _Log:
    def __init__(self):
        self.journal = JournalPart()
        self.lose_answers_of = None
        self.abandon_before_start = 0

    async def propose(self, command, timeout_s=5.0):
        await asyncio.sleep(0)
        if isinstance(command, StartDispatch) and self.abandon_before_start:
            self.abandon_before_start -= 1
            self.journal.apply(AbandonOwner("a1", ""), 1)
        answer = self.journal.apply(command, 1)
        if isinstance(command, StartDispatch) and self.lose_answers_of == "start":
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN))
        return Ok(answer)

    async def read_part(self, part, question, timeout_s=2.0):
        return Ok(self.journal.query(question))


def _state(log):
    return log.journal.operations["acme", "k"].state


class TestOperationClient:
    def test_run_goes_on_when_the_caller_disconnects(self):
        """Guards against an operation that stays open because nobody waits for it any more."""

        async def scenario():
            log = _Log()
            client = OperationClient(_Settings(), log)
            sent = asyncio.Event()

            async def dispatch():
                sent.set()
                await asyncio.sleep(0.05)
                return Ok(RecordedAnswer(200))

            caller = asyncio.create_task(client.run("acme", "k", "f", 5.0, dispatch))
            await sent.wait()
            caller.cancel()
            await asyncio.sleep(0.2)
            return _state(log)

        assert asyncio.run(scenario()) is OperationState.DONE

    def test_call_that_hangs_or_raises_is_unknown(self):
        """Guards against "not run" for a call that was sent."""

        async def scenario(dispatch):
            log = _Log()
            client = OperationClient(_Settings(), log)
            result = await client.run("acme", "k", "f", 0.2, dispatch)
            return result.unwrap_err().kind, _state(log)

        async def hang():
            await asyncio.sleep(60)

        async def fail():
            raise RuntimeError("broken")

        for dispatch in (hang, fail):
            kind, state = asyncio.run(scenario(dispatch))
            assert (kind, state) == (ErrorKind.OUTCOME_UNKNOWN, OperationState.UNKNOWN)

    def test_unanswered_start_is_closed_in_the_background(self):
        """Guards against a claim that blocks the key after an unanswered start."""

        async def scenario():
            log = _Log()
            log.lose_answers_of = "start"
            client = OperationClient(_Settings(), log)
            result = await client.run("acme", "k", "f", 5.0, lambda: 1 / 0)
            await asyncio.sleep(0.05)
            return result.unwrap_err().kind, _state(log)

        kind, state = asyncio.run(scenario())
        assert kind is ErrorKind.QUORUM_UNAVAILABLE
        assert state is OperationState.NOT_RUN

    def test_many_callers_of_one_key_share_one_dispatch(self):
        """Guards against two dispatches by callers that resend at the same time."""

        async def scenario():
            log = _Log()
            clients = [OperationClient(_Settings(), log) for _ in range(20)]
            dispatches = []

            async def dispatch():
                dispatches.append(1)
                await asyncio.sleep(0.05)
                return Ok(RecordedAnswer(200, body=b"one"))

            runs = (client.run("acme", "k", "f", 5.0, dispatch) for client in clients)
            results = await asyncio.gather(*runs)
            return len(dispatches), {result.unwrap().body for result in results}

        assert asyncio.run(scenario()) == (1, {b"one"})

    def test_owner_declared_dead_before_its_start_sends_under_a_new_claim_only(self):
        """Guards against a dispatch under a voided claim, which a resend may have claimed."""

        async def scenario():
            log = _Log()
            log.abandon_before_start = 1
            dispatches = []

            async def dispatch():
                dispatches.append(log.journal.operations["acme", "k"])
                return Ok(RecordedAnswer(200))

            client = OperationClient(_Settings(), log)
            result = await client.run("acme", "k", "f", 5.0, dispatch)
            return result, dispatches

        result, dispatches = asyncio.run(scenario())
        assert result.is_ok()
        assert len(dispatches) == 1
        assert len(dispatches[0].past_claims) == 1

    def test_live_owner_declared_dead_records_its_answer(self):
        """Guards against a known answer that is lost, and "not run" while the call still runs."""

        async def scenario():
            log = _Log()
            client = OperationClient(_Settings(), log)
            answered = asyncio.Event()

            async def dispatch():
                await answered.wait()
                return Ok(RecordedAnswer(200, body=b"booked"))

            run = asyncio.create_task(client.run("acme", "k", "f", 5.0, dispatch))
            await asyncio.sleep(0.05)
            await client.abandon_owner("a1")
            resend = await OperationClient(_Settings(), log).run("acme", "k", "f", 5.0, dispatch)
            refused = await client.reconcile("acme", "k", OperationOutcome.NOT_RUN, "guess")
            answered.set()
            return resend, refused, await run, _state(log)

        resend, refused, result, state = asyncio.run(scenario())
        assert resend.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert not refused.unwrap().accepted
        assert result.unwrap().body == b"booked"
        assert state is OperationState.DONE


class TestOwnerWatch:
    @pytest.mark.parametrize("is_leader", [True, False])
    def test_only_the_leader_closes_the_operations_of_a_dead_owner(self, is_leader):
        """Guards against a resend that waits for the overdue limit of a dead owner."""

        async def scenario():
            log = _Log()
            log.is_leader = is_leader
            log.runner = log
            log.state = SimpleNamespace(parts={"journal": log.journal})
            owner = OperationClient(_Settings(), log)
            run = asyncio.create_task(owner.run("acme", "k", "f", 30.0, lambda: asyncio.sleep(30)))
            await asyncio.sleep(0.05)
            settings = make_settings(["a1", "a2"])["a2"]
            watch = OwnerWatch(settings, log, OperationClient(settings, log), lambda _: ["a2"])
            watch.deaths.last_live_s["a1"] = float("-inf")
            await watch.start()
            await asyncio.sleep(0.1)
            await watch.stop()
            run.cancel()
            await owner.stop()
            return _state(log)

        expected = OperationState.UNKNOWN if is_leader else OperationState.DISPATCHED
        assert asyncio.run(scenario()) is expected
