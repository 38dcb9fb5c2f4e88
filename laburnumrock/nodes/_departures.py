"""Confirmation that an upstream that leaves gets no new requests."""

import asyncio
import time
from collections.abc import Callable

from eliot import log_message

from laburnumrock.nodes._messages import ConfirmDeparture
from laburnumrock.transport import PeerNetwork

CONFIRM_TIMEOUT_S = 0.8
"""Time limit for the leader's confirmation of a departure. An upstream that gets no acknowledgement
within a second reports to another core."""
CONFIRM_RETRY_S = 0.1
"""Delay before the confirmation is requested again while there is no leader."""


async def confirm_departure(
    request: ConfirmDeparture,
    network: PeerNetwork,
    find_leader: Callable[[], str | None],
    is_leading: Callable[[], bool],
) -> bool:
    """Wait until the leader has stopped placing requests on an upstream.

    Parameters
    ----------
    request : ConfirmDeparture
        Upstream that leaves; this core has applied the departure itself.
    network : PeerNetwork
        Links to the other cores.
    find_leader : callable
        Returns the name of the leader that this core follows.
    is_leading : callable
        Returns whether this core is the leader, at the time of the call.

    Returns
    -------
    bool
        Whether the departure can be acknowledged.
    """
    deadline_s = time.monotonic() + CONFIRM_TIMEOUT_S
    while (left_s := deadline_s - time.monotonic()) > 0:
        if is_leading():
            return True
        leader = find_leader()
        if leader is not None:
            answered = await network.call(leader, request, left_s)
            if answered.is_ok() and answered.unwrap().confirmed:
                return True
        await asyncio.sleep(CONFIRM_RETRY_S)
    log_message("departure_unconfirmed", upstream=request.upstream_id)
    return False
