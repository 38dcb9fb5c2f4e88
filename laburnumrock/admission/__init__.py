"""Admission control: client account limits, shares of failure domains, deadline prediction."""

from laburnumrock.admission._account import AccountLimiter, AccountLimits
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
from laburnumrock.admission._retry_budget import RetryBudget
from laburnumrock.admission._shares import ShareAllocator

__all__ = [
    "AccountDemand",
    "AccountLimits",
    "AccountLimiter",
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
    "order_pools",
    "predict_finish_s",
]
