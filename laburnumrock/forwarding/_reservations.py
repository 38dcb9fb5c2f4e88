"""Memory reserved on engines that hold a part of a prompt.

Notes
-----
Each reservation has one owner, the run of one request, and a short lease that the owner renews. A
release is repeated until an engine confirms it; if the owner dies, the lease ends.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.dispatch import Helper
from laburnumrock.forwarding._channels import ConnectionPool
from laburnumrock.forwarding._exchange import Answer, exchange, stated_idle_s
from laburnumrock.forwarding._wire import CallerRequest, WireFormat

LEASE_S = 3.2
"""Shorter than the 4 s after which memory that nobody uses counts as leaked."""
RENEW_S = 1.0
"""Two renewals may be lost before a lease ends."""
CALL_TIMEOUT_S = 0.4
"""Many times the round trip; engines answer orders without a slot."""
RELEASE_ATTEMPTS = 6
"""By then the lease has ended."""

RESERVED = 200
"""Status of an engine that set the memory aside."""

Hold = tuple[str, int, str]


class Reservations:
    """Reserves, renews and releases memory on engines.

    Parameters
    ----------
    pool : ConnectionPool
        Connections to the engines.
    wire : WireFormat
        Encodes the calls.
    """

    def __init__(self, pool: ConnectionPool, wire: WireFormat) -> None:
        self.pool = pool
        self.wire = wire
        self.tasks: set[asyncio.Task] = set()

    @contextlib.asynccontextmanager
    async def hold(
        self, name: str, helpers: list[Helper]
    ) -> AsyncIterator[Result[list[Hold], list[str]]]:
        """Hold memory on all helpers that need some, or on none.

        Parameters
        ----------
        name : str
            Name of the reservations, unique for each send.
        helpers : list of Helper
            Engines; those without `reserved_tokens` only read.

        Yields
        ------
        Result
            Host, port and reservation of each helper. If not all had memory free, the names of
            the helpers that did not answer.
        """
        needed = [helper for helper in helpers if helper.reserved_tokens > 0]
        renewal = None
        try:
            statuses = await asyncio.gather(*(self._reserve(name, helper) for helper in needed))
            if all(status == RESERVED for status in statuses):
                if needed:
                    renewal = asyncio.create_task(self._renew(name, needed))
                yield Ok([_describe(name, helper) for helper in helpers])
            else:
                pairs = zip(needed, statuses, strict=True)
                yield Err([helper.upstream_id for helper, status in pairs if status is None])
        finally:
            if renewal is not None:
                renewal.cancel()
            for helper in needed:
                task = asyncio.create_task(self._release(name, helper))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def finish(self, timeout_s: float) -> None:
        """Wait for the releases under way."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)

    async def _renew(self, name: str, helpers: list[Helper]) -> None:
        while True:
            await asyncio.sleep(RENEW_S)
            await asyncio.gather(*(self._reserve(name, helper) for helper in helpers))

    async def _reserve(self, name: str, helper: Helper) -> int | None:
        call = self.wire.encode_reservation(name, helper.reserved_tokens, LEASE_S)
        answer = await self._call(helper, call)
        status = None if answer is None else answer.status
        log_message(
            "memory_reserved",
            name=name,
            upstream=helper.upstream_id,
            tokens=helper.reserved_tokens,
            status=status,
        )
        return status

    async def _release(self, name: str, helper: Helper) -> None:
        for _ in range(RELEASE_ATTEMPTS):
            answer = await self._call(helper, self.wire.encode_release(name))
            if answer is not None and answer.status < 500:
                return
            await asyncio.sleep(LEASE_S / RELEASE_ATTEMPTS)
        log_message("memory_release_unconfirmed", name=name, upstream=helper.upstream_id)

    async def _call(self, helper: Helper, call: CallerRequest) -> Answer | None:
        channel = None
        result = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                opened = await self.pool.open(helper.host, helper.port, CALL_TIMEOUT_S)
                if opened.is_err():
                    return None
                channel = opened.unwrap()
                result = await exchange(channel, call, call.headers, self.wire)
        except TimeoutError:
            return None
        finally:
            if channel is not None and (result is None or not result.reusable):
                channel.close()
        if result is None or not result.complete:
            return None
        if result.reusable:
            self.pool.keep(channel, stated_idle_s(result.answer))
        return result.answer


def _describe(name: str, helper: Helper) -> Hold:
    return helper.host, helper.port, name if helper.reserved_tokens > 0 else ""
