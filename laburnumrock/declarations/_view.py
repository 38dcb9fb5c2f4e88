"""Copy of the declarations at one instance."""

from collections import deque
from collections.abc import Iterable

from laburnumrock.declarations._holds import HoldRegistry
from laburnumrock.declarations._messages import DeclarationStep
from laburnumrock.declarations._models import Service, ServiceKind, Template
from laburnumrock.declarations._set import DeclarationSet, parse_changes

# Steps kept for instances that fetch from this one. At 2,400 changes a day, 64 steps cover an
# absence of more than half an hour; longer ones get the whole set.
MAX_STEPS = 64


class DeclarationView:
    """Declarations as one instance knows them; the revision never decreases.

    Parameters
    ----------
    stale_after_s : float, > 0
        Time after the last confirmation from which the view is stale, in seconds.
    """

    def __init__(self, stale_after_s: float) -> None:
        self.stale_after_s = stale_after_s
        self.revision = 0
        self.current = DeclarationSet()
        self.holds = HoldRegistry()
        self.confirmed_at_s: float | None = None
        self.steps: deque[DeclarationStep] = deque(maxlen=MAX_STEPS)

    def find_template(self, client_account: str) -> Template | None:
        """Return the template of a client account, or None."""
        return self.current.templates.get(client_account)

    def find_service(self, name: str) -> Service | None:
        """Return a plain service, or None."""
        return self.current.services.get(name)

    def is_in_service(self, kind: ServiceKind | str, name: str) -> bool:
        """Tell whether something may get new work under the declarations and local holds."""
        held = kind == ServiceKind.FAILURE_DOMAIN and self.holds.is_held(name, self.revision)
        return not held and self.current.is_in_service(kind, name)

    def is_stale(self, now_s: float) -> bool:
        """Tell whether the last confirmation is older than `stale_after_s`."""
        return self.confirmed_at_s is None or now_s - self.confirmed_at_s > self.stale_after_s

    def confirmed_age_s(self, now_s: float) -> float | None:
        """Return the time since the last confirmation in seconds, or None."""
        return None if self.confirmed_at_s is None else max(0.0, now_s - self.confirmed_at_s)

    def confirm(self, confirmed_at_s: float) -> None:
        """Record that the present revision was current at a time of the own clock."""
        if self.confirmed_at_s is None or confirmed_at_s > self.confirmed_at_s:
            self.confirmed_at_s = confirmed_at_s

    def replace(self, declarations: DeclarationSet, revision: int) -> bool:
        """Take a whole set; False when its revision is not higher."""
        if revision <= self.revision:
            return False
        self.current = declarations
        self.revision = revision
        self.steps.clear()
        return True

    def apply_steps(self, steps: Iterable[DeclarationStep]) -> bool:
        """Apply the steps that follow the own revision; True when at least one was applied.

        Notes
        -----
        Known steps are skipped. A gap or a malformed step ends the application; the next fetch
        then asks for what is missing.
        """
        first = self.revision
        for step in steps:
            if step.revision <= self.revision:
                continue
            if step.revision != self.revision + 1:
                break
            changed = parse_changes(step.changes).and_then(self.current.with_changes)
            if changed.is_err():
                break
            self.current = changed.unwrap()
            self.revision = step.revision
            self.steps.append(step)
        return self.revision > first

    def find_steps(self, revision: int) -> list[DeclarationStep] | None:
        """Return the steps from a revision to the own one, or None when some are not kept."""
        missing = self.revision - revision
        if missing < 0 or missing > len(self.steps):
            return None
        return list(self.steps)[len(self.steps) - missing :]
