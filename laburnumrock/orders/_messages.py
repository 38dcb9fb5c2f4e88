"""Log commands, queries and status reports for engine orders."""

from dataclasses import dataclass, field
from enum import StrEnum

from laburnumrock.messages import register_message


class OrderKind(StrEnum):
    """Action that an order requests from an engine."""

    LOAD_MODEL = "load_model"
    LOAD_ADAPTER = "load_adapter"
    LOAD_VERSION = "load_version"
    CHANGE_ROLE = "change_role"

    @property
    def is_load(self) -> bool:
        """Whether executing the order reads from the weight store."""
        return self is not OrderKind.CHANGE_ROLE


TARGET_ARGUMENTS = {
    OrderKind.LOAD_MODEL: "model",
    OrderKind.LOAD_ADAPTER: "adapter",
    OrderKind.LOAD_VERSION: "version",
    OrderKind.CHANGE_ROLE: "role",
}


class OrderState(StrEnum):
    """State of an order; ``_order.json`` lists the transitions."""

    RECORDED = "recorded"
    SENT = "sent"
    ACCEPTED = "accepted"
    DONE = "done"
    REFUSED = "refused"
    SUPERSEDED = "superseded"


class OrderEvent(StrEnum):
    """Event of an order that the controller records in the log."""

    SEND = "send"
    ACCEPT = "accept"
    COMPLETE = "complete"
    REFUSE = "refuse"


@dataclass(slots=True)
class Order:
    """Entry of the order store.

    Parameters
    ----------
    order_id, upstream_id : str
        Ids of the order and of its engine.
    kind : OrderKind
        Requested action.
    arguments : dict of str to str
        Arguments; the one that `find_target` returns is always present.
    state : OrderState
        State in the state machine of ``_order.json``.
    fencing_number : int
        Term of the controller that recorded the last event of the order; 0 before the first.
    result : str
        Result as text, such as the engine's reason for a refusal.
    recorded_s, changed_s : float
        Times of creation and last change by the leaders' clocks, in seconds since 1970.
    reload_of : str
        Original order, if this one was issued again because the engine lost its effect; else empty.
    index : int
        Log index of the command that recorded the order; 0 for a reissued one.
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
    index: int = 0

    @property
    def target(self) -> str:
        """Model, adapter or version to load, or the role to take."""
        return find_target(self.kind, self.arguments)


def find_target(kind: OrderKind, arguments: dict[str, str]) -> str:
    """Return the model, adapter, version or role of an order; empty if the argument is missing."""
    return arguments.get(TARGET_ARGUMENTS[kind], "")


@register_message
@dataclass(frozen=True, slots=True)
class AddOrder:
    """Log command that records an order; a resend with the same id returns the recorded order.

    Parameters
    ----------
    base_index : int, optional
        Log index that was confirmed as current when the order was received. The order is refused if
        a newer one of the same kind was recorded for the engine since; None for no such check.
    """

    order_id: str
    upstream_id: str
    kind: OrderKind
    arguments: dict[str, str]
    stamped_at_s: float = 0.0
    base_index: int | None = None


@register_message
@dataclass(frozen=True, slots=True)
class MarkOrder:
    """Log command that records an event of an order; a lower fencing number is refused."""

    order_id: str
    event: OrderEvent
    fencing_number: int
    result: str = ""
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class ReloadOrder:
    """Log command that reissues a completed order whose effect is lost, if it is still desired."""

    order_id: str
    fencing_number: int
    stamped_at_s: float = 0.0


@register_message
@dataclass(frozen=True, slots=True)
class OrderAnswer:
    """Result of a log command.

    Parameters
    ----------
    accepted : bool
        Whether the command took effect, now or on its first submission.
    order : Order, optional
        State of the order after the command.
    detail : str
        Reason for a refusal.
    """

    accepted: bool
    order: Order | None = None
    detail: str = ""


@register_message
@dataclass(frozen=True, slots=True)
class ListOrders:
    """Query for the newest orders, optionally of one engine only."""

    upstream_id: str | None = None


@register_message
@dataclass(frozen=True, slots=True)
class OrderList:
    """Result of `ListOrders`, oldest order first."""

    orders: list[Order] = field(default_factory=list)


@register_message
@dataclass(frozen=True, slots=True)
class EngineSighting:
    """Address of an engine, sent by the owner of its pool to the voters."""

    upstream_id: str
    incarnation: int
    base_url: str


class SendStatus(StrEnum):
    """Outcome of sending an order to an engine."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNCERTAIN = "uncertain"


@dataclass(frozen=True, slots=True)
class SendResult:
    """Outcome of a send; `NOT_SENT` is certain, after `UNCERTAIN` the order may have arrived."""

    upstream_id: str
    order_id: str
    status: SendStatus
    detail: str = ""


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Response of an engine to ``GET /v1/orders``.

    Parameters
    ----------
    upstream_id : str
        The engine.
    has_answered : bool
        Whether the engine responded; the fields below are meaningful only then.
    loaded : dict of str to list of str
        Loaded models, adapters or versions by order kind; the role is a list with one entry.
    order_ids : list of str
        Orders that the engine has accepted since it started.
    """

    upstream_id: str
    has_answered: bool
    loaded: dict[str, list[str]] = field(default_factory=dict)
    order_ids: list[str] = field(default_factory=list)
