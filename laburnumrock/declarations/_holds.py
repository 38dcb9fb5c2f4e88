"""Local holds of failure domains (emergency drains)."""

from collections.abc import Iterable

from laburnumrock.declarations._messages import Hold
from laburnumrock.messages import from_plain, to_plain

MAX_HOLDS = 64


class HoldRegistry:
    """Holds that an instance knows, merged so that all instances end with the same book.

    Notes
    -----
    A removed hold stays in the book with `held` false, so that an instance that still has the old
    hold cannot bring it back.
    """

    def __init__(self) -> None:
        self.holds: dict[str, Hold] = {}

    def add(self, failure_domain: str, operator: str, stamped_at_s: float) -> Hold:
        """Order a hold; an active hold that is not yet in the log is kept as it is.

        Parameters
        ----------
        failure_domain : str
            Domain to hold.
        operator : str
            Who ordered it.
        stamped_at_s : float
            Wall-clock time in seconds since the epoch.

        Returns
        -------
        Hold
            The hold in the book.
        """
        known = self.holds.get(failure_domain)
        if known is not None and known.held and known.entered_revision is None:
            return known
        return self._write(failure_domain, True, operator, stamped_at_s)

    def remove(self, failure_domain: str, operator: str, stamped_at_s: float) -> Hold | None:
        """Remove a hold; returns None when there is none."""
        known = self.holds.get(failure_domain)
        if known is None or not known.held:
            return None
        return self._write(failure_domain, False, operator, stamped_at_s)

    def mark_entered(self, hold: Hold, revision: int) -> bool:
        """Record that the log holds the drain since `revision`; False if the hold has changed."""
        if self.holds.get(hold.failure_domain) != hold:
            return False
        entered = Hold(hold.failure_domain, hold.version, hold.held, hold.operator, revision)
        self.holds[hold.failure_domain] = entered
        return True

    def merge(self, holds: Iterable[Hold]) -> bool:
        """Take the holds of another instance; True when the book changed."""
        changed = False
        for hold in holds:
            known = self.holds.get(hold.failure_domain)
            if known is None and len(self.holds) >= MAX_HOLDS:
                continue
            if known is None or _rank(hold) > _rank(known):
                self.holds[hold.failure_domain] = hold
                changed = True
        return changed

    def is_held(self, failure_domain: str, revision: int) -> bool:
        """Tell whether a hold applies at an instance with the given declarations revision.

        Notes
        -----
        An instance that has not applied the revision that entered the hold still applies the hold,
        so that the drain has no gap.
        """
        hold = self.holds.get(failure_domain)
        if hold is None or not hold.held:
            return False
        return hold.entered_revision is None or revision < hold.entered_revision

    def pending(self) -> list[Hold]:
        """Return the active holds that the log does not hold yet."""
        return [hold for hold in self.entries() if hold.held and hold.entered_revision is None]

    def entries(self) -> list[Hold]:
        """Return all entries in the order of the domains."""
        return [self.holds[domain] for domain in sorted(self.holds)]

    def to_plain(self) -> list[dict]:
        """Convert to plain data for ``holds.json``."""
        return [to_plain(hold) for hold in self.entries()]

    def restore(self, plain: object) -> None:
        """Merge plain data.

        Raises
        ------
        ValueError
            If the data is malformed.
        """
        if not isinstance(plain, list):
            raise ValueError("expected a list of holds")
        self.merge([from_plain(Hold, entry) for entry in plain])

    def _write(self, domain: str, held: bool, operator: str, stamped_at_s: float) -> Hold:
        known = self.holds.get(domain)
        # The wall clock keeps versions growing after a restart that lost the book.
        version = max(int(stamped_at_s * 1_000), known.version + 1 if known else 1)
        hold = Hold(domain, version, held, operator)
        self.holds[domain] = hold
        return hold


def _rank(hold: Hold) -> tuple:
    entered = -1 if hold.entered_revision is None else hold.entered_revision
    return hold.version, hold.operator, not hold.held, entered
