"""Loading of settings and key files."""

import json
from dataclasses import dataclass, field
from pathlib import Path

from pydantic import ValidationError
from result import Err, Ok, Result

from laburnumrock.errors import ErrorKind, Failure
from laburnumrock.settings._instance import InstanceSettings

MIN_KEY_BYTES = 16


@dataclass(frozen=True, slots=True)
class InstanceKeys:
    """Keys of an instance; excluded from `repr` so that they cannot be logged.

    Parameters
    ----------
    shared : bytes
        Key by which instances authenticate each other.
    operator : bytes
        Key by which operators authenticate.
    orders : bytes, optional
        Key that engines require for orders.
    """

    shared: bytes = field(repr=False)
    operator: bytes = field(repr=False)
    orders: bytes | None = field(default=None, repr=False)


def describe_validation_error(error: ValidationError, kind: ErrorKind) -> Failure:
    """Convert the first error of a pydantic validation error to a failure with its field path.

    Parameters
    ----------
    error : pydantic.ValidationError
        Validation error.
    kind : ErrorKind
        Kind of the returned failure.

    Returns
    -------
    Failure
        Failure with a readable detail and the path of the invalid field.
    """
    first_error = error.errors()[0]
    path = ""
    for path_element in first_error["loc"]:
        path += f"[{path_element}]" if isinstance(path_element, int) else f".{path_element}"
    message = first_error["msg"].removeprefix("Value error, ")
    if first_error["type"] not in ("missing", "extra_forbidden", "value_error"):
        message = f"{message}, got {first_error['input']!r}"
    return Failure(kind, message, field_path=path.lstrip(".") or None)


def load_settings(path: Path) -> Result[InstanceSettings, Failure]:
    """Load and validate the settings file of an instance.

    Parameters
    ----------
    path : Path
        Path of the JSON file.

    Returns
    -------
    Result
        The settings, or a failure of kind ``invalid_settings`` that names the field.
    """
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"cannot read {path}: {error.strerror}"))
    except ValueError as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"{path} is not JSON: {error}"))
    try:
        return Ok(InstanceSettings.model_validate(document))
    except ValidationError as error:
        return Err(describe_validation_error(error, ErrorKind.INVALID_SETTINGS))


def read_key(path: Path) -> Result[bytes, Failure]:
    """Read a key from a file.

    Parameters
    ----------
    path : Path
        Path of the key file; leading and trailing whitespace is removed.

    Returns
    -------
    Result
        The key, or a failure of kind ``invalid_settings``. The key itself
        never appears in the failure.
    """
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        return Err(Failure(ErrorKind.INVALID_SETTINGS, f"cannot read {path}: {error.strerror}"))
    if len(key) < MIN_KEY_BYTES:
        detail = f"the key in {path} must have at least {MIN_KEY_BYTES} bytes"
        return Err(Failure(ErrorKind.INVALID_SETTINGS, detail))
    return Ok(key)


def read_keys(settings: InstanceSettings) -> Result[InstanceKeys, Failure]:
    """Read all key files named in the settings.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.

    Returns
    -------
    Result
        The keys, or the failure for the first key file that is unreadable or too short.
    """
    paths = [settings.shared_key_file, settings.operator_key_file]
    if settings.orders.key_file is not None:
        paths.append(settings.orders.key_file)
    keys = []
    for path in paths:
        key = read_key(path)
        if key.is_err():
            return key
        keys.append(key.unwrap())
    return Ok(InstanceKeys(*keys))
