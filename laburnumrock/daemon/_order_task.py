"""Task that sends orders to engines."""

import asyncio
import time
from collections.abc import Awaitable

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.daemon._log_task import LogTask
from laburnumrock.daemon._order_calls import OrderCalls
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import Effect, to_plain
from laburnumrock.orders import (
    AddOrder,
    EngineSighting,
    EngineStatus,
    FetchEngineStatus,
    ListOrders,
    OrderAnswer,
    OrderController,
    OrderKind,
    ProposeOrderUpdate,
    SendOrder,
    SendResult,
    SendStatus,
)
from laburnumrock.orders._controller import CALL_TIMEOUT_S
from laburnumrock.periodic import log_errors, run_periodically
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork
from laburnumrock.upstreams import UpstreamAnnouncement, UpstreamKind

TICK_S = 0.1
# A new leader waits longer than this before it sends orders, so followers can poll rarely.
FOLLOWER_TICK_S = 0.5
# An unchanged engine is reported again after this time, so that a voter that missed a report or
# started later learns about it.
SIGHTING_PERIOD_S = 10.0
PROPOSE_TIMEOUT_S = 2.0
PART = "orders"


class OrderTask:
    """Reports engines to the voters, and sends orders to engines while this instance leads.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Connections to the other instances.
    log : LogTask
        Replicated log that contains the orders.
    key : bytes, optional
        Key with which orders are authenticated to engines.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network: PeerNetwork,
        log: LogTask,
        key: bytes | None = None,
    ) -> None:
        self.settings = settings
        self.network = network
        self.log = log
        self.controller = OrderController(settings.orders, log.state.parts[PART])
        self.calls = OrderCalls(CALL_TIMEOUT_S, key)
        self.reported: dict[str, tuple[EngineSighting, float]] = {}
        self.running: set[asyncio.Task] = set()
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Process sightings and run the order controller, if this instance has a replica."""
        if self.log.runner is not None:
            self.network.handle(EngineSighting, self._receive)
            self.task = asyncio.create_task(
                run_periodically("orders", self._run, self._find_pause_s)
            )

    async def stop(self) -> None:
        """Stop; the next leader continues with the open orders."""
        tasks = [*self.running, *([self.task] if self.task is not None else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.calls.close()

    def observe(self, announcement: UpstreamAnnouncement) -> None:
        """Report the address of an engine in an owned pool to the voters."""
        if announcement.kind is not UpstreamKind.MODEL_ENGINE:
            return
        name = announcement.upstream_id
        sighting = EngineSighting(name, announcement.incarnation, announcement.base_url)
        now_s = time.monotonic()
        known, reported_s = self.reported.get(name, (None, 0.0))
        if known == sighting and now_s < reported_s + SIGHTING_PERIOD_S:
            return
        self.reported[name] = (sighting, now_s)
        for voter in self.settings.voters():
            self.network.send(voter.instance_id, sighting)

    async def add_order(
        self, order_id: str, upstream_id: str, kind: str, arguments: dict[str, str]
    ) -> Result[dict[str, object], Failure]:
        """Record an order; a retry with the same id returns the recorded order."""
        confirmed = await self.log.read_confirmed()
        if confirmed.is_err():
            return confirmed
        command = AddOrder(
            order_id, upstream_id, OrderKind(kind), arguments, base_index=confirmed.unwrap()
        )
        answer = await self.log.propose(command)
        return answer.and_then(_describe)

    async def list_orders(self, upstream_id: str | None) -> Result[dict[str, object], Failure]:
        """Return the most recent orders, oldest first."""
        found = await self.log.read_part(PART, ListOrders(upstream_id))
        return found.map(to_plain)

    def leader_term(self) -> int | None:
        """Return the current term if this instance is the confirmed leader, else None."""
        return self.log.term if self.log.is_leader else None

    async def _run(self) -> None:
        now_s = time.monotonic()
        self.controller.observe_leadership(self.leader_term(), now_s)
        for effect in self.controller.tick(now_s):
            self._spawn(self._execute(effect))

    def _find_pause_s(self) -> float:
        return TICK_S if self.log.is_leader else FOLLOWER_TICK_S

    async def _execute(self, effect: Effect) -> None:
        """Execute one step; the controller waits for its end, also after an unexpected error."""
        if isinstance(effect, ProposeOrderUpdate):
            try:
                with log_errors("order_update"):
                    await self.log.propose(effect.command, PROPOSE_TIMEOUT_S)
            finally:
                self.controller.finish_proposal(effect.upstream_id)
            return
        answer = _assume_lost(effect)
        with log_errors("order_call"):
            answer = await self._call_engine(effect)
        self._receive(effect.upstream_id, answer)

    async def _call_engine(
        self, effect: FetchEngineStatus | SendOrder
    ) -> EngineStatus | SendResult:
        if isinstance(effect, FetchEngineStatus):
            return await self.calls.read(effect)
        answer = await self.calls.send(effect, lambda: self.leader_term() == effect.fencing_number)
        log_message(
            "engine_order_sent",
            order=effect.order.order_id,
            upstream=effect.upstream_id,
            status=answer.status,
            detail=answer.detail,
        )
        return answer

    def _receive(self, sender: str, message: object) -> None:
        self.controller.receive(sender, message, time.monotonic())

    def _spawn(self, work: Awaitable[None]) -> None:
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)


def _assume_lost(effect: FetchEngineStatus | SendOrder) -> EngineStatus | SendResult:
    """Return the result of a call of which nothing is known."""
    if isinstance(effect, FetchEngineStatus):
        return EngineStatus(effect.upstream_id, False)
    return SendResult(
        effect.upstream_id, effect.order.order_id, SendStatus.UNCERTAIN, "unexpected error"
    )


def _describe(answer: OrderAnswer) -> Result[dict[str, object], Failure]:
    if not answer.accepted:
        return Err(Failure(ErrorKind.INVALID_REQUEST, answer.detail))
    return Ok(to_plain(answer.order))
