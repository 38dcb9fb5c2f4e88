"""HTTP headers and engine orders in the format of the platform."""

import itertools
import json
import math

from eliot import log_message
from tornado.httputil import HTTPHeaders

from laburnumrock.forwarding import CallerRequest, ResponseMetadata, SendMetadata

_HOP_BY_HOP_HEADERS = (
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "Proxy-Connection",
    "Te",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Expect",
)
# Headers that only the system may set; values that a caller sends are not forwarded.
_SYSTEM_HEADERS = (
    "Authorization",
    "Tenant",
    "Expect-Instance",
    "Expect-Version",
    "Helpers",
    "Priority-Class",
)
_KEY_SCHEME = "token "
MAX_SHARED_PARTS, MAX_PART_ID_CHARS = 128, 64
"""Maximum number and length of the part ids of a prompt that are used. They are kept for minutes if
upstreams crash, and a header may have 16 KiB."""
MAX_TOKENS = 1_000_000_000
"""Largest number of tokens of a request, a thousand times that of the longest prompts."""

MAX_LOGGED_CHARS = 50
"""Maximum length of an unreadable header value in a log line."""


class PlatformWire:
    """Encodes and decodes platform headers; see `laburnumrock.forwarding.WireFormat`."""

    def decode_request(self, method: str, target: str, headers: HTTPHeaders) -> CallerRequest:
        """Decode the headers of a caller's request."""
        prompt_tokens, output_tokens = _decode_token_usage(headers.get("Token-Usage"))
        deadline_ms = headers.get("Deadline-Ms")
        return CallerRequest(
            method=method,
            target=target,
            headers=headers,
            host=headers.get("Host", ""),
            request_id=headers.get("Request-Id", ""),
            key=_decode_api_key(headers.get("Authorization")),
            # Time for which the caller will wait, measured from when it sent the request.
            remaining_s=None if deadline_ms is None else max(0.0, float(deadline_ms) / 1000),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            shared_parts=_decode_shared_parts(headers.get("Prefix-Hash")),
            last_event_id=headers.get("Last-Event-Id"),
        )

    def encode_request(self, request: CallerRequest, metadata: SendMetadata) -> HTTPHeaders:
        """Return the headers of a request to an engine."""
        headers = _copy_end_to_end_headers(request.headers)
        for name in (*_SYSTEM_HEADERS, "Deadline-Ms", "Content-Length", "Last-Event-Id"):
            headers.pop(name, None)
        headers["Deadline-Ms"] = str(max(1, int(metadata.remaining_s * 1000)))
        headers["Expect-Instance"] = metadata.upstream_id
        if metadata.account is not None:
            # Header values are written as Latin-1; other names arrive in UTF-8.
            headers["Tenant"] = metadata.account.encode().decode("latin1")
        if metadata.last_event_id is not None:
            headers["Last-Event-Id"] = metadata.last_event_id
        if metadata.helpers:
            headers["Helpers"] = ",".join(_encode_helper(*helper) for helper in metadata.helpers)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def decode_response(self, status: int, headers: HTTPHeaders) -> ResponseMetadata:
        """Decode the headers of an engine response."""
        limit = headers.get("Server-Limit")
        return ResponseMetadata(
            request_id=headers.get("Request-Id"),
            signed="Server-Signature" in headers,
            proves_not_run="Not-Executed" in headers or status == 421,
            misdirected=status == 421,
            encoded="Content-Encoding" in headers,
            states_limit=limit is not None,
            max_requests_per_s=None if limit is None else _decode_limit(limit),
            is_leaving=_decode_leaving(headers.get("Server-Leaving")),
            refusal_s=_decode_refusal(headers.get("Retry-After")) if status == 503 else 0.0,
        )

    def encode_response(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an engine response that are forwarded to the caller."""
        return _copy_end_to_end_headers(headers)

    def encode_reservation(self, name: str, tokens: int, lease_s: float) -> CallerRequest:
        """Return the order that makes or renews a memory reservation."""
        order = {"op": "reserve", "id": name, "token_count": tokens, "hold_ms": int(lease_s * 1000)}
        return _make_order_request(order)

    def encode_release(self, name: str) -> CallerRequest:
        """Return the order that releases a memory reservation."""
        return _make_order_request({"op": "release", "id": name})

    def encode_error(self, request_id: str, retry_after_s: float) -> HTTPHeaders:
        """Return the headers of an error response that the system itself generates."""
        headers = HTTPHeaders()
        if request_id:
            headers["Request-Id"] = request_id
        if retry_after_s > 0:
            # Clients of the platform accept fractional seconds, unlike standard HTTP.
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        return headers


def _decode_token_usage(usage: str | None) -> tuple[int, int]:
    """Decode the number of prompt tokens and the maximum number of output tokens."""
    if usage is None:
        return 0, 0
    prompt, _, output = usage.partition(",")
    sizes = int(prompt), int(output)
    if not all(0 <= size <= MAX_TOKENS for size in sizes):
        raise ValueError(f"Token-Usage: expected up to {MAX_TOKENS} tokens, got {usage!r:.50}")
    return sizes


def _decode_shared_parts(prefix: str | None) -> tuple[str, ...]:
    """Decode the ids of all parts of a prompt but the last, from ``ID:TOKENS,ID:TOKENS``."""
    if prefix is None:
        return ()
    ids = (entry.partition(":")[0].strip().lower() for entry in prefix.split(",")[:-1])
    parts = (part[:MAX_PART_ID_CHARS] for part in ids if part)
    return tuple(itertools.islice(parts, MAX_SHARED_PARTS))


def _decode_limit(value: str) -> float | None:
    """Decode the requests per second that an engine takes; None if the value is not a limit."""
    return _decode_number("Server-Limit", value)


def _decode_refusal(value: str | None) -> float:
    """Decode for how many seconds an engine wants no requests; 0 if it does not state it."""
    if value is None:
        return 0.0
    return _decode_number("Retry-After", value) or 0.0


def _decode_leaving(value: str | None) -> bool:
    """Decode whether an engine states that it is leaving."""
    if value is None or value.strip() in ("0", "1"):
        return value is not None and value.strip() == "1"
    log_message("header_unreadable", header="Server-Leaving", value=value[:MAX_LOGGED_CHARS])
    return False


def _decode_number(header: str, value: str) -> float | None:
    """Decode a finite number that is not negative; None, with a log line, for other values."""
    try:
        number = float(value)
    except ValueError:
        number = math.nan
    if not 0.0 <= number < math.inf:
        log_message("header_unreadable", header=header, value=value[:MAX_LOGGED_CHARS])
        return None
    return number


def _decode_api_key(authorization: str | None) -> str | None:
    if authorization is None or not authorization.lower().startswith(_KEY_SCHEME):
        return None
    return authorization[len(_KEY_SCHEME) :].strip()


def _encode_helper(host: str, port: int, reservation: str) -> str:
    return f"{host}:{port}/{reservation}" if reservation else f"{host}:{port}"


def _make_order_request(order: dict) -> CallerRequest:
    body = json.dumps(order).encode()
    headers = HTTPHeaders({"Content-Type": "application/json", "Content-Length": str(len(body))})
    return CallerRequest("POST", "/laburnumrock/order", headers, "", "", body=body)


def _copy_end_to_end_headers(headers: HTTPHeaders) -> HTTPHeaders:
    """Copy all headers except hop-by-hop ones."""
    dropped = {name.lower() for name in _HOP_BY_HOP_HEADERS}
    for value in headers.get_list("Connection"):
        dropped.update(name.strip().lower() for name in value.split(","))
    result = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            result.add(name, value)
    return result
