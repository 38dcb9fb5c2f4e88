"""Controller of engine orders, without I/O.

Notes
-----
Three rules keep an engine from carrying out an older order after a newer one, also when it ignores
fencing numbers and order ids:

- An order is sent only after the log holds that it is sent, and the next order to the same engine
  only after the engine reported the effect of the previous one. An order that may have been sent is
  never left out.
- A new controller waits until the calls of the old one have ended. The old leader's lease ended
  before the new one was elected, and a call starts under a lease and lasts `CALL_TIMEOUT_S`.
- A call without an answer is followed by a reading, after the call has certainly ended. The order
  is sent again only if the reading does not show it.
"""

from laburnumrock.admission import TokenBucket
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
from laburnumrock.orders._track import EngineTrack, Wait
from laburnumrock.settings import OrderSettings

# A call that has no answer then is given up and its connection is closed.
CALL_TIMEOUT_S = 1.0
# Covers clocks of different speed and bytes that are in the network when a call is given up.
SAFETY_MARGIN_S = 0.5
# Time between two readings of an engine that loads or does not answer.
READ_PERIOD_S = 1.0


class OrderController:
    """Sends the orders of the order book to the engines while this instance leads the log.

    Parameters
    ----------
    settings : OrderSettings
        Limits of the weight store, and the engines that obey fencing numbers.
    book : OrderStore
        Replica of the order book in this process; it is current while this instance leads.
    """

    def __init__(self, settings: OrderSettings, book: OrderStore) -> None:
        self.settings = settings
        self.book = book
        self.takeover_wait_s = CALL_TIMEOUT_S + SAFETY_MARGIN_S
        self.retry_wait_s = CALL_TIMEOUT_S + SAFETY_MARGIN_S
        self.fencing_engines = frozenset(settings.fencing_upstreams)
        self.engines: dict[str, EngineTrack] = {}
        self.term: int | None = None
        self.leads_since_s = 0.0
        self.bucket = TokenBucket(settings.loads_per_s, settings.load_burst, 0.0)
        self.proposed_loads: set[str] = set()
        self.free_loads = 0
        self.unchecked: dict[str, None] = {}

    def observe_leadership(self, term: int | None, now_s: float) -> None:
        """Take note of the leadership.

        Parameters
        ----------
        term : int, optional
            Term in which this instance leads with a valid lease and has applied an entry of the
            term; None if it does not.
        now_s : float
            Clock reading in seconds.
        """
        if term == self.term:
            return
        self.term = term
        self.leads_since_s = now_s
        self.proposed_loads.clear()
        # What the previous controller took from the weight store is not known.
        self.bucket = TokenBucket(self.settings.loads_per_s, self.settings.load_burst, now_s)
        self.bucket.take(self.settings.load_burst)
        self.unchecked = dict.fromkeys(self.engines)
        for engine in self.engines.values():
            engine.is_fenced = False
            engine.refusal = None
            engine.forget(now_s)

    def receive(self, sender: str, message: object, now_s: float) -> list[Effect]:
        """Handle a sighting of an engine or the end of a call.

        Parameters
        ----------
        sender : str
            Instance or engine that it comes from.
        message : EngineSighting, EngineStatus or SendResult
            What happened.
        now_s : float
            Clock reading in seconds.

        Returns
        -------
        list of Effect
            Always empty; `tick` acts.
        """
        if isinstance(message, EngineSighting):
            self._note_sighting(message, now_s)
        elif isinstance(message, EngineStatus):
            self._note_listing(message)
        elif isinstance(message, SendResult):
            self._note_reply(message, now_s)
        return []

    def finish_proposal(self, upstream_id: str) -> None:
        """Note that a proposal ended in any way; the order book tells its effect."""
        engine = self.engines.get(upstream_id)
        if engine is not None and engine.wait is Wait.PROPOSAL:
            engine.wait = None

    def tick(self, now_s: float) -> list[Effect]:
        """Take the next step for every engine.

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
        running = self.book.count_loads() + len(self.proposed_loads)
        self.free_loads = self.settings.max_loads - running
        effects: list[Effect] = []
        for upstream_id in {**self.unchecked, **dict.fromkeys(self.book.open_ids)}:
            engine = self.engines.get(upstream_id)
            step = engine and self._find_step(upstream_id, engine, now_s)
            if step is not None:
                effects.append(step)
        return effects

    def _find_step(self, upstream_id: str, engine: EngineTrack, now_s: float) -> Effect | None:
        if engine.wait is not None or engine.is_fenced or not self._may_act(upstream_id, now_s):
            return None
        order = self.book.find_open(upstream_id)
        if order is None and not self.book.find_desired(upstream_id):
            self.unchecked.pop(upstream_id, None)
            return None
        if engine.listing is None:
            return self._read(upstream_id, engine, now_s)
        if order is None:
            return self._check_wanted(upstream_id, engine)
        return self._advance(order, engine, now_s)

    def _may_act(self, upstream_id: str, now_s: float) -> bool:
        if upstream_id in self.fencing_engines:
            return True
        return now_s >= self.leads_since_s + self.takeover_wait_s

    def _read(self, upstream_id: str, engine: EngineTrack, now_s: float) -> Effect | None:
        if now_s < engine.read_due_s:
            return None
        engine.wait = Wait.READ
        engine.read_due_s = now_s + READ_PERIOD_S
        return FetchEngineStatus(upstream_id, engine.base_url)

    def _advance(self, order: Order, engine: EngineTrack, now_s: float) -> Effect | None:
        """Return the next step of the oldest open order of an engine."""
        refusal, engine.refusal = engine.refusal, None
        if refusal is not None and refusal.order_id == order.order_id:
            engine.refusal = refusal
            return self._propose(order, OrderEvent.REFUSE, engine, refusal.detail)
        if order.state is OrderState.RECORDED:
            return self._start(order, engine, now_s)
        if engine.shows_effect(order) and engine.has_accepted(order):
            return self._propose(order, OrderEvent.COMPLETE, engine, "carried out")
        if engine.has_accepted(order):
            if order.state is OrderState.SENT:
                return self._propose(order, OrderEvent.ACCEPT, engine, "accepted")
            engine.forget(engine.read_due_s)
            return None
        if order.state is OrderState.ACCEPTED or order.fencing_number != self.term:
            # The engine forgot it, or an earlier controller may not have got it through.
            return self._propose(order, OrderEvent.SEND, engine)
        return self._send(order, engine)

    def _start(self, order: Order, engine: EngineTrack, now_s: float) -> Effect | None:
        if not order.kind.is_load:
            return self._propose(order, OrderEvent.SEND, engine)
        if order.order_id not in self.proposed_loads:
            if self.free_loads <= 0 or self.bucket.wait_s(1.0, now_s) > 0:
                return None
            self.bucket.take(1.0)
            self.free_loads -= 1
            self.proposed_loads.add(order.order_id)
        return self._propose(order, OrderEvent.SEND, engine)

    def _is_recorded(self, order_id: str) -> bool:
        order = self.book.orders.get(order_id)
        return order is not None and order.state is OrderState.RECORDED

    def _propose(
        self, order: Order, event: OrderEvent, engine: EngineTrack, result: str = ""
    ) -> Effect:
        engine.wait = Wait.PROPOSAL
        command = MarkOrder(order.order_id, event, self.term, result)
        return ProposeOrderUpdate(order.upstream_id, command)

    def _send(self, order: Order, engine: EngineTrack) -> Effect:
        engine.wait = Wait.SEND
        engine.listing = None
        return SendOrder(order.upstream_id, engine.base_url, order, self.term)

    def _check_wanted(self, upstream_id: str, engine: EngineTrack) -> Effect | None:
        """Repeat the first wanted order that the engine has forgotten."""
        for order in self.book.find_desired(upstream_id):
            if not engine.shows_effect(order):
                engine.wait = Wait.PROPOSAL
                return ProposeOrderUpdate(upstream_id, ReloadOrder(order.order_id, self.term))
        self.unchecked.pop(upstream_id, None)
        return None

    def _note_sighting(self, sighting: EngineSighting, now_s: float) -> None:
        name = sighting.upstream_id
        engine = self.engines.get(name)
        if engine is not None and sighting.incarnation < engine.incarnation:
            return
        if engine is None:
            engine = EngineTrack(sighting.incarnation, sighting.base_url)
            self.engines[name] = engine
            self.unchecked[name] = None
        engine.base_url = sighting.base_url
        if sighting.incarnation > engine.incarnation:
            engine.incarnation = sighting.incarnation
            engine.is_fenced = False
            engine.forget(now_s)
            self.unchecked[name] = None

    def _note_listing(self, listing: EngineStatus) -> None:
        engine = self.engines.get(listing.upstream_id)
        if engine is not None and engine.wait is Wait.READ:
            engine.finish_read(listing)

    def _note_reply(self, reply: SendResult, now_s: float) -> None:
        engine = self.engines.get(reply.upstream_id)
        if engine is None or engine.wait is not Wait.SEND:
            return
        engine.wait = None
        engine.is_fenced = reply.status is SendStatus.FENCED
        engine.refusal = reply if reply.status is SendStatus.REFUSED else None
        if reply.status is SendStatus.UNCERTAIN:
            engine.forget(now_s + self.retry_wait_s)
        elif reply.status is SendStatus.NOT_SENT:
            engine.forget(now_s + READ_PERIOD_S)
        else:
            engine.forget(now_s)
