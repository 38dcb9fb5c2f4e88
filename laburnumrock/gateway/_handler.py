"""Base classes of the HTTP handlers for callers and upstreams."""

import asyncio
import uuid

from result import Err, Ok, Result
from tornado.web import stream_request_body

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._interfaces import GatewayServices
from laburnumrock.gateway._problem_handler import ProblemHandler
from laburnumrock.quarantine import digest_request, name_request


class GatewayHandler(ProblemHandler):
    """Base handler with access to the gateway services."""

    def initialize(self, services: GatewayServices) -> None:
        """Store the services and generate a request id."""
        self.services = services
        self.request_id = uuid.uuid4().hex

    def finish_with_failure(self, failure: Failure) -> None:
        """Count a failure and respond with its problem document."""
        self.services.counters.count(f"errors.{failure.kind}")
        super().finish_with_failure(failure)


@stream_request_body
class BodyHandler(GatewayHandler):
    """Handler that buffers the request body up to the configured size limit.

    A larger body is read to its end but discarded, so that the caller can receive the error.
    """

    def initialize(self, services: GatewayServices) -> None:
        """Store the services and create an empty body buffer."""
        super().initialize(services)
        self.body_chunks: list[bytes] = []
        self.body_bytes = 0
        self.is_reading = False

    def prepare(self) -> None:
        """Count the request as running while its body arrives, so that a planned stop waits."""
        self.is_reading = True
        self.services.lifecycle.adjust_request_count(1)

    def end_reading(self) -> None:
        """Stop counting the request as one whose body arrives."""
        if self.is_reading:
            self.is_reading = False
            self.services.lifecycle.adjust_request_count(-1)

    def finish(self, chunk: str | bytes | dict | None = None) -> "asyncio.Future[None]":
        """Finish the response, also of a request that no method has handled."""
        self.end_reading()
        return super().finish(chunk)

    def on_connection_close(self) -> None:
        """Stop counting a request whose caller has left."""
        self.end_reading()
        super().on_connection_close()

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, or discard the body once it exceeds the limit."""
        self.body_bytes += len(chunk)
        if self.body_bytes <= self.services.settings.max_body_bytes:
            self.body_chunks.append(chunk)
        else:
            self.body_chunks.clear()

    def read_body(self) -> Result[bytes, Failure]:
        """Return the whole body, or a failure of kind ``body_too_large``."""
        limit = self.services.settings.max_body_bytes
        if self.body_bytes > limit:
            detail = f"the body has {self.body_bytes} bytes, at most {limit} are accepted"
            return Err(Failure(ErrorKind.BODY_TOO_LARGE, detail))
        return Ok(b"".join(self.body_chunks))

    def name_request(self, client_account: str) -> str:
        """Return the name of the request in the quarantine, which its repeats have too."""
        texts = (client_account, self.request.method or "", self.request.uri or "")
        body = b"".join(self.body_chunks)
        return name_request(digest_request(*(text.encode() for text in texts), body))


class UnknownPathHandler(GatewayHandler):
    """Handles all paths without a handler of their own."""

    def prepare(self) -> None:
        """Respond with ``not_found``."""
        self.finish_with_failure(
            Failure(ErrorKind.NOT_FOUND, f"no resource at {self.request.path}")
        )
