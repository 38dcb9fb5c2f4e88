"""Base of the HTTP handlers for callers and upstreams."""

import uuid

from result import Err, Ok, Result
from tornado.web import stream_request_body

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._interfaces import GatewayServices
from laburnumrock.gateway._problem_handler import ProblemHandler


class GatewayHandler(ProblemHandler):
    """Handler with typed access to the services."""

    def initialize(self, services: GatewayServices) -> None:
        """Store the services and name the request."""
        self.services = services
        self.request_id = uuid.uuid4().hex

    def finish_with_failure(self, failure: Failure) -> None:
        """Count a failure and answer with its problem document."""
        self.services.counters.count(f"errors.{failure.kind}")
        super().finish_with_failure(failure)


@stream_request_body
class BodyHandler(GatewayHandler):
    """Handler that collects the body up to the limit of the settings.

    A larger body is read to its end but not kept, so that the caller can read the refusal.
    """

    def initialize(self, services: GatewayServices) -> None:
        """Store the services and start with an empty body."""
        super().initialize(services)
        self.body_chunks: list[bytes] = []
        self.body_bytes = 0

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
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


class UnknownPathHandler(GatewayHandler):
    """Answers every path that no other handler serves."""

    def prepare(self) -> None:
        """Answer with ``not_found``."""
        self.finish_with_failure(
            Failure(ErrorKind.NOT_FOUND, f"no resource at {self.request.path}")
        )
