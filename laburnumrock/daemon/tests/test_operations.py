"""Tests of the operation client with a log in memory."""

import asyncio

from result import Err, Ok

from laburnumrock.daemon._operations import OperationClient
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.journal import JournalPart, OperationState, RecordedAnswer, StartDispatch


class _Settings:
    instance_id = "a1"


class _Log:
    def __init__(self):
        self.journal = JournalPart()
        self.lose_answers_of = None

    async def propose(self, command, timeout_s=5.0):
        await asyncio.sleep(0)
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
