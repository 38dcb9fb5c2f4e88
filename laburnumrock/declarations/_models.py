"""Models that validate the declarations of operators."""

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, model_validator

PositiveRate = Annotated[float, Field(gt=0, allow_inf_nan=False)]
PositiveSeconds = Annotated[float, Field(gt=0, allow_inf_nan=False)]
# Names are used in keys and URL paths, so they must not contain slashes or whitespace.
Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[^\s/]+$")]

# These limits keep every message with declarations below the maximum frame size between instances.
MAX_PATHS = 200
MAX_KEY_LENGTH = 450
MAX_CHANGES = 4_096


class DeclarationModel(BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ServiceKind(StrEnum):
    """Kind of component that operators put in and out of service."""

    FAILURE_DOMAIN = "failure_domain"
    INSTANCE = "instance"
    UPSTREAM = "upstream"


class InService(StrEnum):
    """Whether a component may receive new work."""

    IN_SERVICE = "in_service"
    DRAINED = "drained"


class Limits(DeclarationModel):
    """Limits of one client account across all failure domains.

    Parameters
    ----------
    requests_per_s, tokens_per_s : float, > 0
        Sustained rates.
    concurrency : int, > 0
        Maximum number of concurrent requests.
    """

    requests_per_s: PositiveRate
    tokens_per_s: PositiveRate
    concurrency: int = Field(gt=0)


class Deadlines(DeclarationModel):
    """Deadlines by length class, in seconds.

    Parameters
    ----------
    short_s, medium_s, long_s : float, > 0
        Time from the arrival of a request to its last token.
    """

    short_s: PositiveSeconds
    medium_s: PositiveSeconds
    long_s: PositiveSeconds

    @model_validator(mode="after")
    def _check_order(self) -> "Deadlines":
        if not self.short_s <= self.medium_s <= self.long_s:
            raise ValueError("deadlines must not decrease from short_s to medium_s to long_s")
        return self


class Template(DeclarationModel):
    """Parameters that apply to all requests of one client account.

    Parameters
    ----------
    client_account : str
        Unique name.
    api_key_sha256 : str, optional
        Lower-case hexadecimal SHA-256 of the account's API key; if absent, no key is checked.
    model : str
        Model that serves the account.
    adapter, version : str, optional
        Required adapter and model version.
    priority : int, -100 to 100
        Requests with higher values are more urgent.
    limits : Limits
        Limits of the account.
    deadlines : Deadlines
        Deadlines by length class.
    max_output_tokens : int, > 0
        Upper bound of `max_tokens` of a request.
    """

    type: Literal["template"] = "template"
    client_account: Name
    api_key_sha256: str | None = Field(default=None, pattern=r"^[0-9a-f]{64}$")
    model: Name
    adapter: Name | None = None
    version: Name | None = None
    priority: int = Field(default=0, ge=-100, le=100)
    limits: Limits
    deadlines: Deadlines
    max_output_tokens: int = Field(gt=0)

    @property
    def key(self) -> str:
        """Unique key among all declarations."""
        return f"template/{self.client_account}"


class ServicePath(DeclarationModel):
    """One path of an HTTP service.

    Parameters
    ----------
    path : str
        Path without a leading slash.
    repeatable : bool
        Whether a call is safe to retry.
    """

    path: str = Field(min_length=1, max_length=200, pattern=r"^[^\s/?#][^\s?#]*$")
    repeatable: bool


class Service(DeclarationModel):
    """HTTP service that is not a model engine.

    Parameters
    ----------
    name : str
        Unique name.
    paths : list of ServicePath
        Paths that callers may use.
    timeout_s : float, > 0
        Timeout of one call, in seconds.
    """

    type: Literal["service"] = "service"
    name: Name
    paths: list[ServicePath] = Field(min_length=1, max_length=MAX_PATHS)
    timeout_s: PositiveSeconds

    @model_validator(mode="after")
    def _check_paths(self) -> "Service":
        paths = [entry.path for entry in self.paths]
        if len(set(paths)) != len(paths):
            raise ValueError("paths must be unique")
        return self

    @property
    def key(self) -> str:
        """Unique key among all declarations."""
        return f"service/{self.name}"

    def find_path(self, path: str) -> ServicePath | None:
        """Return the declaration of a path, or None."""
        return next((entry for entry in self.paths if entry.path == path), None)


class ServiceState(DeclarationModel):
    """Whether a failure domain, an instance or an upstream may receive new work.

    Parameters
    ----------
    kind : ServiceKind
        Kind of the component.
    name : str
        Name of the component.
    state : InService
        Desired state.
    """

    type: Literal["service_state"] = "service_state"
    kind: Annotated[ServiceKind, Field(strict=False)]
    name: Name
    state: Annotated[InService, Field(strict=False)]

    @property
    def key(self) -> str:
        """Unique key among all declarations."""
        return f"service_state/{self.kind}/{self.name}"


Declaration = Annotated[Template | Service | ServiceState, Field(discriminator="type")]


class PutChange(DeclarationModel):
    """Change that adds or replaces one declaration."""

    action: Literal["put"] = "put"
    declaration: Declaration

    @property
    def key(self) -> str:
        """Key of the declaration."""
        return self.declaration.key


class RemoveChange(DeclarationModel):
    """Change that removes one declaration; the key must exist."""

    action: Literal["remove"] = "remove"
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)


Change = Annotated[PutChange | RemoveChange, Field(discriminator="action")]

DECLARATION_ADAPTER = TypeAdapter(Declaration)
CHANGES_ADAPTER = TypeAdapter(Annotated[list[Change], Field(min_length=1, max_length=MAX_CHANGES)])
