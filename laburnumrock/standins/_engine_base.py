"""Base of the HTTP handlers of the model engine emulator."""

import json

from tornado.httpclient import AsyncHTTPClient, HTTPError
from tornado.web import RequestHandler

from laburnumrock.standins._engine import ModelEngine
from laburnumrock.standins._segments import Segment

# Long enough for a source that is busy with a long prompt and still holds the segment.
HANDLE_TIMEOUT_S = 3.0


class InvalidBodyError(ValueError):
    """The request body is not a JSON object with the required fields."""


class EngineHandler(RequestHandler):
    """Base class of the handlers: parses JSON bodies and writes JSON errors."""

    def initialize(self, engine: ModelEngine) -> None:
        """Store the engine."""
        self.engine = engine

    def read_body(self, **fields: object) -> dict[str, object]:
        """Return the JSON body.

        Raises `InvalidBodyError`, sent as a 400 response, unless the body has the given fields.
        """
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
        """Send the reason of an error as JSON."""
        error = kwargs["exc_info"][1] if "exc_info" in kwargs else None
        if isinstance(error, InvalidBodyError):
            self.refuse(400, str(error))
            return
        self.refuse(status_code, self._reason)

    def log_exception(self, kind: type, value: BaseException, trace: object) -> None:
        """Log exceptions other than `InvalidBodyError`."""
        if not isinstance(value, InvalidBodyError):
            super().log_exception(kind, value, trace)

    def refuse(self, status: int, reason: str, **members: object) -> None:
        """Send an error status with a reason."""
        self.set_status(status)
        self.finish({"reason": reason, **members})


async def fetch_segment(source: str, handle: str) -> Segment | None:
    """Fetch the token range of a handle from its source engine.

    Returns ``None`` if the engine cannot be reached or no longer has the segment.
    """
    try:
        response = await AsyncHTTPClient().fetch(
            f"{source}/v1/kv/handles/{handle}", request_timeout=HANDLE_TIMEOUT_S
        )
    except (HTTPError, OSError):
        return None
    described = json.loads(response.body)
    return Segment(described["start"], described["end"], source, handle)
