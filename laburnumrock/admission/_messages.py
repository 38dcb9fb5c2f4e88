"""Messages between entry instances and coordinators, and between coordinators."""

from dataclasses import dataclass, field

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import register_message


@register_message
@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Request for a part of a client account's limits.

    Parameters
    ----------
    quota_id : str
        Unique name; a resend with the same name is charged once.
    client_account, caller : str
        Client account and the caller inside it.
    tokens : int
        Prompt and output tokens to charge.
    """

    quota_id: str
    client_account: str
    caller: str
    tokens: int


@register_message
@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Admission under the account's limits.

    Parameters
    ----------
    quota_id : str
        Name from the request.
    ttl_s : float
        Time after which the concurrency slot ends unless it is renewed, in seconds.
    """

    quota_id: str
    ttl_s: float


@register_message
@dataclass(frozen=True, slots=True)
class QuotaRefusal:
    """Refusal under the account's limits; nothing was charged.

    Parameters
    ----------
    quota_id : str
        Name from the request.
    kind : ErrorKind
        ``rate_limited``, ``concurrency_limited`` or ``unknown_client_account``.
    retry_after_s : float, optional
        When a retry may succeed, in seconds.
    """

    quota_id: str
    kind: ErrorKind
    retry_after_s: float | None = None


@register_message
@dataclass(frozen=True, slots=True)
class QuotaRenewal:
    """Renewal of the concurrency slots that an entry instance holds.

    Parameters
    ----------
    quotas : list of QuotaRequest
        The requests as they were granted, so that a new coordinator can rebuild its count.
    """

    quotas: list[QuotaRequest]


@register_message
@dataclass(frozen=True, slots=True)
class QuotaRelease:
    """End of a request.

    Parameters
    ----------
    quota_id : str
        Name from the request.
    unused_tokens : int
        Charged tokens that were not used.
    """

    quota_id: str
    unused_tokens: int = 0


@dataclass(frozen=True, slots=True)
class AccountDemand:
    """Demand of one account in one failure domain.

    Parameters
    ----------
    client_account : str
        The account.
    fraction : float, >= 0
        Demand as a part of the account's limit, by the scarcest of its limits.
    concurrency_fraction : float, >= 0
        Concurrent requests now, as a part of the account's limit.
    """

    client_account: str
    fraction: float
    concurrency_fraction: float


@register_message
@dataclass(frozen=True, slots=True)
class ShareReport:
    """Demand of a failure domain, sent by its coordinator to the other coordinators.

    Parameters
    ----------
    failure_domain : str
        Domain that reports.
    sequence : int
        Number of the report, which grows also over restarts of the coordinator.
    demands : list of AccountDemand
        Accounts with any demand.
    returned : dict from str to int
        Per lender, the highest report number up to which its loans are no longer used.
    """

    failure_domain: str
    sequence: int
    demands: list[AccountDemand]
    returned: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ShareLoan:
    """Part of one account's limit that is lent.

    Parameters
    ----------
    client_account : str
        The account.
    fraction : float, > 0
        Part of the account's limit.
    """

    client_account: str
    fraction: float


@register_message
@dataclass(frozen=True, slots=True)
class ShareGrant:
    """Loans to the failure domain whose report this answers.

    Parameters
    ----------
    failure_domain : str
        Domain that lends.
    report_sequence : int
        Number of the answered report; the loans replace all earlier ones of this lender.
    ttl_s : float
        Duration of the loans, counted by the borrower from the sending of its report.
    loans : list of ShareLoan
        Lent parts.
    """

    failure_domain: str
    report_sequence: int
    ttl_s: float
    loans: list[ShareLoan] = field(default_factory=list)
