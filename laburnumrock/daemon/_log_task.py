"""Access to the replicated log on any instance."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import TYPE_CHECKING

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.daemon._log_messages import (
    ChangeVoters,
    LeaveVoters,
    LogStatus,
    Propose,
    ProposeAnswer,
    ReadState,
    ReadStateAnswer,
)
from laburnumrock.daemon._log_runner import LogRunner
from laburnumrock.daemon._log_service import LogService
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.replication import Disk, FolderDisk, Members, Role, VoterPolicy
from laburnumrock.state import ReplicatedState, decode_message, discover_parts, encode_message

if TYPE_CHECKING:
    from laburnumrock.settings import InstanceSettings

# All voters must register the same parts, or they cannot apply the same commands.
PART_PACKAGES = ("laburnumrock.declarations", "laburnumrock.journal", "laburnumrock.orders")
LOG_FOLDER = "log"
PROPOSE_TIMEOUT_S = 5.0
READ_TIMEOUT_S = 2.0
# A call to a dead instance ends only with its timeout. With 1.5 s per attempt, a read after the
# leader stopped took 3.1 s. Later attempts get longer timeouts, so that a slow commit is not
# retried.
ATTEMPT_MIN_S = 0.4
ATTEMPT_MAX_S = 2.0
RETRY_S = 0.05
# An instance that did not respond is tried again after this time, or when all others failed too.
# Without this, the first commit after the leader was killed took up to 2.06 s; the target is below
# 2 s.
SUSPECT_S = 1.0
TRANSFER_TIMEOUT_S = 1.0
LEAVE_TIMEOUT_S = 2.0
"""Maximum time that a planned stop waits for its removal from the voters."""


class LogTask:
    """Replica of the log on this instance, or a client of the voters without one.

    Parameters
    ----------
    settings : InstanceSettings
        An instance with a data folder stores a replica; others send requests to voters.
    network : PeerNetwork
        Connections to the other instances.
    state : ReplicatedState, optional
        Replicated state of this instance; all registered parts by default.
    disk : Disk, optional
        Storage used instead of the data folder.
    part_packages : tuple of str
        Packages that register the parts of the state.
    may_bootstrap : bool
        Whether this instance may bootstrap a new log with the other initial voters.
    voter_policy : VoterPolicy, optional
        Decides on the voters; without it, only operators change them.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network,
        state: ReplicatedState | None = None,
        disk: Disk | None = None,
        part_packages: tuple[str, ...] = PART_PACKAGES,
        may_bootstrap: bool = True,
        voter_policy: VoterPolicy | None = None,
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
        self.voter_policy = voter_policy
        self.known_leader: str | None = None
        self.next_voter = 0
        self.failed_call_s: dict[str, float] = {}
        if self.runner is not None:
            self.service = LogService(settings, network, self.state, self.runner, voter_policy)
            self.service.register()

    @property
    def is_leader(self) -> bool:
        """Whether this instance is the leader and holds a valid leader lease.

        No other leader can have been elected since, and the local state contains everything
        that earlier leaders acknowledged.
        """
        node = self.runner.node if self.runner is not None else None
        if node is None or node.role is not Role.LEADER or not self.runner.is_available:
            return False
        if self.runner.applied_index < node.leader_state.term_start_index:
            return False
        now_s = time.monotonic()
        return node.lease_ends_s(now_s) > now_s

    @property
    def has_failed(self) -> bool:
        """Whether the log of this instance failed permanently; the process must be restarted."""
        return self.failure is not None

    @property
    def is_storage_unavailable(self) -> bool:
        """Whether the disk of this instance refuses access, so that it takes no part in the log."""
        return self.runner is not None and self.runner.storage_unavailable

    @property
    def failure(self) -> Failure | None:
        """Reason why the log of this instance failed permanently, if it did."""
        return self.runner.failure if self.runner is not None else None

    async def wait_until_failed(self) -> Failure:
        """Wait until the log of this instance fails and return why; never returns without a log."""
        if self.runner is None:
            await asyncio.Event().wait()
        await self.runner.failed_event.wait()
        return self.runner.failure

    @property
    def members(self) -> Members:
        """Voters and learners known to this instance; empty without a log."""
        node = self.runner.node if self.runner is not None else None
        return node.members if node is not None else Members()

    @property
    def term(self) -> int:
        """Raft term known to this instance; 0 without a log."""
        node = self.runner.node if self.runner is not None else None
        return node.term if node is not None else 0

    def voters(self) -> list[str] | None:
        """Return the voters known to this instance; None without a log."""
        node = self.runner.node if self.runner is not None else None
        return None if node is None else sorted(node.members.voters.values())

    async def start(self) -> Result[None, Failure]:
        """Load and start the replica, if this instance has one."""
        return Ok(None) if self.runner is None else await self.runner.start()

    async def stop(self) -> None:
        """Leave the voters if enough others remain, transfer leadership, if held, and stop."""
        if self.runner is None:
            return
        await self._leave_voters()
        node = self.runner.node
        if node is not None and node.role is Role.LEADER and self.runner.is_available:
            await self._transfer_leadership()
        await self.runner.stop()

    async def _leave_voters(self) -> None:
        """Wait until the removal of this voter is committed, if the group can do without it.

        Notes
        -----
        Until its removal, a stopped voter counts towards the quorum, so that the group could bear
        one loss less than it has voters for.
        """
        node = self.runner.node
        if self.voter_policy is None or node is None or not self.runner.is_available:
            return
        if not self.voter_policy.may_depart(node):
            return
        node.prepare_departure()
        message = LeaveVoters(node.voter_id)
        began_s = time.monotonic()
        while (remaining_s := began_s + LEAVE_TIMEOUT_S - time.monotonic()) > 0:
            answer = await self._call_voter(message, min(remaining_s, ATTEMPT_MIN_S))
            if isinstance(answer, ProposeAnswer) and answer.status is LogStatus.DONE:
                log_message("voter_departed", waited_s=round(time.monotonic() - began_s, 3))
                return
            await asyncio.sleep(RETRY_S)
        log_message("voter_departure_timed_out", voters=self.voters())

    async def _transfer_leadership(self) -> None:
        node = self.runner.node
        self.runner.enqueue(node.transfer(time.monotonic()))
        self.runner.timer.update()
        if node.leader_state.transfer_target is None:
            return
        deadline_s = time.monotonic() + TRANSFER_TIMEOUT_S
        while node.role is Role.LEADER and time.monotonic() < deadline_s:
            await asyncio.sleep(RETRY_S / 5)

    def on_applied(self, listener: Callable[[int, object, object], None]) -> None:
        """Register a callback for the index, command and response of every applied command."""
        if self.runner is not None:
            self.runner.applied_listeners.append(listener)

    def on_restored(self, listener: Callable[[], None]) -> None:
        """Register a callback for the replacement of the state by a snapshot."""
        if self.runner is not None:
            self.runner.restored_listeners.append(listener)

    def on_role_changed(self, listener: Callable[[], None]) -> None:
        """Register a callback for changes of the Raft role of this instance."""
        if self.runner is not None:
            self.runner.role_listeners.append(listener)

    async def propose(
        self, command: object, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> Result[object, Failure]:
        """Commit a command and return the response of the state machine.

        Parameters
        ----------
        command : object
            Command of a registered part. It must carry an id that makes it idempotent, because it
            is retried when a response is lost.
        timeout_s : float, > 0
            Maximum total time of all attempts in seconds.

        Returns
        -------
        Result
            Response, or a failure: ``quorum_unavailable`` only if the command was definitely not
            appended, ``outcome_unknown`` if it may have been or may still be committed,
            ``invalid_request`` if the leader does not know the command.
        """
        deadline_s = time.monotonic() + timeout_s
        data = encode_message(command)
        not_appended = True
        attempt_s = ATTEMPT_MIN_S
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            attempt_s = min(remaining_s, attempt_s)
            answer = await self._call_voter(Propose(data, attempt_s), attempt_s)
            attempt_s = min(1.5 * attempt_s, ATTEMPT_MAX_S)
            if isinstance(answer, ProposeAnswer):
                if answer.status is LogStatus.DONE:
                    return Ok(decode_message(answer.answer))
                if answer.status is LogStatus.REFUSED:
                    return Err(Failure(ErrorKind.INVALID_REQUEST, answer.detail))
            not_appended = not_appended and _proves_not_appended(answer)
            await asyncio.sleep(min(RETRY_S, max(0.0, deadline_s - time.monotonic())))
        if not_appended:
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, "the log did not answer in time"))

    async def read_confirmed(self, timeout_s: float = READ_TIMEOUT_S) -> Result[int, Failure]:
        """Return a commit index that a quorum has confirmed as current (linearizable read).

        Notes
        -----
        On an instance with a replica, that index has been applied locally when this returns.
        """
        answer = await self._read(ReadState(), timeout_s)
        if answer.is_err():
            return answer
        index = answer.unwrap().index
        deadline_s = time.monotonic() + timeout_s
        while self.runner is not None and self.runner.applied_index < index:
            if time.monotonic() >= deadline_s or not self.runner.is_available:
                return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE, "this instance lags"))
            await asyncio.sleep(RETRY_S / 10)
        return Ok(index)

    async def read_part(
        self, part: str, question: object, timeout_s: float = READ_TIMEOUT_S
    ) -> Result[object, Failure]:
        """Query a part of the replicated state on the leader with a linearizable read."""
        message = ReadState(part, encode_message(question))
        answer = await self._read(message, timeout_s)
        return answer.map(lambda read: decode_message(read.answer))

    async def change_voters(
        self, action: str, instance_id: str, timeout_s: float = PROPOSE_TIMEOUT_S
    ) -> Result[None, Failure]:
        """Add or remove a voter, and wait until the change is committed.

        An instance that is added becomes a voter in the background, once its log has caught up.

        Parameters
        ----------
        action : str
            ``add`` or ``remove``.
        instance_id : str
            Instance to add or remove; it must have a data folder.

        Returns
        -------
        Result
            None, or a failure: ``quorum_unavailable`` only if no leader has begun the change,
            ``outcome_unknown`` if it may still be committed.
        """
        deadline_s = time.monotonic() + timeout_s
        detail = ""
        has_not_begun = True
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            answer = await self._call_voter(ChangeVoters(action, instance_id), remaining_s)
            if isinstance(answer, ProposeAnswer):
                detail = answer.detail or detail
                if answer.status is LogStatus.DONE:
                    return Ok(None)
            has_not_begun = has_not_begun and _proves_not_appended(answer)
            await asyncio.sleep(RETRY_S)
        if has_not_begun:
            return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE, detail))
        return Err(Failure(ErrorKind.OUTCOME_UNKNOWN, detail or "the log did not answer in time"))

    async def _read(self, message: ReadState, timeout_s: float) -> Result[ReadStateAnswer, Failure]:
        deadline_s = time.monotonic() + timeout_s
        while (remaining_s := deadline_s - time.monotonic()) > 0:
            answer = await self._call_voter(message, min(remaining_s, ATTEMPT_MIN_S))
            if isinstance(answer, ReadStateAnswer) and answer.status is LogStatus.DONE:
                return Ok(answer)
            await asyncio.sleep(min(RETRY_S, max(0.0, deadline_s - time.monotonic())))
        return Err(Failure(ErrorKind.QUORUM_UNAVAILABLE))

    async def _call_voter(self, message: object, timeout_s: float) -> object | None:
        """Send a request to the leader or, if unknown, to a voter; None without a response."""
        target = self._choose_target()
        answer = await self.network.call(target, message, timeout_s)
        if answer.is_err():
            self.failed_call_s[target] = time.monotonic()
            self.known_leader = None
            self.next_voter += 1
            return None
        self.failed_call_s.pop(target, None)
        answer = answer.unwrap()
        done = answer.status is LogStatus.DONE
        # An instance that rejects a request and still names itself as leader has failed or is
        # about to, so it is not used as the known leader.
        self.known_leader = answer.leader if done or answer.leader != target else None
        if self.known_leader is None:
            self.next_voter += 1
        return answer

    def _choose_target(self) -> str:
        own_id = self.settings.instance_id
        node = self.runner.node if self.runner is not None else None
        if node is not None and node.role is Role.LEADER:
            return own_id
        voters = self.voters() or [peer.instance_id for peer in self.settings.voters()]
        first = self.next_voter % len(voters)
        candidates = [*voters[first:], *voters[:first]]
        if self.known_leader is not None:
            candidates.insert(0, self.known_leader)
        oldest_s = time.monotonic() - SUSPECT_S
        for name in candidates:
            if self.failed_call_s.get(name, oldest_s) <= oldest_s:
                return name
        return candidates[0]


def _proves_not_appended(answer: object | None) -> bool:
    return isinstance(answer, ProposeAnswer) and answer.status is LogStatus.NOT_APPENDED
