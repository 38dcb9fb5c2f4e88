"""Runs a `RaftNode` on a disk and a network."""

from __future__ import annotations

import asyncio
import random
import secrets
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.daemon._due_timer import DueTimer
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.messages import Effect, Send
from laburnumrock.replication import (
    Apply,
    Disk,
    Entry,
    EntryKind,
    LogStore,
    RaftNode,
    ReadFailed,
    ReadReady,
    Restore,
    RoleChanged,
    SaveEntries,
    SaveHardState,
    SaveSnapshot,
)
from laburnumrock.state import ReplicatedState, decode_message

if TYPE_CHECKING:
    from laburnumrock.settings import InstanceSettings

IDENTITY_BYTES = 8
COMPACT_ENTRIES = 10_000

_SAVE_EFFECTS = (SaveEntries, SaveHardState, SaveSnapshot)


class LogRunner:
    """Executes the effects of a `RaftNode` in order: disk writes, messages, applied commands.

    Parameters
    ----------
    settings : InstanceSettings
        Timing, name and initial voters.
    network : PeerNetwork
        Connections to the other voters.
    state : ReplicatedState
        State machine that applies the committed commands.
    disk : Disk
        Storage of the log.
    may_bootstrap : bool
        Whether this instance may bootstrap a new log with the other initial voters.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network,
        state: ReplicatedState,
        disk: Disk,
        may_bootstrap: bool = True,
    ) -> None:
        self.may_bootstrap = may_bootstrap
        self.settings = settings
        self.network = network
        self.state = state
        self.disk = disk
        self.store = LogStore(disk)
        self.node: RaftNode | None = None
        self.applied_index = 0
        self.failed = False
        self.failure: Failure | None = None
        self.failed_event = asyncio.Event()
        self.queue: list[Effect] = []
        self.queue_filled = asyncio.Event()
        self.commits: dict[int, tuple[int, asyncio.Future]] = {}
        self.reads: dict[int, asyncio.Future] = {}
        self.next_read = 1
        self.applied_listeners: list[Callable[[int, object, object], None]] = []
        self.restored_listeners: list[Callable[[], None]] = []
        self.role_listeners: list[Callable[[], None]] = []
        self.executor = ThreadPoolExecutor(1, thread_name_prefix="log-disk")
        self.tasks: list[asyncio.Task] = []
        self.timer = DueTimer(self._tick, self._find_due_s)

    async def start(self) -> Result[None, Failure]:
        """Load the log from disk and start the Raft node.

        Returns
        -------
        Result
            A failure of kind ``storage_corrupt`` if the stored log is damaged.
        """
        loop = asyncio.get_running_loop()
        loaded = await loop.run_in_executor(
            self.executor, self.store.load, lambda: secrets.token_hex(IDENTITY_BYTES)
        )
        if loaded.is_err():
            return loaded
        stored = loaded.unwrap()
        settings = self.settings
        voters = [peer.instance_id for peer in settings.voters()]
        rng = random.Random(f"{settings.seed}-{settings.instance_id}-{stored.voter_id}")
        self.node = RaftNode(
            settings.instance_id, voters, settings.timing, stored, rng, self.may_bootstrap
        )
        self.state.restore(stored.snapshot.data)
        self.applied_index = stored.snapshot.index
        self.state.applied_index = self.applied_index
        self.tasks = [asyncio.create_task(self._run_queue())]
        self.timer.start()
        return Ok(None)

    async def stop(self) -> None:
        """Stop immediately; pending proposals and reads fail."""
        self.timer.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self._fail_pending("the instance is stopping")
        self.executor.shutdown()

    def receive(self, sender: str, message: object) -> None:
        """Process a message from another voter."""
        if self.node is not None and not self.failed:
            self.enqueue(self.node.receive(sender, message, time.monotonic()))
            self.timer.update()

    def propose(self, data: bytes) -> asyncio.Future | None:
        """Append a command to the log.

        Returns
        -------
        asyncio.Future, optional
            Resolves to the response of the state machine, or to None if the command was
            overwritten by another entry. None instead of a future if this instance is not the
            leader; nothing was appended then.
        """
        proposal = None if self.failed else self.node.propose(data, time.monotonic())
        if proposal is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self.commits[proposal.index] = (proposal.term, future)
        self.enqueue(proposal.effects)
        return future

    def read(self) -> asyncio.Future | None:
        """Start a linearizable read.

        The future resolves to the confirmed index, or to None if leadership was lost.
        """
        read_id = self.next_read
        self.next_read += 1
        effects = None if self.failed else self.node.read(read_id, time.monotonic())
        if effects is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self.reads[read_id] = future
        self.enqueue(effects)
        return future

    def enqueue(self, effects: list[Effect]) -> None:
        """Queue effects for execution after all earlier ones."""
        if effects:
            self.queue.extend(effects)
            self.queue_filled.set()

    def _find_due_s(self) -> float:
        return float("inf") if self.failed else self.node.next_tick_s(time.monotonic())

    def _tick(self) -> None:
        if not self.failed:
            self.enqueue(self.node.tick(time.monotonic()))

    async def _run_queue(self) -> None:
        try:
            while True:
                await self.queue_filled.wait()
                self.queue_filled.clear()
                effects, self.queue = self.queue, []
                await self._execute_batch(effects)
        except Exception as error:
            # After a failed write it is unknown what reached the disk, and a command that cannot
            # be applied leaves the state behind the log. The process must not continue.
            self.failed = True
            detail = f"the log of this instance failed: {type(error).__name__}: {error}"
            self.failure = Failure(ErrorKind.STORAGE_CORRUPT, detail)
            log_message("log_failed", error=detail)
            self._fail_pending(detail)
            self.failed_event.set()

    async def _execute_batch(self, effects: list[Effect]) -> None:
        saves = [effect for effect in effects if isinstance(effect, _SAVE_EFFECTS)]
        if saves:
            await asyncio.get_running_loop().run_in_executor(self.executor, self._save, saves)
        for effect in effects:
            self._execute(effect)
        if self.applied_index >= self.node.log.snapshot.index + COMPACT_ENTRIES:
            await self._compact()

    async def _compact(self) -> None:
        index = self.applied_index
        pieces = self.state.encode()
        # Joining large pieces releases the GIL, so that heartbeats continue meanwhile.
        join = asyncio.get_running_loop().run_in_executor(self.executor, b"".join, pieces)
        self.enqueue(self.node.compact(index, await join))

    def _save(self, saves: list[Effect]) -> None:
        for effect in saves:
            self.store.save(effect)
        self.store.sync()

    def _execute(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self.network.send(effect.destination, effect.message)
        elif isinstance(effect, Apply):
            for entry in effect.entries:
                self._apply(entry)
        elif isinstance(effect, Restore):
            self._restore(effect)
        elif isinstance(effect, ReadReady):
            _resolve(self.reads.pop(effect.read_id), effect.index)
        elif isinstance(effect, ReadFailed):
            _resolve(self.reads.pop(effect.read_id), None)
        elif isinstance(effect, RoleChanged):
            log_message(
                "log_role_changed", role=effect.role, term=effect.term, leader=effect.leader
            )
            for listener in self.role_listeners:
                listener()

    def _apply(self, entry: Entry) -> None:
        self.applied_index = entry.index
        answer = None
        if entry.kind is EntryKind.COMMAND:
            command = decode_message(entry.data)
            answer = self.state.apply(entry.index, command)
            for listener in self.applied_listeners:
                listener(entry.index, command, answer)
        # A read may be confirmed at the index of any entry, so entries without a command count too.
        self.state.applied_index = entry.index
        term, future = self.commits.pop(entry.index, (None, None))
        if future is not None:
            _resolve(future, answer if term == entry.term else None)

    def _restore(self, effect: Restore) -> None:
        self.state.restore(effect.snapshot.data)
        self.applied_index = effect.snapshot.index
        self.state.applied_index = self.applied_index
        covered = [index for index in self.commits if index <= self.applied_index]
        for index in covered:
            # It is unknown whether the snapshot contains the command.
            future = self.commits.pop(index)[1]
            _resolve(future, Err(Failure(ErrorKind.OUTCOME_UNKNOWN)))
        for listener in self.restored_listeners:
            listener()

    def _fail_pending(self, detail: str) -> None:
        failure = Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
        for _, future in self.commits.values():
            _resolve(future, failure)
        for future in self.reads.values():
            _resolve(future, None)
        self.commits.clear()
        self.reads.clear()


def _resolve(future: asyncio.Future, value: object) -> None:
    if not future.done():
        future.set_result(value)
