"""Client for the HTTP API of model engines."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._assembler import CompletionAssembler
from laburnumrock.gateway._sse import EventParser
from laburnumrock.gateway._upstream_http import UpstreamCall, UpstreamResponse, exchange

JSON_HEADERS = {"Content-Type": "application/json"}
CANCEL_ATTEMPTS = 5
CANCEL_RETRY_S = 0.2
CANCEL_TIMEOUT_S = 2.0

TextHandler = Callable[[str], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """Completion requested from an engine.

    Parameters
    ----------
    request_id : str
        Id of the caller's request.
    model : str
        Model name.
    prompt : str
        Complete prompt.
    max_tokens : int
        Tokens to generate, including those delivered by earlier attempts.
    priority : int
        Scheduling priority; higher values are more urgent.
    adapter, version : str, optional
        Adapter and model version.
    kv_segments : list of dict
        Prompt segments whose KV cache was computed on other engines.
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
    """Run one attempt of a completion on an engine and deliver the generated text.

    Parameters
    ----------
    base_url : str
        URL of the engine.
    request : CompletionRequest
        Completion to generate.
    assembler : CompletionAssembler
        Provides the attempt number and the token index from which to resume.
    on_text : coroutine function
        Receives the text of each token in order, once.
    connect_timeout_s : float, > 0
        Connection timeout in seconds.

    Returns
    -------
    Result
        None when the completion is complete. Failures have the kinds ``connection_failed``,
        ``upstream_rejected`` (the engine refused without processing) and ``upstream_failed``.
    """
    parser = EventParser()
    stream_failure: asyncio.Future[Failure] = asyncio.get_running_loop().create_future()

    async def handle_chunk(chunk: bytes) -> None:
        if stream_failure.done():
            return
        failure = await _deliver(parser, chunk, assembler, on_text)
        if failure is not None and not stream_failure.done():
            stream_failure.set_result(failure)

    call = make_call(base_url, "/v1/completions", _completion_body(request, assembler))
    call = UpstreamCall(
        call.base_url, call.method, call.path, call.headers, call.body, connect_timeout_s
    )
    exchange_task = asyncio.create_task(exchange(call, handle_chunk))
    try:
        await asyncio.wait([exchange_task, stream_failure], return_when=asyncio.FIRST_COMPLETED)
        if stream_failure.done():
            return Err(stream_failure.result())
        return _check_completion(exchange_task.result(), assembler)
    finally:
        exchange_task.cancel()


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


def _check_completion(
    result: Result[UpstreamResponse, Failure], assembler: CompletionAssembler
) -> Result[None, Failure]:
    # The end marker proves that the completion is complete, even if the connection breaks later.
    if assembler.complete:
        return Ok(None)
    if result.is_err():
        return result
    response = result.unwrap()
    if response.status != 200:
        reason = read_refusal_reason(response)
        detail = f"the engine answered {response.status}: {reason}"
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
    """Build a JSON POST request to an upstream."""
    return UpstreamCall(base_url, "POST", path, JSON_HEADERS, json.dumps(body).encode())


def read_refusal_reason(response: UpstreamResponse) -> str:
    """Return the refusal reason from an engine's response, or an empty string."""
    try:
        reason = parse_json(response.body).get("reason", "")
    except (ValueError, AttributeError):
        return ""
    return str(reason)


async def cancel_on_engine(base_url: str, request_id: str) -> bool:
    """Cancel a request on an engine, retrying until the engine confirms.

    Parameters
    ----------
    base_url : str
        URL of the engine.
    request_id : str
        Id of the request to cancel.

    Returns
    -------
    bool
        Whether the engine confirmed the cancellation. If it did not, the pool owner continues to
        cancel the request after the permit has expired.
    """
    return await free_on_engine(base_url, "/v1/cancel", request_id)


async def free_on_engine(base_url: str, path: str, request_id: str) -> bool:
    """Free the memory of a request on an engine, retrying until the engine confirms.

    Parameters
    ----------
    base_url : str
        URL of the engine.
    path : str
        ``/v1/cancel`` or ``/v1/kv/release``.
    request_id : str
        Id of the request.

    Returns
    -------
    bool
        Whether the engine confirmed.
    """
    call = make_call(base_url, path, {"request_id": request_id})
    for _ in range(CANCEL_ATTEMPTS):
        try:
            async with asyncio.timeout(CANCEL_TIMEOUT_S):
                result = await exchange(call)
        except TimeoutError:
            continue
        if result.is_ok() and result.unwrap().status == 200:
            return True
        await asyncio.sleep(CANCEL_RETRY_S)
    return False
