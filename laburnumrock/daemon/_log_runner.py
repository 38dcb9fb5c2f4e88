"""Runs a `RaftNode` on a disk and a network."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.daemon._disk_executor import DiskExecutor
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
    StoredState,
)
from laburnumrock.state import ReplicatedState, decode_message

if TYPE_CHECKING:
    from laburnumrock.settings import InstanceSettings

IDENTITY_BYTES = 8
COMPACT_ENTRIES = 10_000
STORAGE_RETRY_S = 0.25
"""Interval of the attempts to write to, or read from, a disk that refuses it."""
START_WAIT_S = 2.0
"""Time that a start waits for the stored log. A disk that hangs for longer must not keep the ports
of the process closed, so the log is then loaded in the background."""

STOP_WAIT_S = 0.5
"""Maximum time that a stop waits for a write in progress; a planned stop has a few seconds."""

_SAVE_EFFECTS = (SaveEntries, SaveHardState, SaveSnapshot)


class LogRunner:
    """Executes the effects of a `RaftNode` in order: disk writes, messages, applied commands.

    While the disk refuses writes, the node is suspended: it does not vote, lead or answer, and no
    effect runs that a refused write precedes. It goes on once the disk takes its state.

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
        self.initial_voters = [peer.instance_id for peer in settings.voters()]
        self.storage_unavailable = False
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
        self.executor = DiskExecutor("log-disk")
        self.tasks: list[asyncio.Task] = []
        self.timer = DueTimer(self._tick, self._find_due_s)

    async def start(self) -> Result[None, Failure]:
        """Load the log from disk and start the Raft node.

        Returns
        -------
        Result
            A failure of kind ``storage_corrupt`` if the stored log is damaged.

        Notes
        -----
        If the disk refuses access or takes long, the log is loaded in the background. `node` is
        None until then.
        """
        loading = asyncio.ensure_future(self._call_disk(self._load))
        done, _ = await asyncio.wait((loading,), timeout=START_WAIT_S)
        if done and not isinstance(loading.exception(), OSError):
            loaded = loading.result()
            if loaded.is_err():
                return loaded
            self._start_node(loaded.unwrap())
        else:
            self._set_unavailable(repr(loading.exception()) if done else "the disk takes long")
        self.tasks = [asyncio.create_task(self._run(loading))]
        return Ok(None)

    @property
    def is_available(self) -> bool:
        """Whether the node is loaded and takes part in the group."""
        return self.node is not None and not self.failed and not self.storage_unavailable

    def change_initial_voters(self, initial_voters: list[str]) -> None:
        """Replace the instances that form a new group."""
        self.initial_voters = initial_voters
        if self.node is not None:
            self.node.bootstrap.initial_voters = list(initial_voters)

    def _load(self) -> Result[StoredState, Failure]:
        return self.store.load(lambda: secrets.token_hex(IDENTITY_BYTES))

    def _start_node(self, stored: StoredState) -> None:
        settings = self.settings
        rng = random.Random(f"{settings.seed}-{settings.instance_id}-{stored.voter_id}")
        self.state.restore(stored.snapshot.data)
        self.applied_index = stored.snapshot.index
        self.state.applied_index = self.applied_index
        self.node = RaftNode(
            settings.instance_id,
            self.initial_voters,
            settings.timing,
            stored,
            rng,
            self.may_bootstrap,
        )
        self.timer.start()

    async def _call_disk(self, function: Callable, *arguments: object):
        return await asyncio.get_running_loop().run_in_executor(self.executor, function, *arguments)

    async def stop(self) -> None:
        """Stop; pending proposals and reads fail, and a disk that hangs is not waited for."""
        self.timer.stop()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self._fail_pending("the instance is stopping")
        # The next instance on the same folder must not find a write of this one in progress.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(STOP_WAIT_S):
                await self._call_disk(lambda: None)
        self.executor.shutdown()

    def receive(self, sender: str, message: object) -> None:
        """Process a message from another voter; dropped while the node takes no part."""
        if self.is_available:
            self.enqueue(self.node.receive(sender, message, time.monotonic()))
            self.timer.update()

    def propose(self, data: bytes) -> asyncio.Future | None:
        """Append a command to the log.

        Returns
        -------
        asyncio.Future, optional
            Resolves to the response of the state machine, or to None if the command was
            overwritten by another entry. None instead of a future if this instance is not the
            leader or takes no part; nothing was appended then.
        """
        proposal = self.node.propose(data, time.monotonic()) if self.is_available else None
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
        effects = self.node.read(read_id, time.monotonic()) if self.is_available else None
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
        return self.node.next_tick_s(time.monotonic()) if self.is_available else float("inf")

    def _tick(self) -> None:
        if self.is_available:
            self.enqueue(self.node.tick(time.monotonic()))

    async def _run(self, loading: asyncio.Future) -> None:
        try:
            if self.node is None:
                await self._finish_start(loading)
            if not self.failed:
                await self._run_queue()
        except Exception as error:
            # A command that cannot be applied leaves the state behind the log. The process must not
            # continue.
            self._fail(f"the log of this instance failed: {type(error).__name__}: {error}")

    def _fail(self, detail: str) -> None:
        self.failed = True
        self.failure = Failure(ErrorKind.STORAGE_CORRUPT, detail)
        log_message("log_failed", error=detail)
        self._fail_pending(detail)
        self.failed_event.set()

    async def _finish_start(self, loading: asyncio.Future) -> None:
        """Load the log as soon as the disk allows it, and start the node."""
        while True:
            try:
                loaded = await loading
                break
            except OSError:
                await asyncio.sleep(STORAGE_RETRY_S)
                loading = asyncio.ensure_future(self._call_disk(self._load))
        if loaded.is_err():
            self._fail(str(loaded.unwrap_err()))
            return
        self._set_available()
        self._start_node(loaded.unwrap())
        for listener in self.restored_listeners:
            listener()

    def _set_unavailable(self, reason: str) -> None:
        self.storage_unavailable = True
        log_message("storage_unavailable", error=reason)

    def _set_available(self) -> None:
        self.storage_unavailable = False
        log_message("storage_available")

    async def _run_queue(self) -> None:
        while True:
            await self.queue_filled.wait()
            self.queue_filled.clear()
            effects, self.queue = self.queue, []
            await self._execute_batch(effects)

    async def _execute_batch(self, effects: list[Effect]) -> None:
        saves = [effect for effect in effects if isinstance(effect, _SAVE_EFFECTS)]
        if saves:
            try:
                await self._call_disk(self._save, saves)
            except OSError as error:
                effects = await self._wait_for_storage(effects, error)
        for effect in effects:
            self._execute(effect)
        if self.applied_index >= self.node.log.snapshot.index + COMPACT_ENTRIES:
            await self._compact()

    async def _wait_for_storage(self, effects: list[Effect], error: OSError) -> list[Effect]:
        """Suspend the node until its state is stored, and return the effects to run then.

        Notes
        -----
        It is unknown what a refused write left on the disk, so the state is written anew. Messages
        and changes of role that wait for it are dropped: they would be outdated, and Raft tolerates
        their loss.
        """
        self._set_unavailable(repr(error))
        effects, self.queue = [*effects, *self.queue], []
        for effect in self.node.suspend(time.monotonic()):
            self._execute(effect)
        # The loss of the role may be among the effects that are dropped.
        self._notify_role_listeners()
        self._fail_pending("the disk of this instance refuses writes")
        with_snapshot = any(isinstance(effect, SaveSnapshot) for effect in effects)
        state = self.node.state_to_store
        while True:
            await asyncio.sleep(STORAGE_RETRY_S)
            try:
                await self._call_disk(self.store.rewrite, state, with_snapshot)
                break
            except OSError:
                # Logged once, when the storage became unavailable.
                continue
        self.node.resume(time.monotonic())
        self._set_available()
        self.timer.update()
        return [effect for effect in effects if isinstance(effect, (Apply, Restore))]

    async def _compact(self) -> None:
        index = self.applied_index
        pieces = self.state.encode()
        # Joining large pieces releases the GIL, so that heartbeats continue meanwhile.
        self.enqueue(self.node.compact(index, await self._call_disk(b"".join, pieces)))

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
            self._finish_read(effect.read_id, effect.index)
        elif isinstance(effect, ReadFailed):
            self._finish_read(effect.read_id, None)
        elif isinstance(effect, RoleChanged):
            log_message(
                "log_role_changed", role=effect.role, term=effect.term, leader=effect.leader
            )
            self._notify_role_listeners()

    def _notify_role_listeners(self) -> None:
        for listener in self.role_listeners:
            listener()

    def _finish_read(self, read_id: int, index: int | None) -> None:
        # Reads that were pending when the storage became unavailable have failed already.
        future = self.reads.pop(read_id, None)
        if future is not None:
            _resolve(future, index)

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
