"""Models of the declarations that operators write."""

from enum import StrEnum
from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, model_validator

PositiveRate = Annotated[float, Field(gt=0, allow_inf_nan=False)]
PositiveTime = Annotated[float, Field(gt=0, allow_inf_nan=False)]
# A name is part of keys and URL paths, so it contains no slash and no white space.
Name = Annotated[str, Field(min_length=1, max_length=200, pattern=r"^[^\s/]+$")]

# These bounds keep every message about declarations below the largest frame between instances.
MAX_PATHS = 200
MAX_KEY_LENGTH = 450
MAX_CHANGES = 4_096


class DeclarationModel(BaseModel):
    """Model that refuses unknown fields and cannot be changed after validation."""

    model_config = ConfigDict(extra="forbid", frozen=True, strict=True)


class ServiceKind(StrEnum):
    """Things that operators take in and out of service."""

    FAILURE_DOMAIN = "failure_domain"
    INSTANCE = "instance"
    UPSTREAM = "upstream"


class InService(StrEnum):
    """Whether something may get new work."""

    IN_SERVICE = "in_service"
    DRAINED = "drained"


class Limits(DeclarationModel):
    """Limits of one client account over all failure domains.

    Parameters
    ----------
    requests_per_s, tokens_per_s : float, > 0
        Sustained rates.
    concurrency : int, > 0
        Requests that run at once.
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

    short_s: PositiveTime
    medium_s: PositiveTime
    long_s: PositiveTime

    @model_validator(mode="after")
    def _check_order(self) -> "Deadlines":
        if not self.short_s <= self.medium_s <= self.long_s:
            raise ValueError("deadlines must not decrease from short_s to medium_s to long_s")
        return self


class Template(DeclarationModel):
    """Parameters of every caller behind one client account.

    Parameters
    ----------
    client_account : str
        Unique name.
    api_key_sha256 : str, optional
        Lower-case hexadecimal SHA-256 of the account's key; without it no key is checked.
    model : str
        Model that serves the account.
    adapter, version : str, optional
        Required adapter and model version.
    priority : int, -100 to 100
        Higher is more urgent.
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
    """One path of a plain service.

    Parameters
    ----------
    path : str
        Path without a leading slash.
    repeatable : bool
        Whether a call may be repeated without harm.
    """

    path: str = Field(min_length=1, max_length=200, pattern=r"^[^\s/?#][^\s?#]*$")
    repeatable: bool


class Service(DeclarationModel):
    """Plain service.

    Parameters
    ----------
    name : str
        Unique name.
    paths : list of ServicePath
        Paths that callers may use.
    timeout_s : float, > 0
        Longest time for one call, in seconds.
    """

    type: Literal["service"] = "service"
    name: Name
    paths: list[ServicePath] = Field(min_length=1, max_length=MAX_PATHS)
    timeout_s: PositiveTime

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
        """Return the declared path, or None."""
        return next((entry for entry in self.paths if entry.path == path), None)


class ServiceState(DeclarationModel):
    """Whether a failure domain, an instance or an upstream may get new work.

    Parameters
    ----------
    kind : ServiceKind
        What is named.
    name : str
        Its name.
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
    """Adds or replaces one declaration."""

    action: Literal["put"] = "put"
    declaration: Declaration

    @property
    def key(self) -> str:
        """Key of the declaration."""
        return self.declaration.key


class RemoveChange(DeclarationModel):
    """Removes one declaration; the key must exist."""

    action: Literal["remove"] = "remove"
    key: str = Field(min_length=1, max_length=MAX_KEY_LENGTH)


Change = Annotated[PutChange | RemoveChange, Field(discriminator="action")]

DECLARATION = TypeAdapter(Declaration)
CHANGES = TypeAdapter(Annotated[list[Change], Field(min_length=1, max_length=MAX_CHANGES)])
