"""Effects of the order controller."""

from dataclasses import dataclass

from laburnumrock.messages import Effect
from laburnumrock.orders._messages import MarkOrder, Order, ReloadOrder


@dataclass(frozen=True, slots=True)
class ProposeOrderUpdate(Effect):
    """Propose a command; `OrderController.finish_proposal` is called when it ended in any way."""

    upstream_id: str
    command: MarkOrder | ReloadOrder


@dataclass(frozen=True, slots=True)
class FetchEngineStatus(Effect):
    """Read ``GET /v1/orders``; the answer is an `EngineStatus`."""

    upstream_id: str
    base_url: str


@dataclass(frozen=True, slots=True)
class SendOrder(Effect):
    """Send an order; the answer is a `SendResult`.

    Notes
    -----
    The bytes that start the order must not be written once the leadership of the term
    `fencing_number` is no longer certain; the answer is then `SendStatus.NOT_SENT`.
    """

    upstream_id: str
    base_url: str
    order: Order
    fencing_number: int
