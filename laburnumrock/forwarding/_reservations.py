"""Leases on memory of the engines that process a part of a prompt.

Notes
-----
Each reservation has one owner, the forwarder of one request, and a short lease that the owner
renews. A release is retried until the engine confirms it; if the owner fails, the lease expires.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from eliot import log_message
from result import Err, Ok, Result

from laburnumrock.dispatch import Helper, UpstreamStatement
from laburnumrock.forwarding._connections import ConnectionPool
from laburnumrock.forwarding._exchange import UpstreamResponse, exchange, parse_keep_alive_s
from laburnumrock.forwarding._wire import CallerRequest, WireFormat, find_statement
from laburnumrock.periodic import log_errors

LEASE_S = 3.2
"""Shorter than the 4 s after which unused memory is considered leaked."""
RENEW_S = 1.0
"""Interval of renewals."""
RENEW_RETRY_S = 0.2
"""Delay after a renewal that failed, so that two of them in a row may be lost; with the whole
interval, the lease expired 0.6 s before the third one."""
CALL_TIMEOUT_S = 0.4
"""Many times the round trip; engines answer reservation calls without occupying a request slot."""
RELEASE_ATTEMPTS = 6
"""After this number of attempts the lease has expired anyway."""

RESERVED_STATUS = 200
"""Status code of an engine that has reserved the memory."""

HelperReservation = tuple[str, int, str]


class Reservations:
    """Reserves memory on engines, renews the leases and releases the memory.

    Parameters
    ----------
    pool : ConnectionPool
        Pool of connections to the engines.
    wire : WireFormat
        Encodes the calls.
    record_statement : callable
        Records that an engine has just stated that it wants no new requests.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        wire: WireFormat,
        record_statement: Callable[[UpstreamStatement], None],
    ) -> None:
        self.pool = pool
        self.wire = wire
        self.record_statement = record_statement
        self.tasks: set[asyncio.Task] = set()

    @contextlib.asynccontextmanager
    async def hold(
        self, name: str, helpers: list[Helper]
    ) -> AsyncIterator[Result[list[HelperReservation], list[str]]]:
        """Reserve memory on all helpers that need it, or on none, until the context exits.

        Parameters
        ----------
        name : str
            Identifier of the reservations, unique for each send.
        helpers : list of Helper
            Engines that process a part of the prompt; those without `reserved_tokens` compute
            but store nothing.

        Yields
        ------
        Result
            Host, port and reservation of each helper. If a reservation failed, the names of the
            helpers that did not respond.
        """
        reserving = [helper for helper in helpers if helper.reserved_tokens > 0]
        renewals: list[asyncio.Task] = []
        try:
            statuses = await asyncio.gather(*(self._reserve(name, helper) for helper in reserving))
            if all(status == RESERVED_STATUS for status in statuses):
                # A helper that is silent must not delay the renewals at the others.
                renewals = [asyncio.create_task(self._renew(name, one)) for one in reserving]
                yield Ok([_describe(name, helper) for helper in helpers])
            else:
                pairs = zip(reserving, statuses, strict=True)
                yield Err([helper.upstream_id for helper, status in pairs if status is None])
        finally:
            for renewal in renewals:
                renewal.cancel()
            for helper in reserving:
                task = asyncio.create_task(self._release(name, helper))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def finish(self, timeout_s: float) -> None:
        """Wait for the releases in progress."""
        if self.tasks:
            await asyncio.wait(self.tasks, timeout=timeout_s)

    async def _renew(self, name: str, helper: Helper) -> None:
        """Renew the lease at one helper until the task is cancelled."""
        delay_s = RENEW_S
        while True:
            await asyncio.sleep(delay_s)
            status = None
            # Without its lease, the engine cuts the request off, so that no error may end the loop.
            with log_errors("lease renewal"):
                status = await self._reserve(name, helper)
            delay_s = RENEW_S if status == RESERVED_STATUS else RENEW_RETRY_S

    async def _reserve(self, name: str, helper: Helper) -> int | None:
        call = self.wire.encode_reservation(name, helper.reserved_tokens, LEASE_S)
        response = await self._call(helper, call)
        status = None if response is None else response.status
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
            response = await self._call(helper, self.wire.encode_release(name))
            if response is not None and response.status < 500:
                return
            await asyncio.sleep(LEASE_S / RELEASE_ATTEMPTS)
        log_message("memory_release_unconfirmed", name=name, upstream=helper.upstream_id)

    async def _call(self, helper: Helper, call: CallerRequest) -> UpstreamResponse | None:
        connection = None
        result = None
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                opened = await self.pool.open(helper.host, helper.port, CALL_TIMEOUT_S)
                if opened.is_err():
                    return None
                connection = opened.unwrap()
                result = await exchange(connection, call, call.headers, self.wire)
        except TimeoutError:
            return None
        finally:
            if connection is not None and (result is None or not result.reusable):
                connection.close()
        if result is None or not result.complete:
            return None
        if result.reusable:
            self.pool.release(connection, parse_keep_alive_s(result.answer))
        statement = find_statement(helper.upstream_id, result.answer.facts)
        if statement is not None:
            self.record_statement(statement)
        return result.answer


def _describe(name: str, helper: Helper) -> HelperReservation:
    return helper.host, helper.port, name if helper.reserved_tokens > 0 else ""
