"""Request handlers of a voter for instances that use the replicated log."""

from __future__ import annotations

import asyncio
import dataclasses
import time
from typing import TYPE_CHECKING

from result import Err

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
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.replication import RAFT_MESSAGES, Departure, Role, VoterChange, VoterPolicy
from laburnumrock.state import ReplicatedState, decode_message, encode_message, with_timestamp

if TYPE_CHECKING:
    from laburnumrock.settings import InstanceSettings

# Shorter than the shortest timeout of the calling instance, which would otherwise time out first.
FORWARD_TIMEOUT_S = 0.3


class LogService:
    """Handles log messages on an instance that stores a replica.

    Parameters
    ----------
    settings : InstanceSettings
        Name of this instance.
    network : PeerNetwork
        Connections to the other instances.
    state : ReplicatedState
        Replicated state of this instance.
    runner : LogRunner
        Runs the log of this instance.
    voter_policy : VoterPolicy, optional
        Decides on the voters; without it, only operators change them.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network,
        state: ReplicatedState,
        runner: LogRunner,
        voter_policy: VoterPolicy | None = None,
    ) -> None:
        self.settings = settings
        self.network = network
        self.state = state
        self.runner = runner
        self.voter_policy = voter_policy

    def register(self) -> None:
        """Register the message handlers."""
        for message_type in RAFT_MESSAGES:
            self.network.handle(message_type, self._receive)
        self.network.handle(Propose, self._answer_propose)
        self.network.handle(ReadState, self._answer_read)
        self.network.handle(ChangeVoters, self._answer_change)
        if self.voter_policy is not None:
            self.network.handle(LeaveVoters, self._answer_leave)

    def _receive(self, sender: str, message: object) -> None:
        self.runner.receive(sender, message)

    async def _answer_propose(self, sender: str, message: Propose) -> ProposeAnswer:
        refusal = self._find_refusal(message)
        if refusal is not None:
            return refusal
        future = self._propose_locally(message)
        if future is None:
            forwarded = await self._forward(message, message.timeout_s)
            if forwarded is None:
                return ProposeAnswer(LogStatus.UNCERTAIN)
            return forwarded or ProposeAnswer(LogStatus.NOT_APPENDED, None, self._leader())
        try:
            async with asyncio.timeout(message.timeout_s):
                answer = await asyncio.shield(future)
        except TimeoutError:
            answer = Err(Failure(ErrorKind.OUTCOME_UNKNOWN))
        if answer is None:
            return ProposeAnswer(LogStatus.NOT_APPENDED, None, self._leader())
        if isinstance(answer, Err):
            return ProposeAnswer(LogStatus.UNCERTAIN, None, self._leader())
        return ProposeAnswer(LogStatus.DONE, encode_message(answer), self._leader())

    def _find_refusal(self, message: Propose) -> ProposeAnswer | None:
        try:
            command = decode_message(message.command)
        except (ValueError, TypeError, KeyError) as error:
            return ProposeAnswer(LogStatus.REFUSED, detail=str(error))
        if not self.state.handles(command):
            return ProposeAnswer(LogStatus.REFUSED, detail=f"no part for {type(command).__name__}")
        return None

    def _propose_locally(self, message: Propose) -> asyncio.Future | None:
        if self.runner.node is None:
            return None
        # The command carries the time of the leader: the replicated state must be deterministic,
        # so it reads no other clock.
        command = with_timestamp(decode_message(message.command), time.time())
        return self.runner.propose(encode_message(command))

    async def _forward(self, message: object, timeout_s: float) -> object | None:
        """Forward a message to the leader.

        Returns the answer, False if the message was not sent, or None without an answer.
        """
        leader = self._leader()
        if message.forwarded or leader in (None, self.settings.instance_id):
            return False
        forwarded_message = dataclasses.replace(message, forwarded=True)
        answer = await self.network.call(leader, forwarded_message, timeout_s)
        return None if answer.is_err() else answer.unwrap()

    async def _answer_read(self, sender: str, message: ReadState) -> ReadStateAnswer:
        future = None
        if self.runner.node is not None:
            future = self.runner.read()
        if future is None:
            forwarded = await self._forward(message, FORWARD_TIMEOUT_S)
            return forwarded or ReadStateAnswer(LogStatus.NOT_APPENDED, leader=self._leader())
        index = await future
        if index is None:
            return ReadStateAnswer(LogStatus.NOT_APPENDED, leader=self._leader())
        answer = None
        if message.part is not None:
            question = decode_message(message.question)
            answer = encode_message(self.state.query(message.part, question))
        return ReadStateAnswer(LogStatus.DONE, index, answer, self._leader())

    async def _answer_change(self, sender: str, message: ChangeVoters) -> ProposeAnswer:
        node = self.runner.node
        if node is None or node.role is not Role.LEADER:
            forwarded = await self._forward(message, FORWARD_TIMEOUT_S)
            if forwarded is None:
                return ProposeAnswer(LogStatus.UNCERTAIN)
            return forwarded or ProposeAnswer(LogStatus.NOT_APPENDED, None, self._leader())
        change = node.add_learner if message.action == "add" else node.remove_member
        effects = change(message.instance_id, time.monotonic())
        if effects is None:
            detail = "another change is running, or the identity of the instance is not known"
            return ProposeAnswer(LogStatus.NOT_APPENDED, None, self._leader(), detail)
        if effects:
            # The caller asks again; without a further change, this one is committed.
            self.runner.enqueue(effects)
            detail = "the change is not committed yet"
            return ProposeAnswer(LogStatus.UNCERTAIN, None, self._leader(), detail)
        return ProposeAnswer(LogStatus.DONE, None, self._leader())

    async def _answer_leave(self, sender: str, message: LeaveVoters) -> ProposeAnswer:
        node = self.runner.node
        if node is None or node.role is not Role.LEADER:
            forwarded = await self._forward(message, FORWARD_TIMEOUT_S)
            return forwarded or ProposeAnswer(LogStatus.NOT_APPENDED, None, self._leader())
        now_s = time.monotonic()
        step = self.voter_policy.plan_departure(node, message.voter_id, now_s)
        if step is Departure.REMOVE:
            departing = node.members.voters[message.voter_id]
            self.runner.enqueue(VoterChange("remove", departing).start(node, now_s) or [])
        status = LogStatus.DONE if step is Departure.DONE else LogStatus.NOT_APPENDED
        return ProposeAnswer(status, None, self._leader())

    def _leader(self) -> str | None:
        node = self.runner.node
        return node.leader if node is not None and self.runner.is_available else None
