"""Prompts whose KV cache spans several engines.

The prompt is split into segments, one per engine. KV cache memory is first reserved on every engine
in the order of the permit. The segments are then computed in order and transferred to the last
engine, which generates the completion. The pool owner allocates the memory of all engines in one
step, so two such prompts cannot deadlock by waiting for each other's memory.
"""

import asyncio
import dataclasses

from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._engine import (
    CompletionRequest,
    free_on_engine,
    make_call,
    read_refusal_reason,
)
from laburnumrock.gateway._upstream_http import exchange
from laburnumrock.placement import PermitGrant, Placement

# An engine frees a reservation after this time if the cancellation is lost as well.
RESERVATION_TTL_S = 300.0


async def prepare_segments(
    grant: PermitGrant, request: CompletionRequest
) -> Result[CompletionRequest, Failure]:
    """Compute all segments of a spanning prompt except that of the last engine.

    Parameters
    ----------
    grant : PermitGrant
        Permit that lists the engines in prompt order.
    request : CompletionRequest
        Request for the whole completion.

    Returns
    -------
    Result
        Request for the last engine; unchanged when the prompt does not span engines.
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
    for placement, next_placement in zip(grant.placements, grant.placements[1:], strict=False):
        start, end = placement.first_token_index, next_placement.first_token_index
        text = " ".join(words[start:end])
        segment = await _compute_segment(placement, last, request.request_id, text, (start, end))
        if segment.is_err():
            return segment
        segments.append(segment.unwrap())
    return Ok(dataclasses.replace(request, kv_segments=segments))


async def release_segments(grant: PermitGrant) -> bool:
    """Release the KV cache of a finished spanning prompt on all engines except the last.

    Returns
    -------
    bool
        Whether all engines confirmed.
    """
    confirmed = await asyncio.gather(
        *(
            free_on_engine(placement.base_url, "/v1/kv/release", grant.request_id)
            for placement in grant.placements[:-1]
        )
    )
    return all(confirmed)


async def _reserve(placement: Placement, request_id: str) -> Result[dict, Failure]:
    return await _post_json(
        placement.base_url,
        "/v1/kv/reserve",
        {"request_id": request_id, "tokens": placement.kv_tokens, "ttl_s": RESERVATION_TTL_S},
    )


async def _compute_segment(
    placement: Placement, last: Placement, request_id: str, text: str, bounds: tuple[int, int]
) -> Result[dict, Failure]:
    start, end = bounds
    body = {"request_id": request_id, "prompt": text, "start": start, "end": end}
    computed = await _post_json(placement.base_url, "/v1/kv/prefill", body)
    if computed.is_err():
        return computed
    exported = await _post_json(placement.base_url, "/v1/kv/export", {"request_id": request_id})
    if exported.is_err():
        return exported
    segment = {
        "source": placement.base_url,
        "handle": exported.unwrap().get("handle"),
        "start": start,
        "end": end,
    }
    body = {key: segment[key] for key in ("source", "handle")}
    imported = await _post_json(last.base_url, "/v1/kv/import", {"request_id": request_id, **body})
    return imported if imported.is_err() else Ok(segment)


async def _post_json(base_url: str, path: str, body: dict) -> Result[dict, Failure]:
    result = await exchange(make_call(base_url, path, body))
    if result.is_err():
        return result
    response = result.unwrap()
    if response.status != 200:
        detail = f"{path} was refused with {response.status}: {read_refusal_reason(response)}"
        return Err(Failure(ErrorKind.UPSTREAM_REJECTED, detail))
    try:
        document = parse_json(response.body or b"{}")
    except ValueError:
        return Err(Failure(ErrorKind.UPSTREAM_FAILED, f"{path}: the answer is not JSON"))
    return Ok(document if isinstance(document, dict) else {})
