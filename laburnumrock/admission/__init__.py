"""Admission: limits per client account, shares of failure domains and deadline prediction."""

from laburnumrock.admission._account import AccountLimits, AccountShare
from laburnumrock.admission._buckets import RetryBudget, TokenBucket
from laburnumrock.admission._deadlines import order_pools, predict_finish_s
from laburnumrock.admission._messages import (
    AccountDemand,
    QuotaGrant,
    QuotaRefusal,
    QuotaRelease,
    QuotaRenewal,
    QuotaRequest,
    ShareGrant,
    ShareLoan,
    ShareReport,
)
from laburnumrock.admission._quota_keeper import QuotaManager
from laburnumrock.admission._shares import ShareAllocator

__all__ = [
    "AccountDemand",
    "AccountLimits",
    "AccountShare",
    "QuotaGrant",
    "QuotaManager",
    "QuotaRefusal",
    "QuotaRelease",
    "QuotaRenewal",
    "QuotaRequest",
    "RetryBudget",
    "ShareAllocator",
    "ShareGrant",
    "ShareLoan",
    "ShareReport",
    "TokenBucket",
    "order_pools",
    "predict_finish_s",
]
