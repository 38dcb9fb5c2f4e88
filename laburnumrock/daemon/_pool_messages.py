"""Messages of `placement` that the pool task and the permit client need."""

from dataclasses import dataclass, field, fields, replace

from laburnumrock import placement
from laburnumrock.messages import Effect, register_message
from laburnumrock.placement import PermitRequest

if hasattr(placement, "PermitCancel"):
    PermitCancel = placement.PermitCancel
    PoolSummary = placement.PoolSummary
    CancelOnUpstream = placement.CancelOnUpstream
else:

    @register_message
    @dataclass(frozen=True, slots=True)
    class PermitCancel:
        """Withdrawal of a permit request."""

        request_id: str
        attempt: int
        pool_id: str = ""

    @register_message
    @dataclass(frozen=True, slots=True)
    class PoolSummary:
        """Load of one pool."""

        pool_id: str
        owner_epoch: int
        in_service: bool
        upstreams: int
        free_kv_tokens: int
        queued: int
        expected_wait_s: dict[str, float] = field(default_factory=dict)

    @dataclass(frozen=True, slots=True)
    class CancelOnUpstream(Effect):
        """Cancel a request on an upstream."""

        upstream_id: str
        base_url: str
        request_id: str


REQUEST_HAS_POOL = any(item.name == "pool_id" for item in fields(PermitRequest))


def address_request(request: PermitRequest, pool_id: str, remaining_s: float) -> PermitRequest:
    """Return the request for a pool, with the time that remains now."""
    if REQUEST_HAS_POOL:
        return replace(request, remaining_s=remaining_s, pool_id=pool_id)
    return replace(request, remaining_s=remaining_s)
