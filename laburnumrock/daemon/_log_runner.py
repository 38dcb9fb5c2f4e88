"""Runs a `RaftNode` on a real disk."""

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

_SAVES = (SaveEntries, SaveHardState, SaveSnapshot)


class LogRunner:
    """Stores, sends and applies what a `RaftNode` asks for, in order.

    Parameters
    ----------
    settings : InstanceSettings
        Timing, name and first voters.
    network : PeerNetwork
        Carries the messages.
    state : ReplicatedState
        Receives committed commands.
    disk : Disk
        Where the log lives.
    may_bootstrap : bool
        Whether this instance may form a new log with the other first voters.
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
        """Load the log and start to take part.

        Returns
        -------
        Result
            A failure of kind ``storage_corrupt`` if the disk cannot be trusted.
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
        source = random.Random(f"{settings.seed}-{settings.instance_id}-{stored.voter_id}")
        self.node = RaftNode(
            settings.instance_id, voters, settings.timing, stored, source, self.may_bootstrap
        )
        self.state.restore(stored.snapshot.data)
        self.applied_index = stored.snapshot.index
        self.state.applied_index = self.applied_index
        self.tasks = [asyncio.create_task(self._run_queue())]
        self.timer.start()
        return Ok(None)

    async def stop(self) -> None:
        """Stop at once; whoever still waits gets a failure."""
        self.timer.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self._fail_waiting("the instance is stopping")
        self.executor.shutdown()

    def receive(self, sender: str, message: object) -> None:
        """Handle a message of another voter."""
        if self.node is not None and not self.failed:
            self.enqueue(self.node.receive(sender, message, time.monotonic()))
            self.timer.update()

    def propose(self, data: bytes) -> asyncio.Future | None:
        """Append a command.

        Returns
        -------
        asyncio.Future, optional
            Ends with the answer of the state, or with None when another entry took the place of
            the command. None if this instance does not lead: nothing was appended.
        """
        proposal = None if self.failed else self.node.propose(data, time.monotonic())
        if proposal is None:
            return None
        future = asyncio.get_running_loop().create_future()
        self.commits[proposal.index] = (proposal.term, future)
        self.enqueue(proposal.effects)
        return future

    def read(self) -> asyncio.Future | None:
        """Confirm a read; the future ends with the index, or None if leadership ended."""
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
        """Run effects after all earlier ones."""
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
                await self._run(effects)
        except Exception as error:
            # What reached the disk is unknown after a failed write, and a command that cannot be
            # applied leaves the state behind the log. This process may not go on in either case.
            self.failed = True
            detail = f"the log of this instance failed: {type(error).__name__}: {error}"
            self.failure = Failure(ErrorKind.STORAGE_CORRUPT, detail)
            log_message("log_failed", error=detail)
            self._fail_waiting(detail)
            self.failed_event.set()

    async def _run(self, effects: list[Effect]) -> None:
        saves = [effect for effect in effects if isinstance(effect, _SAVES)]
        if saves:
            await asyncio.get_running_loop().run_in_executor(self.executor, self._save, saves)
        for effect in effects:
            self._run_one(effect)
        if self.applied_index >= self.node.log.snapshot.index + COMPACT_ENTRIES:
            await self._compact()

    async def _compact(self) -> None:
        index = self.applied_index
        pieces = self.state.encode()
        # Large pieces are joined without the interpreter lock, so that heartbeats go on meanwhile.
        join = asyncio.get_running_loop().run_in_executor(self.executor, b"".join, pieces)
        self.enqueue(self.node.compact(index, await join))

    def _save(self, saves: list[Effect]) -> None:
        for effect in saves:
            self.store.save(effect)
        self.store.sync()

    def _run_one(self, effect: Effect) -> None:
        if isinstance(effect, Send):
            self.network.send(effect.destination, effect.message)
        elif isinstance(effect, Apply):
            for entry in effect.entries:
                self._apply(entry)
        elif isinstance(effect, Restore):
            self._restore(effect)
        elif isinstance(effect, ReadReady):
            _finish(self.reads.pop(effect.read_id), effect.index)
        elif isinstance(effect, ReadFailed):
            _finish(self.reads.pop(effect.read_id), None)
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
        # Reads are confirmed at any entry, so that the state counts those without a command too.
        self.state.applied_index = entry.index
        term, future = self.commits.pop(entry.index, (None, None))
        if future is not None:
            _finish(future, answer if term == entry.term else None)

    def _restore(self, effect: Restore) -> None:
        self.state.restore(effect.snapshot.data)
        self.applied_index = effect.snapshot.index
        self.state.applied_index = self.applied_index
        covered = [index for index in self.commits if index <= self.applied_index]
        for index in covered:
            # Whether the snapshot contains the command is not known.
            future = self.commits.pop(index)[1]
            _finish(future, Err(Failure(ErrorKind.OUTCOME_UNKNOWN)))
        for listener in self.restored_listeners:
            listener()

    def _fail_waiting(self, detail: str) -> None:
        failure = Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail))
        for _, future in self.commits.values():
            _finish(future, failure)
        for future in self.reads.values():
            _finish(future, None)
        self.commits.clear()
        self.reads.clear()


def _finish(future: asyncio.Future, value: object) -> None:
    if not future.done():
        future.set_result(value)
