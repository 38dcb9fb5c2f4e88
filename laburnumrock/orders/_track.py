"""What the order controller knows of one engine."""

from dataclasses import dataclass
from enum import StrEnum

from laburnumrock.orders._messages import EngineStatus, Order, SendResult


class Wait(StrEnum):
    """What the controller waits for; it does one thing at a time per engine."""

    READ = "read"
    SEND = "send"
    PROPOSAL = "proposal"


@dataclass(slots=True)
class EngineTrack:
    """State of the controller for one engine.

    Parameters
    ----------
    incarnation : int
        Run of the engine's process.
    base_url : str
        HTTP address.
    wait : Wait, optional
        What is outstanding.
    listing : EngineStatus, optional
        What the engine reported after everything that this controller sent it.
    read_due_s : float
        Earliest time of the next reading.
    is_fenced : bool
        Whether the engine refused the fencing number of this controller.
    is_reading_old : bool
        Whether the outstanding reading began too early to count.
    refusal : SendResult, optional
        Refusal of an order that is not yet recorded.
    """

    incarnation: int
    base_url: str
    wait: Wait | None = None
    listing: EngineStatus | None = None
    read_due_s: float = 0.0
    is_fenced: bool = False
    is_reading_old: bool = False
    refusal: SendResult | None = None

    def forget(self, read_due_s: float) -> None:
        """Require a new reading before anything else is sent."""
        self.listing = None
        self.is_reading_old = self.wait is Wait.READ
        self.read_due_s = max(self.read_due_s, read_due_s)

    def finish_read(self, listing: EngineStatus) -> None:
        """Take over the answer to a reading."""
        self.wait = None
        if listing.is_known and not self.is_reading_old:
            self.listing = listing
        self.is_reading_old = False

    def has_accepted(self, order: Order) -> bool:
        """Whether the engine listed the order."""
        return self.listing is not None and order.order_id in self.listing.order_ids

    def shows_effect(self, order: Order) -> bool:
        """Whether the engine reported the effect of the order."""
        return self.listing is not None and order.target in self.listing.loaded.get(order.kind, [])
