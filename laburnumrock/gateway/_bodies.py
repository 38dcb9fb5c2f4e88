"""Request body models of the gateway."""

from typing import TypeVar

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from laburnumrock.documents import parse_json
from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.settings import describe_validation_error
from laburnumrock.upstreams import CacheEvent, UpstreamAnnouncement, UpstreamKind, UpstreamState

MAX_OUTPUT_TOKENS = 100_000
MAX_NAME_LENGTH = 200

Model = TypeVar("Model", bound=BaseModel)


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

    prompt: str = Field(min_length=1)
    max_tokens: int = Field(default=16, gt=0, le=MAX_OUTPUT_TOKENS)
    model: str | None = None
    stream: bool = False
    user: str = Field(default="", max_length=MAX_NAME_LENGTH)


class CacheEventBody(StrictBody):
    """Cache event inside an announcement."""

    sequence: int = Field(ge=0)
    prefix_hash: str
    event: str = Field(pattern="^(stored|evicted)$")


class AnnouncementBody(StrictBody):
    """Body of ``POST /upstreams/announcements``; fields as in `UpstreamAnnouncement`."""

    upstream_id: str = Field(min_length=1, max_length=MAX_NAME_LENGTH)
    kind: UpstreamKind = Field(strict=False)
    failure_domain: str = Field(min_length=1)
    incarnation: int = Field(ge=0)
    base_url: str = Field(pattern=r"^http://[^/]+$")
    models: list[str] = []
    adapters: list[str] = []
    versions: list[str] = []
    services: list[str] = []
    role: str = "general"
    kv_capacity_tokens: int = Field(default=0, ge=0)
    prefill_tokens_per_s: float = Field(default=0.0, ge=0)
    decode_step_s: float = Field(default=0.0, ge=0)
    state: UpstreamState = Field(default=UpstreamState.READY, strict=False)
    running: int = Field(default=0, ge=0)
    waiting: int = Field(default=0, ge=0)
    kv_used_tokens: int = Field(default=0, ge=0)
    measured_age_s: float = Field(default=0.0, ge=0)
    cache_events: list[CacheEventBody] = []
    max_requests_per_s: float | None = Field(default=None, ge=0, allow_inf_nan=False)

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
