"""Calls of the order controller to engines."""

import json
from collections.abc import Callable

from eliot import log_message
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

from laburnumrock.documents import parse_json
from laburnumrock.orders import (
    EngineStatus,
    FetchEngineStatus,
    OrderKind,
    SendOrder,
    SendResult,
    SendStatus,
)

MAX_CALLS = 32
_LISTED = {
    OrderKind.LOAD_MODEL: "models",
    OrderKind.LOAD_ADAPTER: "adapters",
    OrderKind.LOAD_VERSION: "versions",
}


class _NotWrittenError(Exception):
    """The leadership ended before the order was written."""


class OrderCalls:
    """Reads engines and sends them orders.

    Parameters
    ----------
    timeout_s : float, > 0
        Longest duration of a call in seconds.
    key : bytes, optional
        Key that engines ask of whoever gives them orders.
    """

    def __init__(self, timeout_s: float, key: bytes | None = None) -> None:
        self.timeout_s = timeout_s
        self.headers = {"Content-Type": "application/json"}
        if key is not None:
            self.headers["Authorization"] = f"Bearer {key.decode()}"
        self.client: AsyncHTTPClient | None = None

    def close(self) -> None:
        """Close all connections."""
        if self.client is not None:
            self.client.close()
            self.client = None

    async def read(self, effect: FetchEngineStatus) -> EngineStatus:
        """Read what an engine has loaded and accepted."""
        request = self._make_request(effect.base_url, "GET")
        try:
            response = await self._fetch(request)
            document = parse_json(response.body)
            loaded = {kind: list(document[name]) for kind, name in _LISTED.items()}
            loaded[OrderKind.CHANGE_ROLE] = [document["role"]]
            order_ids = [order["order_id"] for order in document["orders"]]
        except (HTTPClientError, OSError, ValueError, KeyError, TypeError) as error:
            log_message("engine_orders_unreadable", upstream=effect.upstream_id, error=repr(error))
            return EngineStatus(effect.upstream_id, False)
        return EngineStatus(effect.upstream_id, True, loaded, order_ids)

    async def send(self, effect: SendOrder, may_write: Callable[[], bool]) -> SendResult:
        """Send an order.

        Parameters
        ----------
        effect : SendOrder
            The order and its fencing number.
        may_write : callable
            Asked when the connection is open, right before the order is written. A process that
            was frozen since the decision to send thus notices that it no longer leads.
        """
        order = effect.order
        body = json.dumps(
            {
                "order_id": order.order_id,
                "fencing_number": effect.fencing_number,
                "kind": order.kind,
                "arguments": order.arguments,
            }
        ).encode()
        written = False

        async def write(send: Callable) -> None:
            nonlocal written
            if not may_write():
                raise _NotWrittenError
            written = True
            await send(body)

        request = self._make_request(effect.base_url, "POST")
        request.headers["Content-Length"] = str(len(body))
        request.body_producer = write
        try:
            response = await self._fetch(request)
        except HTTPClientError as error:
            return _read_refusal(effect, error, written)
        except (OSError, ValueError, _NotWrittenError) as error:
            status = SendStatus.UNCERTAIN if written else SendStatus.NOT_SENT
            return SendResult(effect.upstream_id, order.order_id, status, repr(error))
        return SendResult(
            effect.upstream_id, order.order_id, SendStatus.ACCEPTED, str(response.code)
        )

    def _make_request(self, base_url: str, method: str) -> HTTPRequest:
        return HTTPRequest(
            f"{base_url}/v1/orders",
            method=method,
            headers=dict(self.headers),
            connect_timeout=self.timeout_s,
            request_timeout=self.timeout_s,
            follow_redirects=False,
        )

    async def _fetch(self, request: HTTPRequest) -> HTTPResponse:
        if self.client is None:
            self.client = AsyncHTTPClient(force_instance=True, max_clients=MAX_CALLS)
        return await self.client.fetch(request)


def _read_refusal(effect: SendOrder, error: HTTPClientError, written: bool) -> SendResult:
    name = (effect.upstream_id, effect.order.order_id)
    if error.response is None or error.code == 599:
        status = SendStatus.UNCERTAIN if written else SendStatus.NOT_SENT
        return SendResult(*name, status, str(error))
    detail = f"{error.code} {error.response.body.decode('utf-8', 'replace')[:200]}"
    if error.code == 409:
        return SendResult(*name, SendStatus.FENCED, detail)
    if error.code in (400, 404, 422):
        return SendResult(*name, SendStatus.REFUSED, detail)
    return SendResult(*name, SendStatus.UNCERTAIN, detail)
