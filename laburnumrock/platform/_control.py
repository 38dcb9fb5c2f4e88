"""Calls of the platform's operators and engines to a core."""

import json
from urllib.parse import unquote

from eliot import log_message
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from laburnumrock.nodes import CoreNode
from laburnumrock.platform._reports import decode_report
from laburnumrock.platform._routes import decode_routes

MAX_BODY_BYTES = 16 * 1024 * 1024
"""Four times the largest config that operators send today."""


class _Handler(RequestHandler):
    """Base of the handlers."""

    def initialize(self, node: CoreNode) -> None:
        """Keep the node."""
        self.node = node

    def answer(self, status: int, document: object) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(document))

    def refuse(self, status: int, failure: object) -> None:
        """Answer with an error."""
        log_message("control_refused", path=self.request.path, status=status, failure=str(failure))
        self.answer(status, {"error": str(failure)})


class _ConfigHandler(_Handler):
    """Configs."""

    async def get(self) -> None:
        """Return the newest config, or 503 when that is not certain."""
        read = await self.node.read_routes()
        if read.is_err():
            self.refuse(503, read.unwrap_err())
            return
        self.set_header("Content-Type", "application/json")
        self.finish(read.unwrap().document)

    async def put(self) -> None:
        """Store a config."""
        decoded = decode_routes(self.request.body)
        if decoded.is_err():
            self.refuse(400, decoded.unwrap_err())
            return
        stored = await self.node.store_routes(decoded.unwrap(), self.request.body)
        if stored.is_err():
            self.refuse(503, stored.unwrap_err())
            return
        self.answer(200, {"version": stored.unwrap()})


class _InstanceHandler(_Handler):
    """Heartbeats and departures of engines."""

    def put(self, name: str) -> None:
        """Take over a heartbeat."""
        decoded = decode_report(unquote(name), self.request.body)
        if decoded.is_err():
            self.refuse(400, decoded.unwrap_err())
            return
        self.node.observe_upstream(decoded.unwrap())
        self.answer(200, {})

    def delete(self, name: str) -> None:
        """Take over a departure."""
        self.node.remove_upstream(unquote(name))
        self.answer(200, {})


class _EvacuationHandler(_Handler):
    """Evacuations of zones."""

    async def post(self, zone: str) -> None:
        """Send nothing more to the engines of a zone."""
        await self._set(unquote(zone), True)

    async def delete(self, zone: str) -> None:
        """Send to the engines of a zone again."""
        await self._set(unquote(zone), False)

    async def _set(self, zone: str, evacuated: bool) -> None:
        stored = await self.node.set_drain(zone, evacuated)
        if stored.is_err():
            self.refuse(503, stored.unwrap_err())
            return
        self.answer(200, {})


def listen_control(node: CoreNode, host: str, port: int) -> HTTPServer:
    """Open the port for operators and engines."""
    arguments = {"node": node}
    application = Application(
        [
            (r"/laburnumrock/config", _ConfigHandler, arguments),
            (r"/laburnumrock/instances/([^/]+)", _InstanceHandler, arguments),
            (r"/laburnumrock/evacuations/([^/]+)", _EvacuationHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    server = HTTPServer(application, max_buffer_size=MAX_BODY_BYTES, max_body_size=MAX_BODY_BYTES)
    server.listen(port, host)
    return server
