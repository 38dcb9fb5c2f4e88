"""Prompts that span several engines.

The prompt is cut into segments, one per engine. Every engine reserves its memory first, in the
order of the permit; then the segments are computed in order and handed to the last engine, which
generates the answer. The pool owner has set aside the memory of all engines in one step, so two
such prompts never wait for each other.
"""

import asyncio
import dataclasses

from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._engine import CompletionRequest, make_call, read_reason
from laburnumrock.gateway._upstream_http import exchange
from laburnumrock.placement import PermitGrant, Placement

# The engine frees a reservation by itself after this time if its cancellation is lost as well.
RESERVATION_TTL_S = 300.0


async def prepare_segments(
    grant: PermitGrant, request: CompletionRequest
) -> Result[CompletionRequest, Failure]:
    """Compute the parts of a spanning prompt that do not run on the last engine.

    Parameters
    ----------
    grant : PermitGrant
        Permit with the engines in order.
    work : CompletionRequest
        The whole completion.

    Returns
    -------
    Result
        The work for the last engine; unchanged when the prompt does not span engines.
    """
    if len(grant.placements) == 1:
        return Ok(request)
    words = request.prompt.split()
    segments = []
    for placement in grant.placements:
        reserved = await _reserve(placement, request.request_id)
        if reserved.is_err():
            return reserved
    last = grant.placements[-1]
    for placement, following in zip(grant.placements, grant.placements[1:], strict=False):
        start, end = placement.first_token_index, following.first_token_index
        text = " ".join(words[start:end])
        moved = await _compute_segment(placement, last, request.request_id, text, (start, end))
        if moved.is_err():
            return moved
        segments.append(moved.unwrap())
    return Ok(dataclasses.replace(request, kv_segments=segments))


async def release_segments(grant: PermitGrant) -> None:
    """Free the memory that a finished spanning prompt holds on the other engines."""
    body = {"request_id": grant.request_id}
    await asyncio.gather(
        *(
            exchange(make_call(placement.base_url, "/v1/kv/release", body))
            for placement in grant.placements[:-1]
        )
    )


async def _reserve(placement: Placement, request_id: str) -> Result[dict, Failure]:
    return await _ask(
        placement.base_url,
        "/v1/kv/reserve",
        {"request_id": request_id, "tokens": placement.kv_tokens, "ttl_s": RESERVATION_TTL_S},
    )


async def _compute_segment(
    placement: Placement, last: Placement, request_id: str, text: str, bounds: tuple[int, int]
) -> Result[dict, Failure]:
    start, end = bounds
    body = {"request_id": request_id, "prompt": text, "start": start, "end": end}
    computed = await _ask(placement.base_url, "/v1/kv/prefill", body)
    if computed.is_err():
        return computed
    exported = await _ask(placement.base_url, "/v1/kv/export", {"request_id": request_id})
    if exported.is_err():
        return exported
    segment = {
        "source": placement.base_url,
        "handle": exported.unwrap().get("handle"),
        "start": start,
        "end": end,
    }
    body = {key: segment[key] for key in ("source", "handle")}
    imported = await _ask(last.base_url, "/v1/kv/import", {"request_id": request_id, **body})
    return imported if imported.is_err() else Ok(segment)


async def _ask(base_url: str, path: str, body: dict) -> Result[dict, Failure]:
    result = await exchange(make_call(base_url, path, body))
    if result.is_err():
        return result
    answer = result.unwrap()
    if answer.status != 200:
        detail = f"{path} was refused with {answer.status}: {read_reason(answer)}"
        return Err(Failure(ErrorKind.UPSTREAM_REJECTED, detail))
    try:
        document = parse_json(answer.body or b"{}")
    except ValueError:
        return Err(Failure(ErrorKind.UPSTREAM_FAILED, f"{path}: the answer is not JSON"))
    return Ok(document if isinstance(document, dict) else {})
