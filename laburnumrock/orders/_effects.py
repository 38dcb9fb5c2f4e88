"""Effects of the order controller."""

from dataclasses import dataclass

from laburnumrock.messages import Effect
from laburnumrock.orders._messages import MarkOrder, Order, ReloadOrder


@dataclass(frozen=True, slots=True)
class ProposeOrderUpdate(Effect):
    """Propose a log command; `OrderController.finish_proposal` is called in any outcome."""

    upstream_id: str
    command: MarkOrder | ReloadOrder


@dataclass(frozen=True, slots=True)
class FetchEngineStatus(Effect):
    """Request ``GET /v1/orders``; the result is an `EngineStatus`."""

    upstream_id: str
    base_url: str


@dataclass(frozen=True, slots=True)
class SendOrder(Effect):
    """Send an order; the result is a `SendResult`.

    Notes
    -----
    The request must not be written unless this instance certainly still leads in the term
    `fencing_number`; otherwise the result is `SendStatus.NOT_SENT`.
    """

    upstream_id: str
    base_url: str
    order: Order
    fencing_number: int
