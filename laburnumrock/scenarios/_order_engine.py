"""Simulated engines that receive orders under a virtual clock."""

import random
from dataclasses import dataclass, field

from laburnumrock.orders import EngineStatus, Order, OrderKind, SendResult, SendStatus
from laburnumrock.scenarios._virtual import VirtualClock

LOAD_DURATION_S = (0.05, 0.6)


@dataclass(slots=True)
class OrderChecks:
    """Invariants over all engines; raises AssertionError as soon as one is violated.

    Parameters
    ----------
    max_loads : int
        Maximum number of concurrent loads.
    positions : dict of str to int
        Position of every order in the replicated log, by order id.
    loads : set of (str, str)
        Engine name and order id of each running load.
    started_orders : int
        Number of orders that engines have started to execute.
    """

    max_loads: int
    positions: dict[str, int] = field(default_factory=dict)
    loads: set[tuple[str, str]] = field(default_factory=set)
    started_orders: int = 0

    def record_start(self, engine: "VirtualEngine", order: Order) -> None:
        """Check that an order is neither outdated nor repeated, and loads are within the limit."""
        self.started_orders += 1
        position = self.positions[order.order_id]
        if position < engine.newest_position:
            raise AssertionError(f"{engine.name} executes {order.order_id} after a newer order")
        engine.newest_position = position
        if order.order_id in engine.accepted:
            raise AssertionError(f"{engine.name} executes {order.order_id} twice")
        # A target that is already loaded is not read from the weight store again.
        if order.kind.is_load and order.target not in engine.loaded[order.kind]:
            self.loads.add((engine.name, order.order_id))
            if len(self.loads) > self.max_loads:
                raise AssertionError(f"{len(self.loads)} concurrent loads exceed the limit")


class VirtualEngine:
    """Simulated engine; unless it enforces fencing, it executes every order received.

    Parameters
    ----------
    name : str
        Upstream id.
    enforces_fencing : bool
        Whether it refuses outdated fencing numbers and ignores repeated order ids.
    clock, checks, rng
        Simulated time, invariants and random number generator of the simulation.
    """

    def __init__(
        self,
        name: str,
        enforces_fencing: bool,
        clock: VirtualClock,
        checks: OrderChecks,
        rng: random.Random,
    ) -> None:
        self.name = name
        self.enforces_fencing = enforces_fencing
        self.clock = clock
        self.checks = checks
        self.rng = rng
        self.incarnation = 0
        self.newest_position = -1
        self.restart()

    def restart(self) -> None:
        """Start a new process with empty state."""
        self.incarnation += 1
        self.highest_fencing_number = 0
        self.accepted: dict[str, Order] = {}
        self.loaded: dict[str, list[str]] = {kind: [] for kind in OrderKind}
        self.checks.loads = {load for load in self.checks.loads if load[0] != self.name}

    def list_orders(self) -> EngineStatus:
        """Simulate ``GET /v1/orders``."""
        loaded = {kind: list(names) for kind, names in self.loaded.items()}
        return EngineStatus(self.name, True, loaded, list(self.accepted))

    def receive(self, order: Order, fencing_number: int) -> SendResult:
        """Simulate ``POST /v1/orders``."""
        if self.enforces_fencing:
            if fencing_number < self.highest_fencing_number:
                return SendResult(self.name, order.order_id, SendStatus.FENCED)
            self.highest_fencing_number = fencing_number
            if order.order_id in self.accepted:
                return SendResult(self.name, order.order_id, SendStatus.ACCEPTED)
        self.checks.record_start(self, order)
        self.accepted[order.order_id] = order
        incarnation = self.incarnation
        self.clock.after(
            self.rng.uniform(*LOAD_DURATION_S), lambda: self._finish(order, incarnation)
        )
        return SendResult(self.name, order.order_id, SendStatus.ACCEPTED)

    def _finish(self, order: Order, incarnation: int) -> None:
        if incarnation != self.incarnation:
            return
        self.checks.loads.discard((self.name, order.order_id))
        names = self.loaded[order.kind]
        if order.kind is OrderKind.CHANGE_ROLE:
            names.clear()
        if order.target not in names:
            names.append(order.target)
