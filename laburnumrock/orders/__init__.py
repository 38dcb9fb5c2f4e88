"""Orders to engines: the order book in the replicated log, and its controller."""

from laburnumrock.orders._controller import OrderController
from laburnumrock.orders._effects import FetchEngineStatus, ProposeOrderUpdate, SendOrder
from laburnumrock.orders._messages import (
    AddOrder,
    EngineSighting,
    EngineStatus,
    ListOrders,
    MarkOrder,
    Order,
    OrderAnswer,
    OrderEvent,
    OrderKind,
    OrderList,
    OrderState,
    ReloadOrder,
    SendResult,
    SendStatus,
    find_target,
)
from laburnumrock.orders._part import OrderStore

__all__ = [
    "AddOrder",
    "EngineStatus",
    "EngineSighting",
    "ListOrders",
    "MarkOrder",
    "Order",
    "OrderAnswer",
    "OrderStore",
    "OrderController",
    "OrderEvent",
    "OrderKind",
    "OrderList",
    "OrderState",
    "ProposeOrderUpdate",
    "FetchEngineStatus",
    "ReloadOrder",
    "SendStatus",
    "SendOrder",
    "SendResult",
    "find_target",
]
