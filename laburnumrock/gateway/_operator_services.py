"""Interfaces that the operator handlers call."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from laburnumrock.declarations import (
    ApplyChange,
    ChangeAnswer,
    DeclarationView,
    HistoryEntry,
    Hold,
)
from laburnumrock.errors import Failure


class DeclarationAccess(Protocol):
    """Declarations of the instance; implemented by `DeclarationTask`."""

    view: DeclarationView

    async def submit(self, command: ApplyChange) -> Result[ChangeAnswer, Failure]:
        """Apply a change through the log."""

    async def find_lagging_instances(self, revision: int) -> list[str]:
        """Return the instances that have not applied a revision."""

    async def find_instances_without_hold(self, failure_domain: str) -> list[str]:
        """Return the instances of the own domain that do not have a hold."""

    async def read_history(self, limit: int) -> Result[list[HistoryEntry], Failure]:
        """Return the last changes, newest last."""

    def add_hold(self, failure_domain: str, operator: str) -> Result[Hold, Failure]:
        """Hold the own failure domain."""

    def remove_hold(self, failure_domain: str, operator: str) -> Result[Hold, Failure]:
        """Remove a hold."""


class OperationAccess(Protocol):
    """Operations that may not be repeated."""

    async def find_operation(self, account: str, key: str) -> Result[dict[str, object], Failure]:
        """Return the state of an operation as plain data."""

    async def reconcile(
        self, account: str, key: str, outcome: str, source: str, operator: str, request_id: str
    ) -> Result[dict[str, object], Failure]:
        """Record the outcome of an unknown operation with its source."""


class VoterAccess(Protocol):
    """Membership of the replicated log."""

    async def change_voter(self, action: str, instance_id: str) -> Result[dict, Failure]:
        """Add or remove a voter; `action` is ``add`` or ``remove``."""


class OrderAccess(Protocol):
    """Orders to engines."""

    async def add_order(
        self, order_id: str, upstream_id: str, kind: str, arguments: dict[str, str]
    ) -> Result[dict[str, object], Failure]:
        """Record an order; a resend with the same id returns the recorded order."""

    async def list_orders(self, upstream_id: str | None) -> Result[dict[str, object], Failure]:
        """Return the newest orders, oldest first, under ``orders``."""


class StatusAccess(Protocol):
    """Status of the instance."""

    def describe_status(self) -> dict[str, object]:
        """Return plain data about this instance, without credentials.

        Notes
        -----
        ``voters`` lists the voters of the log as known here; ``laburnumrock voters --wait`` reads
        it.
        """


@dataclass(slots=True)
class OperatorServices:
    """Everything that the operator handlers call.

    Parameters
    ----------
    declarations : DeclarationAccess
        Declarations.
    operations : OperationAccess
        Operations that may not be repeated.
    voters : VoterAccess
        Membership of the log.
    orders : OrderAccess
        Orders to engines.
    status : StatusAccess
        Status of the instance.
    operator_key : bytes
        Key that operators present.
    """

    declarations: DeclarationAccess
    operations: OperationAccess
    voters: VoterAccess
    orders: OrderAccess
    status: StatusAccess
    operator_key: bytes
