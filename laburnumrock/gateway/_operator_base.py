"""Base of the HTTP handlers for operators."""

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
    """Base of the operator handlers: checks the operator key."""

    def initialize(self, services: OperatorServices) -> None:
        """Store the services."""
        self.services = services
        self.request_id = self.request.headers.get("X-Request-Id", "")[:200] or uuid.uuid4().hex

    def prepare(self) -> None:
        """Refuse requests without the operator key before anything else happens."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        known = hmac.compare_digest(key.strip().encode(), self.services.operator_key)
        if scheme.lower() != "bearer" or not known:
            detail = "the operator key is missing or wrong"
            self.finish_with_failure(Failure(ErrorKind.UNAUTHENTICATED, detail))

    @property
    def operator(self) -> str:
        """Name that the operator gave, for the history."""
        return self.request.headers.get("X-Operator", "operator")[:200]

    def write_result(self, result: Result[object, Failure]) -> None:
        """Finish with a value as JSON, or with the problem document of a failure."""
        if result.is_err():
            self.finish_with_failure(result.unwrap_err())
            return
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(result.unwrap(), default=_decode_bytes))

    def read_body(self, model: type[BaseModel]) -> Result[Any, Failure]:
        """Validate the JSON body.

        Parameters
        ----------
        model : type of pydantic.BaseModel
            Model of the body.

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
        """Return a non-negative whole number from the query."""
        text = self.get_query_argument(name, None)
        if text is None and default is not None:
            return Ok(default)
        if text is None or not (text.isascii() and text.isdigit()) or len(text) > 15:
            detail = "a whole number >= 0 is required"
            return Err(Failure(ErrorKind.INVALID_REQUEST, detail, name))
        return Ok(int(text))


def _decode_bytes(value: object) -> str:
    """Convert a recorded body, the only part of an answer that JSON cannot hold."""
    if isinstance(value, bytes):
        return value.decode("utf-8", "replace")
    raise TypeError(f"{type(value).__name__} is not JSON")
