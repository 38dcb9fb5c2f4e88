"""The order book as a part of the replicated state."""

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

# Bounds the part of the replicated state that grows with every order.
KEPT_FINISHED = 1_000
MAX_LISTED = 500

_CHART = json.loads(files(__package__).joinpath("_order.json").read_text("utf-8"))["states"]
_OPEN_STATES = (OrderState.RECORDED, OrderState.SENT, OrderState.ACCEPTED)
_WANTED_STATES = (*_OPEN_STATES, OrderState.DONE)

Slot = tuple[str, OrderKind]


@register_part("orders")
class OrderStore:
    """Orders to engines.

    Attributes
    ----------
    orders : dict of str to Order
        By order id, oldest first.
    open_ids : dict of str to list of str
        Orders that are not finished, by engine, oldest first.
    wanted : dict of (str, OrderKind) to str
        Last order that was not refused, by engine and kind: the desired state.
    fencing_number : int
        Highest fencing number that was recorded.
    """

    command_types = (AddOrder, MarkOrder, ReloadOrder)

    def __init__(self) -> None:
        self.orders: dict[str, Order] = {}
        self.open_ids: dict[str, list[str]] = {}
        self.wanted: dict[Slot, str] = {}
        self.finished: deque[str] = deque()
        self.fencing_number = 0

    def apply(self, command: object, index: int) -> OrderAnswer:
        """Apply a command."""
        if isinstance(command, AddOrder):
            return self._add(command)
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
        found = [one for one in self.orders.values() if name in (None, one.upstream_id)]
        return OrderList([replace(order) for order in found[-MAX_LISTED:]])

    def find_open(self, upstream_id: str) -> Order | None:
        """Return the oldest order of an engine that is not finished."""
        ids = self.open_ids.get(upstream_id)
        return self.orders[ids[0]] if ids else None

    def find_desired(self, upstream_id: str) -> list[Order]:
        """Return the last carried out or open order of each kind of an engine."""
        slots = ((upstream_id, kind) for kind in OrderKind)
        return [self.orders[self.wanted[slot]] for slot in slots if slot in self.wanted]

    def count_loads(self) -> int:
        """Return how many loads may be reading from the weight store."""
        heads = (self.orders[ids[0]] for ids in self.open_ids.values())
        return sum(one.kind.is_load and one.state is not OrderState.RECORDED for one in heads)

    def to_plain(self) -> object:
        """Return all orders."""
        orders = [to_plain(order) for order in self.orders.values()]
        return {
            "fencing_number": self.fencing_number,
            "orders": orders,
            "finished": list(self.finished),
        }

    def restore(self, plain: object | None) -> None:
        """Replace all orders."""
        plain = plain or {"fencing_number": 0, "orders": [], "finished": []}
        self.fencing_number = plain["fencing_number"]
        self.orders = {}
        self.open_ids = {}
        self.wanted = {}
        self.finished = deque(plain["finished"])
        for item in plain["orders"]:
            order = from_plain(Order, item)
            self.orders[order.order_id] = order
            if order.state in _OPEN_STATES:
                self.open_ids.setdefault(order.upstream_id, []).append(order.order_id)
            if order.state in _WANTED_STATES:
                self.wanted[order.upstream_id, order.kind] = order.order_id

    def _add(self, command: AddOrder) -> OrderAnswer:
        known = self.orders.get(command.order_id)
        if known is not None:
            same = (known.upstream_id, known.kind, known.arguments) == (
                command.upstream_id,
                command.kind,
                command.arguments,
            )
            detail = "" if same else "the order id was used for another order"
            return _answer(same, known, detail)
        if not find_target(command.kind, command.arguments):
            return _answer(False, None, f"{command.kind} lacks its argument")
        order = Order(
            command.order_id,
            command.upstream_id,
            command.kind,
            dict(command.arguments),
            recorded_s=command.stamped_at_s,
            changed_s=command.stamped_at_s,
        )
        return self._insert(order)

    def _insert(self, order: Order) -> OrderAnswer:
        slot = (order.upstream_id, order.kind)
        previous = self.orders.get(self.wanted.get(slot, ""))
        if previous is not None and previous.state is OrderState.RECORDED:
            # Only an order that was certainly not sent may be left out.
            self._fire(previous, "supersede", f"replaced by {order.order_id}", order.recorded_s)
        self.orders[order.order_id] = order
        self.open_ids.setdefault(order.upstream_id, []).append(order.order_id)
        self.wanted[slot] = order.order_id
        if previous is not None and previous.state is OrderState.DONE:
            self._finish(previous)
        return _answer(True, order)

    def _mark(self, command: MarkOrder) -> OrderAnswer:
        order = self.orders.get(command.order_id)
        if order is None:
            return _answer(False, None, "no such order")
        if self.find_open(order.upstream_id) is not order:
            return _answer(False, order, "not the oldest open order of its engine")
        if command.event not in _CHART[order.state]:
            return _answer(False, order, f"{command.event} is not possible in {order.state}")
        order.fencing_number = command.fencing_number
        self._fire(order, command.event, command.result, command.stamped_at_s)
        return _answer(True, order)

    def _reload(self, command: ReloadOrder, index: int) -> OrderAnswer:
        order = self.orders.get(command.order_id)
        if order is None or order.state is not OrderState.DONE:
            return _answer(False, order, "not a carried out order")
        if self.wanted.get((order.upstream_id, order.kind)) != order.order_id:
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

    def _fire(self, order: Order, event: str, result: str, now_s: float) -> None:
        order.state = OrderState(_CHART[order.state][event])
        order.result = result or order.result
        order.changed_s = now_s
        if order.state in _OPEN_STATES:
            return
        ids = self.open_ids[order.upstream_id]
        ids.remove(order.order_id)
        if not ids:
            del self.open_ids[order.upstream_id]
        slot = (order.upstream_id, order.kind)
        if event == OrderEvent.REFUSE and self.wanted.get(slot) == order.order_id:
            self._restore_wanted(slot)
        if self.wanted.get(slot) != order.order_id or event == "supersede":
            self._finish(order)

    def _restore_wanted(self, slot: Slot) -> None:
        """Want the last order again that was carried out before a refused one."""
        del self.wanted[slot]
        for order in self.orders.values():
            if (order.upstream_id, order.kind) == slot and order.state in _WANTED_STATES:
                self.wanted[slot] = order.order_id

    def _finish(self, order: Order) -> None:
        """Keep an order that nothing wants any more for a while."""
        self.finished.append(order.order_id)
        while len(self.finished) > KEPT_FINISHED:
            old = self.orders.get(self.finished.popleft())
            # An order that a refused one had replaced is wanted again and finishes later.
            if old is not None and self.wanted.get((old.upstream_id, old.kind)) != old.order_id:
                del self.orders[old.order_id]


def _answer(accepted: bool, order: Order | None, detail: str = "") -> OrderAnswer:
    return OrderAnswer(accepted, None if order is None else replace(order), detail)
