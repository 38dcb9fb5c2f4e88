"""Commands, answers and reports about orders to engines."""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message


class OrderKind(StrEnum):
    """What an engine is told to do."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"

    @property
    def is_load(self) -> bool:
        """Whether the order reads from the weight store."""
        return self is not OrderKind.CHANGE_ROLE


TARGET_ARGUMENTS = {
    OrderKind.LOAD_MODEL: "model",
    OrderKind.LOAD_ADAPTER: "adapter",
    OrderKind.LOAD_VERSION: "version",
    OrderKind.CHANGE_ROLE: "role",
}


class OrderState(StrEnum):
    """State of an order; see ``_order.json``."""

    RECORDED = "recorded"
    SENT = "sent"
    ACCEPTED = "accepted"
    DONE = "done"
    REFUSED = "refused"
    SUPERSEDED = "superseded"


class OrderEvent(StrEnum):
    """What the controller records of an order."""

    SEND = "send"
    ACCEPT = "accept"
    COMPLETE = "complete"
    REFUSE = "refuse"


@dataclass(slots=True)
class Order:
    """Entry of the order book.

    Parameters
    ----------
    order_id, upstream_id : str
        Name of the order and of its engine.
    kind : OrderKind
        What to do.
    arguments : dict of str to str
        Arguments; the one that `find_target` returns is always present.
    state : OrderState
        State by the chart ``_order.json``.
    fencing_number : int
        Term of the controller that sends the order; 0 before the first.
    result : str
        Answer of the engine, in words.
    recorded_s, changed_s : float
        Times by the leaders' clocks, in seconds since 1970.
    reload_of : str
        Order that is repeated because the engine forgot it; empty otherwise.
    """

    order_id: str
    upstream_id: str
    kind: OrderKind
    arguments: dict[str, str]
    state: OrderState = OrderState.RECORDED
    fencing_number: int = 0
    result: str = ""
    recorded_s: float = 0.0
    changed_s: float = 0.0
    reload_of: str = ""

    @property
    def target(self) -> str:
        """What is loaded, or the role."""
        return find_target(self.kind, self.arguments)


def find_target(kind: OrderKind, arguments: dict[str, str]) -> str:
    """Return the argument that names what is loaded, or the role; empty if it is missing."""
    return arguments.get(TARGET_ARGUMENTS[kind], "")


@register_message
@dataclass(frozen=True, slots=True)
class AddOrder:
    """Records an order; a resend with the same id returns the recorded order."""

    order_id: str
    upstream_id: str
    kind: OrderKind
    arguments: dict[str, str]
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class MarkOrder:
    """Records an event of an order, by the controller with this fencing number."""

    order_id: str
    event: OrderEvent
    fencing_number: int
    result: str = ""
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class ReloadOrder:
    """Repeats a carried out order that the engine has forgotten, unless a newer one replaced it."""

    order_id: str
    fencing_number: int
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Answer to a command.

    Parameters
    ----------
    accepted : bool
        Whether the command took effect, now or when it came the first time.
    order : Order, optional
        The order after the command.
    detail : str
        Why the command was refused.
    """

    accepted: bool
    order: Order | None = None
    detail: str = ""


@register_message
@dataclass(frozen=True, slots=True)
class ListOrders:
    """Question: the newest orders, of one engine if it is named."""

    upstream_id: str | None = None


@register_message
@dataclass(frozen=True, slots=True)
class OrderList:
    """Orders, oldest first."""

    orders: list[Order] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class EngineSighting:
    """Where an engine listens, from the owner of its pool to the voters."""

    upstream_id: str
    incarnation: int
    base_url: str


class SendStatus(StrEnum):
    """Answer of an engine to an order."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class SendResult:
    """How the sending of an order ended; `NOT_SENT` is proved, `UNCERTAIN` proves nothing."""

    upstream_id: str
    order_id: str
    status: SendStatus
    detail: str = ""


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """What ``GET /v1/orders`` returned.

    Parameters
    ----------
    upstream_id : str
        The engine.
    is_known : bool
        Whether the engine answered; the other fields count only then.
    loaded : dict of str to list of str
        By kind of order, what is loaded; for the role a list with one entry.
    order_ids : list of str
        Orders that the engine accepted since its start.
    """

    upstream_id: str
    is_known: bool
    loaded: dict[str, list[str]] = field(default_factory=dict)
    order_ids: list[str] = field(default_factory=list)
