"""Controller of engine orders, without I/O.

Notes
-----
Three rules prevent an engine from executing an older order after a newer one, even if it ignores
fencing numbers and order ids:

- An order is sent only after the log has recorded that it will be sent, and the next order to the
  same engine only after the engine has reported the effect of the previous one. An order that may
  have been sent is never skipped.
- A new controller waits until the calls of the old one have ended. The old leader's lease expired
  before the new leader was elected, and a call starts under a lease and lasts `CALL_TIMEOUT_S` at
  most.
- After a call without a response, the controller waits until the call has certainly ended and then
  fetches the engine's status. The order is resent only if the status does not list it.
"""

from laburnumrock.messages import Effect
from laburnumrock.orders._effects import FetchEngineStatus, ProposeOrderUpdate, SendOrder
from laburnumrock.orders._messages import (
    EngineSighting,
    EngineStatus,
    MarkOrder,
    Order,
    OrderEvent,
    OrderState,
    ReloadOrder,
    SendResult,
    SendStatus,
)
from laburnumrock.orders._part import OrderStore
from laburnumrock.orders._track import PendingOperation, TrackedEngine
from laburnumrock.rates import TokenBucket
from laburnumrock.settings import OrderSettings

# A call without a response is aborted after this time and its connection is closed.
CALL_TIMEOUT_S = 1.0
# Covers clock drift and bytes that are still in transit when a call is aborted.
SAFETY_MARGIN_S = 0.5
# Interval between status requests to an engine that is loading or not responding.
READ_PERIOD_S = 1.0


class OrderController:
    """Sends the orders in the order store to the engines while this instance leads the log.

    Parameters
    ----------
    settings : OrderSettings
        Load limits that protect the weight store, and the engines that enforce fencing numbers.
    store : OrderStore
        Replica of the order store in this process; up to date while this instance leads the log.
    """

    def __init__(self, settings: OrderSettings, store: OrderStore) -> None:
        self.settings = settings
        self.store = store
        self.takeover_wait_s = CALL_TIMEOUT_S + SAFETY_MARGIN_S
        self.retry_wait_s = CALL_TIMEOUT_S + SAFETY_MARGIN_S
        self.fencing_engines = frozenset(settings.fencing_upstreams)
        self.engines: dict[str, TrackedEngine] = {}
        self.term: int | None = None
        self.leads_since_s = 0.0
        self.bucket = TokenBucket(settings.loads_per_s, settings.load_burst, 0.0)
        self.proposed_loads: set[str] = set()
        self.available_loads = 0
        self.unverified: dict[str, None] = {}

    def observe_leadership(self, term: int | None, now_s: float) -> None:
        """Record whether this instance leads the log, and start over in a new term.

        Parameters
        ----------
        term : int, optional
            Term in which this instance leads, if it holds a valid lease and has applied an entry of
            the term; None otherwise.
        now_s : float
            Clock reading in seconds.
        """
        if term == self.term:
            return
        self.term = term
        self.leads_since_s = now_s
        self.proposed_loads.clear()
        # The recent loads of the previous controller are unknown, so the bucket starts empty.
        self.bucket = TokenBucket(self.settings.loads_per_s, self.settings.load_burst, now_s)
        self.bucket.take(self.settings.load_burst)
        self.unverified = dict.fromkeys(self.engines)
        for engine in self.engines.values():
            engine.is_fenced = False
            engine.refusal = None
            engine.invalidate(now_s)

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle the location of an engine or the result of a call.

        Parameters
        ----------
        sender : str
            Instance or engine that sent the message.
        message : EngineSighting, EngineStatus or SendResult
            The message; others are ignored.
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        list of Effect
            Always empty; `tick` returns the resulting effects.
        """
        if isinstance(message, EngineSighting):
            self._handle_sighting(message, now_s)
        elif isinstance(message, EngineStatus):
            self._handle_status(message)
        elif isinstance(message, SendResult):
            self._handle_send_result(message, now_s)
        return []

    def finish_proposal(self, upstream_id: str) -> None:
        """Record that a proposal ended, successfully or not; the order store shows its effect."""
        engine = self.engines.get(upstream_id)
        if engine is not None and engine.wait is PendingOperation.PROPOSAL:
            engine.wait = None

    def tick(self, now_s: float) -> list[Effect]:
        """Return the next step for every engine that has one.

        Parameters
        ----------
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        list of Effect
            `ProposeOrderUpdate`, `FetchEngineStatus` and `SendOrder`.
        """
        if self.term is None:
            return []
        self.proposed_loads = {name for name in self.proposed_loads if self._is_recorded(name)}
        running = self.store.count_loads() + len(self.proposed_loads)
        self.available_loads = self.settings.max_loads - running
        effects: list[Effect] = []
        for upstream_id in {**self.unverified, **dict.fromkeys(self.store.open_ids)}:
            engine = self.engines.get(upstream_id)
            step = engine and self._find_next_step(upstream_id, engine, now_s)
            if step is not None:
                effects.append(step)
        return effects

    def _find_next_step(
        self, upstream_id: str, engine: TrackedEngine, now_s: float
    ) -> Effect | None:
        if engine.wait is not None or engine.is_fenced or not self._may_act(upstream_id, now_s):
            return None
        order = self.store.find_open(upstream_id)
        if order is None and not self.store.find_desired(upstream_id):
            self.unverified.pop(upstream_id, None)
            return None
        if engine.status is None:
            return self._fetch_status(upstream_id, engine, now_s)
        if order is None:
            return self._verify_desired(upstream_id, engine)
        return self._advance(order, engine, now_s)

    def _may_act(self, upstream_id: str, now_s: float) -> bool:
        if upstream_id in self.fencing_engines:
            return True
        return now_s >= self.leads_since_s + self.takeover_wait_s

    def _fetch_status(self, upstream_id: str, engine: TrackedEngine, now_s: float) -> Effect | None:
        if now_s < engine.read_due_s:
            return None
        engine.wait = PendingOperation.READ
        engine.read_due_s = now_s + READ_PERIOD_S
        return FetchEngineStatus(upstream_id, engine.base_url)

    def _advance(self, order: Order, engine: TrackedEngine, now_s: float) -> Effect | None:
        """Return the next step of the oldest open order of an engine."""
        refusal, engine.refusal = engine.refusal, None
        if refusal is not None and refusal.order_id == order.order_id:
            engine.refusal = refusal
            return self._propose(order, OrderEvent.REFUSE, engine, refusal.detail)
        if order.state is OrderState.RECORDED:
            return self._propose_first_send(order, engine, now_s)
        if engine.shows_effect(order) and engine.has_accepted(order):
            return self._propose(order, OrderEvent.COMPLETE, engine, "carried out")
        if engine.has_accepted(order):
            if order.state is OrderState.SENT:
                return self._propose(order, OrderEvent.ACCEPT, engine, "accepted")
            engine.invalidate(engine.read_due_s)
            return None
        if order.state is OrderState.ACCEPTED or order.fencing_number != self.term:
            # The engine has lost the order, or an earlier controller may have failed to deliver it.
            return self._propose(order, OrderEvent.SEND, engine)
        return self._send(order, engine)

    def _propose_first_send(
        self, order: Order, engine: TrackedEngine, now_s: float
    ) -> Effect | None:
        if not order.kind.is_load:
            return self._propose(order, OrderEvent.SEND, engine)
        if order.order_id not in self.proposed_loads:
            if self.available_loads <= 0 or self.bucket.wait_s(1.0, now_s) > 0:
                return None
            self.bucket.take(1.0)
            self.available_loads -= 1
            self.proposed_loads.add(order.order_id)
        return self._propose(order, OrderEvent.SEND, engine)

    def _is_recorded(self, order_id: str) -> bool:
        order = self.store.orders.get(order_id)
        return order is not None and order.state is OrderState.RECORDED

    def _propose(
        self, order: Order, event: OrderEvent, engine: TrackedEngine, result: str = ""
    ) -> Effect:
        engine.wait = PendingOperation.PROPOSAL
        command = MarkOrder(order.order_id, event, self.term, result)
        return ProposeOrderUpdate(order.upstream_id, command)

    def _send(self, order: Order, engine: TrackedEngine) -> Effect:
        engine.wait = PendingOperation.SEND
        engine.status = None
        return SendOrder(order.upstream_id, engine.base_url, order, self.term)

    def _verify_desired(self, upstream_id: str, engine: TrackedEngine) -> Effect | None:
        """Reissue the first order of the desired state whose effect the engine has lost."""
        for order in self.store.find_desired(upstream_id):
            if not engine.shows_effect(order):
                engine.wait = PendingOperation.PROPOSAL
                return ProposeOrderUpdate(upstream_id, ReloadOrder(order.order_id, self.term))
        self.unverified.pop(upstream_id, None)
        return None

    def _handle_sighting(self, sighting: EngineSighting, now_s: float) -> None:
        name = sighting.upstream_id
        engine = self.engines.get(name)
        if engine is not None and sighting.incarnation < engine.incarnation:
            return
        if engine is None:
            engine = TrackedEngine(sighting.incarnation, sighting.base_url)
            self.engines[name] = engine
            self.unverified[name] = None
        engine.base_url = sighting.base_url
        if sighting.incarnation > engine.incarnation:
            engine.incarnation = sighting.incarnation
            engine.is_fenced = False
            engine.invalidate(now_s)
            self.unverified[name] = None

    def _handle_status(self, status: EngineStatus) -> None:
        engine = self.engines.get(status.upstream_id)
        if engine is not None and engine.wait is PendingOperation.READ:
            engine.apply_status(status)

    def _handle_send_result(self, result: SendResult, now_s: float) -> None:
        engine = self.engines.get(result.upstream_id)
        if engine is None or engine.wait is not PendingOperation.SEND:
            return
        engine.wait = None
        engine.is_fenced = result.status is SendStatus.FENCED
        engine.refusal = result if result.status is SendStatus.REFUSED else None
        if result.status is SendStatus.UNCERTAIN:
            engine.invalidate(now_s + self.retry_wait_s)
        elif result.status is SendStatus.NOT_SENT:
            engine.invalidate(now_s + READ_PERIOD_S)
        else:
            engine.invalidate(now_s)
