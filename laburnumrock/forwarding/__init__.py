"""Forwarding of requests on routes, over kept connections, with opaque bodies."""

from laburnumrock.forwarding._channels import Channel, ConnectionPool, ConnectionPoolSettings
from laburnumrock.forwarding._context import ForwardingContext, ForwardingSettings, Placer
from laburnumrock.forwarding._events import EventSplitter
from laburnumrock.forwarding._exchange import Answer, ExchangeResult, exchange
from laburnumrock.forwarding._reservations import Reservations
from laburnumrock.forwarding._run import ForwardRun
from laburnumrock.forwarding._server import FrontendServer
from laburnumrock.forwarding._wire import CallerRequest, ResponseMetadata, SendMetadata, WireFormat

__all__ = [
    "Answer",
    "ResponseMetadata",
    "CallerRequest",
    "Channel",
    "ConnectionPool",
    "ConnectionPoolSettings",
    "EventSplitter",
    "ExchangeResult",
    "ForwardRun",
    "ForwardingSettings",
    "FrontendServer",
    "Placer",
    "Reservations",
    "ForwardingContext",
    "SendMetadata",
    "WireFormat",
    "exchange",
]
