"""What forwarding must know of a protocol; the protocol itself is someone else's."""

from dataclasses import dataclass, field
from typing import Protocol

from tornado.httputil import HTTPHeaders


@dataclass(slots=True)
class CallerRequest:
    """Request of a caller.

    Parameters
    ----------
    method : str
        HTTP method.
    target : str
        Path and query as the caller sent them.
    headers : HTTPHeaders
        Headers as received.
    host : str
        Host header.
    request_id : str
        Id of the caller's attempt; empty if it has none.
    key : str, optional
        Key of the caller.
    remaining_s : float, optional
        Time for which the caller will wait, from the arrival of the request.
    prompt_tokens, output_tokens : int
        Size of a generation; 0 for other requests.
    last_event_id : str, optional
        Last event that the caller has of a stream.
    body : bytes
        Body without transfer coding.
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
    last_event_id: str | None = None
    body: bytes = b""
    arrived_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SendMetadata:
    """What one send adds to the caller's request.

    Parameters
    ----------
    upstream_id : str
        Upstream that must be the one to answer.
    account : str, optional
        Client account of the caller.
    remaining_s : float
        Time until the caller stops waiting.
    last_event_id : str, optional
        Event after which a stream goes on.
    helpers : list of tuple of (str, int, str)
        Host, port and reservation (or an empty string) of the engines that help to read.
    """

    upstream_id: str
    account: str | None
    remaining_s: float
    last_event_id: str | None = None
    helpers: list[tuple[str, int, str]] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """What the headers of an upstream's answer say.

    Parameters
    ----------
    request_id : str, optional
        Request that the answer belongs to.
    signed : bool
        Whether it bears the proof of the upstream.
    proves_not_run : bool
        Whether the upstream states that it did not run the request.
    misdirected : bool
        Whether another upstream than the expected one answered.
    encoded : bool
        Whether the body has a content coding that nobody asked for.
    """

    request_id: str | None
    signed: bool
    proves_not_run: bool
    misdirected: bool
    encoded: bool


class WireFormat(Protocol):
    """Names and values of a protocol."""

    def decode_request(self, method: str, target: str, headers: HTTPHeaders) -> CallerRequest:
        """Read a caller's request.

        Raises
        ------
        ValueError
            If a header that the protocol defines cannot be read.
        """

    def encode_request(self, request: CallerRequest, metadata: SendMetadata) -> HTTPHeaders:
        """Return the headers of a send to an upstream."""

    def decode_response(self, status: int, headers: HTTPHeaders) -> ResponseMetadata:
        """Read the headers of an upstream's answer."""

    def encode_response(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an upstream's answer that the caller gets."""

    def encode_reservation(self, name: str, tokens: int, lease_s: float) -> CallerRequest:
        """Return the call that reserves memory on an engine, or renews a reservation."""

    def encode_release(self, name: str) -> CallerRequest:
        """Return the call that ends a reservation."""

    def encode_error(self, request_id: str, retry_after_s: float) -> HTTPHeaders:
        """Return the headers of an answer of our own; no advice to return if that is 0."""
