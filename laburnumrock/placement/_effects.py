"""Effects of the pool scheduler beside `Send`."""

from dataclasses import dataclass

from laburnumrock.messages import Effect


@dataclass(frozen=True, slots=True)
class CancelOnUpstream(Effect):
    """Cancel a request on an upstream and confirm the result to the scheduler.

    Parameters
    ----------
    upstream_id, base_url : str
        Where to cancel.
    request_id : str
        Request to cancel; the effect is repeated until `PoolScheduler.confirm_cancel`.
    """

    upstream_id: str
    base_url: str
    request_id: str
