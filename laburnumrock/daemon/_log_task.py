"""Use of the replicated log from any instance."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from laburnumrock.daemon._log_messages import (
    ChangeVoters,
    LogStatus,
    Propose,
    ProposeAnswer,
    ReadState,
    ReadStateAnswer,
)
from laburnumrock.daemon._log_runner import LogRunner
from laburnumrock.daemon._log_service import LogService
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.replication import Disk, FolderDisk, Members, Role
from laburnumrock.state import ReplicatedState, decode_message, discover_parts, encode_message

if TYPE_CHECKING:
    from laburnumrock.settings import InstanceSettings

# Every voter must have the same parts.
PART_PACKAGES = ("laburnumrock.declarations", "laburnumrock.journal", "laburnumrock.orders")
LOG_FOLDER = "log"
PROPOSE_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 2.0
# A call to a dead instance ends only by its timeout. With 1.5 s per attempt a read after the stop
# of the leader took 3.1 s. Later attempts get more time, so that a slow commit is not repeated.
ATTEMPT_MIN_S = 0.4
ATTEMPT_MAX_S = 2.0
RETRY_S = 0.05
# An instance that did not answer is asked again after this time, or when all others failed too.
# Without this, the commit after a killed leader took up to 2.06 s, with the target below 2 s.
SUSPECT_S = 1.0
TRANSFER_TIMEOUT_S = 1.0


class LogTask:
    """The replicated log of this instance, or the way to it.

    Parameters
    ----------
    settings : InstanceSettings
        An instance with a data folder stores the log; others forward to voters.
    network : PeerNetwork
        Links to the other instances.
    state : ReplicatedState, optional
        State of this instance; all registered parts by default.
    disk : Disk, optional
        Replaces the data folder.
    part_packages : tuple of str
        Packages whose parts the state has.
    may_bootstrap : bool
        Whether this instance may form a new log with the other first voters.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network,
        state: ReplicatedState | None = None,
        disk: Disk | None = None,
        part_packages: tuple[str, ...] = PART_PACKAGES,
        may_bootstrap: bool = True,
    ) -> None:
        self.settings = settings
        self.network = network
        discover_parts(part_packages)
        self.state = state if state is not None else ReplicatedState()
        if disk is None and settings.data_folder is not None:
            disk = FolderDisk(settings.data_folder / LOG_FOLDER)
        self.runner: LogRunner | None = None
        if disk is not None:
            self.runner = LogRunner(settings, network, self.state, disk, may_bootstrap)
        self.known_leader: str | None = None
        self.next_voter = 0
        self.unanswered_s: dict[str, float] = {}
        if self.runner is not None:
            self.service = LogService(settings, network, self.state, self.runner)
            self.service.register()

    @property
    def is_leader(self) -> bool:
        """Whether this instance leads, and no other can have been elected since.

        Its state then contains everything that earlier leaders acknowledged.
        """
        node = self.runner.node if self.runner is not None else None
        if node is None or node.role is not Role.LEADER or self.runner.failed:
            return False
        if self.runner.applied_index < node.leader_state.term_start_index:
            return False
        now_s = time.monotonic()
        return node.lease_ends_s(now_s) > now_s

    @property
    def has_failed(self) -> bool:
        """Whether the log of this instance stopped for good; the process must be restarted."""
        return self.failure is not None

    @property
    def failure(self) -> Failure | None:
        """Why the log of this instance stopped for good."""
        return self.runner.failure if self.runner is not None else None

    async def wait_until_failed(self) -> Failure:
        """Return why the log of this instance stopped for good; wait for ever without a log."""
        if self.runner is None:
            await asyncio.Event().wait()
        await self.runner.failed_event.wait()
        return self.runner.failure

    @property
    def members(self) -> Members:
        """Voters and learners as known here; empty on an instance without a log."""
        node = self.runner.node if self.runner is not None else None
        return node.members if node is not None else Members()

    @property
    def term(self) -> int:
        """Term of the log as known here; 0 without a log."""
        node = self.runner.node if self.runner is not None else None
        return node.term if node is not None else 0

    def voters(self) -> list[str] | None:
        """Return the instances that vote, as known here; None without a log."""
        node = self.runner.node if self.runner is not None else None
        return None if node is None else sorted(node.members.voters.values())

    async def start(self) -> Result[None, Failure]:
        """Load the log, if any, and take part in it."""
        return Ok(None) if self.runner is None else await self.runner.start()

    async def stop(self) -> None:
        """Hand over leadership and stop."""
        if self.runner is None:
            return
        node = self.runner.node
        if node is not None and node.role is Role.LEADER and not self.runner.failed:
            await self._hand_over()
        await self.runner.stop()

    async def _hand_over(self) -> None:
        node = self.runner.node
        self.runner.enqueue(node.transfer(time.monotonic()))
        self.runner.timer.update()
        if node.leader_state.transfer_target is None:
            return
        ends_s = time.monotonic() + TRANSFER_TIMEOUT_S
        while node.role is Role.LEADER and time.monotonic() < ends_s:
            await asyncio.sleep(RETRY_S / 5)

    def on_applied(self, listener: Callable[[int, object, object], None]) -> None:
        """Call a function with index, command and answer of every command applied here."""
        if self.runner is not None:
            self.runner.applied_listeners.append(listener)

    def on_restored(self, listener: Callable[[], None]) -> None:
        """Call a function when the whole state was replaced by a snapshot."""
        if self.runner is not None:
            self.runner.restored_listeners.append(listener)

    def on_role_changed(self, listener: Callable[[], None]) -> None:
        """Call a function when this instance starts or stops to lead."""
        if self.runner is not None:
            self.runner.role_listeners.append(listener)

    async def propose(
        self, command: object, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> Result[object, Failure]:
        """Commit a command and return the answer of the state.

        Parameters
        ----------
        command : object
            Command of a registered part, which must be idempotent by an id of its own: it is sent
            again when an answer is lost.
        timeout_s : float, > 0
            Longest time for all attempts.

        Returns
        -------
        Result
            ``quorum_unavailable`` only if the command was certainly not appended,
            ``outcome_unknown`` if it may still be or become committed, ``invalid_request`` if the
            leader does not know the command.
        """
        ends_s = time.monotonic() + timeout_s
        data = encode_message(command)
        certain = True
        attempt_s = ATTEMPT_MIN_S
        while (remaining_s := ends_s - time.monotonic()) > 0:
            attempt_s = min(remaining_s, attempt_s)
            answer = await self._ask(Propose(data, attempt_s), attempt_s)
            attempt_s = min(1.5 * attempt_s, ATTEMPT_MAX_S)
            if isinstance(answer, ProposeAnswer):
                if answer.status is LogStatus.DONE:
                    return Ok(decode_message(answer.answer))
                if answer.status is LogStatus.REFUSED:
                    return Err(Failure(ErrorKind.INVALID_REQUEST, answer.detail))
            certain = certain and _proves_not_appended(answer)
            await asyncio.sleep(min(RETRY_S, max(0.0, ends_s - time.monotonic())))
        if certain:
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "the log did not answer in time"))

    async def read_confirmed(self, timeout_s: float = READ_TIMEOUT_S) -> Result[int, Failure]:
        """Return an index up to which the log is certainly committed now.

        Notes
        -----
        On an instance with a log, its own state contains that index when this returns.
        """
        answer = await self._read(ReadState(), timeout_s)
        if answer.is_err():
            return answer
        index = answer.unwrap().index
        ends_s = time.monotonic() + timeout_s
        while self.runner is not None and self.runner.applied_index < index:
            if time.monotonic() >= ends_s or self.runner.failed:
                return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE, "this instance lags"))
            await asyncio.sleep(RETRY_S / 10)
        return Ok(index)

    async def read_part(
        self, part: str, question: object, timeout_s: float = READ_TIMEOUT_S
    ) -> Result[object, Failure]:
        """Ask a part of the leader's state, confirmed by a quorum."""
        message = ReadState(part, encode_message(question))
        answer = await self._read(message, timeout_s)
        return answer.map(lambda read: decode_message(read.answer))

    async def change_voters(
        self, action: str, instance_id: str, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> Result[None, Failure]:
        """Start to add or remove a voter; the log finishes an addition by itself.

        Parameters
        ----------
        action : str
            ``add`` or ``remove``.
        instance_id : str
            Instance with a data folder.
        """
        ends_s = time.monotonic() + timeout_s
        detail = ""
        while (remaining_s := ends_s - time.monotonic()) > 0:
            answer = await self._ask(ChangeVoters(action, instance_id), remaining_s)
            if isinstance(answer, ProposeAnswer):
                detail = answer.detail or detail
                if answer.status is LogStatus.DONE:
                    return Ok(None)
            await asyncio.sleep(RETRY_S)
        return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE, detail))

    async def _read(self, message: ReadState, timeout_s: float) -> Result[ReadStateAnswer, Failure]:
        ends_s = time.monotonic() + timeout_s
        while (remaining_s := ends_s - time.monotonic()) > 0:
            answer = await self._ask(message, min(remaining_s, ATTEMPT_MIN_S))
            if isinstance(answer, ReadStateAnswer) and answer.status is LogStatus.DONE:
                return Ok(answer)
            await asyncio.sleep(min(RETRY_S, max(0.0, ends_s - time.monotonic())))
        return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))

    async def _ask(self, message: object, timeout_s: float) -> object | None:
        """Ask the leader as far as known; None without an answer."""
        target = self._choose_target()
        answer = await self.network.call(target, message, timeout_s)
        if answer.is_err():
            self.unanswered_s[target] = time.monotonic()
            self.known_leader = None
            self.next_voter += 1
            return None
        self.unanswered_s.pop(target, None)
        answer = answer.unwrap()
        done = answer.status is LogStatus.DONE
        # An instance that refuses and yet names itself as the leader has failed or is about to.
        self.known_leader = answer.leader if done or answer.leader != target else None
        if self.known_leader is None:
            self.next_voter += 1
        return answer

    def _choose_target(self) -> str:
        own = self.settings.instance_id
        node = self.runner.node if self.runner is not None else None
        if node is not None and node.role is Role.LEADER:
            return own
        voters = self.voters() or [peer.instance_id for peer in self.settings.voters()]
        first = self.next_voter % len(voters)
        candidates = [*voters[first:], *voters[:first]]
        if self.known_leader is not None:
            candidates.insert(0, self.known_leader)
        oldest_s = time.monotonic() - SUSPECT_S
        for name in candidates:
            if self.unanswered_s.get(name, oldest_s) <= oldest_s:
                return name
        return candidates[0]


def _proves_not_appended(answer: object | None) -> bool:
    return isinstance(answer, ProposeAnswer) and answer.status is LogStatus.NOT_APPENDED
