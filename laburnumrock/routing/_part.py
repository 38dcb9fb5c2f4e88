"""Part of the replicated state that holds the routes in force."""

from dataclasses import replace

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


@register_part("routes")
class RoutesPart:
    """Highest version of the routes, and what is out of service."""

    command_types = (StoreRoutes, SetDrain, SetQuarantine)

    def __init__(self) -> None:
        self.current = RouteDocument()

    def apply(self, command: StoreRoutes | SetDrain | SetQuarantine, index: int) -> StoreAnswer:
        """Apply a command; a version changes something only if it is higher than the stored one."""
        if isinstance(command, SetDrain):
            return self._apply_drain(command)
        if isinstance(command, SetQuarantine):
            changed = command.groups != self.current.quarantined
            self.current = replace(self.current, quarantined=command.groups)
            return StoreAnswer(self.current.version, changed)
        current = self.current
        if command.version <= current.version:
            return StoreAnswer(current.version, False)
        self.current = replace(current, version=command.version, document=command.document)
        return StoreAnswer(command.version, True)

    def _apply_drain(self, command: SetDrain) -> StoreAnswer:
        current = self.current
        drained = set(current.drained)
        if command.drained:
            drained.add(command.failure_domain)
        else:
            drained.discard(command.failure_domain)
        changed = sorted(drained) != current.drained
        self.current = replace(current, drained=sorted(drained))
        return StoreAnswer(current.version, changed)

    def query(self, request: RouteDocumentQuery) -> RouteDocument:
        """Return the version in force."""
        return self.current

    def to_plain(self) -> object:
        """Return the state as plain data."""
        return to_plain(self.current)

    def restore(self, plain: object | None) -> None:
        """Replace the state; None restores the initial state."""
        self.current = RouteDocument() if plain is None else from_plain(RouteDocument, plain)
