"""HTTP API of a core for operators and engines of the platform."""

import json
from http.client import responses
from urllib.parse import unquote

from eliot import log_message
from tornado.web import Application, RequestHandler

from laburnumrock.nodes import CoreNode
from laburnumrock.platform._reports import decode_report
from laburnumrock.platform._routes import decode_routes
from laburnumrock.streams import CallerServer, CallerStream

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Four times the size of the largest route configuration that operators send today."""


class _Handler(RequestHandler):
    """Base class of the request handlers."""

    def initialize(self, node: CoreNode) -> None:
        """Set the node that serves the requests."""
        self.node = node
        self.stream: CallerStream = self.request.connection.stream
        self.has_caller_left = False

    def on_connection_close(self) -> None:
        """Record that the caller does not wait for the answer."""
        self.has_caller_left = True

    async def is_caller_waiting(self) -> bool:
        """Return whether the caller waits for the answer."""
        return await self.stream.is_peer_waiting() and not self.has_caller_left

    def answer(self, status: int, document: object) -> None:
        """Send a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))

    def refuse(self, status: int, failure: object) -> None:
        """Log the failure and send it as a JSON error response."""
        log_message("control_refused", path=self.request.path, status=status, failure=str(failure))
        self.answer(status, {"error": str(failure)})

    def write_error(self, status_code: int, **context: object) -> None:
        """Answer an unexpected error, or a method that a path does not have, as JSON.

        An error of this core is answered with 503, since another core may serve the request.
        """
        if status_code < 500:
            self.refuse(status_code, responses.get(status_code, "invalid request"))
            return
        error = context.get("exc_info", (None, None, None))[1]
        self.refuse(503, f"the core failed: {type(error).__name__}: {error}")

    def log_exception(self, *exc_info: object) -> None:
        """Log nothing: the refusal that `write_error` logs names the error."""


class _UnknownPathHandler(_Handler):
    """Answers all other paths."""

    def prepare(self) -> None:
        """Respond with 404."""
        self.refuse(404, f"no resource at {self.request.path}")


class _ConfigHandler(_Handler):
    """Reads and stores the route configuration."""

    async def get(self) -> None:
        """Return the latest route configuration, or 503 if the read cannot be confirmed."""
        read = await self.node.changes.read_routes()
        if read.is_err():
            self.refuse(503, read.unwrap_err())
            return
        self.set_header("Content-Type", "application/json")
        self.finish(read.unwrap().document)

    async def put(self) -> None:
        """Validate and store a route configuration."""
        decoded = decode_routes(self.request.body)
        if decoded.is_err():
            self.refuse(400, decoded.unwrap_err())
            return
        stored = await self.node.changes.store_routes(decoded.unwrap(), self.request.body)
        if stored.is_err():
            self.refuse(503, stored.unwrap_err())
            return
        self.answer(200, {"version": stored.unwrap()})


class _InstanceHandler(_Handler):
    """Receives heartbeats and deregistrations of engines."""

    async def put(self, name: str) -> None:
        """Process a heartbeat."""
        decoded = decode_report(unquote(name), self.request.body)
        if decoded.is_err():
            self.refuse(400, decoded.unwrap_err())
            return
        self._acknowledge(await self.node.observe_upstream(decoded.unwrap()))

    async def delete(self, name: str) -> None:
        """Deregister an engine."""
        self._acknowledge(await self.node.remove_upstream(unquote(name)))

    def _acknowledge(self, in_force: bool) -> None:
        if in_force:
            self.answer(200, {})
        else:
            self.refuse(503, "no leader has confirmed the departure")


class _EvacuationHandler(_Handler):
    """Drains zones and returns them to service."""

    async def post(self, zone: str) -> None:
        """Stop sending requests to the engines of a zone."""
        await self._set_drain(unquote(zone), True)

    async def delete(self, zone: str) -> None:
        """Resume sending requests to the engines of a zone."""
        await self._set_drain(unquote(zone), False)

    async def _set_drain(self, zone: str, drained: bool) -> None:
        stored = await self.node.changes.set_drain(zone, drained, self.is_caller_waiting)
        if stored.is_err():
            self.refuse(503, stored.unwrap_err())
            return
        self.answer(200, {})


def listen_control(node: CoreNode, host: str, port: int) -> CallerServer:
    """Start the HTTP server for operators and engines."""
    arguments = {"node": node}
    application = Application(
        [
            (r"/laburnumrock/config", _ConfigHandler, arguments),
            (r"/laburnumrock/instances/([^/]+)", _InstanceHandler, arguments),
            (r"/laburnumrock/evacuations/([^/]+)", _EvacuationHandler, arguments),
        ],
        default_handler_class=_UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda handler: None,
    )
    server = CallerServer(application, max_buffer_size=MAX_BODY_BYTES, max_body_size=MAX_BODY_BYTES)
    server.listen(port, host)
    return server
