"""Reading of settings and key files."""

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
    """Keys of one instance; hidden in its text form, so that they cannot reach a log.

    Parameters
    ----------
    shared : bytes
        Key that instances prove to each other.
    operator : bytes
        Key of operators.
    orders : bytes, optional
        Key that engines ask of whoever gives them orders.
    """

    shared: bytes = field(repr=False)
    operator: bytes = field(repr=False)
    orders: bytes | None = field(default=None, repr=False)


def describe_validation_error(error: ValidationError, kind: ErrorKind) -> Failure:
    """Turn the first problem of a pydantic error into a failure with its field path.

    Parameters
    ----------
    error : pydantic.ValidationError
        The error to describe.
    kind : ErrorKind
        Kind of the returned failure.

    Returns
    -------
    Failure
        Detail in words, with the path of the faulty field.
    """
    problem = error.errors()[0]
    path = ""
    for part in problem["loc"]:
        path += f"[{part}]" if isinstance(part, int) else f".{part}"
    message = problem["msg"].removeprefix("Value error, ")
    if problem["type"] not in ("missing", "extra_forbidden", "value_error"):
        message = f"{message}, got {problem['input']!r}"
    return Failure(kind, message, field_path=path.lstrip(".") or None)


def load_settings(path: Path) -> Result[InstanceSettings, Failure]:
    """Read and validate the settings file of one instance.

    Parameters
    ----------
    path : Path
        JSON file.

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
    """Read a key file.

    Parameters
    ----------
    path : Path
        File that holds the key; white space at both ends is dropped.

    Returns
    -------
    Result
        The key, or a failure of kind ``invalid_settings``. The key itself is never reported.
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
    """Read all key files that the settings name.

    Parameters
    ----------
    settings : InstanceSettings
        Settings of the instance.

    Returns
    -------
    Result
        The keys, or the failure of the first file that cannot be used.
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
