"""Immutable set of declarations, and validation of changes to it."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from pydantic import ValidationError
from result import Err, Ok, Result

from laburnumrock.declarations._models import (
    CHANGES_ADAPTER,
    DECLARATION_ADAPTER,
    Change,
    Declaration,
    InService,
    PutChange,
    Service,
    ServiceKind,
    ServiceState,
    Template,
)
from laburnumrock.errors import ErrorKind, Failure

# Elements of a pydantic error location that name a member of a tagged union rather than a field.
_UNION_TAGS = frozenset(("put", "remove", "template", "service", "service_state"))


def describe_declaration_error(
    error: ValidationError, prefix: str = "", kind: ErrorKind = ErrorKind.INVALID_DECLARATION
) -> Failure:
    """Describe the first validation error of a declaration, change or other operator document.

    Parameters
    ----------
    error : pydantic.ValidationError
        Error raised by the validation.
    prefix : str
        Path of the validated value, such as a file name.
    kind : ErrorKind
        Kind of the returned failure.

    Returns
    -------
    Failure
        Failure with a message and the path of the field; the echoed input is truncated.
    """
    problem = error.errors(include_url=False)[0]
    path = prefix
    for part in problem["loc"]:
        if part in _UNION_TAGS:
            continue
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    message = problem["msg"].removeprefix("Value error, ")
    echoed = problem["type"] not in ("missing", "extra_forbidden", "value_error")
    # An API key entered by mistake in place of its hash must not appear in messages or logs.
    if echoed and "api_key_sha256" not in problem["loc"]:
        message = f"{message}, got {repr(problem['input'])[:80]}"
    return Failure(kind, message, field_path=path.lstrip(".") or None)


def parse_changes(plain: object) -> Result[list[Change], Failure]:
    """Validate a list of changes.

    Parameters
    ----------
    plain : object
        Decoded JSON.

    Returns
    -------
    Result
        The changes, or a failure of kind ``invalid_declaration`` with the path of the field.
    """
    try:
        changes = CHANGES_ADAPTER.validate_python(plain)
    except ValidationError as error:
        return Err(describe_declaration_error(error, "changes"))
    keys = [change.key for change in changes]
    for index, key in enumerate(keys):
        if key in keys[:index]:
            detail = f"{key} is changed twice"
            return Err(Failure(ErrorKind.INVALID_DECLARATION, detail, f"changes[{index}]"))
    return Ok(changes)


def changes_to_plain(changes: Iterable[Change]) -> list[dict]:
    """Convert changes to JSON-compatible data."""
    return [change.model_dump(mode="json", exclude_none=True) for change in changes]


@dataclass(frozen=True, slots=True)
class DeclarationSet:
    """Immutable set of all declarations at one revision.

    Parameters
    ----------
    templates : dict of str to Template
        Templates by client account.
    services : dict of str to Service
        HTTP services by name.
    service_states : dict of str to ServiceState
        Service states by declaration key.
    """

    templates: dict[str, Template] = field(default_factory=dict)
    services: dict[str, Service] = field(default_factory=dict)
    service_states: dict[str, ServiceState] = field(default_factory=dict)

    def items(self) -> dict[str, Declaration]:
        """Return all declarations by key, sorted by key."""
        declarations = [
            *self.templates.values(),
            *self.services.values(),
            *self.service_states.values(),
        ]
        return {item.key: item for item in sorted(declarations, key=lambda item: item.key)}

    def find_state(self, kind: str, name: str) -> InService:
        """Return the service state of a component; by default it is in service."""
        declared = self.service_states.get(f"service_state/{kind}/{name}")
        return InService.IN_SERVICE if declared is None else declared.state

    def is_in_service(self, kind: ServiceKind | str, name: str) -> bool:
        """Return whether a failure domain, an instance or an upstream may receive new work."""
        return self.find_state(kind, name) is InService.IN_SERVICE

    def with_changes(self, changes: Iterable[Change]) -> Result["DeclarationSet", Failure]:
        """Return a new set with the changes applied.

        Returns
        -------
        Result
            The new set, or a failure of kind ``invalid_declaration`` if a removed key is unknown.
        """
        result = DeclarationSet(
            dict(self.templates), dict(self.services), dict(self.service_states)
        )
        for index, change in enumerate(changes):
            if isinstance(change, PutChange):
                result._put(change.declaration)
            elif not result._remove(change.key):
                detail = f"{change.key} does not exist"
                path = f"changes[{index}].key"
                return Err(Failure(ErrorKind.INVALID_DECLARATION, detail, path))
        return Ok(result)

    def to_plain(self) -> list[dict]:
        """Convert to JSON-compatible data."""
        return [item.model_dump(mode="json", exclude_none=True) for item in self.items().values()]

    def count_bytes(self) -> int:
        """Return the size of the set as JSON, in bytes."""
        return len(json.dumps(self.to_plain(), ensure_ascii=False).encode())

    @classmethod
    def from_plain(cls, plain: object) -> "DeclarationSet":
        """Build a set from JSON-compatible data.

        Raises
        ------
        ValueError
            If the data is malformed.
        """
        if not isinstance(plain, list):
            raise ValueError("expected a list of declarations")
        result = cls()
        for entry in plain:
            result._put(DECLARATION_ADAPTER.validate_python(entry))
        return result

    def _put(self, item: Declaration) -> None:
        if isinstance(item, Template):
            self.templates[item.client_account] = item
        elif isinstance(item, Service):
            self.services[item.name] = item
        else:
            self.service_states[item.key] = item

    def _remove(self, key: str) -> bool:
        kind, _, name = key.partition("/")
        table = {"template": self.templates, "service": self.services}.get(kind)
        if table is not None:
            return table.pop(name, None) is not None
        return self.service_states.pop(key, None) is not None
