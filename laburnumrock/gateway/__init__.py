"""HTTP API for callers, upstreams and operators."""

from laburnumrock.gateway._app import make_app, serve_app
from laburnumrock.gateway._interfaces import GatewayServices
from laburnumrock.gateway._operator import operator_routes
from laburnumrock.gateway._operator_services import OperatorServices

__all__ = ["GatewayServices", "OperatorServices", "make_app", "operator_routes", "serve_app"]
