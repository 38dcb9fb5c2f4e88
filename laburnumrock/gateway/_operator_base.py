"""Base class of the operator HTTP handlers."""

import asyncio
import hmac
import json
import uuid
from typing import Any

from pydantic import BaseModel, ValidationError
from result import Err, Ok, Result

from laburnumrock.declarations import describe_declaration_error
from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.gateway._operator_services import OperatorServices
from laburnumrock.gateway._problem_handler import ProblemHandler


class OperatorHandler(ProblemHandler):
    """Base handler that authenticates the operator."""

    def initialize(self, services: OperatorServices) -> None:
        """Store the services and set the request id."""
        self.services = services
        self.request_id = self.request.headers.get("X-Request-Id", "")[:200] or uuid.uuid4().hex

    def prepare(self) -> None:
        """Reject requests without the operator key before they reach a handler method.

        The request counts as running from here, so that a planned stop waits for its response.
        """
        self.services.lifecycle.adjust_request_count(1)
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        is_valid = hmac.compare_digest(key.strip().encode(), self.services.operator_key)
        if scheme.lower() != "bearer" or not is_valid:
            detail = "the operator key is missing or wrong"
            self.finish_with_failure(Failure(ErrorKind.UNAUTHENTICATED, detail))

    def finish(self, chunk: str | bytes | dict | None = None) -> "asyncio.Future[None]":
        """Finish the response; the request counts as running until it has been written."""
        written = super().finish(chunk)
        written.add_done_callback(lambda _: self.services.lifecycle.adjust_request_count(-1))
        return written

    @property
    def operator(self) -> str:
        """Operator name from the request header, for the change history."""
        return self.request.headers.get("X-Operator", "operator")[:200]

    def write_result(self, result: Result[object, Failure]) -> None:
        """Respond with a value as JSON, or with the problem document of a failure."""
        if result.is_err():
            self.finish_with_failure(result.unwrap_err())
            return
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(result.unwrap(), default=_decode_bytes))

    def read_body(self, model: type[BaseModel]) -> Result[Any, Failure]:
        """Parse and validate the JSON body.

        Parameters
        ----------
        model : type of pydantic.BaseModel
            Pydantic model of the body.

        Returns
        -------
        Result
            Instance of `model`, or a failure of kind ``invalid_request`` that names the field.
        """
        try:
            document = parse_json(self.request.body)
        except ValueError as error:
            return Err(Failure(ErrorKind.INVALID_REQUEST, f"the body is not JSON: {error}"))
        try:
            return Ok(model.model_validate(document))
        except ValidationError as error:
            return Err(describe_declaration_error(error, "", ErrorKind.INVALID_REQUEST))

    def read_number(self, name: str, default: int | None) -> Result[int, Failure]:
        """Return a non-negative integer from the query string."""
        text = self.get_query_argument(name, None)
        if text is None and default is not None:
            return Ok(default)
        if text is None or not (text.isascii() and text.isdigit()) or len(text) > 15:
            detail = "a whole number >= 0 is required"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, name))
        return Ok(int(text))


def _decode_bytes(value: object) -> str:
    """Decode a recorded response body, the only value that JSON cannot represent."""
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    raise TypeError(f"{type(value).__name__} is not JSON serializable")
