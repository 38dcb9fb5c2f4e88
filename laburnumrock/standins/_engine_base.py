"""Base of the HTTP handlers of the model engine emulator."""

import json

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.web import RequestHandler

from laburnumrock.standins._engine import ModelEngine
from laburnumrock.standins._segments import Segment

# A source that computes a long prompt can be slow to answer without having lost the segment.
HANDLE_TIMEOUT_S = 3.0


class InvalidBodyError(ValueError):
    """The body of a request lacks a field or has one of the wrong type."""


class EngineHandler(RequestHandler):
    """Base of all handlers: JSON bodies and answers."""

    def initialize(self, engine: ModelEngine) -> None:
        """Store the engine."""
        self.engine = engine

    def read_body(self, **fields: object) -> dict[str, object]:
        """Return the JSON body, and answer 400 unless it has the given fields."""
        try:
            body = json.loads(self.request.body or b"{}")
        except ValueError as error:
            raise InvalidBodyError(f"not JSON: {error}") from error
        if not isinstance(body, dict):
            raise InvalidBodyError("not an object")
        for name, kind in fields.items():
            if not isinstance(body.get(name), kind):
                raise InvalidBodyError(
                    f"{name} is missing or not of type {getattr(kind, '__name__', kind)}"
                )
        return body

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer with the reason as JSON."""
        error = kwargs["exc_info"][1] if "exc_info" in kwargs else None
        if isinstance(error, InvalidBodyError):
            self.refuse(400, str(error))
            return
        self.refuse(status_code, self._reason)

    def log_exception(self, kind: type, value: BaseException, trace: object) -> None:
        """Log everything but faulty bodies."""
        if not isinstance(value, InvalidBodyError):
            super().log_exception(kind, value, trace)

    def refuse(self, status: int, reason: str, **members: object) -> None:
        """Answer with an error status and a reason."""
        self.set_status(status)
        self.finish({"reason": reason, **members})


async def fetch_segment(source: str, handle: str) -> Segment | None:
    """Ask the source engine for the range of a handle; ``None`` if it has no such memory."""
    try:
        answer = await AsyncHTTPClient().fetch(
            f"{source}/v1/kv/handles/{handle}", request_timeout=HANDLE_TIMEOUT_S
        )
    except (HTTPError, OSError):
        return None
    described = json.loads(answer.body)
    return Segment(described["start"], described["end"], source, handle)
