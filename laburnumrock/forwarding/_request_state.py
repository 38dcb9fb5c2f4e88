"""State of a request that all its attempts share."""

from dataclasses import dataclass, field

from laburnumrock.forwarding._context import ForwardingContext
from laburnumrock.forwarding._exchange import UpstreamResponse
from laburnumrock.forwarding._http_response import ResponseWriter
from laburnumrock.forwarding._send import StreamProgress
from laburnumrock.forwarding._wire import CallerRequest


@dataclass(slots=True)
class RequestState:
    """State of a request that all its attempts share.

    Parameters
    ----------
    context : ForwardingContext
        State and settings that all forwarded requests share.
    request : CallerRequest
        Request with its complete body.
    writer : ResponseWriter
        Writes the response to the caller.
    progress : StreamProgress
        Part of the stream that the caller has received.
    service : str
        Service that the request is for.
    digest : str
        Digest that a repeat of the request has too.
    deadline_s : float
        Reading of the monotonic clock at the deadline of the request.
    sent, unsent : int
        Number of placements after which bytes were sent, and of those that failed before.
    possible_runs : int
        Sends without proof that the upstream did not run the request.
    excluded : list of str
        Upstreams that are not chosen again for this request.
    last_response : UpstreamResponse, optional
        Last complete response that was no success.
    """

    context: ForwardingContext
    request: CallerRequest
    writer: ResponseWriter
    progress: StreamProgress
    service: str = ""
    digest: str = ""
    deadline_s: float = 0.0
    sent: int = 0
    unsent: int = 0
    possible_runs: int = 0
    excluded: list[str] = field(default_factory=list)
    last_response: UpstreamResponse | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request."""
        return self.possible_runs > 0
