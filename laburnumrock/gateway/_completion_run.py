"""Execution of one completion, including retries on other engines."""

import asyncio
import time
from dataclasses import dataclass, field

from eliot import log_message
from result import Err, Result

from laburnumrock.errors import ErrorKind, Failure, Outcome
from laburnumrock.gateway._assembler import CompletionAssembler
from laburnumrock.gateway._engine import (
    CompletionRequest,
    TextHandler,
    cancel_on_engine,
    stream_completion,
)
from laburnumrock.gateway._interfaces import GatewayServices
from laburnumrock.gateway._spanning import prepare_segments, release_segments
from laburnumrock.gateway._upstream_http import is_refused
from laburnumrock.metrics import Measure
from laburnumrock.placement import PermitGrant, PermitOutcome, PermitRelease, PermitRequest

MAX_ATTEMPTS = 4
RETRY_AFTER_FAILURE_S = 1.0

_RETRIED_KINDS = (
    ErrorKind.CONNECTION_FAILED,
    ErrorKind.UPSTREAM_REJECTED,
    ErrorKind.UPSTREAM_FAILED,
)

_OUTCOME_BY_REASON = {
    "cold": PermitOutcome.COLD,
    "overloaded": PermitOutcome.OVERLOADED,
    "no_memory": PermitOutcome.OVERLOADED,
}


@dataclass(frozen=True, slots=True)
class CompletionJob:
    """Validated completion request with its time limit and accounting data.

    Parameters
    ----------
    work : CompletionRequest
        Request to send to an engine.
    client_account, caller : str
        Client account and end user that sent the request.
    prompt_tokens : int
        Prompt length in tokens.
    length_class : str
        Length class of the prompt.
    timeout_s : float
        Time limit for the whole completion in seconds.
    prefix_hashes : list of str
        Hashes of the prompt's prefixes, shortest first.
    request_name : str
        Name of the request in the quarantine, which its repeats have too.
    """

    work: CompletionRequest
    client_account: str
    caller: str
    prompt_tokens: int
    length_class: str
    timeout_s: float
    prefix_hashes: list[str] = field(default_factory=list)
    request_name: str = ""


class CompletionRun:
    """Runs one completion.

    Completions are idempotent, so a failed attempt may be resumed on another engine.

    Parameters
    ----------
    services : GatewayServices
        Services of the instance.
    job : CompletionJob
        Completion to run.
    on_text : coroutine function
        Receives the text of each token in order, once.
    """

    def __init__(self, services: GatewayServices, job: CompletionJob, on_text: TextHandler) -> None:
        self.services = services
        self.job = job
        self.on_text = on_text
        self.assembler = CompletionAssembler(job.work.request_id)
        self.started_s = time.monotonic()
        self.deadline_s = self.started_s + job.timeout_s
        self.attempt_started_s = self.started_s
        self.attempt_first_token_s: float | None = None
        self.last_token_s: float | None = None
        self.excluded: list[str] = []
        self.crash_names: list[str] = []
        self.may_have_run = False
        self.has_broken_off = False

    async def run(self) -> Result[None, Failure]:
        """Run attempts until the completion succeeds, is refused or exceeds its deadline."""
        failure = Failure(ErrorKind.NO_UPSTREAM)
        self.services.retries.record_first_attempt(self.started_s)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if attempt > 1 and not self.services.retries.try_retry(time.monotonic()):
                self.services.counters.count("retry_budget_used_up")
                break
            granted = await self._acquire(attempt)
            if granted.is_err():
                return Err(self._convert_refusal(granted.unwrap_err()))
            result = await self._run_attempt(granted.unwrap(), attempt)
            if result.is_ok():
                self._record(Measure.TOTAL, time.monotonic() - self.started_s)
                log_message(
                    "completion_finished",
                    request_id=self.job.work.request_id,
                    attempts=attempt,
                    tokens=self.assembler.next_index,
                )
                return result
            failure = result.unwrap_err()
            log_message(
                "attempt_failed",
                request_id=self.job.work.request_id,
                attempt=attempt,
                failure=str(failure),
            )
            failure = self._add_earlier_attempts(failure)
            if failure.kind not in _RETRIED_KINDS or self._remaining_s() <= 0:
                return Err(failure)
            self.services.counters.count("retries")
        return Err(Failure(failure.kind, failure.detail, retry_after_s=RETRY_AFTER_FAILURE_S))

    async def _acquire(self, attempt: int) -> Result[PermitGrant, Failure]:
        request = self.job.work
        # A resumed attempt processes the tokens delivered so far as part of its prompt.
        delivered_tokens = self.assembler.next_index
        requested_s = time.monotonic()
        permit_request = PermitRequest(
            request_id=request.request_id,
            attempt=attempt,
            client_account=self.job.client_account,
            caller=self.job.caller,
            model=request.model,
            prompt_tokens=self.job.prompt_tokens + delivered_tokens,
            max_output_tokens=request.max_tokens - delivered_tokens,
            remaining_s=max(self._remaining_s(), 0.0),
            priority=request.priority,
            adapter=request.adapter,
            version=request.version,
            prefix_hashes=self.job.prefix_hashes,
            request_name=self.job.request_name,
            excluded_upstreams=list(self.excluded),
        )
        self.crash_names = permit_request.crash_names
        granted = await self.services.permits.acquire(permit_request)
        self._record(Measure.QUEUE_WAIT, time.monotonic() - requested_s)
        if granted.is_err():
            log_message(
                "permit_refused",
                request_id=request.request_id,
                attempt=attempt,
                failure=str(granted.unwrap_err()),
            )
        return granted

    def _convert_refusal(self, failure: Failure) -> Failure:
        # Once an engine may have processed the request, a later refusal must not be reported as
        # "not run".
        if not self.may_have_run:
            return failure
        detail = f"an attempt failed and no other was possible: {failure.detail or failure.kind}"
        return Failure(ErrorKind.UPSTREAM_FAILED, detail, retry_after_s=failure.retry_after_s)

    def _add_earlier_attempts(self, failure: Failure) -> Failure:
        """Return a failure that holds for all attempts, from that of the last one."""
        if failure.answer.outcome is Outcome.UNKNOWN:
            self.has_broken_off = True
        elif failure.answer.outcome is Outcome.NOT_RUN or self.has_broken_off:
            return self._convert_refusal(failure)
        return failure

    async def _run_attempt(self, grant: PermitGrant, attempt: int) -> Result[None, Failure]:
        may_have_run_before, self.may_have_run = self.may_have_run, True
        self.assembler.start_attempt(attempt)
        self.attempt_started_s = time.monotonic()
        self.attempt_first_token_s = None
        log_message(
            "attempt_started",
            request_id=grant.request_id,
            attempt=attempt,
            upstreams=[placement.upstream_id for placement in grant.placements],
        )
        try:
            async with asyncio.timeout(self._remaining_s()):
                result = await self._call_unless_revoked(grant)
        except TimeoutError:
            self._start_cleanup(grant, PermitOutcome.CANCELLED)
            return Err(Failure(ErrorKind.DEADLINE_EXCEEDED, retry_after_s=RETRY_AFTER_FAILURE_S))
        except asyncio.CancelledError:
            self._start_cleanup(grant, PermitOutcome.CANCELLED)
            raise
        except Exception:
            # A held permit is renewed until it is released.
            self._start_cleanup(grant, PermitOutcome.FAILED)
            raise
        if result.is_ok():
            if len(grant.placements) > 1:
                self._start_cleanup(grant, PermitOutcome.FINISHED)
            else:
                self._release(grant, PermitOutcome.FINISHED, self.attempt_first_token_s)
            return result
        self.excluded += [placement.upstream_id for placement in grant.placements]
        failure = result.unwrap_err()
        if _is_unprocessed(failure) and len(grant.placements) == 1:
            self.may_have_run = may_have_run_before
        if await self._has_crashed(grant, failure):
            # The next attempt must not begin before the pool owner knows of the crash. Nothing is
            # left to cancel.
            self._release(grant, PermitOutcome.CRASHED, None)
        elif failure.kind is ErrorKind.UPSTREAM_REJECTED and len(grant.placements) == 1:
            # The engine refused without processing anything, so there is nothing to cancel. The
            # pool owner must learn the outcome before the next attempt.
            self._release(grant, _find_permit_outcome(failure), None)
        else:
            self._start_cleanup(grant, _find_permit_outcome(failure))
        return result

    async def _has_crashed(self, grant: PermitGrant, failure: Failure) -> bool:
        """Return whether the only upstream of an attempt crashed while it worked on the prompt."""
        if failure.kind is not ErrorKind.UPSTREAM_FAILED or len(grant.placements) > 1:
            return False
        placement = grant.placements[0]
        if not await is_refused(placement.base_url):
            return False
        log_message(
            "upstream_crashed",
            request_id=grant.request_id,
            upstream=placement.upstream_id,
            prefix_hashes=self.job.prefix_hashes,
            request_name=self.job.request_name,
        )
        return True

    async def _call_unless_revoked(self, grant: PermitGrant) -> Result[None, Failure]:
        """Call the engines; stop when the pool owner revokes the permit."""
        revoked = self.services.permits.revocation_event(grant.permit_id) or asyncio.Event()
        revocation_task = asyncio.create_task(revoked.wait())
        call_task = asyncio.create_task(self._call_engines(grant))
        try:
            await asyncio.wait([revocation_task, call_task], return_when=asyncio.FIRST_COMPLETED)
            if call_task.done():
                return call_task.result()
            return Err(Failure(ErrorKind.UPSTREAM_FAILED, "the permit was revoked"))
        finally:
            revocation_task.cancel()
            call_task.cancel()

    async def _call_engines(self, grant: PermitGrant) -> Result[None, Failure]:
        prepared = await prepare_segments(grant, self.job.work)
        if prepared.is_err():
            return prepared
        return await stream_completion(
            grant.placements[-1].base_url,
            prepared.unwrap(),
            self.assembler,
            self._handle_text,
            self.services.settings.timing.connect_timeout_s,
        )

    async def _handle_text(self, text: str) -> None:
        now_s = time.monotonic()
        if self.attempt_first_token_s is None:
            self.attempt_first_token_s = now_s - self.attempt_started_s
        if self.last_token_s is None:
            self._record(Measure.FIRST_TOKEN, now_s - self.started_s)
        else:
            self._record(Measure.BETWEEN_TOKENS, now_s - self.last_token_s)
        self.last_token_s = now_s
        await self.on_text(text)

    def _start_cleanup(self, grant: PermitGrant, outcome: PermitOutcome) -> None:
        """Clean up an attempt in the background, as a frozen engine must not delay the response."""
        task = asyncio.create_task(self._clean_up_attempt(grant, outcome))
        self.services.background_tasks.add(task)
        task.add_done_callback(self.services.background_tasks.discard)

    async def _clean_up_attempt(self, grant: PermitGrant, outcome: PermitOutcome) -> None:
        """Free the memory of the request on its engines, then release the permit.

        The clean-up counts as a running request, so a graceful shutdown waits for it.
        """
        first_token_s = self.attempt_first_token_s
        freed = False
        self.services.lifecycle.adjust_request_count(1)
        try:
            if outcome is PermitOutcome.FINISHED:
                freed = await release_segments(grant)
            else:
                cancels = (
                    cancel_on_engine(item.base_url, grant.request_id) for item in grant.placements
                )
                freed = all(await asyncio.gather(*cancels))
        finally:
            self.services.lifecycle.adjust_request_count(-1)
            if freed:
                self._release(grant, outcome, first_token_s)
            else:
                self.services.permits.abandon(grant.permit_id)

    def _release(
        self, grant: PermitGrant, outcome: PermitOutcome, first_token_s: float | None
    ) -> None:
        has_output = outcome is PermitOutcome.FINISHED and first_token_s is not None
        has_evidence = has_output or outcome is PermitOutcome.CRASHED
        self.services.permits.release(
            PermitRelease(
                permit_id=grant.permit_id,
                outcome=outcome,
                first_token_s=first_token_s,
                output_tokens=self.assembler.next_index,
                crash_names=self.crash_names if has_evidence else [],
                duration_s=time.monotonic() - self.attempt_started_s,
            )
        )

    def _remaining_s(self) -> float:
        return self.deadline_s - time.monotonic()

    def _record(self, measure: Measure, value_s: float) -> None:
        job = self.job
        self.services.histograms.record(job.client_account, job.length_class, measure, value_s)
        self.services.counters.time(f"{measure}.{job.length_class}", value_s)


def _is_unprocessed(failure: Failure) -> bool:
    """Return whether the engine of a failed attempt provably did not process the request."""
    if failure.kind is ErrorKind.UPSTREAM_REJECTED:
        return _read_reason(failure) in _OUTCOME_BY_REASON
    return failure.kind is ErrorKind.CONNECTION_FAILED


def _read_reason(failure: Failure) -> str:
    return failure.detail.rpartition(": ")[2]


def _find_permit_outcome(failure: Failure) -> PermitOutcome:
    """Map a failure to a permit outcome; only some refusal reasons indicate overload."""
    if failure.kind is ErrorKind.UPSTREAM_REJECTED:
        return _OUTCOME_BY_REASON.get(_read_reason(failure), PermitOutcome.FAILED)
    return PermitOutcome.FAILED
