"""Reverse proxy: forwards requests by route over pooled connections, with opaque bodies."""

from laburnumrock.forwarding._channels import Channel, ChannelPool, ChannelSettings
from laburnumrock.forwarding._context import DispatchClient, ForwardSettings, RunContext
from laburnumrock.forwarding._events import EventBuffer
from laburnumrock.forwarding._exchange import ExchangeResult, UpstreamResponse, exchange
from laburnumrock.forwarding._forwarder import RequestForwarder
from laburnumrock.forwarding._reservations import Reservations
from laburnumrock.forwarding._server import FrontServer
from laburnumrock.forwarding._wire import AnswerFacts, CallerRequest, SendFacts, WireFormat

__all__ = [
    "UpstreamResponse",
    "AnswerFacts",
    "CallerRequest",
    "Channel",
    "ChannelPool",
    "ChannelSettings",
    "EventBuffer",
    "ExchangeResult",
    "RequestForwarder",
    "ForwardSettings",
    "FrontServer",
    "DispatchClient",
    "Reservations",
    "ForwardingContext",
    "SendMetadata",
    "WireFormat",
    "exchange",
]
