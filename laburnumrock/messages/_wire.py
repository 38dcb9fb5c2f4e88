"""Compact serialization of messages in frames: lists of field values instead of maps.

Notes
-----
Field names made up half of the size of a control message. A data class is therefore encoded as the
list of its field values. Trailing fields with default values are omitted, so new fields with a
default may be appended. The converters are built once per class.
"""

import types
import typing
from collections.abc import Callable
from dataclasses import MISSING, fields, is_dataclass
from enum import Enum
from functools import cache

from laburnumrock.messages._registry import make_converter, to_plain

_SCALARS = (str, int, float, bool, bytes)

Encoder = Callable[[typing.Any], object]


def to_wire(message: object) -> list[object]:
    """Convert a data class to the list of its field values."""
    return _wire_encoder(type(message))(message)


def from_wire(cls: type, value: object, path: str = "") -> typing.Any:
    """Build a data class from the list of its field values.

    Parameters
    ----------
    cls : type
        Data class to build.
    value : object
        Plain list; trailing fields with defaults may be missing.
    path : str
        Path of the value inside its message, for error messages.

    Raises
    ------
    ValueError
        If a field is missing, unknown or of the wrong type; the message contains its path.
    """
    if not isinstance(value, list):
        raise ValueError(f"{path or cls.__name__}: expected a list")
    converters, required = _wire_converters(cls)
    if len(value) > len(converters):
        raise ValueError(f"{path or cls.__name__}: unknown field")
    if len(value) < required:
        raise ValueError(f"{path}.{converters[len(value)][0]}".lstrip(".") + ": missing field")
    prefix = f"{path}." if path else ""
    arguments = [
        convert(item, prefix + name)
        for item, (name, convert) in zip(value, converters, strict=False)
    ]
    return cls(*arguments)


@cache
def _wire_encoder(cls: type) -> Encoder:
    hints = typing.get_type_hints(cls)
    parts = [(field.name, _make_encoder(hints[field.name])) for field in fields(cls)]
    defaults = [_get_default(field) for field in fields(cls)]

    def encode(message: object) -> list[object]:
        values = [getattr(message, name) for name, _ in parts]
        count = len(values)
        while (
            count
            and defaults[count - 1] is not MISSING
            and values[count - 1] == (defaults[count - 1])
        ):
            count -= 1
        return [
            value if encoder is None or value is None else encoder(value)
            for value, (_, encoder) in zip(values[:count], parts, strict=False)
        ]

    return encode


def _get_default(field) -> object:
    if field.default_factory is not MISSING:
        return field.default_factory()
    return field.default


def _make_encoder(hint: typing.Any) -> Encoder | None:
    """Return the encoder of a field, or None if its values need no conversion."""
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if origin in (typing.Union, types.UnionType):
        present = [argument for argument in arguments if argument is not type(None)]
        return _make_encoder(present[0])
    if origin in (list, tuple, set, frozenset):
        item = _make_encoder(arguments[0])
        return list if item is None else lambda values: [item(value) for value in values]
    if origin is dict:
        return _make_map_encoder(arguments)
    if is_dataclass(hint):
        return lambda value: _wire_encoder(hint)(value)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return lambda value: value.value
    return None if hint in _SCALARS else to_plain


def _make_map_encoder(arguments: tuple) -> Encoder:
    value_encoder = _make_encoder(arguments[1])
    if value_encoder is None:
        return dict
    return lambda values: {key: value_encoder(value) for key, value in values.items()}


@cache
def _wire_converters(cls: type) -> tuple[list[tuple[str, Callable]], int]:
    hints = typing.get_type_hints(cls)
    converters = [
        (field.name, make_converter(hints[field.name], from_wire)) for field in fields(cls)
    ]
    required = sum(
        field.default is MISSING and field.default_factory is MISSING for field in fields(cls)
    )
    return converters, required
