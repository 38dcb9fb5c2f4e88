"""Task that keeps the declarations of an instance current and carries operators' changes."""

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from typing import Any

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.daemon._declaration_history import HistoryReader
from laburnumrock.daemon._due_timer import DueTimer
from laburnumrock.daemon._hold_file import HoldFile
from laburnumrock.daemon._in_force import INSTANCE_TIMEOUT_S, InForceFinder
from laburnumrock.daemon._log_access import LogAccess, ReplicaAccess
from laburnumrock.declarations import (
    ApplyChange,
    ChangeAnswer,
    DeclarationFetch,
    DeclarationSync,
    DeclarationUpdate,
    DeclarationView,
    EnterHold,
    HistoryEntry,
    Hold,
    HoldExchange,
    HoldsChanged,
    RequestConfirmedRead,
    RevisionApplied,
)
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import Effect, Send, from_plain
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

ENTER_HOLDS_PERIOD_S = 1.0


class DeclarationTask:
    """Keeps the `DeclarationView` of an instance current.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Links to other instances.
    log : LogAccess
        Access to the replicated log.
    replica : ReplicaAccess, optional
        Replicated state, on a voter.
    clock, wall_clock : callable
        Monotonic clock and wall clock in seconds.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network: PeerNetwork,
        log: LogAccess,
        replica: ReplicaAccess | None = None,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.settings = settings
        self.network = network
        self.log = log
        self.replica = replica
        self.clock = clock
        self.wall_clock = wall_clock
        self.view = DeclarationView(settings.timing.stale_after_s)
        store = None if replica is None else replica.store
        self.sync = DeclarationSync(settings, self.view, random.Random(settings.seed), store)
        self.in_force = InForceFinder(settings, network, self.view, clock)
        self.history = HistoryReader(settings, network, replica)
        self.hold_file = HoldFile(settings.data_folder)
        self.listeners: list[Callable[[], None]] = []
        self.running: set[asyncio.Task] = set()
        self.reading = False
        self.timer = DueTimer(self._tick, self.sync.next_tick_s, clock)

    async def start(self) -> None:
        """Read the stored holds, register the message handlers and start to fetch."""
        self.hold_file.load(self.view.holds)
        for message_type in (DeclarationFetch, DeclarationUpdate):
            self.network.handle(message_type, self._receive)
        self.network.handle(HoldExchange, self._exchange_holds)
        self.in_force.register_handlers()
        self.history.register_handlers()
        self.timer.start()
        self._spawn(self._enter_holds())

    async def stop(self) -> None:
        """Stop fetching."""
        self.timer.stop()
        running = list(self.running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def is_ready(self) -> bool:
        """Tell whether the instance may take work as far as declarations are concerned."""
        return self.sync.is_ready(self.clock())

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call `listener` after every change of the view or of the holds."""
        self.listeners.append(listener)

    async def submit(self, command: ApplyChange) -> Result[ChangeAnswer, Failure]:
        """Apply a change through the log.

        Parameters
        ----------
        command : ApplyChange
            The change.

        Returns
        -------
        Result
            The answer of the store, or the reason why the change was refused. After a failure of
            kind ``outcome_unknown`` a resend with the same request id tells what happened.
        """
        proposed = await self.log.propose(command)
        if proposed.is_err():
            failure = proposed.unwrap_err()
            if failure.kind is ErrorKind.OUTCOME_UNKNOWN:
                detail = "the change may take effect; resend it with the same request id"
                failure = Failure(failure.kind, detail)
            return Err(failure)
        answer = proposed.unwrap()
        if answer.kind is not None:
            return Err(Failure(answer.kind, answer.detail, answer.field_path))
        return Ok(answer)

    async def find_lagging_instances(self, revision: int) -> list[str]:
        """Return the instances that have not applied a revision or do not answer."""
        return await self.in_force.find_lagging_instances(revision)

    async def read_history(self, limit: int) -> Result[list[HistoryEntry], Failure]:
        """Return the last changes, newest last, from the own store or that of a voter."""
        return await self.history.read(limit)

    def add_hold(self, failure_domain: str, operator: str) -> Result[Hold, Failure]:
        """Hold the own failure domain.

        Returns
        -------
        Result
            The hold, stored where there is a data folder; a failure when the domain is another.
        """
        if failure_domain != self.settings.failure_domain:
            detail = f"this instance can only hold its own domain, {self.settings.failure_domain}"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, "failure_domain"))
        hold = self.view.holds.add(failure_domain, operator, self.wall_clock())
        self._execute(self.sync.push_holds())
        return Ok(hold)

    def remove_hold(self, failure_domain: str, operator: str) -> Result[Hold, Failure]:
        """Remove a hold that the log does not hold yet."""
        known = self.view.holds.holds.get(failure_domain)
        if known is not None and known.entered_revision is not None:
            detail = f"the log holds the drain since revision {known.entered_revision}: restore it"
            return Err(Failure(ErrorKind.NOT_FOUND, detail))
        hold = self.view.holds.remove(failure_domain, operator, self.wall_clock())
        if hold is None:
            return Err(Failure(ErrorKind.NOT_FOUND, f"{failure_domain} is not held here"))
        self._execute(self.sync.push_holds())
        return Ok(hold)

    async def find_instances_without_hold(self, failure_domain: str) -> list[str]:
        """Return the instances of the own domain that do not have the present entry of a hold."""
        own = self.settings.instance_id
        peers = self.settings.list_domain_peers(self.settings.failure_domain)
        names = sorted(peer.instance_id for peer in peers if peer.instance_id != own)
        exchange = HoldExchange(self.view.holds.entries())
        calls = [self.network.call(name, exchange, INSTANCE_TIMEOUT_S) for name in names]
        answers = await asyncio.gather(*calls)
        expected = self.view.holds.holds.get(failure_domain)
        return [
            name
            for name, answer in zip(names, answers, strict=True)
            if answer.is_err() or expected not in answer.unwrap().holds
        ]

    def provide_facts(self) -> dict[str, Any]:
        """Return the plain data that travel on membership probes."""
        return {"revision": self.view.revision, "holds": self.view.holds.to_plain()}

    def receive_facts(self, sender: str, facts: dict[str, Any]) -> None:
        """Take the plain data of a probe from an instance of the own failure domain."""
        try:
            holds = [from_plain(Hold, plain) for plain in facts.get("holds", [])]
        except (ValueError, TypeError) as error:
            log_message("malformed_message", peer=sender, failure=f"facts.holds: {error}")
            return
        self._execute(self.sync.merge_holds(holds))

    def observe_store(self) -> None:
        """Take over what the replicated state has applied; to be called after every command."""
        self.timer.wake()

    def _tick(self) -> None:
        self._execute(self.sync.tick(self.clock()))

    def _receive(self, sender: str, message: object) -> None:
        if isinstance(message, DeclarationFetch):
            self.in_force.record(sender, message.revision)
        self._execute(self.sync.receive(sender, message, self.clock()))

    def _execute(self, effects: list[Effect]) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.send(effect.destination, effect.message)
            elif isinstance(effect, RequestConfirmedRead):
                self._start_read()
            elif isinstance(effect, HoldsChanged):
                self.hold_file.save(self.view.holds)
                self._notify()
            elif isinstance(effect, RevisionApplied):
                log_message("declarations_applied", revision=effect.revision)
                self._notify()

    def _notify(self) -> None:
        for listener in self.listeners:
            listener()

    def _start_read(self) -> None:
        # One read at a time: a slow leader must not collect reads.
        if not self.reading:
            self.reading = True
            self._spawn(self._read_confirmed())

    async def _read_confirmed(self) -> None:
        try:
            started_s = self.clock()
            index = await self.log.read_confirmed()
            if index.is_ok():
                self._execute(self.sync.observe_confirmed_read(started_s, self.clock()))
        finally:
            self.reading = False

    async def _enter_holds(self) -> None:
        while True:
            await asyncio.sleep(ENTER_HOLDS_PERIOD_S)
            for hold in self.view.holds.pending():
                answer = await self.log.propose(EnterHold(hold, self.wall_clock()))
                if answer.is_err() or answer.unwrap().kind is not None:
                    continue
                if self.view.holds.mark_entered(hold, answer.unwrap().revision):
                    log_message("hold_entered", failure_domain=hold.failure_domain)
                    self._execute(self.sync.push_holds())

    def _exchange_holds(self, sender: str, exchange: HoldExchange) -> HoldExchange:
        self._execute(self.sync.merge_holds(exchange.holds))
        return HoldExchange(self.view.holds.entries())

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._finish)

    def _finish(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        with contextlib.suppress(asyncio.CancelledError):
            error = task.exception()
            if error is not None:
                log_message("declaration_task_failed", error=repr(error))
