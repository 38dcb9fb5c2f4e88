"""Quota messages, from `admission` where that package exists."""

import importlib.util
from dataclasses import dataclass, field

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import register_message

if importlib.util.find_spec("laburnumrock.admission") is not None:
    from laburnumrock.admission import (
        QuotaGrant,
        QuotaRefusal,
        QuotaRelease,
        QuotaRenewal,
        QuotaRequest,
    )
else:

    @register_message
    @dataclass(frozen=True, slots=True)
    class QuotaRequest:
        """Request for quota of a client account; a resend has the same quota id."""

        quota_id: str
        client_account: str
        caller: str
        tokens: int

    @register_message
    @dataclass(frozen=True, slots=True)
    class QuotaGrant:
        """Quota that is held until it is released, or is not renewed for `ttl_s`."""

        quota_id: str
        ttl_s: float = 5.0

    @register_message
    @dataclass(frozen=True, slots=True)
    class QuotaRefusal:
        """Final refusal of quota, or ``owner_unavailable`` from an instance that cannot decide."""

        quota_id: str
        kind: ErrorKind
        retry_after_s: float | None = None

    @register_message
    @dataclass(frozen=True, slots=True)
    class QuotaRenewal:
        """Renewal of held quota, as it was requested."""

        quotas: list[QuotaRequest] = field(default_factory=list)

    @register_message
    @dataclass(frozen=True, slots=True)
    class QuotaRelease:
        """End of the request that held quota."""

        quota_id: str


__all__ = ["QuotaGrant", "QuotaRefusal", "QuotaRelease", "QuotaRenewal", "QuotaRequest"]
