"""Client side of the permits: acquires, renews and releases them."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.daemon._pool_choice import choose_pool
from laburnumrock.daemon._pool_directory import PoolDirectory
from laburnumrock.daemon._pool_runner import ServiceStateView
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.ownership import PoolOwner
from laburnumrock.placement import (
    PermitCancel,
    PermitGrant,
    PermitOutcome,
    PermitRefusal,
    PermitRelease,
    PermitRenewalAnswer,
    PermitRequest,
    make_renewal,
)
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

POLL_S = 0.05
REPEAT_S = 1.0
"""A request without an answer is sent again, since a link may have lost it."""
OWNER_WAIT_S = 3.0
"""Longest wait for a pool to get a new owner."""
RENEWALS_PER_TTL = 3
RETRY_AFTER_S = 1.0
ELSEWHERE = (ErrorKind.OWNER_UNAVAILABLE, ErrorKind.NO_UPSTREAM, ErrorKind.DEADLINE_UNREACHABLE)
"""Refusals after which another pool may still grant."""

Key = tuple[str, int]


@dataclass(slots=True)
class HeldPermit:
    """A permit in use."""

    grant: PermitGrant
    pool_id: str
    revoked: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class _Waiting:
    """A request without a final answer."""

    request: PermitRequest
    deadline_s: float
    pool_id: str = ""
    owner: PoolOwner | None = None
    answer: asyncio.Future | None = None
    tried: set[str] = field(default_factory=set)


class PermitClient:
    """Acquires permits from pool owners.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Links to the other instances.
    directory : PoolDirectory
        Known pools of all failure domains.
    view : DeclarationView
        Service states, and whether they are stale.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        network: PeerNetwork,
        directory: PoolDirectory,
        view: ServiceStateView,
    ) -> None:
        self.settings = settings
        self.network = network
        self.directory = directory
        self.view = view
        self.waiting: dict[Key, _Waiting] = {}
        self.held: dict[str, HeldPermit] = {}
        self.started_s = time.monotonic()
        self.on_revoked: Callable[[PermitGrant], None] | None = None
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Receive grants and renew held permits."""
        self.network.handle(PermitGrant, self._receive_grant)
        self.network.handle(PermitRefusal, self._receive_refusal)
        self.network.handle(PermitRenewalAnswer, self._receive_renewal_answer)
        self.task = asyncio.create_task(self._renew_permits())

    async def stop(self) -> None:
        """Stop renewing; permits that are still held end after their time to live."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def acquire(self, request: PermitRequest) -> Result[PermitGrant, Failure]:
        """Wait for a permit.

        Cancelling the call withdraws the request.

        Parameters
        ----------
        request : PermitRequest
            What is needed; `remaining_s` bounds the wait.

        Returns
        -------
        Result
            The permit, which is renewed until it is released, or the failure for the caller.
        """
        key = (request.request_id, request.attempt)
        if key in self.waiting:
            detail = f"attempt {request.attempt} of {request.request_id} already waits"
            return Err(Failure(ErrorKind.INTERNAL, detail))
        waiting = _Waiting(request, time.monotonic() + request.remaining_s)
        self.waiting[key] = waiting
        granted = False
        try:
            result = await self._ask_pools(waiting)
            granted = result.is_ok()
            return result
        finally:
            del self.waiting[key]
            if not granted:
                self._withdraw(waiting)

    def release(self, release: PermitRelease) -> None:
        """End the work under a permit and tell its owner."""
        held = self.held.pop(release.permit_id, None)
        if held is None:
            return
        owner = self._find_permit_owner(held)[1]
        if owner is not None:
            self.network.send(owner.instance_id, release)

    def _find_permit_owner(self, held: HeldPermit) -> tuple[str, PoolOwner | None]:
        upstream_id = held.grant.placements[0].upstream_id
        return self.directory.find_permit_owner(held.pool_id, upstream_id)

    def revocation_event(self, permit_id: str) -> asyncio.Event | None:
        """Return the event that is set when the owner revokes a held permit."""
        held = self.held.get(permit_id)
        return None if held is None else held.revoked

    async def _ask_pools(self, waiting: _Waiting) -> Result[PermitGrant, Failure]:
        refusal: Failure | None = None
        missing_since_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if now_s >= waiting.deadline_s:
                detail = "no permit before the deadline"
                return Err(refusal or Failure(ErrorKind.DEADLINE_UNREACHABLE, detail))
            choice = choose_pool(self.directory, self.view, waiting.request, waiting.tried, now_s)
            if choice.pool_id is None:
                # A process that has just started has not heard of the pools yet.
                may_appear = choice.may_appear or now_s - self.started_s < OWNER_WAIT_S
                if not may_appear or now_s - missing_since_s >= OWNER_WAIT_S:
                    return Err(refusal or _unavailable(may_appear))
                await asyncio.sleep(POLL_S)
                continue
            answer = await self._ask(waiting, choice.pool_id)
            if isinstance(answer, PermitGrant):
                return Ok(answer)
            if answer is None:
                # The pool had an owner until now; the wait for the next one begins.
                missing_since_s = time.monotonic()
                continue
            refusal = Failure(answer.kind, answer.detail, retry_after_s=answer.retry_after_s)
            if (
                answer.kind is ErrorKind.OWNER_UNAVAILABLE
                and now_s - missing_since_s < OWNER_WAIT_S
            ):
                # The new owner may not know of its assignment yet, or the owner map is old.
                await asyncio.sleep(POLL_S)
                continue
            if answer.kind not in ELSEWHERE:
                return Err(refusal)
            waiting.tried.add(choice.pool_id)

    async def _ask(self, waiting: _Waiting, pool_id: str) -> PermitGrant | PermitRefusal | None:
        """Ask one pool; returns None when its owner changed or the deadline passed."""
        owner = self.directory.find_owner(pool_id)
        if owner is None:
            return None
        waiting.pool_id = pool_id
        waiting.owner = owner
        waiting.answer = asyncio.get_running_loop().create_future()
        next_send_s = float("-inf")
        silent_until_s = time.monotonic() + OWNER_WAIT_S
        while True:
            now_s = time.monotonic()
            if now_s >= waiting.deadline_s or self.directory.find_owner(pool_id) != owner:
                self._withdraw(waiting)
                return None
            silent_until_s = max(silent_until_s, self._heard_s(pool_id) + OWNER_WAIT_S)
            if now_s >= silent_until_s:
                # Owners publish their load at a short interval; this one cannot be reached.
                self._withdraw(waiting)
                waiting.tried.add(pool_id)
                detail = f"no sign of life from {owner.instance_id}"
                return PermitRefusal(
                    waiting.request.request_id, ErrorKind.OWNER_UNAVAILABLE, RETRY_AFTER_S, detail
                )
            if now_s >= next_send_s:
                next_send_s = now_s + REPEAT_S
                remaining_s = waiting.deadline_s - now_s
                message = replace(waiting.request, remaining_s=remaining_s, pool_id=pool_id)
                self.network.send(owner.instance_id, message)
            done, _ = await asyncio.wait([waiting.answer], timeout=POLL_S)
            if done:
                return waiting.answer.result()

    def _heard_s(self, pool_id: str) -> float:
        pool = self.directory.pools.get(pool_id)
        return float("-inf") if pool is None else pool.received_s

    def _withdraw(self, waiting: _Waiting) -> None:
        """Cancel a queued request, or release the permit that came at the same moment."""
        answer = waiting.answer
        waiting.answer = None
        if answer is None or waiting.owner is None:
            return
        if answer.done() and not answer.cancelled():
            granted = answer.result()
            if isinstance(granted, PermitGrant):
                self.release(PermitRelease(granted.permit_id, PermitOutcome.CANCELLED))
            return
        request = waiting.request
        cancel = PermitCancel(request.request_id, request.attempt, waiting.pool_id)
        self.network.send(waiting.owner.instance_id, cancel)

    def _receive_grant(self, sender: str, message: PermitGrant) -> None:
        if message.permit_id in self.held:
            return
        waiting = self.waiting.get((message.request_id, message.attempt))
        answer = None if waiting is None else waiting.answer
        if answer is None or answer.done() or sender != waiting.owner.instance_id:
            # Nobody uses this permit; the caller has gone or asked another owner.
            self.network.send(sender, PermitRelease(message.permit_id, PermitOutcome.CANCELLED))
            return
        self.held[message.permit_id] = HeldPermit(message, waiting.pool_id)
        answer.set_result(message)

    def _receive_refusal(self, sender: str, message: PermitRefusal) -> None:
        waiting = self.waiting.get((message.request_id, message.attempt))
        if waiting is None or waiting.answer is None or waiting.answer.done():
            return
        if waiting.owner.instance_id == sender:
            waiting.answer.set_result(message)

    def _receive_renewal_answer(self, sender: str, message: PermitRenewalAnswer) -> None:
        for permit_id in message.revoked_permits:
            held = self.held.pop(permit_id, None)
            if held is None:
                continue
            log_message("permit_revoked", permit=permit_id, owner=sender)
            held.revoked.set()
            if self.on_revoked is not None:
                self.on_revoked(held.grant)

    async def _renew_permits(self) -> None:
        while True:
            await asyncio.sleep(self.settings.timing.permit_ttl_s / RENEWALS_PER_TTL)
            grants: dict[tuple[PoolOwner, str], list[PermitGrant]] = {}
            for held in self.held.values():
                pool_id, owner = self._find_permit_owner(held)
                if owner is not None:
                    grants.setdefault((owner, pool_id), []).append(held.grant)
            for (owner, pool_id), pool_grants in grants.items():
                renewal = make_renewal(pool_id, owner.epoch, pool_grants)
                self.network.send(owner.instance_id, renewal)


def _unavailable(may_appear: bool) -> Failure:
    if may_appear:
        detail = "the pool has no reachable owner"
        return Failure(ErrorKind.OWNER_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S)
    return Failure(ErrorKind.NO_UPSTREAM, "no pool serves this", retry_after_s=RETRY_AFTER_S)
