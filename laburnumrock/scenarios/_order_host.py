"""Voter that runs the order controller under a virtual clock."""

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

CONNECT_S = (0.001, 0.3)
# A call may arrive a little after its sender gave it up, but well within the safety margin.
LATE_S = 0.3
PROPOSAL_TIMEOUT_S = 1.0
LOSS = 0.1


class OrderHost(LogHost):
    """Voter with an order controller; its surroundings are set from outside.

    Attributes
    ----------
    rechecks : bool
        Whether the leadership is checked again before the bytes of an order are written.
    takeover_wait : bool
        Whether a new controller waits for the calls of the old one.
    retry_wait : bool
        Whether a call without an answer is waited for before the engine is read.
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
        """Start the process with a new controller."""
        super().start()
        self.process += 1
        self.controller = OrderController(self.orders, self.state.parts["orders"])
        if not self.takeover_wait:
            self.controller.takeover_wait_s = 0.0
        if not self.retry_wait:
            self.controller.retry_wait_s = 0.0

    def sight(self, sighting: EngineSighting) -> None:
        """Take note of where an engine listens."""
        if self.node is not None:
            self._here(lambda: self._hear(sighting))

    def leader_term(self) -> int | None:
        """Return the term in which this voter leads with a valid lease."""
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
                self._propose_mark(effect)
            elif isinstance(effect, FetchEngineStatus):
                self._read_engine(effect)
            elif isinstance(effect, SendOrder):
                self._send_order(effect)

    def _apply(self, entry: Entry) -> None:
        super()._apply(entry)
        book = self.state.parts["orders"].orders
        positions = self.order_checks.positions
        if book and (newest := next(reversed(book))) not in positions:
            positions[newest] = len(positions)

    def _propose_mark(self, effect: ProposeOrderUpdate) -> None:
        ended = self._once(lambda _: self.controller.finish_proposal(effect.upstream_id))
        self._after(PROPOSAL_TIMEOUT_S, lambda: ended(None))
        self.propose(effect.command, lambda answer: self._here(lambda: ended(answer)))

    def _read_engine(self, effect: FetchEngineStatus) -> None:
        engine = self.engines[effect.upstream_id]
        ended = self._once(self._hear)
        self._after(CALL_TIMEOUT_S, lambda: ended(EngineStatus(engine.name, False)))

        def answer() -> None:
            listing = engine.list_orders()
            self._after(self.rng.uniform(*CONNECT_S), lambda: ended(listing))

        if self.rng.random() >= LOSS:
            self.clock.after(self.rng.uniform(*CONNECT_S), answer)

    def _send_order(self, effect: SendOrder) -> None:
        engine = self.engines[effect.upstream_id]
        order_id = effect.order.order_id
        ended = self._once(self._hear)
        uncertain = SendResult(engine.name, order_id, SendStatus.UNCERTAIN)
        self._after(CALL_TIMEOUT_S, lambda: ended(uncertain))

        def connect() -> None:
            incarnation = engine.incarnation
            self.before_write(self)
            self._here(lambda: write(incarnation))

        def write(incarnation: int) -> None:
            if self.rechecks and self.leader_term() != effect.fencing_number:
                ended(SendResult(engine.name, order_id, SendStatus.NOT_SENT))
                return
            slow = self.rng.random() < 0.5
            delay_s = self.rng.uniform(0.0, CALL_TIMEOUT_S + LATE_S if slow else 0.01)
            if self.rng.random() >= LOSS:
                self.clock.after(delay_s, lambda: deliver(incarnation))

        def deliver(incarnation: int) -> None:
            # The connection ends with the process that accepted it.
            if incarnation != engine.incarnation:
                return
            reply = engine.receive(effect.order, effect.fencing_number)
            if self.rng.random() >= LOSS:
                self._after(0.001, lambda: ended(reply))

        process = self.process
        self.clock.after(
            self.rng.uniform(*CONNECT_S), lambda: process == self.process and connect()
        )

    def _hear(self, message: object) -> None:
        self.controller.receive("", message, self.clock.now_s)

    def _once(self, finish: Callable) -> Callable:
        finished = False

        def end(value: object) -> None:
            nonlocal finished
            if not finished:
                finished = True
                finish(value)

        return end

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action of the current process later."""
        process = self.process
        self.clock.after(delay_s, lambda: self._here(action, process))

    def _here(self, action: Callable[[], None], process: int | None = None) -> None:
        """Run an action now, or after the freeze, unless the process ended."""
        process = self.process if process is None else process
        if self.node is None or process != self.process:
            return
        if self.frozen:
            self.held.append(lambda: self._here(action, process))
            return
        action()
