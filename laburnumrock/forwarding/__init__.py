"""Forwarding of requests on routes, over kept connections, with opaque bodies."""

from laburnumrock.forwarding._channels import Channel, ChannelPool, ChannelSettings
from laburnumrock.forwarding._context import ForwardSettings, Placer, RunContext
from laburnumrock.forwarding._events import EventSplitter
from laburnumrock.forwarding._exchange import Answer, ExchangeResult, exchange
from laburnumrock.forwarding._reservations import Reservations
from laburnumrock.forwarding._run import ForwardRun
from laburnumrock.forwarding._server import FrontServer
from laburnumrock.forwarding._wire import AnswerFacts, CallerRequest, SendFacts, WireFormat

__all__ = [
    "Answer",
    "AnswerFacts",
    "CallerRequest",
    "Channel",
    "ChannelPool",
    "ChannelSettings",
    "EventSplitter",
    "ExchangeResult",
    "ForwardRun",
    "ForwardSettings",
    "FrontServer",
    "Placer",
    "Reservations",
    "RunContext",
    "SendFacts",
    "WireFormat",
    "exchange",
]
