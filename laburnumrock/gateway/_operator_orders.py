"""HTTP handler for operator orders to engines, such as loading a model."""

from typing import Literal

from pydantic import BaseModel, ConfigDict, Field

from laburnumrock.gateway._operator_base import OperatorHandler

MAX_TEXT = 200


class OrderBody(BaseModel):
    """Body of ``POST orders``; the request id becomes the order id."""

    model_config = ConfigDict(extra="forbid", strict=True)

    request_id: str = Field(pattern=r"^[^\s/]{1,200}$")
    upstream_id: str = Field(min_length=1, max_length=MAX_TEXT)
    kind: Literal["load_model", "load_adapter", "load_version", "change_role"]
    arguments: dict[str, str] = Field(max_length=16)


class OrdersHandler(OperatorHandler):
    """``GET orders?upstream=ID`` and ``POST orders``."""

    async def get(self) -> None:
        """Return the most recent orders, optionally of one engine only."""
        upstream_id = self.get_query_argument("upstream", None)
        self.write_result(await self.services.orders.list_orders(upstream_id))

    async def post(self) -> None:
        """Record an order, which the log leader then sends to the engine."""
        body = self.read_body(OrderBody)
        if body.is_err():
            self.finish_with_failure(body.unwrap_err())
            return
        request = body.unwrap()
        self.request_id = request.request_id
        result = await self.services.orders.add_order(
            request.request_id, request.upstream_id, request.kind, request.arguments
        )
        self.write_result(result)
