"""Request body models of the gateway."""

from typing import Annotated, TypeVar
from urllib.parse import urlsplit

from pydantic import AfterValidator, BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.settings import describe_validation_error
from laburnumrock.upstreams import CacheEvent, UpstreamAnnouncement, UpstreamKind, UpstreamState

MAX_OUTPUT_TOKENS = 100_000
MAX_NAME_LENGTH = 200

MAX_WHOLE = 2**63 - 1
"""Largest whole number, as in the databases and messages of other systems."""
MAX_NUMBER = 1e15
"""Largest other number, far above all times and rates, so that products stay finite."""

Model = TypeVar("Model", bound=BaseModel)


def _check_encodable(value: str) -> str:
    """Refuse lone surrogates, which JSON can contain and messages cannot."""
    try:
        value.encode()
    except UnicodeEncodeError as error:
        raise ValueError("cannot be encoded as UTF-8") from error
    return value


def _check_printable(value: str) -> str:
    """Refuse control characters, which would get into log lines, headers and metrics."""
    if not value.isprintable():
        raise ValueError("has characters that are not printable")
    return value


def _check_address(url: str) -> str:
    """Refuse URLs to which no request can be sent."""
    parts = urlsplit(url)
    if not parts.hostname or parts.port == 0 or parts.netloc != url.removeprefix("http://"):
        raise ValueError("has no usable host and port")
    if "@" in parts.netloc or " " in parts.netloc:
        raise ValueError("has user information or spaces")
    return url


Text = Annotated[str, AfterValidator(_check_encodable)]
Name = Annotated[str, Field(max_length=MAX_NAME_LENGTH), AfterValidator(_check_printable)]
Count = Annotated[int, Field(ge=0, le=MAX_WHOLE)]
Rate = Annotated[float, Field(ge=0, le=MAX_NUMBER, allow_inf_nan=False)]


class StrictBody(BaseModel):
    """Base model that rejects unknown fields and does not coerce types."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class CompletionBody(StrictBody):
    """Body of ``POST /v1/completions``.

    Parameters
    ----------
    prompt : str
        Prompt; every whitespace-separated word counts as one token.
    max_tokens : int
        Number of tokens to generate.
    model : str, optional
        Model; if given, it must equal the model of the account's template.
    stream : bool
        Whether to stream the completion as server-sent events.
    user : str
        End user within the client account.
    """

    prompt: Text = Field(min_length=1)
    max_tokens: int = Field(default=16, gt=0, le=MAX_OUTPUT_TOKENS)
    model: Text | None = None
    stream: bool = False
    user: Text = Field(default="", max_length=MAX_NAME_LENGTH)


class CacheEventBody(StrictBody):
    """Cache event inside an announcement."""

    sequence: Count
    prefix_hash: Name
    event: str = Field(pattern="^(stored|evicted)$")


class AnnouncementBody(StrictBody):
    """Body of ``POST /upstreams/announcements``; fields as in `UpstreamAnnouncement`."""

    upstream_id: Name = Field(min_length=1)
    kind: UpstreamKind = Field(strict=False)
    failure_domain: Name = Field(min_length=1)
    incarnation: Count
    base_url: Annotated[Name, AfterValidator(_check_address)] = Field(pattern=r"^http://[^/]+$")
    models: list[Name] = []
    adapters: list[Name] = []
    versions: list[Name] = []
    services: list[Name] = []
    role: Name = "general"
    kv_capacity_tokens: Count = 0
    prefill_tokens_per_s: Rate = 0.0
    decode_step_s: Rate = 0.0
    state: UpstreamState = Field(default=UpstreamState.READY, strict=False)
    running: Count = 0
    waiting: Count = 0
    kv_used_tokens: Count = 0
    measured_age_s: Rate = 0.0
    cache_events: list[CacheEventBody] = []
    max_requests_per_s: Rate | None = None

    def to_announcement(self) -> UpstreamAnnouncement:
        """Convert to the message exchanged between instances."""
        values = dict(self)
        events = [CacheEvent(**dict(event)) for event in self.cache_events]
        return UpstreamAnnouncement(**{**values, "cache_events": events})


def parse_body(model: type[Model], data: bytes) -> Result[Model, Failure]:
    """Parse and validate a JSON body.

    Parameters
    ----------
    model : type
        Pydantic model of the body.
    data : bytes
        Raw request body.

    Returns
    -------
    Result
        The validated body, or a failure of kind ``invalid_request`` that names the field.
    """
    try:
        document = parse_json(data)
    except ValueError as error:
        return Err(Failure(ErrorKind.INVALID_REQUEST, f"the body is not JSON: {error}"))
    try:
        return Ok(model.model_validate(document))
    except ValidationError as error:
        return Err(describe_validation_error(error, ErrorKind.INVALID_REQUEST))
