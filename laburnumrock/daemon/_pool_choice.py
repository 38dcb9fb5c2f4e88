"""Choice of the pool, and with it the failure domain, for a request."""

import math
import zlib
from dataclasses import dataclass

from laburnumrock.daemon._pool_directory import SUMMARY_EXPIRY_S, KnownPool, PoolDirectory
from laburnumrock.daemon._pool_runner import ServiceStateView
from laburnumrock.ownership import MODEL_POOL, SERVICE_POOL
from laburnumrock.placement import PermitRequest, classify_length

REMOTE_ADVANTAGE_S = 0.5
"""Another failure domain must be expected to start the request this much earlier."""

COST_DIGITS = 2
"""Differences below 10 ms are less than the age of the summaries can tell."""

CRC_RANGE = 2**32

UNKNOWN_WAIT_S = 60.0
"""Assumed wait for a class that a pool does not serve at present; it is asked last."""


@dataclass(frozen=True, slots=True)
class PoolChoice:
    """Pool to ask.

    Parameters
    ----------
    pool_id : str, optional
        None when no pool can be asked now.
    may_appear : bool
        Whether a pool is known that only lacks an owner.
    """

    pool_id: str | None
    may_appear: bool = False


def choose_pool(
    directory: PoolDirectory,
    view: ServiceStateView,
    request: PermitRequest,
    tried: set[str],
    now_s: float,
) -> PoolChoice:
    """Choose the pool for a request: the own failure domain unless another is clearly better.

    Parameters
    ----------
    directory : PoolDirectory
        Known pools.
    view : DeclarationView
        Service states; when they are stale, only the own failure domain is used.
    request : PermitRequest
        What is needed.
    tried : set of str
        Pools that refused the request.
    now_s : float
        Clock reading in seconds.

    Returns
    -------
    PoolChoice
        The pool to ask.
    """
    own_domain = directory.failure_domain
    is_stale = view.is_stale(now_s)
    best: tuple[float, float, str] | None = None
    may_appear = False
    for kind in (MODEL_POOL, SERVICE_POOL):
        for pool in directory.find_pools(kind, request.model):
            pool_id = pool.name.pool_id
            is_own = pool.name.failure_domain == own_domain
            if pool_id in tried or (is_stale and not is_own):
                continue
            if not view.is_in_service("failure_domain", pool.name.failure_domain):
                continue
            if directory.find_owner(pool_id) is None:
                may_appear = may_appear or is_own
                continue
            cost_s = _expected_wait_s(pool, request, is_own, now_s)
            if cost_s is None:
                continue
            key = (round(cost_s, COST_DIGITS), _spread(pool, request), pool_id)
            best = key if best is None else min(best, key)
    return PoolChoice(None if best is None else best[2], may_appear)


def _spread(pool: KnownPool, request: PermitRequest) -> float:
    """Return a number that spreads requests over equal pools in proportion to free memory.

    Every entry instance would otherwise send all its requests to the same shard until the next
    summaries arrive.
    """
    key = f"{request.request_id}/{request.attempt}/{pool.name.pool_id}".encode()
    draw = (zlib.crc32(key) + 1) / (CRC_RANGE + 1)
    free = 1 if pool.summary is None else 1 + pool.summary.free_kv_tokens
    return -math.log(draw) / free


def _expected_wait_s(
    pool: KnownPool, request: PermitRequest, is_own: bool, now_s: float
) -> float | None:
    """Return the expected wait with the cost of distance; None for an unusable pool."""
    summary = pool.summary
    is_recent = summary is not None and now_s - pool.received_s < SUMMARY_EXPIRY_S
    if not is_recent:
        # The owner of an own pool is known from the coordinator and may be asked at once.
        return 0.0 if is_own else None
    if not summary.in_service:
        return None
    # The memory of the pool's engines is not known here, so that `spanning` counts as `long`.
    length_class = classify_length(request.prompt_tokens, request.max_output_tokens, 0)
    wait_s = summary.expected_wait_s.get(length_class.value)
    if wait_s is None:
        return UNKNOWN_WAIT_S
    if is_own:
        return wait_s
    # Another domain is not asked when its queue alone exceeds the deadline.
    return wait_s + REMOTE_ADVANTAGE_S if wait_s < request.remaining_s else None
