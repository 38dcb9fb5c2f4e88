"""Part of the replicated state that holds the routes in force."""

from dataclasses import dataclass, field, replace

from laburnumrock.messages import from_plain, to_plain
from laburnumrock.routing._messages import (
    RouteDocument,
    RouteDocumentQuery,
    SetDrain,
    SetQuarantine,
    StoreAnswer,
    StoreRoutes,
)
from laburnumrock.state import register_part

MAX_KNOWN_ORDERS = 32
"""Number of order ids kept per failure domain; operators have at most eight orders in progress."""


@dataclass(slots=True)
class DrainRecord:
    """Orders of one failure domain that were applied.

    Parameters
    ----------
    index : int
        Log index of the last one.
    order_ids : list of str
        Ids of the last ones, oldest first.
    """

    index: int = 0
    order_ids: list[str] = field(default_factory=list)


@register_part("routes")
class RoutesPart:
    """Highest version of the routes, and what is out of service.

    Notes
    -----
    No command takes effect by its arrival alone: a command may reach the log after newer ones, if
    the core that proposes it was frozen or repeats a proposal whose answer was lost. Routes are
    ordered by version, drains by the log index that their proposer knew, and quarantines by term
    and sequence.
    """

    command_types = (StoreRoutes, SetDrain, SetQuarantine)

    def __init__(self) -> None:
        self.current = RouteDocument()
        self.drain_records: dict[str, DrainRecord] = {}
        self.quarantine_order = (0, 0)

    def apply(self, command: StoreRoutes | SetDrain | SetQuarantine, index: int) -> StoreAnswer:
        """Apply a command; a version changes something only if it is higher than the stored one."""
        if isinstance(command, SetDrain):
            return self._apply_drain(command, index)
        if isinstance(command, SetQuarantine):
            return self._apply_quarantine(command)
        current = self.current
        if command.version <= current.version:
            return StoreAnswer(current.version, False)
        self.current = replace(current, version=command.version, document=command.document)
        return StoreAnswer(command.version, True)

    def _apply_drain(self, command: SetDrain, index: int) -> StoreAnswer:
        current = self.current
        record = self.drain_records.setdefault(command.failure_domain, DrainRecord())
        if command.order_id in record.order_ids:
            return StoreAnswer(current.version, False)
        if record.index > command.base_index:
            return StoreAnswer(current.version, False, superseded=True)
        # An order that changes nothing counts as well: it was acknowledged, and older ones that
        # arrive later must not undo it.
        record.index = index
        record.order_ids = [*record.order_ids, command.order_id][-MAX_KNOWN_ORDERS:]
        drained = set(current.drained)
        if command.drained:
            drained.add(command.failure_domain)
        else:
            drained.discard(command.failure_domain)
        changed = sorted(drained) != current.drained
        self.current = replace(current, drained=sorted(drained))
        return StoreAnswer(current.version, changed)

    def _apply_quarantine(self, command: SetQuarantine) -> StoreAnswer:
        current = self.current
        order = (command.term, command.sequence)
        if order <= self.quarantine_order:
            is_older = order < self.quarantine_order
            return StoreAnswer(current.version, False, superseded=is_older)
        self.quarantine_order = order
        changed = command.groups != current.quarantined
        self.current = replace(current, quarantined=command.groups)
        return StoreAnswer(current.version, changed)

    def query(self, request: RouteDocumentQuery) -> RouteDocument:
        """Return the version in force."""
        return self.current

    def to_plain(self) -> object:
        """Return the state as plain data."""
        records = {domain: to_plain(record) for domain, record in self.drain_records.items()}
        return {
            "current": to_plain(self.current),
            "drain_records": records,
            "quarantine_order": list(self.quarantine_order),
        }

    def restore(self, plain: object | None) -> None:
        """Replace the state; None restores the initial state."""
        plain = plain or {"current": to_plain(RouteDocument())}
        # A snapshot of an earlier release contains only the document.
        self.current = from_plain(RouteDocument, plain.get("current", plain))
        records = plain.get("drain_records", {})
        self.drain_records = {
            domain: from_plain(DrainRecord, record) for domain, record in records.items()
        }
        self.quarantine_order = tuple(plain.get("quarantine_order", (0, 0)))
