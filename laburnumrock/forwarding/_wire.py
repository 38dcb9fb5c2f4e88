"""Interface between forwarding and the HTTP protocol of a deployment."""

from dataclasses import dataclass, field
from typing import Protocol

from tornado.httputil import HTTPHeaders

from laburnumrock.dispatch import UpstreamStatement


@dataclass(slots=True)
class CallerRequest:
    """HTTP request of a caller.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query as received.
    headers : HTTPHeaders
        Headers as received.
    host : str
        Value of the Host header.
    request_id : str
        Identifier of the caller's attempt; empty if the caller sent none.
    key : str, optional
        API key of the caller.
    remaining_s : float, optional
        Time until the deadline of the caller, counted from the arrival of the request.
    prompt_tokens, output_tokens : int
        Size of a generation; 0 for requests that are not for a model.
    shared_parts : tuple of str
        Ids of the parts of the prompt that other requests may contain too, in order. The last part
        of a prompt is omitted, as it belongs to the request itself or to its session.
    last_event_id : str, optional
        Identifier of the last event of a stream that the caller has received.
    body : bytes
        Body, decoded from its transfer coding.
    is_body_dropped : bool
        Whether the body was dropped because the bodies in progress take too much memory.
    arrived_s : float
        Reading of the monotonic clock when the headers were read.
    """

    method: str
    target: str
    headers: HTTPHeaders
    host: str
    request_id: str
    key: str | None = None
    remaining_s: float | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    shared_parts: tuple[str, ...] = ()
    last_event_id: str | None = None
    body: bytes = b""
    is_body_dropped: bool = False
    arrived_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """Metadata that one send to an upstream adds to the caller's request.

    Parameters
    ----------
    upstream_id : str
        Upstream that is expected to respond.
    account : str, optional
        Client account of the caller.
    remaining_s : float
        Time until the deadline of the caller.
    last_event_id : str, optional
        Event after which the upstream resumes a stream.
    helpers : list of tuple of (str, int, str)
        Host, port and reservation (or an empty string) of the engines that process a part of the
        prompt.
    """

    upstream_id: str
    account: str | None
    remaining_s: float
    last_event_id: str | None = None
    helpers: list[tuple[str, int, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata decoded from the response headers of an upstream.

    Parameters
    ----------
    request_id : str, optional
        Request that the response belongs to.
    signed : bool
        Whether the response carries the signature of the upstream.
    proves_not_run : bool
        Whether the upstream states that it did not run the request.
    misdirected : bool
        Whether an upstream other than the expected one responded.
    encoded : bool
        Whether the body has a content coding that was not requested.
    states_limit : bool
        Whether the upstream states a limit on its requests.
    max_requests_per_s : float, optional
        Requests per second that it takes from all instances together; None if it states no limit or
        one that cannot be read.
    is_leaving : bool
        Whether the upstream states that it is leaving.
    refusal_s : float
        Time in seconds for which it wants no requests from this instance; 0 if it states none.
    """

    request_id: str | None
    signed: bool
    proves_not_run: bool
    misdirected: bool
    encoded: bool
    states_limit: bool = False
    max_requests_per_s: float | None = None
    is_leaving: bool = False
    refusal_s: float = 0.0


def find_statement(upstream_id: str, facts: ResponseMetadata) -> UpstreamStatement | None:
    """Return the statement of an upstream that it wants no new requests, or None.

    Another upstream than the one that the request was sent to answers it as misdirected.
    """
    if facts.misdirected or (not facts.is_leaving and facts.refusal_s <= 0):
        return None
    return UpstreamStatement(upstream_id, facts.is_leaving, facts.refusal_s)


class WireFormat(Protocol):
    """Encodes and decodes the headers of the HTTP protocol of a deployment."""

    def decode_request(self, method: str, target: str, headers: HTTPHeaders) -> CallerRequest:
        """Decode the request line and headers of a caller.

        Raises
        ------
        ValueError
            If a header that the protocol defines is malformed.
        """

    def encode_request(self, request: CallerRequest, metadata: SendMetadata) -> HTTPHeaders:
        """Return the request headers of a send to an upstream."""

    def decode_response(self, status: int, headers: HTTPHeaders) -> ResponseMetadata:
        """Decode the response headers of an upstream."""

    def encode_response(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the response headers of an upstream that are forwarded to the caller."""

    def encode_reservation(self, name: str, tokens: int, lease_s: float) -> CallerRequest:
        """Return the request that reserves memory on an engine or renews a reservation."""

    def encode_release(self, name: str) -> CallerRequest:
        """Return the request that releases a reservation."""

    def encode_error(self, request_id: str, retry_after_s: float) -> HTTPHeaders:
        """Return the headers of an error response; without Retry-After if `retry_after_s` is 0."""
