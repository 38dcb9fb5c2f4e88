"""Task that synchronizes the declarations of an instance and submits operator changes."""

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
from laburnumrock.daemon._lagging_instances import INSTANCE_TIMEOUT_S, LaggingInstanceFinder
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
from laburnumrock.periodic import run_periodically
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

ENTER_HOLDS_PERIOD_S = 1.0


class DeclarationTask:
    """Keeps the `DeclarationView` of an instance up to date.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Connections to the other instances.
    log : LogAccess
        Access to the replicated log.
    replica : ReplicaAccess, optional
        Replicated state; only present on a voter.
    clock, wall_clock : callable
        Return the monotonic time and the wall-clock time in seconds.
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
        self.lagging_finder = LaggingInstanceFinder(settings, network, self.view, clock)
        self.history = HistoryReader(settings, network, replica)
        self.hold_file = HoldFile(settings.data_folder)
        self.listeners: list[Callable[[], None]] = []
        self.running: set[asyncio.Task] = set()
        self.reading = False
        self.timer = DueTimer(self._tick, self.sync.next_tick_s, clock)

    async def start(self) -> None:
        """Load the stored holds, register the message handlers and start synchronizing."""
        self.hold_file.load(self.view.holds)
        for message_type in (DeclarationFetch, DeclarationUpdate):
            self.network.handle(message_type, self._receive)
        self.network.handle(HoldExchange, self._exchange_holds)
        self.lagging_finder.register_handlers()
        self.history.register_handlers()
        self.timer.start()
        self._spawn(run_periodically("holds", self._enter_holds, lambda: ENTER_HOLDS_PERIOD_S))

    async def stop(self) -> None:
        """Stop synchronizing and cancel the running background tasks."""
        self.timer.stop()
        running = list(self.running)
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def is_ready(self) -> bool:
        """Return whether the declarations are recent enough for the instance to accept work."""
        return self.sync.is_ready(self.clock())

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes of the declarations or of the holds."""
        self.listeners.append(listener)

    async def submit(self, command: ApplyChange) -> Result[ChangeAnswer, Failure]:
        """Commit a change to the replicated log.

        Parameters
        ----------
        command : ApplyChange
            Change to commit.

        Returns
        -------
        Result
            Answer of the declaration store, or the reason why the change was rejected. After a
            failure of kind ``outcome_unknown``, retrying with the same request id returns the
            actual result.
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
        """Return the instances that have not applied a revision or do not respond."""
        return await self.lagging_finder.find_lagging_instances(revision)

    async def read_history(self, limit: int) -> Result[list[HistoryEntry], Failure]:
        """Return the latest changes in chronological order, read here or from a voter."""
        return await self.history.read(limit)

    def add_hold(self, failure_domain: str, operator: str) -> Result[Hold, Failure]:
        """Place a hold (emergency drain) on the local failure domain.

        Returns
        -------
        Result
            The hold, persisted if the instance has a data folder; a failure when
            `failure_domain` is not the local one.
        """
        if failure_domain != self.settings.failure_domain:
            detail = f"this instance can only hold its own domain, {self.settings.failure_domain}"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, "failure_domain"))
        hold = self.view.holds.add(failure_domain, operator, self.wall_clock())
        self._execute(self.sync.push_holds())
        return Ok(hold)

    def remove_hold(self, failure_domain: str, operator: str) -> Result[Hold, Failure]:
        """Remove a hold that is not known to be in the log.

        The log records the removal too, in case the hold is on its way there.
        """
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
        """Return the local instances whose entry for a hold is outdated or that do not respond."""
        own_id = self.settings.instance_id
        peers = self.settings.list_domain_peers(self.settings.failure_domain)
        names = sorted(peer.instance_id for peer in peers if peer.instance_id != own_id)
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
        """Return the plain data to piggyback on membership probes."""
        return {"revision": self.view.revision, "holds": self.view.holds.to_plain()}

    def receive_facts(self, sender: str, facts: dict[str, Any]) -> None:
        """Process the data piggybacked on a membership probe of the local failure domain."""
        try:
            holds = [from_plain(Hold, plain) for plain in facts.get("holds", [])]
        except (ValueError, TypeError) as error:
            log_message("malformed_message", peer=sender, failure=f"facts.holds: {error}")
            return
        self._execute(self.sync.merge_holds(holds))

    def observe_store(self) -> None:
        """Schedule a sync with the replicated state; call after every applied command."""
        self.timer.wake()

    def _tick(self) -> None:
        if not self.hold_file.is_current:
            self.hold_file.save(self.view.holds)
        self._execute(self.sync.tick(self.clock()))

    def _receive(self, sender: str, message: object) -> None:
        if isinstance(message, DeclarationFetch):
            self.lagging_finder.record(sender, message.revision)
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
        # At most one read in flight, so that reads do not pile up at a slow leader.
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
        for hold in self.view.holds.pending():
            answer = await self.log.propose(EnterHold(hold, self.wall_clock()))
            if answer.is_err() or answer.unwrap().kind is not None:
                continue
            if self.view.holds.mark_entered(hold, answer.unwrap().revision):
                log_message("hold_entered", failure_domain=hold.failure_domain, held=hold.held)
                self._execute(self.sync.push_holds())

    def _exchange_holds(self, sender: str, exchange: HoldExchange) -> HoldExchange:
        self._execute(self.sync.merge_holds(exchange.holds))
        return HoldExchange(self.view.holds.entries())

    def _spawn(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.running.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        with contextlib.suppress(asyncio.CancelledError):
            error = task.exception()
            if error is not None:
                log_message("declaration_task_failed", error=repr(error))
