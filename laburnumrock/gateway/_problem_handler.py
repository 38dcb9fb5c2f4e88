"""Base class of all HTTP handlers, which reports errors as problem documents."""

import asyncio
import json
import math

from eliot import log_message
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from laburnumrock.errors import ErrorKind, Failure, problem_document

# A client that retries within the same second would be refused again.
MIN_RETRY_AFTER_S = 1


class ProblemHandler(RequestHandler):
    """Handler that responds to every error with a problem document (RFC 9457)."""

    request_id = ""
    written: "asyncio.Future[None] | None" = None

    def set_default_headers(self) -> None:
        """Remove the ``Server`` header, which discloses the server software and version."""
        self.clear_header("Server")

    def flush(self, include_footers: bool = False) -> "asyncio.Future[None]":
        """Write the response; during a planned stop, announce that the connection will close."""
        if not self._headers_written and self.services.lifecycle.is_stopping():
            self.set_header("Connection", "close")
        return super().flush(include_footers)

    def finish(self, chunk: str | bytes | dict | None = None) -> "asyncio.Future[None]":
        """Finish the response and store the future that is done when it has been written."""
        self.written = super().finish(chunk)
        return self.written

    async def wait_until_written(self) -> None:
        """Wait until the response has left the write buffer of the connection.

        A planned stop closes connections once no request is running, so a request counts as
        running until then.
        """
        if self.written is None:
            return
        try:
            await self.written
        except StreamClosedError:
            log_message("caller_left", request_id=self.request_id)

    def finish_with_failure(self, failure: Failure) -> None:
        """Log a failure and respond with its problem document."""
        log_message(
            "request_failed",
            request_id=self.request_id,
            kind=str(failure.kind),
            detail=failure.detail,
        )
        self.set_status(failure.answer.status)
        if failure.kind is ErrorKind.UNAUTHENTICATED:
            self.set_header("WWW-Authenticate", "Bearer")
        if failure.retry_after_s is not None:
            retry_after_s = max(MIN_RETRY_AFTER_S, math.ceil(failure.retry_after_s))
            self.set_header("Retry-After", str(retry_after_s))
        self.set_header("Content-Type", "application/problem+json")
        self.finish(json.dumps(problem_document(failure, self.request_id)))

    def write_error(self, status_code: int, **context) -> None:
        """Respond to an unexpected exception or unsupported method with a problem document."""
        error = context.get("exc_info", (None, None, None))[1]
        log_message(
            "request_raised", request_id=self.request_id, status=status_code, error=repr(error)
        )
        if status_code in (404, 405):
            detail = f"{self.request.method} {self.request.path} does not exist"
            self.finish_with_failure(Failure(ErrorKind.NOT_FOUND, detail))
        elif status_code == 400:
            self.finish_with_failure(Failure(ErrorKind.INVALID_REQUEST, "malformed request"))
        else:
            self.finish_with_failure(Failure(ErrorKind.INTERNAL))
