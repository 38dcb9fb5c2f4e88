"""Orders that tell engines what to load or which role to take.

The order book is part of the replicated state; the controller on the log leader sends its orders.
"""

from laburnumrock.orders._controller import OrderController
from laburnumrock.orders._effects import ProposeMark, ReadEngine, SendOrder
from laburnumrock.orders._messages import (
    AddOrder,
    EngineListing,
    EngineSighting,
    ListOrders,
    MarkOrder,
    Order,
    OrderAnswer,
    OrderEvent,
    OrderKind,
    OrderList,
    OrderState,
    ReloadOrder,
    ReplyStatus,
    SendReply,
    target_of,
)
from laburnumrock.orders._part import OrderBookPart

__all__ = [
    "AddOrder",
    "EngineListing",
    "EngineSighting",
    "ListOrders",
    "MarkOrder",
    "Order",
    "OrderAnswer",
    "OrderBookPart",
    "OrderController",
    "OrderEvent",
    "OrderKind",
    "OrderList",
    "OrderState",
    "ProposeMark",
    "ReadEngine",
    "ReloadOrder",
    "ReplyStatus",
    "SendOrder",
    "SendReply",
    "target_of",
]
