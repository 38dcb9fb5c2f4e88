"""Registry of message classes, and their conversion to and from plain data.

Notes
-----
Plain data consists of maps, lists, strings, numbers, byte strings, booleans and null. Decoding
checks names and types, so that a malformed message never reaches a state machine.
"""

import types
import typing
from collections.abc import Callable
from dataclasses import MISSING, dataclass, fields, is_dataclass
from enum import Enum
from functools import cache

MESSAGE_TYPES: dict[str, type] = {}

_SCALARS = (str, int, float, bool, bytes)

Nested = Callable[[type, object, str], typing.Any]


def register_message(cls: type) -> type:
    """Add a data class to the messages that peers may send to each other.

    Parameters
    ----------
    cls : type
        Data class; its name is the type name in the encoded message.

    Returns
    -------
    type
        The same class.

    Raises
    ------
    ValueError
        If another class has the same name.
    """
    if cls.__name__ in MESSAGE_TYPES:
        raise ValueError(f"message type {cls.__name__} is registered twice")
    MESSAGE_TYPES[cls.__name__] = cls
    return cls


def to_plain(value: object) -> object:
    """Convert a data class, or a container of them, to plain data."""
    if value is None or type(value) in _SCALARS:
        return value
    if is_dataclass(value):
        return {name: to_plain(getattr(value, name)) for name in _field_names(type(value))}
    if isinstance(value, Enum):
        return value.value
    if isinstance(value, dict):
        return {key: to_plain(item) for key, item in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [to_plain(item) for item in value]
    raise TypeError(f"{type(value).__name__} cannot be serialized")


def from_plain(cls: type, value: object, path: str = "") -> typing.Any:
    """Build a data class from plain data.

    Parameters
    ----------
    cls : type
        Data class to build.
    value : object
        Map from field name to plain value.
    path : str
        Path of the value inside its message, for error messages.

    Returns
    -------
    object
        Instance of `cls`.

    Raises
    ------
    ValueError
        If a field is missing, unknown or of the wrong type; the message contains its path.
    """
    if not isinstance(value, dict):
        raise ValueError(f"{path or cls.__name__}: expected a map")
    converters = _converters(cls)
    unknown = value.keys() - converters.keys()
    if unknown:
        raise ValueError(f"{_join(path, sorted(map(str, unknown))[0])}: unknown field")
    arguments = {}
    for name, converter in converters.items():
        if name in value:
            arguments[name] = converter.convert(value[name], _join(path, name))
        elif converter.required:
            raise ValueError(f"{_join(path, name)}: missing field")
    return cls(**arguments)


@dataclass(frozen=True, slots=True)
class _FieldConverter:
    convert: Callable[[object, str], object]
    required: bool


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


@cache
def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(cls))


@cache
def _converters(cls: type) -> dict[str, _FieldConverter]:
    hints = typing.get_type_hints(cls)
    converters = {}
    for field in fields(cls):
        required = field.default is MISSING and field.default_factory is MISSING
        converters[field.name] = _FieldConverter(
            make_converter(hints[field.name], from_plain), required
        )
    return converters


def make_converter(hint: typing.Any, nested: Nested) -> Callable[[object, str], object]:
    """Return the function that checks and converts the plain value of a field.

    Parameters
    ----------
    hint : type
        Type hint of the field.
    nested : callable
        Builds data classes inside the value, as `from_plain` does.
    """
    origin = typing.get_origin(hint)
    arguments = typing.get_args(hint)
    if hint in (typing.Any, object):
        return lambda value, path: value
    if origin in (typing.Union, types.UnionType):
        return _convert_optional(arguments, nested)
    if origin in (list, tuple, set, frozenset):
        return _convert_sequence(origin, arguments[0], nested)
    if origin is dict:
        return _convert_map(arguments, nested)
    if is_dataclass(hint):
        return lambda value, path: nested(hint, value, path)
    if isinstance(hint, type) and issubclass(hint, Enum):
        return _convert_enum(hint)
    return _convert_scalar(hint)


def _convert_optional(arguments: tuple, nested: Nested) -> Callable[[object, str], object]:
    present = [argument for argument in arguments if argument is not type(None)]
    if len(present) != 1:
        raise TypeError("a message field may be optional but not a union of several types")
    convert = make_converter(present[0], nested)
    return lambda value, path: None if value is None else convert(value, path)


def _convert_sequence(
    origin: type, item: typing.Any, nested: Nested
) -> Callable[[object, str], object]:
    convert = make_converter(item, nested)

    def convert_all(value: object, path: str) -> object:
        if not isinstance(value, list):
            raise ValueError(f"{path}: expected a list")
        return origin(convert(entry, f"{path}[{index}]") for index, entry in enumerate(value))

    return convert_all


def _convert_map(arguments: tuple, nested: Nested) -> Callable[[object, str], object]:
    convert_key = make_converter(arguments[0], nested)
    convert_value = make_converter(arguments[1], nested)

    def convert_all(value: object, path: str) -> object:
        if not isinstance(value, dict):
            raise ValueError(f"{path}: expected a map")
        return {
            convert_key(key, path): convert_value(entry, _join(path, str(key)))
            for key, entry in value.items()
        }

    return convert_all


def _convert_enum(hint: type[Enum]) -> Callable[[object, str], object]:
    def convert(value: object, path: str) -> object:
        try:
            return hint(value)
        except ValueError:
            raise ValueError(f"{path}: {value!r} is not a {hint.__name__}") from None

    return convert


def _convert_scalar(hint: type) -> Callable[[object, str], object]:
    def convert(value: object, path: str) -> object:
        if hint is float and type(value) is int:
            return float(value)
        if type(value) is not hint:
            raise ValueError(f"{path}: expected {hint.__name__}, got {type(value).__name__}")
        return value

    return convert
