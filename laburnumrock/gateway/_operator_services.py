"""Interfaces of the services behind the operator handlers."""

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
from laburnumrock.gateway._interfaces import Lifecycle


class DeclarationAccess(Protocol):
    """Access to the declarations of the instance; implemented by `DeclarationTask`."""

    view: DeclarationView

    async def submit(self, command: ApplyChange) -> Result[ChangeAnswer, Failure]:
        """Commit a change to the replicated log."""

    async def find_lagging_instances(self, revision: int) -> list[str]:
        """Return the instances that have not applied a revision."""

    async def find_instances_without_hold(self, failure_domain: str) -> list[str]:
        """Return the instances of the local failure domain that do not have a hold."""

    async def read_history(self, limit: int) -> Result[list[HistoryEntry], Failure]:
        """Return the most recent changes, oldest first."""

    def add_hold(self, failure_domain: str, operator: str) -> Result[Hold, Failure]:
        """Place a hold on the local failure domain."""

    def remove_hold(self, failure_domain: str, operator: str) -> Result[Hold, Failure]:
        """Remove a hold."""


class OperationAccess(Protocol):
    """Access to non-idempotent operations."""

    async def find_operation(self, account: str, key: str) -> Result[dict[str, object], Failure]:
        """Return the state of an operation as JSON-serializable data."""

    async def reconcile(
        self, account: str, key: str, outcome: str, source: str, operator: str, request_id: str
    ) -> Result[dict[str, object], Failure]:
        """Record the outcome of an operation whose outcome is unknown, and its source."""


class VoterAccess(Protocol):
    """Access to the voters of the replicated log."""

    async def change_voter(self, action: str, instance_id: str) -> Result[dict, Failure]:
        """Add or remove a voter; `action` is ``add`` or ``remove``."""


class OrderAccess(Protocol):
    """Access to orders for engines."""

    async def add_order(
        self, order_id: str, upstream_id: str, kind: str, arguments: dict[str, str]
    ) -> Result[dict[str, object], Failure]:
        """Record an order; a retry with the same id returns the recorded order."""

    async def list_orders(self, upstream_id: str | None) -> Result[dict[str, object], Failure]:
        """Return the most recent orders under the key ``orders``, oldest first."""


class StatusAccess(Protocol):
    """Access to the status of the instance."""

    def describe_status(self) -> dict[str, object]:
        """Return the status as JSON-serializable data, without credentials.

        Notes
        -----
        ``voters`` lists the voters of the log as known to this instance;
        ``laburnumrock voters --wait`` reads it.
        """


@dataclass(slots=True)
class OperatorServices:
    """Services used by the operator handlers.

    Parameters
    ----------
    declarations : DeclarationAccess
        Declarations.
    operations : OperationAccess
        Non-idempotent operations.
    voters : VoterAccess
        Voters of the replicated log.
    orders : OrderAccess
        Orders for engines.
    status : StatusAccess
        Status of the instance.
    lifecycle : Lifecycle
        Lifecycle state of the instance.
    operator_key : bytes
        Key with which operators authenticate.
    """

    declarations: DeclarationAccess
    operations: OperationAccess
    voters: VoterAccess
    orders: OrderAccess
    status: StatusAccess
    lifecycle: Lifecycle
    operator_key: bytes
