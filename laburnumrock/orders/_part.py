"""The order store, a part of the replicated state."""

import json
from collections import deque
from dataclasses import replace
from importlib.resources import files

from laburnumrock.messages import from_plain, to_plain
from laburnumrock.orders._messages import (
    AddOrder,
    ListOrders,
    MarkOrder,
    Order,
    OrderAnswer,
    OrderEvent,
    OrderKind,
    OrderList,
    OrderState,
    ReloadOrder,
    find_target,
)
from laburnumrock.state import register_part

# Limits the finished orders that are kept; without it, the state would grow with every order.
MAX_FINISHED = 1_000
MAX_LISTED = 500

_TRANSITIONS = json.loads(files(__package__).joinpath("_order.json").read_text("utf-8"))["states"]
_OPEN_STATES = (OrderState.RECORDED, OrderState.SENT, OrderState.ACCEPTED)
_DESIRED_STATES = (*_OPEN_STATES, OrderState.DONE)

DesiredKey = tuple[str, OrderKind]


@register_part("orders")
class OrderStore:
    """Engine orders and the desired state of the engines that follows from them.

    Attributes
    ----------
    orders : dict of str to Order
        By order id, oldest first.
    open_ids : dict of str to list of str
        Unfinished orders by engine, oldest first.
    desired : dict of (str, OrderKind) to str
        Last order that was not refused, by engine and kind; together they are the desired state.
    fencing_number : int
        Highest recorded fencing number.
    """

    command_types = (AddOrder, MarkOrder, ReloadOrder)

    def __init__(self) -> None:
        self.orders: dict[str, Order] = {}
        self.open_ids: dict[str, list[str]] = {}
        self.desired: dict[DesiredKey, str] = {}
        self.finished: deque[str] = deque()
        self.fencing_number = 0

    def apply(self, command: object, index: int) -> OrderAnswer:
        """Apply a log command."""
        if isinstance(command, AddOrder):
            return self._add(command, index)
        if command.fencing_number < self.fencing_number:
            order = self.orders.get(command.order_id)
            return _answer(False, order, "a newer controller recorded a higher fencing number")
        self.fencing_number = command.fencing_number
        if isinstance(command, ReloadOrder):
            return self._reload(command, index)
        return self._mark(command)

    def query(self, question: ListOrders) -> OrderList:
        """Return the newest orders."""
        name = question.upstream_id
        found = [order for order in self.orders.values() if name in (None, order.upstream_id)]
        return OrderList([replace(order) for order in found[-MAX_LISTED:]])

    def find_open(self, upstream_id: str) -> Order | None:
        """Return the oldest unfinished order of an engine."""
        ids = self.open_ids.get(upstream_id)
        return self.orders[ids[0]] if ids else None

    def find_desired(self, upstream_id: str) -> list[Order]:
        """Return the desired state of an engine: its last completed or open order of each kind."""
        keys = ((upstream_id, kind) for kind in OrderKind)
        return [self.orders[self.desired[key]] for key in keys if key in self.desired]

    def count_loads(self) -> int:
        """Return the number of loads that may currently read from the weight store."""
        oldest_open = (self.orders[ids[0]] for ids in self.open_ids.values())
        return sum(
            order.kind.is_load and order.state is not OrderState.RECORDED for order in oldest_open
        )

    def to_plain(self) -> object:
        """Return a snapshot of the order store."""
        orders = [to_plain(order) for order in self.orders.values()]
        return {
            "fencing_number": self.fencing_number,
            "orders": orders,
            "finished": list(self.finished),
        }

    def restore(self, plain: object | None) -> None:
        """Replace the order store by a snapshot; None means an empty store."""
        plain = plain or {"fencing_number": 0, "orders": [], "finished": []}
        self.fencing_number = plain["fencing_number"]
        self.orders = {}
        self.open_ids = {}
        self.desired = {}
        self.finished = deque(plain["finished"])
        for item in plain["orders"]:
            order = from_plain(Order, item)
            self.orders[order.order_id] = order
            if order.state in _OPEN_STATES:
                self.open_ids.setdefault(order.upstream_id, []).append(order.order_id)
            if order.state in _DESIRED_STATES:
                self.desired[order.upstream_id, order.kind] = order.order_id

    def _add(self, command: AddOrder, index: int) -> OrderAnswer:
        known = self.orders.get(command.order_id)
        if known is not None:
            is_same_order = (known.upstream_id, known.kind, known.arguments) == (
                command.upstream_id,
                command.kind,
                command.arguments,
            )
            detail = "" if is_same_order else "the order id was used for another order"
            return _answer(is_same_order, known, detail)
        if not find_target(command.kind, command.arguments):
            return _answer(False, None, f"{command.kind} lacks its argument")
        newest = self._find_newest_index(command.upstream_id, command.kind)
        if command.base_index is not None and newest > command.base_index:
            return _answer(False, None, "a newer order was recorded since this one was received")
        order = Order(
            command.order_id,
            command.upstream_id,
            command.kind,
            dict(command.arguments),
            recorded_s=command.stamped_at_s,
            changed_s=command.stamped_at_s,
            index=index,
        )
        return self._insert(order)

    def _find_newest_index(self, upstream_id: str, kind: OrderKind) -> int:
        same_kind = (
            order.index
            for order in self.orders.values()
            if (order.upstream_id, order.kind) == (upstream_id, kind)
        )
        return max(same_kind, default=0)

    def _insert(self, order: Order) -> OrderAnswer:
        key = (order.upstream_id, order.kind)
        previous = self.orders.get(self.desired.get(key, ""))
        if previous is not None and previous.state is OrderState.RECORDED:
            # Only an order that was certainly not sent may be skipped.
            self._transition(
                previous, "supersede", f"replaced by {order.order_id}", order.recorded_s
            )
        self.orders[order.order_id] = order
        self.open_ids.setdefault(order.upstream_id, []).append(order.order_id)
        self.desired[key] = order.order_id
        if previous is not None and previous.state is OrderState.DONE:
            self._retire(previous)
        return _answer(True, order)

    def _mark(self, command: MarkOrder) -> OrderAnswer:
        order = self.orders.get(command.order_id)
        if order is None:
            return _answer(False, None, "no such order")
        if self.find_open(order.upstream_id) is not order:
            return _answer(False, order, "not the oldest open order of its engine")
        if command.event not in _TRANSITIONS[order.state]:
            return _answer(False, order, f"{command.event} is not possible in {order.state}")
        order.fencing_number = command.fencing_number
        self._transition(order, command.event, command.result, command.stamped_at_s)
        return _answer(True, order)

    def _reload(self, command: ReloadOrder, index: int) -> OrderAnswer:
        order = self.orders.get(command.order_id)
        if order is None or order.state is not OrderState.DONE:
            return _answer(False, order, "not a carried out order")
        if self.desired.get((order.upstream_id, order.kind)) != order.order_id:
            return _answer(False, order, "a newer order replaced it")
        origin = order.reload_of or order.order_id
        repeated = Order(
            f"{origin}/{index}",
            order.upstream_id,
            order.kind,
            dict(order.arguments),
            recorded_s=command.stamped_at_s,
            changed_s=command.stamped_at_s,
            reload_of=origin,
        )
        return self._insert(repeated)

    def _transition(self, order: Order, event: str, result: str, now_s: float) -> None:
        order.state = OrderState(_TRANSITIONS[order.state][event])
        order.result = result or order.result
        order.changed_s = now_s
        if order.state in _OPEN_STATES:
            return
        ids = self.open_ids[order.upstream_id]
        ids.remove(order.order_id)
        if not ids:
            del self.open_ids[order.upstream_id]
        key = (order.upstream_id, order.kind)
        if event == OrderEvent.REFUSE and self.desired.get(key) == order.order_id:
            self._restore_desired(key)
        if self.desired.get(key) != order.order_id or event == "supersede":
            self._retire(order)

    def _restore_desired(self, key: DesiredKey) -> None:
        """After a refusal, make the last order that was not refused the desired one again."""
        del self.desired[key]
        for order in self.orders.values():
            if (order.upstream_id, order.kind) == key and order.state in _DESIRED_STATES:
                self.desired[key] = order.order_id

    def _retire(self, order: Order) -> None:
        """Keep an order that is no longer desired until `MAX_FINISHED` newer ones follow it."""
        self.finished.append(order.order_id)
        while len(self.finished) > MAX_FINISHED:
            old = self.orders.get(self.finished.popleft())
            # An order whose replacement was refused is desired again; it is retired later.
            if old is not None and self.desired.get((old.upstream_id, old.kind)) != old.order_id:
                del self.orders[old.order_id]


def _answer(accepted: bool, order: Order | None, detail: str = "") -> OrderAnswer:
    return OrderAnswer(accepted, None if order is None else replace(order), detail)
