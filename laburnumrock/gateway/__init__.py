"""HTTP interface towards callers, upstreams and operators."""

from laburnumrock.gateway._app import make_app, serve_app
from laburnumrock.gateway._interfaces import GatewayServices

__all__ = ["GatewayServices", "make_app", "serve_app"]
