"""Headers and engine orders of the platform."""

import json

from tornado.httputil import HTTPHeaders

from laburnumrock.forwarding import CallerRequest, ResponseMetadata, SendMetadata

_HOP_BY_HOP = (
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
# Headers that the system sets; what a client sends under these names is not passed on.
_OWN = ("Authorization", "Tenant", "Expect-Instance", "Expect-Version", "Helpers", "Priority-Class")
_KEY_SCHEME = "token "


class PlatformWire:
    """Translates headers of the platform; see `laburnumrock.forwarding.WireFormat`."""

    def decode_request(self, method: str, target: str, headers: HTTPHeaders) -> CallerRequest:
        """Read a client's request."""
        prompt_tokens, output_tokens = _decode_usage(headers.get("Token-Usage"))
        deadline_ms = headers.get("Deadline-Ms")
        return CallerRequest(
            method=method,
            target=target,
            headers=headers,
            host=headers.get("Host", ""),
            request_id=headers.get("Request-Id", ""),
            key=_decode_key(headers.get("Authorization")),
            # What the client will still wait, counted from its sending.
            remaining_s=None if deadline_ms is None else max(0.0, float(deadline_ms) / 1000),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            last_event_id=headers.get("Last-Event-Id"),
        )

    def encode_request(self, request: CallerRequest, metadata: SendMetadata) -> HTTPHeaders:
        """Return the headers of a send to an engine."""
        headers = _copy_end_to_end(request.headers)
        for name in (*_OWN, "Deadline-Ms", "Content-Length", "Last-Event-Id"):
            headers.pop(name, None)
        headers["Deadline-Ms"] = str(max(1, int(metadata.remaining_s * 1000)))
        headers["Expect-Instance"] = metadata.upstream_id
        if metadata.account is not None:
            headers["Tenant"] = metadata.account
        if metadata.last_event_id is not None:
            headers["Last-Event-Id"] = metadata.last_event_id
        if metadata.helpers:
            headers["Helpers"] = ",".join(_encode_helper(*helper) for helper in metadata.helpers)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        return headers

    def decode_response(self, status: int, headers: HTTPHeaders) -> ResponseMetadata:
        """Read the headers of an engine's answer."""
        return ResponseMetadata(
            request_id=headers.get("Request-Id"),
            signed="Server-Signature" in headers,
            proves_not_run="Not-Executed" in headers or status == 421,
            misdirected=status == 421,
            encoded="Content-Encoding" in headers,
        )

    def encode_response(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an engine's answer that the client gets."""
        return _copy_end_to_end(headers)

    def encode_reservation(self, name: str, tokens: int, lease_s: float) -> CallerRequest:
        """Return the order that reserves memory, or renews a reservation."""
        order = {"op": "reserve", "id": name, "token_count": tokens, "hold_ms": int(lease_s * 1000)}
        return _make_order(order)

    def encode_release(self, name: str) -> CallerRequest:
        """Return the order that ends a reservation."""
        return _make_order({"op": "release", "id": name})

    def encode_error(self, request_id: str, retry_after_s: float) -> HTTPHeaders:
        """Return the headers of an answer of our own."""
        headers = HTTPHeaders()
        if request_id:
            headers["Request-Id"] = request_id
        if retry_after_s > 0:
            # Clients of the platform read fractions of a second.
            headers["Retry-After"] = f"{retry_after_s:.2f}"
        return headers


def _decode_usage(usage: str | None) -> tuple[int, int]:
    """Read prompt tokens and the largest number of output tokens."""
    if usage is None:
        return 0, 0
    prompt, _, output = usage.partition(",")
    return int(prompt), int(output)


def _decode_key(authorization: str | None) -> str | None:
    if authorization is None or not authorization.lower().startswith(_KEY_SCHEME):
        return None
    return authorization[len(_KEY_SCHEME) :].strip()


def _encode_helper(host: str, port: int, reservation: str) -> str:
    return f"{host}:{port}/{reservation}" if reservation else f"{host}:{port}"


def _make_order(order: dict) -> CallerRequest:
    body = json.dumps(order).encode()
    headers = HTTPHeaders({"Content-Type": "application/json", "Content-Length": str(len(body))})
    return CallerRequest("POST", "/laburnumrock/order", headers, "", "", body=body)


def _copy_end_to_end(headers: HTTPHeaders) -> HTTPHeaders:
    """Copy the headers that concern more than one connection."""
    dropped = {name.lower() for name in _HOP_BY_HOP}
    for value in headers.get_list("Connection"):
        dropped.update(name.strip().lower() for name in value.split(","))
    result = HTTPHeaders()
    for name, value in headers.get_all():
        if name.lower() not in dropped:
            result.add(name, value)
    return result
