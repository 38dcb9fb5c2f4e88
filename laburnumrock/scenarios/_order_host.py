"""Simulated voter that runs the order controller under a virtual clock."""

from collections.abc import Callable

from laburnumrock.orders import (
    EngineSighting,
    EngineStatus,
    FetchEngineStatus,
    OrderController,
    ProposeOrderUpdate,
    SendOrder,
    SendResult,
    SendStatus,
)
from laburnumrock.orders._controller import CALL_TIMEOUT_S
from laburnumrock.replication import Entry, Role
from laburnumrock.scenarios._log_host import LogHost
from laburnumrock.scenarios._order_engine import OrderChecks, VirtualEngine
from laburnumrock.settings import OrderSettings

CONNECT_DELAY_S = (0.001, 0.3)
# A request may arrive this long after its sender timed out, well within the safety margin.
MAX_LATENESS_S = 0.3
PROPOSAL_TIMEOUT_S = 1.0
LOSS_PROBABILITY = 0.1


class OrderHost(LogHost):
    """Simulated voter with an order controller; `OrderCluster` sets the other attributes.

    Attributes
    ----------
    rechecks : bool
        Whether leadership is checked again immediately before an order is written.
    takeover_wait : bool
        Whether a new controller first waits until requests of the previous one have expired.
    retry_wait : bool
        Whether the controller waits for an unanswered request to expire before it fetches the
        engine status.
    """

    rechecks = True
    takeover_wait = True
    retry_wait = True
    engines: dict[str, VirtualEngine]
    order_checks: OrderChecks
    orders: OrderSettings
    before_write: Callable[["OrderHost"], None]
    process = 0

    def start(self) -> None:
        """Start the process, with a new controller."""
        super().start()
        self.process += 1
        self.controller = OrderController(self.orders, self.state.parts["orders"])
        if not self.takeover_wait:
            self.controller.takeover_wait_s = 0.0
        if not self.retry_wait:
            self.controller.retry_wait_s = 0.0

    def receive_sighting(self, sighting: EngineSighting) -> None:
        """Pass the announced address of an engine to the controller."""
        if self.node is not None:
            self._run_in_process(lambda: self._notify_controller(sighting))

    def leader_term(self) -> int | None:
        """Return the current term if this voter is leader with a valid lease, else None."""
        node = self.node
        if node is None or node.role is not Role.LEADER:
            return None
        if self.applied_index < node.leader_state.term_start_index:
            return None
        now_s = self.clock.now_s
        return node.term if node.lease_ends_s(now_s) > now_s else None

    def _tick(self) -> None:
        super()._tick()
        if self.node is None or self.frozen:
            return
        now_s = self.clock.now_s
        self.controller.observe_leadership(self.leader_term(), now_s)
        for effect in self.controller.tick(now_s):
            if isinstance(effect, ProposeOrderUpdate):
                self._propose_update(effect)
            elif isinstance(effect, FetchEngineStatus):
                self._fetch_engine_status(effect)
            elif isinstance(effect, SendOrder):
                self._send_order(effect)

    def _apply(self, entry: Entry) -> None:
        super()._apply(entry)
        recorded_orders = self.state.parts["orders"].orders
        positions = self.order_checks.positions
        if recorded_orders and (newest := next(reversed(recorded_orders))) not in positions:
            positions[newest] = len(positions)

    def _propose_update(self, effect: ProposeOrderUpdate) -> None:
        on_result = self._call_once(lambda _: self.controller.finish_proposal(effect.upstream_id))
        self._after(PROPOSAL_TIMEOUT_S, lambda: on_result(None))
        self.propose(
            effect.command, lambda response: self._run_in_process(lambda: on_result(response))
        )

    def _fetch_engine_status(self, effect: FetchEngineStatus) -> None:
        engine = self.engines[effect.upstream_id]
        on_result = self._call_once(self._notify_controller)
        self._after(CALL_TIMEOUT_S, lambda: on_result(EngineStatus(engine.name, False)))

        def answer() -> None:
            engine_status = engine.list_orders()
            self._after(self.rng.uniform(*CONNECT_DELAY_S), lambda: on_result(engine_status))

        if self.rng.random() >= LOSS_PROBABILITY:
            self.clock.after(self.rng.uniform(*CONNECT_DELAY_S), answer)

    def _send_order(self, effect: SendOrder) -> None:
        engine = self.engines[effect.upstream_id]
        order_id = effect.order.order_id
        on_result = self._call_once(self._notify_controller)
        uncertain = SendResult(engine.name, order_id, SendStatus.UNCERTAIN)
        self._after(CALL_TIMEOUT_S, lambda: on_result(uncertain))

        def connect() -> None:
            incarnation = engine.incarnation
            self.before_write(self)
            self._run_in_process(lambda: write(incarnation))

        def write(incarnation: int) -> None:
            if self.rechecks and self.leader_term() != effect.fencing_number:
                on_result(SendResult(engine.name, order_id, SendStatus.NOT_SENT))
                return
            slow = self.rng.random() < 0.5
            delay_s = self.rng.uniform(0.0, CALL_TIMEOUT_S + MAX_LATENESS_S if slow else 0.01)
            if self.rng.random() >= LOSS_PROBABILITY:
                self.clock.after(delay_s, lambda: deliver(incarnation))

        def deliver(incarnation: int) -> None:
            # A restart of the engine closes the connections that its old process accepted.
            if incarnation != engine.incarnation:
                return
            result = engine.receive(effect.order, effect.fencing_number)
            if self.rng.random() >= LOSS_PROBABILITY:
                self._after(0.001, lambda: on_result(result))

        process = self.process
        self.clock.after(
            self.rng.uniform(*CONNECT_DELAY_S), lambda: process == self.process and connect()
        )

    def _notify_controller(self, message: object) -> None:
        self.controller.receive("", message, self.clock.now_s)

    def _call_once(self, finish: Callable) -> Callable:
        finished = False

        def end(value: object) -> None:
            nonlocal finished
            if not finished:
                finished = True
                finish(value)

        return end

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action of the current process."""
        process = self.process
        self.clock.after(delay_s, lambda: self._run_in_process(action, process))

    def _run_in_process(self, action: Callable[[], None], process: int | None = None) -> None:
        """Run an action now, or after a freeze, unless its process has ended."""
        process = self.process if process is None else process
        if self.node is None or process != self.process:
            return
        if self.frozen:
            self.deferred_actions.append(lambda: self._run_in_process(action, process))
            return
        action()
