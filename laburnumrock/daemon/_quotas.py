"""Quota client: requests quota from the coordinator of the local failure domain."""

import asyncio
import random
import time
from typing import Protocol

from result import Err, Ok, Result

from laburnumrock.admission import (
    QuotaGrant,
    QuotaRefusal,
    QuotaRelease,
    QuotaRenewal,
    QuotaRequest,
)
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.periodic import run_periodically
from laburnumrock.settings import InstanceSettings
from laburnumrock.transport import PeerNetwork

COORDINATOR_WAIT_S = 3.0
"""Maximum wait for a coordinator; a new one is elected within this time."""
ACCOUNT_WAIT_S = 1.0
"""Maximum wait for a coordinator that does not know the client account. This instance knows it, so
one of the two has not applied the latest declarations yet."""
CALL_TIMEOUT_S = 0.5
RETRY_S = 0.05
RETRY_AFTER_S = 1.0
QUOTA_ID_BITS = 64
RENEWAL_S = 1.5
"""Renewal interval; less than a third of the time to live of a quota, which is 5 s."""


class CoordinatorSource(Protocol):
    """Subset of `OwnershipTask` that the client needs."""

    def find_coordinator(self) -> str | None:
        """Return the presumed coordinator."""


class QuotaClient:
    """Acquires quota for requests of client accounts.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.
    network : PeerNetwork
        Connections to the other instances.
    ownership : CoordinatorSource
        Provides the current coordinator.
    """

    def __init__(
        self, settings: InstanceSettings, network: PeerNetwork, ownership: CoordinatorSource
    ) -> None:
        self.settings = settings
        self.network = network
        self.ownership = ownership
        self.held: dict[str, QuotaRequest] = {}
        self.task: asyncio.Task | None = None
        # Random source of the operating system, because quota ids must not recur after a restart.
        self.random = random.SystemRandom()

    async def start(self) -> None:
        """Start renewing held quota; a new coordinator rebuilds its state from the renewals."""
        self.task = asyncio.create_task(
            run_periodically("quota_renewal", self._renew, lambda: RENEWAL_S)
        )

    async def stop(self) -> None:
        """Stop renewing; quota that is still held expires after its time to live."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def acquire(self, account: str, caller: str, tokens: int) -> Result[str, Failure]:
        """Request quota from the coordinator.

        Parameters
        ----------
        account, caller : str
            Client account and the caller within it.
        tokens : int, >= 0
            Number of prompt and output tokens of the request.

        Returns
        -------
        Result
            Quota id to pass to `release`, or the failure to return to the caller.
        """
        quota_id = f"{self.settings.instance_id}-{self.random.getrandbits(QUOTA_ID_BITS):x}"
        request = QuotaRequest(quota_id, account, caller, tokens)
        started_s = time.monotonic()
        deadline_s = started_s + COORDINATOR_WAIT_S
        contacted = ""
        decided = False
        try:
            while True:
                coordinator = self.ownership.find_coordinator()
                if coordinator is not None:
                    contacted = coordinator
                    answer = await self.network.call(coordinator, request, CALL_TIMEOUT_S)
                    result = self._parse_answer(request, answer)
                    lags = result is not None and _is_account_unknown(result)
                    is_final = not lags or time.monotonic() - started_s >= ACCOUNT_WAIT_S
                    if result is not None and is_final:
                        decided = True
                        return result
                if time.monotonic() >= deadline_s:
                    detail = "the coordinator of the failure domain is unreachable"
                    return Err(Failure(ErrorKind.OWNER_UNAVAILABLE, detail, None, RETRY_AFTER_S))
                await asyncio.sleep(RETRY_S)
        finally:
            if contacted and not decided:
                # The coordinator may have granted the quota although its answer was not received.
                self.network.send(contacted, QuotaRelease(quota_id))

    def release(self, quota_id: str) -> None:
        """Release quota at the coordinator."""
        if self.held.pop(quota_id, None) is not None:
            self._send(QuotaRelease(quota_id))

    async def _renew(self) -> None:
        if self.held:
            self._send(QuotaRenewal(list(self.held.values())))

    def _send(self, message: object) -> None:
        coordinator = self.ownership.find_coordinator()
        if coordinator is not None:
            self.network.send(coordinator, message)

    def _parse_answer(
        self, request: QuotaRequest, answer: Result[object, Failure]
    ) -> Result[str, Failure] | None:
        """Return the decision, or None when another attempt is needed."""
        message = answer.unwrap_or(None)
        if isinstance(message, QuotaGrant):
            self.held[request.quota_id] = request
            return Ok(request.quota_id)
        if isinstance(message, QuotaRefusal) and message.kind is not ErrorKind.OWNER_UNAVAILABLE:
            return Err(Failure(message.kind, retry_after_s=message.retry_after_s))
        return None


def _is_account_unknown(result: Result[str, Failure]) -> bool:
    return result.is_err() and result.unwrap_err().kind is ErrorKind.UNKNOWN_CLIENT_ACCOUNT
