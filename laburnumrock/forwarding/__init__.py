"""Reverse proxy: forwards requests by route over pooled connections, with opaque bodies."""

from laburnumrock.forwarding._connections import (
    ConnectionPool,
    ConnectionPoolSettings,
    UpstreamConnection,
)
from laburnumrock.forwarding._context import DispatchClient, ForwardingContext, ForwardingSettings
from laburnumrock.forwarding._events import EventBuffer
from laburnumrock.forwarding._exchange import ExchangeResult, UpstreamResponse, exchange
from laburnumrock.forwarding._forwarder import RequestForwarder
from laburnumrock.forwarding._reservations import Reservations
from laburnumrock.forwarding._server import FrontendServer
from laburnumrock.forwarding._wire import CallerRequest, ResponseMetadata, SendMetadata, WireFormat

__all__ = [
    "UpstreamResponse",
    "ResponseMetadata",
    "CallerRequest",
    "UpstreamConnection",
    "ConnectionPool",
    "ConnectionPoolSettings",
    "EventBuffer",
    "ExchangeResult",
    "RequestForwarder",
    "ForwardingSettings",
    "FrontendServer",
    "DispatchClient",
    "Reservations",
    "ForwardingContext",
    "SendMetadata",
    "WireFormat",
    "exchange",
]
