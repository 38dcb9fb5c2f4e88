"""HTTP handler for plain services, which are served by application engines."""

import asyncio
import functools
import time
from dataclasses import dataclass

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.declarations import Service, ServicePath, Template
from laburnumrock.errors import ErrorKind, Failure, Outcome
from laburnumrock.gateway._accounts import identify_account
from laburnumrock.gateway._handler import BodyHandler
from laburnumrock.gateway._interfaces import Dispatch
from laburnumrock.gateway._planned_stop import make_cut_failure, run_until_cut
from laburnumrock.gateway._upstream_http import UpstreamCall, UpstreamResponse, exchange, is_refused
from laburnumrock.journal import OperationState, RecordedAnswer
from laburnumrock.placement import PermitGrant, PermitOutcome, PermitRelease, PermitRequest
from laburnumrock.quarantine import digest_request

IDEMPOTENCY_HEADER = "Idempotency-Key"
REPLAY_HEADER = "Idempotent-Replay"
MAX_KEY_LENGTH = 200
MAX_ATTEMPTS = 3
RETRY_AFTER_FAILURE_S = 1.0
SETTLE_S = 1.0
"""Time for recording the outcome of an operation that the planned stop cuts."""

# Response headers of an upstream that are forwarded to the caller and recorded for replay.
FORWARDED_HEADERS = ("Content-Type", "Location", "ETag")


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """Validated call of a plain service.

    Parameters
    ----------
    template : Template
        Template of the client account.
    service : Service
        Declared service.
    path : ServicePath
        Declared path.
    idempotency_key : str, optional
        Idempotency key sent by the caller; always set when the path is not repeatable.
    body : bytes
        Request body.
    deadline_s : float
        Deadline on the monotonic clock.
    """

    template: Template
    service: Service
    path: ServicePath
    idempotency_key: str | None
    body: bytes
    deadline_s: float

    def remaining_s(self) -> float:
        """Return the time left until the deadline in seconds."""
        return self.deadline_s - time.monotonic()


class ServicesHandler(BodyHandler):
    """Routes calls to plain services; calls to non-repeatable paths run at most once."""

    async def get(self, service: str, path: str) -> None:
        """Route a read-only call."""
        await self._route(service, path)

    async def post(self, service: str, path: str) -> None:
        """Route a call that may change state."""
        await self._route(service, path)

    async def _route(self, service: str, path: str) -> None:
        self.end_reading()
        call = self._read_call(service, path)
        if call.is_err():
            self.finish_with_failure(call.unwrap_err())
            return
        self.services.lifecycle.adjust_request_count(1)
        try:
            self._respond(service, await self._run_until_cut(call.unwrap()))
            await self.wait_until_written()
        finally:
            self.services.lifecycle.adjust_request_count(-1)

    async def _run_until_cut(self, call: ServiceCall) -> Result[RecordedAnswer, Failure]:
        lifecycle = self.services.lifecycle
        self.was_sent = False
        extra_s = 0.0 if call.path.repeatable else SETTLE_S
        result = await run_until_cut(lifecycle, self._run(call), extra_s)
        if result is not None:
            return result
        if call.path.repeatable:
            return Err(make_cut_failure(self.was_sent))
        # The outcome is not recorded. The operation is closed when the instance starts again, or is
        # known to be dead.
        if self.was_sent:
            return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "this instance stopped meanwhile"))
        detail = "this instance stopped before the request was sent"
        return Err(Failure(ErrorKind.JOURNAL_UNAVAILABLE, detail, retry_after_s=SETTLE_S))

    def _respond(self, service: str, result: Result[RecordedAnswer, Failure]) -> None:
        if result.is_err():
            self.finish_with_failure(result.unwrap_err())
            return
        response = result.unwrap()
        log_message(
            "service_answered",
            request_id=self.request_id,
            service=service,
            status=response.status,
            replayed=response.replayed,
        )
        self._write_response(response)

    def _read_call(self, service_name: str, path_name: str) -> Result[ServiceCall, Failure]:
        template = identify_account(self.request.headers, self.services.declarations)
        if template.is_err():
            return template
        service = self.services.declarations.find_service(service_name)
        path = service.find_path(path_name) if service is not None else None
        if path is None:
            detail = f"no declared service path {service_name}/{path_name}"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        key = self._read_key(path)
        if key.is_err():
            return key
        body = self.read_body()
        if body.is_err():
            return body
        return Ok(
            ServiceCall(
                template=template.unwrap(),
                service=service,
                path=path,
                idempotency_key=key.unwrap(),
                body=body.unwrap(),
                deadline_s=time.monotonic() + service.timeout_s,
            )
        )

    def _read_key(self, path: ServicePath) -> Result[str | None, Failure]:
        key = self.request.headers.get(IDEMPOTENCY_HEADER)
        if key is None and not path.repeatable:
            failure = Failure(ErrorKind.IDEMPOTENCY_KEY_MISSING, field_path=IDEMPOTENCY_HEADER)
            return Err(failure)
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            detail = f"must have 1 to {MAX_KEY_LENGTH} characters"
            failure = Failure(ErrorKind.INVALID_REQUEST, detail, field_path=IDEMPOTENCY_HEADER)
            return Err(failure)
        return Ok(key)

    async def _run(self, call: ServiceCall) -> Result[RecordedAnswer, Failure]:
        if not self.services.lifecycle.accepts_work():
            return await self._refuse(call, Failure(ErrorKind.STOPPING, retry_after_s=1.0))
        account = call.template.client_account
        quota = await self.services.quotas.acquire(account, "", 0)
        if quota.is_err():
            return await self._refuse(call, quota.unwrap_err())
        try:
            if call.path.repeatable:
                return await self._run_repeatable(call)
            return await self._run_at_most_once(call)
        finally:
            self.services.quotas.release(quota.unwrap())

    async def _refuse(self, call: ServiceCall, failure: Failure) -> Result[RecordedAnswer, Failure]:
        """Refuse a call, reporting "not run" only if no earlier call with its key may have run."""
        if call.path.repeatable:
            return Err(failure)
        account, key = call.template.client_account, call.idempotency_key or ""
        found = await self.services.operations.find(account, key)
        if found.is_err():
            detail = f"this request was not sent: {failure}"
            return Err(Failure(ErrorKind.JOURNAL_UNAVAILABLE, detail, None, failure.retry_after_s))
        if found.unwrap().state in (None, OperationState.NOT_RUN, OperationState.VOIDED):
            return Err(failure)

        async def refuse() -> Result[RecordedAnswer, Failure]:
            return Err(failure)

        return await self._run_operation(call, refuse)

    async def _run_repeatable(self, call: ServiceCall) -> Result[RecordedAnswer, Failure]:
        excluded: list[str] = []
        result = Err(Failure(ErrorKind.NO_UPSTREAM))
        broken: Failure | None = None
        self.services.retries.record_first_attempt(time.monotonic())
        for attempt in range(1, MAX_ATTEMPTS + 1):
            if attempt > 1 and not self.services.retries.try_retry(time.monotonic()):
                return result
            granted = await self._acquire(call, attempt, excluded)
            if granted.is_err():
                return granted if not excluded else result
            result = await self._call_upstream(call, granted.unwrap(), None)
            if result.is_err() and result.unwrap_err().answer.outcome is Outcome.UNKNOWN:
                broken = result.unwrap_err()
            elif result.is_err() and broken is not None:
                # A failed connection proves nothing about the attempts before it.
                result = Err(broken)
            if result.is_ok() or call.remaining_s() <= 0:
                return result
            excluded.append(granted.unwrap().placements[0].upstream_id)
            self.services.counters.count("retries")
        return result

    async def _run_at_most_once(self, call: ServiceCall) -> Result[RecordedAnswer, Failure]:
        """Run an operation, claiming it again only while it is proved that nothing was sent."""
        excluded: list[str] = []
        self.services.retries.record_first_attempt(time.monotonic())
        for attempt in range(1, MAX_ATTEMPTS + 1):
            dispatch = functools.partial(self._dispatch, call, attempt, excluded)
            result = await self._run_operation(call, dispatch)
            # A failed connection proves that nothing was sent: the operation has been settled as
            # not run and may be claimed again.
            unsent = result.is_err() and result.unwrap_err().kind is ErrorKind.CONNECTION_FAILED
            if not unsent or attempt == MAX_ATTEMPTS or call.remaining_s() <= 0:
                return result
            if not self.services.retries.try_retry(time.monotonic()):
                return result
            self.services.counters.count("retries")
        return result

    async def _dispatch(
        self, call: ServiceCall, attempt: int, excluded: list[str]
    ) -> Result[RecordedAnswer, Failure]:
        lifecycle = self.services.lifecycle
        granted = await run_until_cut(lifecycle, self._acquire(call, attempt, excluded))
        if granted is None:
            return Err(make_cut_failure(may_have_run=False))
        if granted.is_err():
            return granted
        # Some time after the deadline, an operator may settle the operation as not run. A process
        # that was frozen until then must not send the request when it resumes.
        work = self._call_upstream(call, granted.unwrap(), call.deadline_s)
        result = await run_until_cut(lifecycle, work)
        if result is None:
            return Err(make_cut_failure(may_have_run=True))
        if result.is_err():
            excluded.append(granted.unwrap().placements[0].upstream_id)
        return result

    async def _run_operation(
        self, call: ServiceCall, dispatch: Dispatch
    ) -> Result[RecordedAnswer, Failure]:
        return await self.services.operations.run(
            call.template.client_account,
            call.idempotency_key or "",
            self._fingerprint(call.body),
            call.remaining_s(),
            dispatch,
        )

    def _fingerprint(self, body: bytes) -> str:
        request = self.request
        return digest_request(request.method.encode(), request.uri.encode(), body)

    async def _acquire(
        self, call: ServiceCall, attempt: int, excluded: list[str]
    ) -> Result[PermitGrant, Failure]:
        return await self.services.permits.acquire(
            PermitRequest(
                request_id=self.request_id,
                attempt=attempt,
                client_account=call.template.client_account,
                caller="",
                model=call.service.name,
                prompt_tokens=0,
                max_output_tokens=0,
                remaining_s=max(call.remaining_s(), 0.0),
                priority=call.template.priority,
                excluded_upstreams=list(excluded),
                request_name=self.name_request(call.template.client_account),
            )
        )

    async def _call_upstream(
        self, call: ServiceCall, grant: PermitGrant, send_deadline_s: float | None
    ) -> Result[RecordedAnswer, Failure]:
        outcome = PermitOutcome.FAILED
        began_s = time.monotonic()
        self.was_sent = True
        try:
            async with asyncio.timeout(call.remaining_s()):
                result = await exchange(self._make_call(call, grant, send_deadline_s))
            if result.is_ok():
                outcome = PermitOutcome.FINISHED
            elif await self._has_crashed(grant, result.unwrap_err()):
                outcome = PermitOutcome.CRASHED
            return result.map(_to_recorded_answer)
        except TimeoutError:
            return Err(Failure(ErrorKind.DEADLINE_EXCEEDED, retry_after_s=RETRY_AFTER_FAILURE_S))
        finally:
            has_evidence = outcome in (PermitOutcome.FINISHED, PermitOutcome.CRASHED)
            release = PermitRelease(
                grant.permit_id,
                outcome,
                crash_names=(
                    [self.name_request(call.template.client_account)] if has_evidence else []
                ),
                duration_s=time.monotonic() - began_s,
            )
            self.services.permits.release(release)

    async def _has_crashed(self, grant: PermitGrant, failure: Failure) -> bool:
        """Return whether the upstream of a call crashed while it worked on it."""
        placement = grant.placements[0]
        sent = failure.kind is ErrorKind.UPSTREAM_FAILED
        if not sent or not await is_refused(placement.base_url):
            return False
        log_message("upstream_crashed", request_id=self.request_id, upstream=placement.upstream_id)
        return True

    def _make_call(
        self, call: ServiceCall, grant: PermitGrant, send_deadline_s: float | None
    ) -> UpstreamCall:
        headers = {"X-Request-Id": self.request_id}
        if "Content-Type" in self.request.headers:
            headers["Content-Type"] = self.request.headers["Content-Type"]
        if call.idempotency_key is not None:
            headers[IDEMPOTENCY_HEADER] = call.idempotency_key
        query = f"?{self.request.query}" if self.request.query else ""
        return UpstreamCall(
            grant.placements[0].base_url,
            self.request.method or "GET",
            f"/{call.path.path}{query}",
            headers,
            call.body,
            self.services.settings.timing.connect_timeout_s,
            send_deadline_s,
        )

    def _write_response(self, response: RecordedAnswer) -> None:
        self.set_status(response.status)
        self.clear_header("Content-Type")
        for name, value in response.headers.items():
            self.set_header(name, value)
        if response.replayed:
            self.set_header(REPLAY_HEADER, "true")
        self.finish(response.body)


def _to_recorded_answer(response: UpstreamResponse) -> RecordedAnswer:
    headers = {
        name: response.headers[name] for name in FORWARDED_HEADERS if name in response.headers
    }
    return RecordedAnswer(status=response.status, headers=headers, body=response.body)
