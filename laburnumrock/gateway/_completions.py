"""HTTP handler for ``POST /v1/completions``."""

import asyncio
import sys

from eliot import log_message
from result import Err, Ok, Result
from tornado.iostream import StreamClosedError

from laburnumrock.declarations import Deadlines, Template
from laburnumrock.errors import ErrorKind, Failure, problem_document
from laburnumrock.gateway._accounts import identify_account
from laburnumrock.gateway._bodies import CompletionBody, parse_body
from laburnumrock.gateway._completion_run import CompletionJob, CompletionRun
from laburnumrock.gateway._engine import CompletionRequest
from laburnumrock.gateway._handler import BodyHandler
from laburnumrock.gateway._planned_stop import make_cut_failure, run_until_cut
from laburnumrock.gateway._sse import COMMENT, DONE, format_event
from laburnumrock.placement import LengthClass, classify_length
from laburnumrock.streams import CallerStream
from laburnumrock.upstreams import hash_prefixes

TIMEOUT_HEADER = "X-Timeout-S"


class CompletionsHandler(BodyHandler):
    """Serves completions, either as one document or as server-sent events."""

    def initialize(self, services) -> None:
        """Store the services and reset the state of the request."""
        super().initialize(services)
        self.run_task: asyncio.Task | None = None
        self.caller_left = False
        self.is_flushing = False
        self.streaming = False
        self.text_parts: list[str] = []

    async def post(self) -> None:
        """Validate and run one completion, and write the response."""
        self.end_reading()
        job = self._read_job()
        if job.is_err():
            self.finish_with_failure(job.unwrap_err())
            return
        lifecycle = self.services.lifecycle
        run = CompletionRun(self.services, job.unwrap(), self._handle_text)
        lifecycle.adjust_request_count(1)
        try:
            self.run_task = asyncio.create_task(run_until_cut(lifecycle, self._run(run)))
            result = await self.run_task
            if result is None:
                result = Err(make_cut_failure(run.may_have_run))
            self._write_response(result, job.unwrap())
            await self.wait_until_written()
        except asyncio.CancelledError as error:
            if self.caller_left:
                log_message("caller_left", request_id=self.request_id)
            else:
                # A call that the run waited for was cancelled; the caller still waits.
                await self._answer_error(error)
        except Exception as error:
            await self._answer_error(error)
        finally:
            lifecycle.adjust_request_count(-1)

    def on_connection_close(self) -> None:
        """Cancel the completion when the caller disconnects."""
        super().on_connection_close()
        self.caller_left = True
        if self.run_task is not None:
            self.run_task.cancel()

    async def _answer_error(self, error: BaseException) -> None:
        """Report an unexpected error, after which tornado would end a stream like a regular one."""
        self.log_exception(*sys.exc_info())
        log_message("request_raised", request_id=self.request_id, error=repr(error))
        if not self._finished:
            self._write_failure(Failure(ErrorKind.INTERNAL))
            await self.wait_until_written()

    def _read_job(self) -> Result[CompletionJob, Failure]:
        if not self.services.lifecycle.accepts_work():
            return Err(Failure(ErrorKind.STOPPING, retry_after_s=1.0))
        template = identify_account(self.request.headers, self.services.declarations)
        if template.is_err():
            return template
        body = self.read_body().and_then(lambda data: parse_body(CompletionBody, data))
        if body.is_err():
            return body
        self.streaming = body.unwrap().stream
        return self._make_job(template.unwrap(), body.unwrap())

    def _make_job(self, template: Template, body: CompletionBody) -> Result[CompletionJob, Failure]:
        if body.model is not None and body.model != template.model:
            detail = f"this client account uses model {template.model!r}, got {body.model!r}"
            return Err(Failure(ErrorKind.UNKNOWN_MODEL, detail, field_path="model"))
        if body.max_tokens > template.max_output_tokens:
            detail = f"must be <= {template.max_output_tokens}, got {body.max_tokens}"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, field_path="max_tokens"))
        words = body.prompt.split()
        prompt_tokens = len(words)
        if prompt_tokens == 0:
            detail = "must contain at least one word"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, field_path="prompt"))
        # The deadline depends only on the request, not on engine memory, which only the pool owner
        # knows; `sys.maxsize` therefore stands for unlimited memory.
        length_class = classify_length(prompt_tokens, body.max_tokens, sys.maxsize)
        timeout = self._read_timeout(_find_deadline_s(template.deadlines, length_class))
        if timeout.is_err():
            return timeout
        request = CompletionRequest(
            request_id=self.request_id,
            model=template.model,
            prompt=body.prompt,
            max_tokens=body.max_tokens,
            priority=template.priority,
            adapter=template.adapter,
            version=template.version,
        )
        return Ok(
            CompletionJob(
                work=request,
                client_account=template.client_account,
                caller=body.user,
                prompt_tokens=prompt_tokens,
                length_class=str(length_class),
                timeout_s=timeout.unwrap(),
                prefix_hashes=[prefix_hash for _, prefix_hash in hash_prefixes(words)],
                request_name=self.name_request(template.client_account),
            )
        )

    def _read_timeout(self, max_timeout_s: float) -> Result[float, Failure]:
        text = self.request.headers.get(TIMEOUT_HEADER)
        if text is None:
            return Ok(max_timeout_s)
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = 0.0
        if not timeout_s > 0:
            detail = f"must be a number of seconds > 0, got {text!r}"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, field_path=TIMEOUT_HEADER))
        return Ok(min(timeout_s, max_timeout_s))

    async def _run(self, run: CompletionRun) -> Result[None, Failure]:
        job = run.job
        tokens = job.prompt_tokens + job.work.max_tokens
        quota = await self.services.quotas.acquire(job.client_account, job.caller, tokens)
        if quota.is_err():
            return quota
        try:
            return await run.run()
        finally:
            self.services.quotas.release(quota.unwrap())

    async def _handle_text(self, text: str) -> None:
        if not self.streaming:
            self.text_parts.append(text)
            return
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
            self._probe_with_comments()
        self.write(format_event(self._make_chunk(text, None)))
        self.is_flushing = True
        try:
            await self.flush()
        except StreamClosedError:
            # The caller disconnected; `on_connection_close` cancels the completion.
            return
        finally:
            self.is_flushing = False

    def _probe_with_comments(self) -> None:
        """Let comments show whether a caller that has closed its sending side still reads."""
        stream = self.request.connection.stream
        if isinstance(stream, CallerStream):
            stream.write_probe = self._write_comment

    def _write_comment(self) -> None:
        # Tornado never completes a flush beside which something else is written.
        if not self.is_flushing and not self._finished:
            self.write(COMMENT)
            self.flush()

    def _write_response(self, result: Result[None, Failure], job: CompletionJob) -> None:
        if result.is_err():
            self._write_failure(result.unwrap_err())
        elif self.streaming:
            self.write(format_event(self._make_chunk("", "length")))
            self.finish(format_event(DONE))
        else:
            response = self._make_chunk("".join(self.text_parts), "length")
            response["usage"] = {
                "prompt_tokens": job.prompt_tokens,
                "completion_tokens": len(self.text_parts),
            }
            self.finish(response)

    def _write_failure(self, failure: Failure) -> None:
        if not self._headers_written:
            self.finish_with_failure(failure)
            return
        document = problem_document(failure, self.request_id)
        self.finish(format_event(document, name="error"))

    def _make_chunk(self, text: str, finish_reason: str | None) -> dict[str, object]:
        choice = {"text": text, "index": 0, "finish_reason": finish_reason}
        return {"id": self.request_id, "object": "text_completion", "choices": [choice]}


def _find_deadline_s(deadlines: Deadlines, length_class: LengthClass) -> float:
    if length_class is LengthClass.SHORT:
        return deadlines.short_s
    if length_class is LengthClass.MEDIUM:
        return deadlines.medium_s
    return deadlines.long_s
