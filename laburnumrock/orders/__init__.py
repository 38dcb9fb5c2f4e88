"""Orders that tell engines what to load or which role to take.

The order store is part of the replicated state; the controller on the log leader sends its orders.
"""

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
