"""Messages between entry instances and coordinators, and between coordinators."""

from dataclasses import dataclass, field

from laburnumrock.errors import ErrorKind
from laburnumrock.messages import register_message


@register_message
@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Request to charge a client account for one request.

    Parameters
    ----------
    quota_id : str
        Unique id; a resend with the same id is charged only once.
    client_account, caller : str
        Client account and the caller inside it.
    tokens : int
        Number of prompt and output tokens to charge.
    """

    quota_id: str
    client_account: str
    caller: str
    tokens: int


@register_message
@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Admission of a request within the account's limits.

    Parameters
    ----------
    quota_id : str
        Id from the request.
    ttl_s : float
        Time after which the concurrency slot expires unless it is renewed, in seconds.
    """

    quota_id: str
    ttl_s: float


@register_message
@dataclass(frozen=True, slots=True)
class QuotaRefusal:
    """Refusal of a request that exceeds the account's limits; nothing was charged.

    Parameters
    ----------
    quota_id : str
        Id from the request.
    kind : ErrorKind
        ``rate_limited``, ``concurrency_limited`` or ``unknown_client_account``.
    retry_after_s : float, optional
        Time after which a retry may succeed, in seconds.
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
        The granted requests, from which a new coordinator can rebuild its count.
    """

    quotas: list[QuotaRequest]


@register_message
@dataclass(frozen=True, slots=True)
class QuotaRelease:
    """Release of a quota after the end of its request.

    Parameters
    ----------
    quota_id : str
        Id from the request.
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
        Id of the account.
    fraction : float, >= 0
        Demand as a fraction of the account's most contended limit.
    concurrency_fraction : float, >= 0
        Current number of concurrent requests as a fraction of the account's limit.
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
        Reporting domain.
    sequence : int
        Number of the report, which also increases over restarts of the coordinator.
    demands : list of AccountDemand
        Demand of each account that has any.
    returned : dict from str to int
        By lender, the report number up to which its loans are no longer used.
    """

    failure_domain: str
    sequence: int
    demands: list[AccountDemand]
    returned: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ShareLoan:
    """Fraction of one account's limits that is lent.

    Parameters
    ----------
    client_account : str
        Id of the account.
    fraction : float, > 0
        Lent fraction of the account's limits.
    """

    client_account: str
    fraction: float


@register_message
@dataclass(frozen=True, slots=True)
class ShareGrant:
    """Answer to a report with loans to the reporting failure domain.

    Parameters
    ----------
    failure_domain : str
        Lending domain.
    report_sequence : int
        Number of the answered report; these loans replace all earlier ones from this lender.
    ttl_s : float
        Duration of the loans in seconds, counted by the borrower from the time it sent its report.
    loans : list of ShareLoan
        Loans by account.
    """

    failure_domain: str
    report_sequence: int
    ttl_s: float
    loans: list[ShareLoan] = field(default_factory=list)
