"""Permit client: acquires, renews and releases permits."""

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
from laburnumrock.periodic import run_periodically
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
"""Interval at which an unanswered request is resent, since a broken connection may have lost it."""
OWNER_WAIT_S = 3.0
"""Maximum wait for a pool to get a new owner."""
RENEWALS_PER_TTL = 3
RETRY_AFTER_S = 1.0
RETRY_ELSEWHERE_KINDS = (
    ErrorKind.OWNER_UNAVAILABLE,
    ErrorKind.NO_UPSTREAM,
    ErrorKind.DEADLINE_UNREACHABLE,
)
"""Kinds of refusal after which another pool may still grant the permit."""

Key = tuple[str, int]


@dataclass(slots=True)
class HeldPermit:
    """A permit that is in use and renewed."""

    grant: PermitGrant
    pool_id: str
    revoked: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class _PendingRequest:
    """A permit request that has no final answer yet."""

    request: PermitRequest
    deadline_s: float
    pool_id: str = ""
    owner: PoolOwner | None = None
    answer: asyncio.Future | None = None
    refused_by: set[str] = field(default_factory=set)


class PermitClient:
    """Acquires permits from pool owners.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Connections to the other instances.
    directory : PoolDirectory
        Known pools of all failure domains.
    view : DeclarationView
        Service states and their staleness.
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
        self.pending: dict[Key, _PendingRequest] = {}
        self.held: dict[str, HeldPermit] = {}
        self.started_s = time.monotonic()
        self.on_revoked: Callable[[PermitGrant], None] | None = None
        self.task: asyncio.Task | None = None

    async def start(self) -> None:
        """Register the message handlers and start renewing held permits."""
        self.network.handle(PermitGrant, self._receive_grant)
        self.network.handle(PermitRefusal, self._receive_refusal)
        self.network.handle(PermitRenewalAnswer, self._receive_renewal_answer)
        pause_s = self.settings.timing.permit_ttl_s / RENEWALS_PER_TTL
        renewal = run_periodically("permit_renewal", self._renew_permits, lambda: pause_s)
        self.task = asyncio.create_task(renewal)

    async def stop(self) -> None:
        """Stop renewing; permits that are still held expire after their time to live."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def acquire(self, request: PermitRequest) -> Result[PermitGrant, Failure]:
        """Wait for a permit.

        Cancelling the awaiting task withdraws the request.

        Parameters
        ----------
        request : PermitRequest
            Requested permit; `remaining_s` limits the wait.

        Returns
        -------
        Result
            Permit, which is renewed until it is released, or the failure to return to the caller.
        """
        key = (request.request_id, request.attempt)
        if key in self.pending:
            detail = f"attempt {request.attempt} of {request.request_id} already waits"
            return Err(Failure(ErrorKind.INTERNAL, detail))
        pending = _PendingRequest(request, time.monotonic() + request.remaining_s)
        self.pending[key] = pending
        granted = False
        try:
            result = await self._request_from_pools(pending)
            granted = result.is_ok()
            return result
        finally:
            del self.pending[key]
            if not granted:
                self._withdraw(pending)

    def release(self, release: PermitRelease) -> None:
        """Release a held permit and notify the owner of its pool."""
        held = self.held.pop(release.permit_id, None)
        if held is None:
            return
        owner = self._find_permit_owner(held)[1]
        if owner is not None:
            self.network.send(owner.instance_id, release)

    def abandon(self, permit_id: str) -> None:
        """Stop renewing a permit whose request may still hold memory on an engine.

        A release would free the memory at the pool owner at once. An expired permit keeps it until
        the owner has cancelled the request on the engine.
        """
        if self.held.pop(permit_id, None) is not None:
            log_message("permit_abandoned", permit=permit_id)

    def _find_permit_owner(self, held: HeldPermit) -> tuple[str, PoolOwner | None]:
        upstream_id = held.grant.placements[0].upstream_id
        return self.directory.find_permit_owner(held.pool_id, upstream_id)

    def revocation_event(self, permit_id: str) -> asyncio.Event | None:
        """Return the event that is set when the pool owner revokes a held permit."""
        held = self.held.get(permit_id)
        return None if held is None else held.revoked

    async def _request_from_pools(self, pending: _PendingRequest) -> Result[PermitGrant, Failure]:
        refusal: Failure | None = None
        no_owner_since_s = time.monotonic()
        while True:
            now_s = time.monotonic()
            if now_s >= pending.deadline_s:
                detail = "no permit before the deadline"
                return Err(refusal or Failure(ErrorKind.DEADLINE_UNREACHABLE, detail))
            choice = choose_pool(
                self.directory, self.view, pending.request, pending.refused_by, now_s
            )
            if choice.pool_id is None:
                # A process that has just started does not know the pools yet.
                awaits_owner = choice.awaits_owner or now_s - self.started_s < OWNER_WAIT_S
                if not awaits_owner or now_s - no_owner_since_s >= OWNER_WAIT_S:
                    return Err(refusal or _unavailable(awaits_owner))
                await asyncio.sleep(POLL_S)
                continue
            answer = await self._request_permit(pending, choice.pool_id)
            if isinstance(answer, PermitGrant):
                return Ok(answer)
            if answer is None:
                # The pool lost its owner only now, so the wait for a new one restarts.
                no_owner_since_s = time.monotonic()
                continue
            refusal = Failure(answer.kind, answer.detail, retry_after_s=answer.retry_after_s)
            if (
                answer.kind is ErrorKind.OWNER_UNAVAILABLE
                and now_s - no_owner_since_s < OWNER_WAIT_S
            ):
                # The new owner may not know its assignment yet, or the local owner map is outdated.
                await asyncio.sleep(POLL_S)
                continue
            if answer.kind not in RETRY_ELSEWHERE_KINDS:
                return Err(refusal)
            pending.refused_by.add(choice.pool_id)

    async def _request_permit(
        self, pending: _PendingRequest, pool_id: str
    ) -> PermitGrant | PermitRefusal | None:
        """Request a permit from one pool; None if its owner changed or the deadline passed."""
        owner = self.directory.find_owner(pool_id)
        if owner is None:
            return None
        pending.pool_id = pool_id
        pending.owner = owner
        pending.answer = asyncio.get_running_loop().create_future()
        next_send_s = float("-inf")
        unreachable_at_s = time.monotonic() + OWNER_WAIT_S
        while True:
            now_s = time.monotonic()
            if now_s >= pending.deadline_s or self.directory.find_owner(pool_id) != owner:
                self._withdraw(pending)
                return None
            unreachable_at_s = max(unreachable_at_s, self._last_summary_s(pool_id) + OWNER_WAIT_S)
            if now_s >= unreachable_at_s:
                # Owners publish load summaries at a shorter interval, so this one is unreachable.
                self._withdraw(pending)
                pending.refused_by.add(pool_id)
                detail = f"no sign of life from {owner.instance_id}"
                return PermitRefusal(
                    pending.request.request_id, ErrorKind.OWNER_UNAVAILABLE, RETRY_AFTER_S, detail
                )
            if now_s >= next_send_s:
                next_send_s = now_s + REPEAT_S
                remaining_s = pending.deadline_s - now_s
                message = replace(pending.request, remaining_s=remaining_s, pool_id=pool_id)
                self.network.send(owner.instance_id, message)
            done, _ = await asyncio.wait([pending.answer], timeout=POLL_S)
            if done:
                return pending.answer.result()

    def _last_summary_s(self, pool_id: str) -> float:
        pool = self.directory.pools.get(pool_id)
        return float("-inf") if pool is None else pool.received_s

    def _withdraw(self, pending: _PendingRequest) -> None:
        """Cancel a queued request, or release a permit that was granted at the same moment."""
        answer = pending.answer
        pending.answer = None
        if answer is None or pending.owner is None:
            return
        if answer.done() and not answer.cancelled():
            granted = answer.result()
            if isinstance(granted, PermitGrant):
                self.release(PermitRelease(granted.permit_id, PermitOutcome.CANCELLED))
            return
        request = pending.request
        cancel = PermitCancel(request.request_id, request.attempt, pending.pool_id)
        self.network.send(pending.owner.instance_id, cancel)

    def _receive_grant(self, sender: str, message: PermitGrant) -> None:
        if message.permit_id in self.held:
            return
        pending = self.pending.get((message.request_id, message.attempt))
        answer = None if pending is None else pending.answer
        if answer is None or answer.done() or sender != pending.owner.instance_id:
            # Nobody uses this permit: the caller disconnected or another owner was asked since.
            self.network.send(sender, PermitRelease(message.permit_id, PermitOutcome.CANCELLED))
            return
        self.held[message.permit_id] = HeldPermit(message, pending.pool_id)
        answer.set_result(message)

    def _receive_refusal(self, sender: str, message: PermitRefusal) -> None:
        pending = self.pending.get((message.request_id, message.attempt))
        if pending is None or pending.answer is None or pending.answer.done():
            return
        if pending.owner.instance_id == sender:
            pending.answer.set_result(message)

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
        grants: dict[tuple[PoolOwner, str], list[PermitGrant]] = {}
        for held in self.held.values():
            pool_id, owner = self._find_permit_owner(held)
            if owner is not None:
                grants.setdefault((owner, pool_id), []).append(held.grant)
        for (owner, pool_id), pool_grants in grants.items():
            renewal = make_renewal(pool_id, owner.epoch, pool_grants)
            self.network.send(owner.instance_id, renewal)


def _unavailable(awaits_owner: bool) -> Failure:
    if awaits_owner:
        detail = "the pool has no reachable owner"
        return Failure(ErrorKind.OWNER_UNAVAILABLE, detail, retry_after_s=RETRY_AFTER_S)
    return Failure(ErrorKind.NO_UPSTREAM, "no pool serves this", retry_after_s=RETRY_AFTER_S)
