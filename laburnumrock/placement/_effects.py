"""Effects of the pool scheduler other than `Send`."""

from dataclasses import dataclass

from laburnumrock.messages import Effect


@dataclass(frozen=True, slots=True)
class CancelOnUpstream(Effect):
    """Cancels a request on an upstream; the result must be confirmed to the scheduler.

    Parameters
    ----------
    upstream_id, base_url : str
        Id and HTTP address of the upstream.
    request_id : str
        Request to cancel; the effect is repeated until `PoolScheduler.confirm_cancel` is called.
    """

    upstream_id: str
    base_url: str
    request_id: str
