"""Chooses the pool, and thus the failure domain, for a request."""

import math
import zlib
from dataclasses import dataclass

from laburnumrock.daemon._pool_directory import SUMMARY_EXPIRY_S, KnownPool, PoolDirectory
from laburnumrock.daemon._pool_runner import ServiceStateView
from laburnumrock.ownership import MODEL_POOL, SERVICE_POOL
from laburnumrock.placement import PermitRequest, classify_length

REMOTE_ADVANTAGE_S = 0.5
"""Another failure domain is chosen only if its expected wait is shorter by at least this much."""

COST_DIGITS = 2
"""Waits are compared at 10 ms resolution; given the age of the summaries, finer is noise."""

CRC_RANGE = 2**32

UNKNOWN_WAIT_S = 60.0
"""Assumed wait for a length class that a pool does not currently serve; it is tried last."""


@dataclass(frozen=True, slots=True)
class PoolChoice:
    """Result of the choice of a pool.

    Parameters
    ----------
    pool_id : str, optional
        Chosen pool; None if no pool is usable now.
    awaits_owner : bool
        Whether a local pool is known that would be usable but has no owner yet.
    """

    pool_id: str | None
    awaits_owner: bool = False


def choose_pool(
    directory: PoolDirectory,
    view: ServiceStateView,
    request: PermitRequest,
    refused_by: set[str],
    now_s: float,
) -> PoolChoice:
    """Choose a pool for a request, preferring the local failure domain.

    Parameters
    ----------
    directory : PoolDirectory
        Known pools.
    view : DeclarationView
        Service states; while they are stale, only the local failure domain is used.
    request : PermitRequest
        Permit request.
    refused_by : set of str
        Ids of the pools that already refused the request.
    now_s : float
        Clock reading in seconds.

    Returns
    -------
    PoolChoice
        Pool with the lowest expected wait.
    """
    own_domain = directory.failure_domain
    is_stale = view.is_stale(now_s)
    best: tuple[float, float, str] | None = None
    awaits_owner = False
    for kind in (MODEL_POOL, SERVICE_POOL):
        for pool in directory.find_pools(kind, request.model):
            pool_id = pool.name.pool_id
            is_own = pool.name.failure_domain == own_domain
            if pool_id in refused_by or (is_stale and not is_own):
                continue
            if not view.is_in_service("failure_domain", pool.name.failure_domain):
                continue
            if directory.find_owner(pool_id) is None:
                awaits_owner = awaits_owner or is_own
                continue
            cost_s = _expected_wait_s(pool, request, is_own, now_s)
            if cost_s is None:
                continue
            key = (round(cost_s, COST_DIGITS), _rendezvous_score(pool, request), pool_id)
            best = key if best is None else min(best, key)
    return PoolChoice(None if best is None else best[2], awaits_owner)


def _rendezvous_score(pool: KnownPool, request: PermitRequest) -> float:
    """Return a weighted rendezvous hash score; the pool with the lowest score is chosen.

    This spreads requests over pools of equal cost in proportion to their free KV memory. Otherwise
    every entry instance would send all its requests to the same shard until the next summaries
    arrive.
    """
    key = f"{request.request_id}/{request.attempt}/{pool.name.pool_id}".encode()
    uniform = (zlib.crc32(key) + 1) / (CRC_RANGE + 1)
    free = 1 if pool.summary is None else 1 + pool.summary.free_kv_tokens
    return -math.log(uniform) / free


def _expected_wait_s(
    pool: KnownPool, request: PermitRequest, is_own: bool, now_s: float
) -> float | None:
    """Return the expected wait, with the penalty of a remote domain; None if unusable."""
    summary = pool.summary
    is_recent = summary is not None and now_s - pool.received_s < SUMMARY_EXPIRY_S
    if not is_recent:
        # The owner of a local pool is known from the coordinator, even without a load summary.
        return 0.0 if is_own else None
    if not summary.in_service:
        return None
    # The KV capacity of the pool's engines is unknown here, so `spanning` is classified as `long`.
    length_class = classify_length(request.prompt_tokens, request.max_output_tokens, 0)
    wait_s = summary.expected_wait_s.get(length_class.value)
    if wait_s is None:
        return UNKNOWN_WAIT_S
    if is_own:
        return wait_s
    # A remote domain is skipped if its queueing time alone exceeds the deadline.
    return wait_s + REMOTE_ADVANTAGE_S if wait_s < request.remaining_s else None
