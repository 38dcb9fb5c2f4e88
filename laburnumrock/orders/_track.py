"""State that the order controller keeps for one engine."""

from dataclasses import dataclass
from enum import StrEnum

from laburnumrock.orders._messages import EngineStatus, Order, SendResult


class PendingOperation(StrEnum):
    """Operation in progress; the controller runs one operation at a time per engine."""

    READ = "read"
    SEND = "send"
    PROPOSAL = "proposal"


@dataclass(slots=True)
class TrackedEngine:
    """An engine as seen by the order controller.

    Parameters
    ----------
    incarnation : int
        Increases with every start of the engine's process.
    base_url : str
        Base URL of the engine's HTTP interface.
    wait : PendingOperation, optional
        Operation in progress, for whose result the controller waits.
    status : EngineStatus, optional
        Status that the engine reported after the last order that this controller sent to it.
    read_due_s : float
        Earliest time of the next status request.
    is_fenced : bool
        Whether the engine refused the fencing number of this controller.
    discard_read : bool
        Whether to discard the response to the pending status request as out of date.
    refusal : SendResult, optional
        Refusal that is not yet recorded in the log.
    """

    incarnation: int
    base_url: str
    wait: PendingOperation | None = None
    status: EngineStatus | None = None
    read_due_s: float = 0.0
    is_fenced: bool = False
    discard_read: bool = False
    refusal: SendResult | None = None

    def invalidate(self, read_due_s: float) -> None:
        """Discard the status, so that a new one is fetched before anything else is sent."""
        self.status = None
        self.discard_read = self.wait is PendingOperation.READ
        self.read_due_s = max(self.read_due_s, read_due_s)

    def apply_status(self, status: EngineStatus) -> None:
        """Apply the response to a status request."""
        self.wait = None
        if status.has_answered and not self.discard_read:
            self.status = status
        self.discard_read = False

    def has_accepted(self, order: Order) -> bool:
        """Return whether the engine's status lists the order as accepted."""
        return self.status is not None and order.order_id in self.status.order_ids

    def shows_effect(self, order: Order) -> bool:
        """Return whether the engine's status shows the effect of the order."""
        return self.status is not None and order.target in self.status.loaded.get(order.kind, [])
