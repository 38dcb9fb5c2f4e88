"""Handler of ``POST /v1/completions``."""

import asyncio
import sys

from eliot import log_message
from result import Err, Ok, Result
from tornado.iostream import StreamClosedError

from laburnumrock.declarations import Deadlines, Template
from laburnumrock.errors import ErrorKind, Failure, problem_document
from laburnumrock.gateway._accounts import identify_account
from laburnumrock.gateway._bodies import CompletionBody, parse_body
from laburnumrock.gateway._completion_run import CompletionOrder, CompletionRun
from laburnumrock.gateway._engine import CompletionRequest
from laburnumrock.gateway._handler import BodyHandler
from laburnumrock.gateway._sse import DONE, format_event
from laburnumrock.placement import LengthClass, classify_length
from laburnumrock.upstreams import hash_prefixes

TIMEOUT_HEADER = "X-Timeout-S"


class CompletionsHandler(BodyHandler):
    """Answers completions, whole or as a stream of server-sent events."""

    def initialize(self, services) -> None:
        """Store the services; the running completion is set by `post`."""
        super().initialize(services)
        self.running: asyncio.Task | None = None
        self.streaming = False
        self.parts: list[str] = []

    async def post(self) -> None:
        """Admit, run and answer one completion."""
        order = self._read_order()
        if order.is_err():
            self.finish_with_failure(order.unwrap_err())
            return
        self.services.lifecycle.adjust_request_count(1)
        self.running = asyncio.create_task(self._run(order.unwrap()))
        try:
            result = await self.running
        except asyncio.CancelledError:
            log_message("caller_left", request_id=self.request_id)
            return
        finally:
            self.services.lifecycle.adjust_request_count(-1)
        self._answer(result, order.unwrap())

    def on_connection_close(self) -> None:
        """Stop the work for a caller that has gone away."""
        if self.running is not None:
            self.running.cancel()

    def _read_order(self) -> Result[CompletionOrder, Failure]:
        if not self.services.lifecycle.accepts_work():
            return Err(Failure(ErrorKind.STOPPING, retry_after_s=1.0))
        template = identify_account(self.request.headers, self.services.declarations)
        if template.is_err():
            return template
        body = self.read_body().and_then(lambda data: parse_body(CompletionBody, data))
        if body.is_err():
            return body
        self.streaming = body.unwrap().stream
        return self._make_order(template.unwrap(), body.unwrap())

    def _make_order(
        self, template: Template, body: CompletionBody
    ) -> Result[CompletionOrder, Failure]:
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
        # Deadlines depend on the prompt alone; only the pool owner knows the engines' memory.
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
            CompletionOrder(
                request=request,
                client_account=template.client_account,
                caller=body.user,
                prompt_tokens=prompt_tokens,
                length_class=str(length_class),
                deadline_s=timeout.unwrap(),
                prefix_hashes=[prefix_hash for _, prefix_hash in hash_prefixes(words)],
            )
        )

    def _read_timeout(self, longest_s: float) -> Result[float, Failure]:
        text = self.request.headers.get(TIMEOUT_HEADER)
        if text is None:
            return Ok(longest_s)
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = 0.0
        if not timeout_s > 0:
            detail = f"must be a number of seconds > 0, got {text!r}"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, field_path=TIMEOUT_HEADER))
        return Ok(min(timeout_s, longest_s))

    async def _run(self, order: CompletionOrder) -> Result[None, Failure]:
        tokens = order.prompt_tokens + order.request.max_tokens
        quota = await self.services.quotas.acquire(order.client_account, order.caller, tokens)
        if quota.is_err():
            return quota
        try:
            return await CompletionRun(self.services, order, self._take_text).run()
        finally:
            self.services.quotas.release(quota.unwrap())

    async def _take_text(self, text: str) -> None:
        if not self.streaming:
            self.parts.append(text)
            return
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
        self.write(format_event(self._chunk(text, None)))
        try:
            await self.flush()
        except StreamClosedError:
            # `on_connection_close` cancels the run.
            return

    def _answer(self, result: Result[None, Failure], order: CompletionOrder) -> None:
        if result.is_err():
            self._answer_failure(result.unwrap_err())
        elif self.streaming:
            self.write(format_event(self._chunk("", "length")))
            self.finish(format_event(DONE))
        else:
            answer = self._chunk("".join(self.parts), "length")
            answer["usage"] = {
                "prompt_tokens": order.prompt_tokens,
                "completion_tokens": len(self.parts),
            }
            self.finish(answer)

    def _answer_failure(self, failure: Failure) -> None:
        if not self._headers_written:
            self.finish_with_failure(failure)
            return
        document = problem_document(failure, self.request_id)
        self.finish(format_event(document, name="error"))

    def _chunk(self, text: str, finish_reason: str | None) -> dict[str, object]:
        choice = {"text": text, "index": 0, "finish_reason": finish_reason}
        return {"id": self.request_id, "object": "text_completion", "choices": [choice]}


def _find_deadline_s(deadlines: Deadlines, length_class: LengthClass) -> float:
    if length_class is LengthClass.SHORT:
        return deadlines.short_s
    if length_class is LengthClass.MEDIUM:
        return deadlines.medium_s
    return deadlines.long_s
