"""Base of the HTTP handlers."""

import math
import uuid

from eliot import log_message
from result import Err, Ok, Result
from tornado.web import RequestHandler, stream_request_body

from laburnumrock.errors import ErrorKind, Failure, problem_document
from laburnumrock.gateway._interfaces import GatewayServices


class GatewayHandler(RequestHandler):
    """Handler with typed access to the services and problem documents for errors."""

    def initialize(self, services: GatewayServices) -> None:
        """Store the services and name the request."""
        self.services = services
        self.request_id = uuid.uuid4().hex

    def set_default_headers(self) -> None:
        """Remove the server's name and version."""
        self.clear_header("Server")

    def finish_with_failure(self, failure: Failure) -> None:
        """Answer with the problem document of a failure."""
        log_message(
            "request_failed",
            request_id=self.request_id,
            kind=str(failure.kind),
            detail=failure.detail,
        )
        self.services.counters.count(f"errors.{failure.kind}")
        self.set_status(failure.answer.status)
        self.set_header("Content-Type", "application/problem+json")
        if failure.retry_after_s is not None:
            self.set_header("Retry-After", str(math.ceil(failure.retry_after_s)))
        self.finish(problem_document(failure, self.request_id))

    def write_error(self, status_code: int, **kwargs) -> None:
        """Turn an unexpected exception, or an unknown path, into a problem document."""
        if status_code == 404:
            failure = Failure(ErrorKind.NOT_FOUND, f"no resource at {self.request.path}")
        elif status_code in (400, 405):
            failure = Failure(ErrorKind.INVALID_REQUEST, f"{self.request.method} is not possible")
        else:
            failure = Failure(ErrorKind.INTERNAL)
        self.finish_with_failure(failure)


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
