"""Division of account limits between failure domains.

Notes
-----
Every domain owns a fixed base share and lends unused parts of it for a limited time. The lender
counts a loan for `ttl_s` plus a margin from the moment it grants it. The borrower counts the loan
from the moment it sent the report that the grant answers, which is earlier. Hence the shares in use
never add up to more than the limit, whatever messages are lost or delayed. A partitioned domain
continues with its base share minus its loans to others, until those loans end.

If a grant is lost, the borrower may still use an older, larger loan; the lender therefore counts
the largest loan that has not ended. Running requests are not interrupted when a loan of concurrency
ends; the lender therefore counts loans of concurrency for `concurrency_hold_s` longer, unless a
report shows that the borrower no longer uses them.
"""

from dataclasses import dataclass, field

from laburnumrock.admission._messages import AccountDemand, ShareGrant, ShareLoan, ShareReport
from laburnumrock.messages import Effect, Send

# Allows for clock rates that differ by 10% over the TTL.
LENDER_MARGIN = 1.1
# Fraction of its base share that a domain never lends, so that new local demand is served at once.
RETAINED_FRACTION = 0.2
# Demand is multiplied by this factor when shares are lent, to allow for growth.
DEMAND_MARGIN_FACTOR = 1.2


@dataclass(slots=True)
class IssuedLoan:
    """Loan as recorded by the lender."""

    sequence: int
    fraction: float
    ends_s: float
    concurrency_ends_s: float


@dataclass(slots=True)
class ReceivedLoans:
    """Loans of one lender as recorded by the borrower."""

    sequence: int
    ends_s: float
    fractions: dict[str, float] = field(default_factory=dict)


class ShareAllocator:
    """Lends and borrows account shares for one failure domain, on its coordinator.

    Parameters
    ----------
    failure_domain : str
        Domain of this coordinator.
    failure_domains : list of str
        All domains; each has an equal base share.
    ttl_s : float, > 0
        Duration of a loan in seconds.
    concurrency_hold_s : float, >= 0
        Maximum time for which a request may run after a loan of concurrency has ended, in seconds.
    first_sequence : int
        Number that precedes the first report, higher than any number that an earlier coordinator
        has used, such as the epoch of the lease times 2**32.
    started_s : float, optional
        Clock reading when a new coordinator took over. Until the loans of its predecessor have
        ended, it lends nothing and uses only the fraction that is never lent.
    """

    def __init__(
        self,
        failure_domain: str,
        failure_domains: list[str],
        ttl_s: float = 3.0,
        concurrency_hold_s: float = 120.0,
        first_sequence: int = 0,
        started_s: float | None = None,
    ) -> None:
        self.failure_domain = failure_domain
        self.failure_domains = failure_domains
        self.ttl_s = ttl_s
        self.concurrency_hold_s = concurrency_hold_s
        self.sequence = first_sequence
        self.recovery_until_s = -1e18 if started_s is None else started_s + ttl_s * LENDER_MARGIN
        self.base_fraction = 1.0 / len(failure_domains)
        self.lent: dict[tuple[str, str], list[IssuedLoan]] = {}
        self.borrowed: dict[str, ReceivedLoans] = {}
        self.report_sent_s: dict[int, float] = {}

    def make_reports(
        self, coordinators: dict[str, str], demands: list[AccountDemand], now_s: float
    ) -> list[Effect]:
        """Return the demand reports to the coordinators of the other domains.

        Parameters
        ----------
        coordinators : dict from str to str
            Coordinator instance by failure domain.
        demands : list of AccountDemand
            Demand of this domain.
        now_s : float
            Clock reading in seconds.
        """
        self.sequence += 1
        self.report_sent_s[self.sequence] = now_s
        for sequence in [
            key for key, sent_s in self.report_sent_s.items() if sent_s <= now_s - self.ttl_s
        ]:
            del self.report_sent_s[sequence]
        returned = {domain: self._last_returned_report(domain, now_s) for domain in coordinators}
        report = ShareReport(self.failure_domain, self.sequence, demands, returned)
        return [
            Send(instance, report)
            for domain, instance in sorted(coordinators.items())
            if domain != self.failure_domain
        ]

    def lend(
        self, sender: str, report: ShareReport, own_demand: dict[str, float], now_s: float
    ) -> list[Effect]:
        """Answer a report with loans of shares that this domain does not need."""
        self._expire(now_s)
        if now_s < self.recovery_until_s:
            return []
        loans = []
        for demand in report.demands:
            account = demand.client_account
            returned = report.returned.get(self.failure_domain, -1)
            self._drop_returned_loans(report.failure_domain, demand, returned)
            excess = max(0.0, demand.fraction * DEMAND_MARGIN_FACTOR - self.base_fraction)
            fraction = min(
                excess, self._lendable_fraction(account, report.failure_domain, own_demand, now_s)
            )
            if fraction > 1e-6:
                loans.append(ShareLoan(account, fraction))
                loan = IssuedLoan(
                    report.sequence,
                    fraction,
                    now_s + self.ttl_s * LENDER_MARGIN,
                    now_s + self.ttl_s * LENDER_MARGIN + self.concurrency_hold_s,
                )
                self.lent.setdefault((account, report.failure_domain), []).append(loan)
        grant = ShareGrant(self.failure_domain, report.sequence, self.ttl_s, loans)
        return [Send(sender, grant)]

    def accept(self, grant: ShareGrant, now_s: float) -> None:
        """Record the loans of a grant; a late or duplicate grant is ignored."""
        report_sent_s = self.report_sent_s.get(grant.report_sequence)
        known = self.borrowed.get(grant.failure_domain)
        if report_sent_s is None or (known is not None and grant.report_sequence <= known.sequence):
            return
        fractions = {loan.client_account: loan.fraction for loan in grant.loans}
        ends_s = report_sent_s + min(grant.ttl_s, self.ttl_s)
        self.borrowed[grant.failure_domain] = ReceivedLoans(
            grant.report_sequence, ends_s, fractions
        )

    def share(self, account: str, now_s: float) -> float:
        """Return the fraction of an account's rates that this domain may use now."""
        self._expire(now_s)
        lent = sum(self._lent_fraction(account, domain, now_s) for domain in self.failure_domains)
        return max(0.0, self._own_fraction(now_s) - lent) + self._borrowed_fraction(account, now_s)

    def concurrency_share(self, account: str, now_s: float) -> float:
        """Return the fraction of an account's concurrency that this domain may use now."""
        self._expire(now_s)
        lent = sum(
            max((loan.fraction for loan in self.lent.get((account, domain), [])), default=0.0)
            for domain in self.failure_domains
        )
        return max(0.0, self._own_fraction(now_s) - lent) + self._borrowed_fraction(account, now_s)

    def _own_fraction(self, now_s: float) -> float:
        return (
            self.base_fraction
            if now_s >= self.recovery_until_s
            else self.base_fraction * RETAINED_FRACTION
        )

    def _borrowed_fraction(self, account: str, now_s: float) -> float:
        return sum(
            received.fractions.get(account, 0.0)
            for received in self.borrowed.values()
            if received.ends_s > now_s
        )

    def _lent_fraction(self, account: str, domain: str, now_s: float) -> float:
        issued_loans = self.lent.get((account, domain), [])
        return max((loan.fraction for loan in issued_loans if loan.ends_s > now_s), default=0.0)

    def _lendable_fraction(
        self, account: str, borrower: str, own_demand: dict[str, float], now_s: float
    ) -> float:
        own = max(
            own_demand.get(account, 0.0) * DEMAND_MARGIN_FACTOR,
            self.base_fraction * RETAINED_FRACTION,
        )
        others = sum(
            max((loan.fraction for loan in self.lent.get((account, domain), [])), default=0.0)
            for domain in self.failure_domains
            if domain != borrower
        )
        return max(0.0, self.base_fraction - own - others)

    def _last_returned_report(self, lender: str, now_s: float) -> int:
        """Return the report number up to which the loans of a lender are and stay unused."""
        known = self.borrowed.get(lender)
        if known is not None and known.ends_s > now_s:
            return known.sequence - 1
        # A grant is accepted only while the send time of its report is stored.
        oldest = min(self.report_sent_s, default=self.sequence)
        return max(oldest - 1, known.sequence if known is not None else -1)

    def _drop_returned_loans(self, borrower: str, demand: AccountDemand, returned: int) -> None:
        """Drop the loans returned by a borrower whose concurrency fits its base share."""
        if demand.concurrency_fraction > self.base_fraction:
            return
        issued_loans = self.lent.get((demand.client_account, borrower), [])
        issued_loans[:] = [loan for loan in issued_loans if loan.sequence > returned]

    def _expire(self, now_s: float) -> None:
        for key, issued_loans in list(self.lent.items()):
            issued_loans[:] = [loan for loan in issued_loans if loan.concurrency_ends_s > now_s]
            if not issued_loans:
                del self.lent[key]
