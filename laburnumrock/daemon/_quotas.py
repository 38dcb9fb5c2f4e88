"""Client side of the quotas: asks the coordinator of the own failure domain."""

import asyncio
import random
import time
from typing import Protocol

from result import Err, Ok, Result

from laburnumrock.daemon._quota_messages import (
    QuotaGrant,
    QuotaRefusal,
    QuotaRelease,
    QuotaRequest,
)
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

COORDINATOR_WAIT_S = 3.0
"""Longest wait for a coordinator; a new one is elected within this time."""
CALL_TIMEOUT_S = 0.5
RETRY_S = 0.05
RETRY_AFTER_S = 1.0
QUOTA_ID_BITS = 64


class CoordinatorSource(Protocol):
    """The part of `OwnershipTask` that the client needs."""

    def find_coordinator(self) -> str | None:
        """Return the instance that is probably the coordinator."""


class QuotaClient:
    """Acquires quota of client accounts.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Links to the other instances.
    ownership : CoordinatorSource
        Knows the coordinator.
    """

    def __init__(
        self, settings: InstanceSettings, network: PeerNetwork, ownership: CoordinatorSource
    ) -> None:
        self.settings = settings
        self.network = network
        self.ownership = ownership
        self.granted_by: dict[str, str] = {}
        # Quota ids must differ between two starts of an instance.
        self.random = random.SystemRandom()

    async def start(self) -> None:
        """Do nothing; the client has no task of its own."""

    async def stop(self) -> None:
        """Do nothing; requests that still hold quota release it themselves."""

    async def acquire(self, account: str, caller: str, tokens: int) -> Result[str, Failure]:
        """Ask for quota.

        Parameters
        ----------
        account, caller : str
            Client account and the caller inside it.
        tokens : int, >= 0
            Prompt and output tokens of the request.

        Returns
        -------
        Result
            Quota id for `release`, or the failure for the caller.
        """
        quota_id = f"{self.settings.instance_id}-{self.random.getrandbits(QUOTA_ID_BITS):x}"
        request = QuotaRequest(quota_id, account, caller, tokens)
        end_s = time.monotonic() + COORDINATOR_WAIT_S
        asked = ""
        decided = False
        try:
            while True:
                coordinator = self.ownership.find_coordinator()
                if coordinator is not None:
                    asked = coordinator
                    answer = await self.network.call(coordinator, request, CALL_TIMEOUT_S)
                    result = self._read(coordinator, answer)
                    if result is not None:
                        decided = True
                        return result
                if time.monotonic() >= end_s:
                    detail = "the coordinator of the failure domain is unreachable"
                    return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, detail, None, RETRY_AFTER_S))
                await asyncio.sleep(RETRY_S)
        finally:
            if asked and not decided:
                # The coordinator may have granted the quota although its answer was not received.
                self.network.send(asked, QuotaRelease(quota_id))

    def release(self, quota_id: str) -> None:
        """Return quota to the coordinator that granted it."""
        coordinator = self.granted_by.pop(quota_id, None)
        if coordinator is not None:
            self.network.send(coordinator, QuotaRelease(quota_id))

    def _read(
        self, coordinator: str, answer: Result[object, Failure]
    ) -> Result[str, Failure] | None:
        """Return the decision, or None when another attempt is needed."""
        message = answer.unwrap_or(None)
        if isinstance(message, QuotaGrant):
            self.granted_by[message.quota_id] = coordinator
            return Ok(message.quota_id)
        if isinstance(message, QuotaRefusal) and message.kind is not ErrorKind.OWNER_UNAVAILABLE:
            failure = Failure(message.kind, message.detail, retry_after_s=message.retry_after_s)
            return Err(failure)
        return None
