"""Holds: emergency drains of a failure domain that do not need the replicated log."""

import dataclasses
from collections.abc import Iterable

from laburnumrock.declarations._messages import Hold
from laburnumrock.messages import from_plain, to_plain

MAX_HOLDS = 64


class HoldRegistry:
    """Holds known to an instance; merging makes the registries of all instances converge.

    Notes
    -----
    A removed hold stays in the registry as a tombstone with `held` false, so that an instance that
    still has the old hold cannot reinstate it.
    """

    def __init__(self) -> None:
        self.holds: dict[str, Hold] = {}

    def add(self, failure_domain: str, operator: str, stamped_at_s: float) -> Hold:
        """Add a hold; an active hold that is not yet in the log is kept unchanged.

        Parameters
        ----------
        failure_domain : str
            Domain to hold.
        operator : str
            Operator who requested it.
        stamped_at_s : float
            Wall-clock time in seconds since the epoch.

        Returns
        -------
        Hold
            The hold in the registry.
        """
        known = self.holds.get(failure_domain)
        if known is not None and known.held and known.entered_revision is None:
            return known
        return self._put_hold(failure_domain, True, operator, stamped_at_s)

    def remove(self, failure_domain: str, operator: str, stamped_at_s: float) -> Hold | None:
        """Remove a hold; returns None if there is no active one."""
        known = self.holds.get(failure_domain)
        if known is None or not known.held:
            return None
        return self._put_hold(failure_domain, False, operator, stamped_at_s, known.version)

    def mark_entered(self, hold: Hold, revision: int) -> bool:
        """Record the revision at which the log has an entry; returns False if it has changed."""
        if self.holds.get(hold.failure_domain) != hold:
            return False
        entered = dataclasses.replace(hold, entered_revision=revision)
        self.holds[hold.failure_domain] = entered
        return True

    def merge(self, holds: Iterable[Hold]) -> bool:
        """Merge the holds of another instance; returns whether the registry has changed."""
        changed = False
        for hold in holds:
            known = self.holds.get(hold.failure_domain)
            if known is None and len(self.holds) >= MAX_HOLDS:
                continue
            if known is None or _precedence(hold) > _precedence(known):
                self.holds[hold.failure_domain] = hold
                changed = True
        return changed

    def is_held(self, failure_domain: str, revision: int) -> bool:
        """Return whether a hold applies at an instance with the given declarations revision.

        Notes
        -----
        An instance applies the hold until it has applied the revision that contains the drain, so
        that the drain is not interrupted.
        """
        hold = self.holds.get(failure_domain)
        if hold is None or not hold.held:
            return False
        return hold.entered_revision is None or revision < hold.entered_revision

    def pending(self) -> list[Hold]:
        """Return the holds and removals of holds that are not yet in the log."""
        return [hold for hold in self.entries() if hold.entered_revision is None]

    def entries(self) -> list[Hold]:
        """Return all entries, sorted by failure domain."""
        return [self.holds[domain] for domain in sorted(self.holds)]

    def to_plain(self) -> list[dict]:
        """Convert to JSON-compatible data for ``holds.json``."""
        return [to_plain(hold) for hold in self.entries()]

    def restore(self, plain: object) -> None:
        """Merge holds from JSON-compatible data.

        Raises
        ------
        ValueError
            If the data is malformed.
        """
        if not isinstance(plain, list):
            raise ValueError("expected a list of holds")
        self.merge([from_plain(Hold, entry) for entry in plain])

    def _put_hold(
        self,
        domain: str,
        held: bool,
        operator: str,
        stamped_at_s: float,
        removed_version: int | None = None,
    ) -> Hold:
        known = self.holds.get(domain)
        # Versions from the wall clock keep increasing even if a restart loses the registry.
        version = max(int(stamped_at_s * 1_000), known.version + 1 if known else 1)
        hold = Hold(domain, version, held, operator, removed_version=removed_version)
        self.holds[domain] = hold
        return hold


def _precedence(hold: Hold) -> tuple:
    entered = -1 if hold.entered_revision is None else hold.entered_revision
    return hold.version, hold.operator, not hold.held, entered
