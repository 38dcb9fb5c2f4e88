"""HTTP application of an instance."""

from collections.abc import Sequence

from tornado.httpserver import HTTPServer
from tornado.web import Application

from laburnumrock.gateway._announcements import AnnouncementsHandler
from laburnumrock.gateway._completions import CompletionsHandler
from laburnumrock.gateway._handler import UnknownPathHandler
from laburnumrock.gateway._health import HealthHandler, HistogramsHandler, ReadyHandler
from laburnumrock.gateway._interfaces import GatewayServices
from laburnumrock.gateway._server import LimitedBodyServer
from laburnumrock.gateway._services import ServicesHandler

# Bodies up to this multiple of the size limit are read to their end, so that the caller receives a
# specific error. For larger ones the connection is closed.
OVERSIZE_FACTOR = 4


def make_app(services: GatewayServices, operator_routes: Sequence[tuple] = ()) -> Application:
    """Build the tornado application.

    Parameters
    ----------
    services : GatewayServices
        Services used by the handlers.
    operator_routes : sequence of tuple
        Routes of the operator API.

    Returns
    -------
    tornado.web.Application
        Application to serve on the caller port.
    """
    arguments = {"services": services}
    return Application(
        [
            ("/v1/completions", CompletionsHandler, arguments),
            (r"/v1/services/([^/]+)/(.+)", ServicesHandler, arguments),
            ("/upstreams/announcements", AnnouncementsHandler, arguments),
            ("/health", HealthHandler, arguments),
            ("/ready", ReadyHandler, arguments),
            ("/histograms", HistogramsHandler, arguments),
            *operator_routes,
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )


def serve_app(app: Application, services: GatewayServices) -> HTTPServer:
    """Start serving an application on the caller port.

    Parameters
    ----------
    app : tornado.web.Application
        Application built by `make_app`.
    services : GatewayServices
        Provides the settings with the listen address and the body size limit.

    Returns
    -------
    tornado.httpserver.HTTPServer
        Running server; its `stop` closes the port but keeps open connections.
    """
    settings = services.settings
    server = LimitedBodyServer(app, max_body_size=OVERSIZE_FACTOR * settings.max_body_bytes)
    server.listen(settings.listen.caller_port, settings.listen.host)
    return server
