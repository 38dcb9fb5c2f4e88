"""Calls to a model engine."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._assembler import CompletionAssembler
from laburnumrock.gateway._sse import EventParser
from laburnumrock.gateway._upstream_http import UpstreamAnswer, UpstreamCall, exchange

JSON_HEADERS = {"Content-Type": "application/json"}
CANCEL_ATTEMPTS = 5
CANCEL_RETRY_S = 0.2
CANCEL_TIMEOUT_S = 2.0

TextHandler = Callable[[str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """Completion that an engine is asked for.

    Parameters
    ----------
    request_id : str
        Caller's request.
    model : str
        Model to use.
    prompt : str
        Whole prompt.
    max_tokens : int
        Tokens to generate, counted from the start of the answer.
    priority : int
        Higher is more urgent.
    adapter, version : str, optional
        Adapter and model version.
    kv_segments : list of dict
        Parts of the prompt whose KV cache was computed on other engines.
    """

    request_id: str
    model: str
    prompt: str
    max_tokens: int
    priority: int = 0
    adapter: str | None = None
    version: str | None = None
    kv_segments: list[dict] = field(default_factory=list)


async def stream_completion(
    base_url: str,
    request: CompletionRequest,
    assembler: CompletionAssembler,
    on_text: TextHandler,
    connect_timeout_s: float,
) -> Result[None, Failure]:
    """Run one attempt of a completion on an engine and deliver its text.

    Parameters
    ----------
    base_url : str
        Address of the engine.
    work : CompletionRequest
        What to generate.
    assembler : CompletionAssembler
        Holds the attempt number and the index from which to resume.
    on_text : coroutine function
        Receives the text of each token in order, once.
    connect_timeout_s : float, > 0
        Longest wait for the connection in seconds.

    Returns
    -------
    Result
        Nothing when the answer is complete. Failures are of the kinds ``connection_failed``,
        ``upstream_rejected`` (the engine refused before any request) and ``upstream_failed``.
    """
    parser = EventParser()
    broken: asyncio.Future[Failure] = asyncio.get_running_loop().create_future()

    async def take(chunk: bytes) -> None:
        if broken.done():
            return
        failure = await _deliver(parser, chunk, assembler, on_text)
        if failure is not None and not broken.done():
            broken.set_result(failure)

    call = make_call(base_url, "/v1/completions", _completion_body(request, assembler))
    call = UpstreamCall(
        call.base_url, call.method, call.path, call.headers, call.body, connect_timeout_s
    )
    running = asyncio.create_task(exchange(call, take))
    try:
        await asyncio.wait([running, broken], return_when=asyncio.FIRST_COMPLETED)
        if broken.done():
            return Err(broken.result())
        return _judge(running.result(), assembler)
    finally:
        running.cancel()


async def _deliver(
    parser: EventParser, chunk: bytes, assembler: CompletionAssembler, on_text: TextHandler
) -> Failure | None:
    try:
        events = parser.feed(chunk)
    except ValueError as error:
        return Failure(ErrorKind.UPSTREAM_FAILED, str(error))
    for event in events:
        accepted = assembler.accept(event)
        if accepted.is_err():
            return accepted.unwrap_err()
        text = accepted.unwrap()
        if text is not None:
            await on_text(text)
    return None


def _judge(
    result: Result[UpstreamAnswer, Failure], assembler: CompletionAssembler
) -> Result[None, Failure]:
    # The end marker proves the answer complete even when the connection breaks after it.
    if assembler.complete:
        return Ok(None)
    if result.is_err():
        return result
    answer = result.unwrap()
    if answer.status != 200:
        reason = read_reason(answer)
        detail = f"the engine answered {answer.status}: {reason}"
        return Err(Failure(ErrorKind.UPSTREAM_REJECTED, detail))
    return Err(Failure(ErrorKind.UPSTREAM_FAILED, "the stream ended before its end marker"))


def _completion_body(
    request: CompletionRequest, assembler: CompletionAssembler
) -> dict[str, object]:
    return {
        "request_id": request.request_id,
        "attempt": assembler.attempt,
        "model": request.model,
        "adapter": request.adapter,
        "version": request.version,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "priority": request.priority,
        "resume_from": assembler.next_index,
        "kv_segments": request.kv_segments,
    }


def make_call(base_url: str, path: str, body: dict[str, object]) -> UpstreamCall:
    """Build a JSON POST to an upstream."""
    return UpstreamCall(base_url, "POST", path, JSON_HEADERS, json.dumps(body).encode())


def read_reason(answer: UpstreamAnswer) -> str:
    """Return the reason that an engine gives for a refusal, or an empty string."""
    try:
        reason = parse_json(answer.body).get("reason", "")
    except (ValueError, AttributeError):
        return ""
    return str(reason)


async def cancel_on_engine(base_url: str, request_id: str) -> bool:
    """Tell an engine to cancel a request, repeated until it confirms.

    Parameters
    ----------
    base_url : str
        Address of the engine.
    request_id : str
        Request to cancel.

    Returns
    -------
    bool
        Whether the engine confirmed. When it did not, the pool owner goes on cancelling after the
        permit has expired.
    """
    call = make_call(base_url, "/v1/cancel", {"request_id": request_id})
    for _ in range(CANCEL_ATTEMPTS):
        try:
            result = await asyncio.wait_for(exchange(call), CANCEL_TIMEOUT_S)
        except TimeoutError:
            continue
        if result.is_ok() and result.unwrap().status == 200:
            return True
        await asyncio.sleep(CANCEL_RETRY_S)
    return False
