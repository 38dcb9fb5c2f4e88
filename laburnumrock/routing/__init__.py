"""Declared routes, services and client accounts, and their lookup."""

from laburnumrock.routing._lengths import LengthClass, classify_length
from laburnumrock.routing._messages import (
    RouteDocument,
    RouteDocumentQuery,
    SetDrain,
    SetQuarantine,
    StoreAnswer,
    StoreRoutes,
)
from laburnumrock.routing._part import RoutesPart
from laburnumrock.routing._table import RouteTable
from laburnumrock.routing._types import (
    AccountEntry,
    EngineParameters,
    RequestKind,
    Route,
    RouteLimits,
    RouteSet,
    Service,
    ServiceShare,
)

__all__ = [
    "AccountEntry",
    "EngineParameters",
    "LengthClass",
    "RequestKind",
    "Route",
    "RouteDocument",
    "RouteDocumentQuery",
    "RouteLimits",
    "RouteSet",
    "RouteTable",
    "RoutesPart",
    "Service",
    "ServiceShare",
    "SetDrain",
    "SetQuarantine",
    "StoreAnswer",
    "StoreRoutes",
    "classify_length",
]
