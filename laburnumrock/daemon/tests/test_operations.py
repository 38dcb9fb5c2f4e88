"""Tests of the operation client with an in-memory log."""

import asyncio
from types import SimpleNamespace

import pytest
from result import Err, Ok

from laburnumrock.daemon._operations import OperationClient
from laburnumrock.daemon._owner_monitor import OwnerMonitor
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


class _FakeSettings:
    instance_id = "a1"


class _FakeLog:
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

    async def read_confirmed(self, timeout_s=2.0):
        return Ok(1)

    async def read_part(self, part, question, timeout_s=2.0):
        return Ok(self.journal.query(question))


def _operation_state(log):
    return log.journal.operations["acme", "k"].state


class TestOperationClient:
    def test_run_goes_on_when_the_caller_disconnects(self):
        """An operation must complete although its caller disconnected."""

        async def scenario():
            log = _FakeLog()
            client = OperationClient(_FakeSettings(), log)
            sent = asyncio.Event()

            async def dispatch():
                sent.set()
                await asyncio.sleep(0.05)
                return Ok(RecordedAnswer(200))

            caller = asyncio.create_task(client.run("acme", "k", "f", 5.0, dispatch))
            await sent.wait()
            caller.cancel()
            await asyncio.sleep(0.2)
            return _operation_state(log)

        assert asyncio.run(scenario()) is OperationState.DONE

    def test_call_that_hangs_or_raises_is_unknown(self):
        """A call that was sent and hangs or raises must not be recorded as "not run"."""

        async def scenario(dispatch):
            log = _FakeLog()
            client = OperationClient(_FakeSettings(), log)
            result = await client.run("acme", "k", "f", 0.2, dispatch)
            return result.unwrap_err().kind, _operation_state(log)

        async def hang():
            await asyncio.sleep(60)

        async def fail():
            raise RuntimeError("broken")

        for dispatch in (hang, fail):
            kind, state = asyncio.run(scenario(dispatch))
            assert (kind, state) == (ErrorKind.OUTCOME_UNKNOWN, OperationState.UNKNOWN)

    def test_unanswered_start_is_closed_in_the_background(self):
        """A claim must not block its key after a start without an answer."""

        async def scenario():
            log = _FakeLog()
            log.lose_answers_of = "start"
            client = OperationClient(_FakeSettings(), log)
            result = await client.run("acme", "k", "f", 5.0, lambda: 1 / 0)
            await asyncio.sleep(0.05)
            return result.unwrap_err().kind, _operation_state(log)

        kind, state = asyncio.run(scenario())
        assert kind is ErrorKind.QUORUM_UNAVAILABLE
        assert state is OperationState.NOT_RUN

    def test_many_callers_of_one_key_share_one_dispatch(self):
        """Concurrent retries with the same key must cause only one dispatch."""

        async def scenario():
            log = _FakeLog()
            clients = [OperationClient(_FakeSettings(), log) for _ in range(20)]
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
        """A call must not be dispatched under a voided claim, as a retry may hold a new one."""

        async def scenario():
            log = _FakeLog()
            log.abandon_before_start = 1
            dispatches = []

            async def dispatch():
                dispatches.append(log.journal.operations["acme", "k"])
                return Ok(RecordedAnswer(200))

            client = OperationClient(_FakeSettings(), log)
            result = await client.run("acme", "k", "f", 5.0, dispatch)
            return result, dispatches

        result, dispatches = asyncio.run(scenario())
        assert result.is_ok()
        assert len(dispatches) == 1
        assert len(dispatches[0].past_claims) == 1

    def test_live_owner_declared_dead_records_its_answer(self):
        """A live owner that was declared dead must still record its answer.

        Reconciling as "not run" is rejected while the call may still be running.
        """

        async def scenario():
            log = _FakeLog()
            client = OperationClient(_FakeSettings(), log)
            answered = asyncio.Event()

            async def dispatch():
                await answered.wait()
                return Ok(RecordedAnswer(200, body=b"booked"))

            run = asyncio.create_task(client.run("acme", "k", "f", 5.0, dispatch))
            await asyncio.sleep(0.05)
            await client.abandon_owner("a1")
            retried = await OperationClient(_FakeSettings(), log).run(
                "acme", "k", "f", 5.0, dispatch
            )
            refused = await client.reconcile("acme", "k", OperationOutcome.NOT_RUN, "guess")
            answered.set()
            return retried, refused, await run, _operation_state(log)

        retried, refused, result, state = asyncio.run(scenario())
        assert retried.unwrap_err().kind is ErrorKind.OUTCOME_UNKNOWN
        assert not refused.unwrap().accepted
        assert result.unwrap().body == b"booked"
        assert state is OperationState.DONE


class TestOwnerMonitor:
    @pytest.mark.parametrize("is_leader", [True, False])
    def test_only_the_leader_closes_the_operations_of_a_dead_owner(self, is_leader):
        """A retry must not have to wait until the claim of a dead owner expires."""

        async def scenario():
            log = _FakeLog()
            log.is_leader = is_leader
            log.runner = log
            log.state = SimpleNamespace(parts={"journal": log.journal})
            owner = OperationClient(_FakeSettings(), log)
            run = asyncio.create_task(owner.run("acme", "k", "f", 30.0, lambda: asyncio.sleep(30)))
            await asyncio.sleep(0.05)
            settings = make_settings(["a1", "a2"])["a2"]
            monitor = OwnerMonitor(settings, log, OperationClient(settings, log), lambda _: ["a2"])
            monitor.dead_instance_detector.last_live_s["a1"] = float("-inf")
            await monitor.start()
            await asyncio.sleep(0.1)
            await monitor.stop()
            run.cancel()
            await owner.stop()
            return _operation_state(log)

        expected = OperationState.UNKNOWN if is_leader else OperationState.DISPATCHED
        assert asyncio.run(scenario()) is expected
