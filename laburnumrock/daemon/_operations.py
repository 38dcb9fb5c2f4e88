"""Runs non-idempotent operations at most once."""

import asyncio
import secrets
import time
from collections.abc import Awaitable, Callable

from eliot import log_message
from result import Err, Result

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.journal import (
    AbandonOwner,
    DispatchStep,
    FindOperation,
    OperationAnswer,
    OperationEnd,
    OperationOutcome,
    OperationRequest,
    ProposeStep,
    QueryStep,
    ReconcileOperation,
    RecordedAnswer,
    WaitStep,
    run_operation,
)
from laburnumrock.settings import InstanceSettings

CLAIM_ID_BYTES = 12
FOLLOW_UP_RETRY_S = 1.0
FOLLOW_UP_LIMIT_S = 300.0
# Extra time after the deadline in which the steps of an operation can detect it and end.
END_MARGIN_S = 0.5
DISPATCH_MARGIN_S = 0.2
"""Extra time in which a dispatch ends by itself at its deadline. Only it knows whether it has sent
the call, and one that is cancelled counts as sent."""

Dispatch = Callable[[], Awaitable[Result[RecordedAnswer, Failure]]]


class OperationClient:
    """Runs operations, recording their progress in the journal in the replicated log.

    Parameters
    ----------
    settings : InstanceSettings
        Name of this instance.
    log : LogTask
        Access to the replicated log that contains the journal.
    """

    def __init__(self, settings: InstanceSettings, log) -> None:
        self.settings = settings
        self.log = log
        self.process_id = secrets.token_hex(CLAIM_ID_BYTES)
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Start closing the operations left open by earlier processes of this instance."""
        self._spawn(self._abandon_earlier_processes())

    async def stop(self) -> None:
        """Stop the background tasks; the next process closes the operations still open."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def run(
        self, account: str, key: str, fingerprint: str, deadline_s: float, dispatch: Dispatch
    ) -> Result[RecordedAnswer, Failure]:
        """Run an operation at most once, or return the recorded answer of an earlier run.

        Parameters
        ----------
        account, key : str
            Client account and idempotency key.
        fingerprint : str
            Hash of method, path and body of the request.
        deadline_s : float, > 0
            Time in seconds within which the caller needs an answer.
        dispatch : coroutine function
            Sends the call. The outcome of a returned failure says whether the call ran; after an
            exception this counts as unknown.

        Returns
        -------
        Result
            Answer, with `replayed` set if it was recorded by an earlier run, or a failure.

        Notes
        -----
        The run continues when the awaiting task is cancelled, so that its outcome is recorded.
        """
        request = OperationRequest(
            account, key, fingerprint, deadline_s, self.settings.instance_id, self.process_id
        )
        operation_run = _OperationRun(self, request, dispatch)
        task = self._spawn(operation_run.run())
        done, _ = await asyncio.wait([task], timeout=deadline_s + END_MARGIN_S)
        if done:
            return task.result()
        if operation_run.dispatched:
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "the call has not ended"))
        # The steps check the deadline before they dispatch, so nothing is sent after this point.
        return Err(Failure(ErrorKind.JOURNAL_UNAVAILABLE, "this request was not sent"))

    async def find(self, account: str, key: str) -> Result[OperationAnswer, Failure]:
        """Return the state of an operation."""
        return await self.log.read_part("journal", FindOperation(account, key))

    async def reconcile(
        self, account: str, key: str, outcome: OperationOutcome, source: str
    ) -> Result[OperationAnswer, Failure]:
        """Record the outcome that an operator determined for an unknown operation."""
        return await self.log.propose(ReconcileOperation(account, key, outcome, source))

    async def abandon_owner(self, instance_id: str) -> Result[OperationAnswer, Failure]:
        """Close the open operations of an instance that is known to be dead."""
        confirmed = await self.log.read_confirmed()
        if confirmed.is_err():
            return confirmed
        command = AbandonOwner(instance_id, "", before_index=confirmed.unwrap())
        return await self.log.propose(command)

    def follow_up(self, command: object) -> None:
        """Propose a command in the background, with retries until it is answered."""
        self._spawn(self._propose_until_answered(command))

    async def _abandon_earlier_processes(self) -> None:
        retry_until_s = time.monotonic() + FOLLOW_UP_LIMIT_S
        while time.monotonic() < retry_until_s:
            confirmed = await self.log.read_confirmed()
            if confirmed.is_ok():
                index = confirmed.unwrap()
                command = AbandonOwner(
                    self.settings.instance_id, self.process_id, before_index=index
                )
                await self._propose_until_answered(command)
                return
            await asyncio.sleep(FOLLOW_UP_RETRY_S)
        log_message("operation_left_open", command=AbandonOwner.__name__)

    async def _propose_until_answered(self, command: object) -> None:
        retry_until_s = time.monotonic() + FOLLOW_UP_LIMIT_S
        while time.monotonic() < retry_until_s:
            answer = await self.log.propose(command)
            if answer.is_ok():
                return
            await asyncio.sleep(FOLLOW_UP_RETRY_S)
        log_message("operation_left_open", command=type(command).__name__)

    def _spawn(self, work: Awaitable) -> asyncio.Task:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class _OperationRun:
    """Executes the steps of one operation."""

    def __init__(
        self, client: OperationClient, request: OperationRequest, dispatch: Dispatch
    ) -> None:
        self.client = client
        self.request = request
        self.dispatch = dispatch
        self.dispatched = False

    async def run(self) -> Result[RecordedAnswer, Failure]:
        steps = run_operation(
            self.request, lambda: secrets.token_hex(CLAIM_ID_BYTES), time.monotonic
        )
        result: object = None
        while True:
            try:
                step = steps.send(result)
            except StopIteration as stop:
                return self._finish(stop.value)
            result = await self._perform(step)

    async def _perform(self, step: object) -> object:
        log = self.client.log
        if isinstance(step, ProposeStep):
            return await log.propose(step.command, step.timeout_s)
        if isinstance(step, QueryStep):
            return await log.read_part("journal", step.question, step.timeout_s)
        if isinstance(step, WaitStep):
            return await asyncio.sleep(step.duration_s)
        if isinstance(step, DispatchStep):
            return await self._dispatch(step)
        raise TypeError(type(step).__name__)

    async def _dispatch(self, step: DispatchStep) -> Result[RecordedAnswer, Failure]:
        self.dispatched = True
        try:
            async with asyncio.timeout(step.timeout_s + DISPATCH_MARGIN_S):
                return await self.dispatch()
        except TimeoutError:
            return Err(Failure(ErrorKind.UPSTREAM_FAILED, "no answer before the deadline"))
        except Exception as error:
            return Err(Failure(ErrorKind.INTERNAL, f"{type(error).__name__}: {error}"))

    def _finish(self, end: OperationEnd) -> Result[RecordedAnswer, Failure]:
        if end.follow_up is not None:
            self.client.follow_up(end.follow_up)
        return end.result
