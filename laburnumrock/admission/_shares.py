"""Division of an account's limits between failure domains.

Notes
-----
Every domain owns a fixed base share and lends unused parts of it for a limited time. The lender
counts a loan for `ttl_s` plus a margin from the moment it grants it; the borrower counts it from
the moment it sent the report that the grant answers, which is earlier. Hence the parts in use never
add up to more than the whole, whatever messages are lost or late, and a domain that is cut off
goes on with its base share less what it has lent, until those loans end.

A lost grant may leave an older, larger loan in force, so that the lender counts the largest loan
that has not ended. Requests that run when a loan of concurrency ends are not interrupted;
the lender therefore counts concurrency for `concurrency_hold_s` longer unless a report shows less.
"""

from dataclasses import dataclass, field

from laburnumrock.admission._messages import AccountDemand, ShareGrant, ShareLoan, ShareReport
from laburnumrock.messages import Effect, Send

# Covers a difference of 10% between two clocks over the ttl.
LENDER_MARGIN = 1.1
# Part of its base share that a domain never lends, so that new demand is served at once.
KEPT_PART = 0.2
OWN_DEMAND_FACTOR = 1.2


@dataclass(slots=True)
class LentPart:
    """Loan as counted by the lender."""

    sequence: int
    fraction: float
    ends_s: float
    concurrency_ends_s: float


@dataclass(slots=True)
class BorrowedPart:
    """Loans of one lender as counted by the borrower."""

    sequence: int
    ends_s: float
    fractions: dict[str, float] = field(default_factory=dict)


class ShareAllocator:
    """Shares of one failure domain, at its coordinator.

    Parameters
    ----------
    failure_domain : str
        Own domain.
    failure_domains : list of str
        All domains; each has an equal base share.
    ttl_s : float, > 0
        Duration of a loan in seconds.
    concurrency_hold_s : float, >= 0
        Longest time for which a request may run after a loan of concurrency has ended.
    first_sequence : int
        Number of the first report, higher than any that an earlier coordinator has used, such as
        the lease's epoch times 2**32.
    started_s : float, optional
        Clock reading when a new coordinator took over; it lends nothing and uses only what it
        cannot have lent until the loans of its predecessor have ended.
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
        self.quiet_until_s = -1e18 if started_s is None else started_s + ttl_s * LENDER_MARGIN
        self.base = 1.0 / len(failure_domains)
        self.lent: dict[tuple[str, str], list[LentPart]] = {}
        self.borrowed: dict[str, BorrowedPart] = {}
        self.sent_s: dict[int, float] = {}

    def make_reports(
        self, coordinators: dict[str, str], demands: list[AccountDemand], now_s: float
    ) -> list[Effect]:
        """Return the reports to the coordinators of the other domains.

        Parameters
        ----------
        coordinators : dict from str to str
            Coordinating instance by failure domain.
        demands : list of AccountDemand
            Demand of the own domain.
        now_s : float
            Clock reading in seconds.
        """
        self.sequence += 1
        self.sent_s[self.sequence] = now_s
        for sequence in [key for key, sent in self.sent_s.items() if sent <= now_s - self.ttl_s]:
            del self.sent_s[sequence]
        returned = {domain: self._returned_to(domain, now_s) for domain in coordinators}
        report = ShareReport(self.failure_domain, self.sequence, demands, returned)
        return [
            Send(instance, report)
            for domain, instance in sorted(coordinators.items())
            if domain != self.failure_domain
        ]

    def lend(
        self, sender: str, report: ShareReport, own_demand: dict[str, float], now_s: float
    ) -> list[Effect]:
        """Answer a report with loans of what the own domain does not need."""
        self._expire(now_s)
        if now_s < self.quiet_until_s:
            return []
        loans = []
        for demand in report.demands:
            account = demand.client_account
            returned = report.returned.get(self.failure_domain, -1)
            self._return_concurrency(report.failure_domain, demand, returned)
            wanted = max(0.0, demand.fraction * OWN_DEMAND_FACTOR - self.base)
            fraction = min(wanted, self._spare(account, report.failure_domain, own_demand, now_s))
            if fraction > 1e-6:
                loans.append(ShareLoan(account, fraction))
                part = LentPart(
                    report.sequence,
                    fraction,
                    now_s + self.ttl_s * LENDER_MARGIN,
                    now_s + self.ttl_s * LENDER_MARGIN + self.concurrency_hold_s,
                )
                self.lent.setdefault((account, report.failure_domain), []).append(part)
        grant = ShareGrant(self.failure_domain, report.sequence, self.ttl_s, loans)
        return [Send(sender, grant)]

    def accept(self, grant: ShareGrant, now_s: float) -> None:
        """Use the loans of a grant; a late or repeated grant is ignored."""
        sent_s = self.sent_s.get(grant.report_sequence)
        known = self.borrowed.get(grant.failure_domain)
        if sent_s is None or (known is not None and grant.report_sequence <= known.sequence):
            return
        fractions = {loan.client_account: loan.fraction for loan in grant.loans}
        ends_s = sent_s + min(grant.ttl_s, self.ttl_s)
        self.borrowed[grant.failure_domain] = BorrowedPart(grant.report_sequence, ends_s, fractions)

    def share(self, account: str, now_s: float) -> float:
        """Return the part of an account's rates that this domain may use now."""
        self._expire(now_s)
        lent = sum(self._lent_to(account, domain, now_s) for domain in self.failure_domains)
        return max(0.0, self._owned(now_s) - lent) + self._borrowed(account, now_s)

    def concurrency_share(self, account: str, now_s: float) -> float:
        """Return the part of an account's concurrency that this domain may use now."""
        self._expire(now_s)
        held = sum(
            max((part.fraction for part in self.lent.get((account, domain), [])), default=0.0)
            for domain in self.failure_domains
        )
        return max(0.0, self._owned(now_s) - held) + self._borrowed(account, now_s)

    def _owned(self, now_s: float) -> float:
        return self.base if now_s >= self.quiet_until_s else self.base * KEPT_PART

    def _borrowed(self, account: str, now_s: float) -> float:
        return sum(
            part.fractions.get(account, 0.0)
            for part in self.borrowed.values()
            if part.ends_s > now_s
        )

    def _lent_to(self, account: str, domain: str, now_s: float) -> float:
        parts = self.lent.get((account, domain), [])
        return max((part.fraction for part in parts if part.ends_s > now_s), default=0.0)

    def _spare(
        self, account: str, borrower: str, own_demand: dict[str, float], now_s: float
    ) -> float:
        own = max(own_demand.get(account, 0.0) * OWN_DEMAND_FACTOR, self.base * KEPT_PART)
        others = sum(
            max((part.fraction for part in self.lent.get((account, domain), [])), default=0.0)
            for domain in self.failure_domains
            if domain != borrower
        )
        return max(0.0, self.base - own - others)

    def _returned_to(self, lender: str, now_s: float) -> int:
        """Return the report number up to which no loan of a lender is or will be in use."""
        known = self.borrowed.get(lender)
        if known is not None and known.ends_s > now_s:
            return known.sequence - 1
        # A grant is accepted only while its report is remembered.
        oldest = min(self.sent_s, default=self.sequence)
        return max(oldest - 1, known.sequence if known is not None else -1)

    def _return_concurrency(self, borrower: str, demand: AccountDemand, returned: int) -> None:
        """Drop loans that the borrower no longer uses, once its requests fit its base share."""
        if demand.concurrency_fraction > self.base:
            return
        parts = self.lent.get((demand.client_account, borrower), [])
        parts[:] = [part for part in parts if part.sequence > returned]

    def _expire(self, now_s: float) -> None:
        for key, parts in list(self.lent.items()):
            parts[:] = [part for part in parts if part.concurrency_ends_s > now_s]
            if not parts:
                del self.lent[key]
