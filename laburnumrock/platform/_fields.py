"""Typed access to the fields of untrusted documents of the platform."""

from collections.abc import Mapping

MAX_WHOLE = 2**63 - 1
"""Largest whole number; larger ones fit into no database or message of other systems."""
MAX_NUMBER = 1e15
"""Largest other number, far above all times, rates and sizes, so that products stay finite."""


MAX_TEXT_CHARS = 4096
"""Maximum length of a text; longer than any name, path or host in use."""


def read_text(entry: Mapping, name: str) -> str:
    """Return a text field.

    Raises
    ------
    KeyError
        If the field is missing.
    ValueError
        If the field is not a text that can be sent in messages and headers.
    """
    value = entry[name]
    if not isinstance(value, str):
        raise ValueError(f"{name}: expected a text, got {value!r:.50}")
    check_text(name, value)
    return value


def check_text(name: str, value: str) -> None:
    """Check that a text can be sent in messages, headers and log lines.

    Raises
    ------
    ValueError
        If the text is too long, or has a control character or a lone surrogate.
    """
    if len(value) > MAX_TEXT_CHARS or not value.isprintable():
        raise ValueError(f"{name}: {value[:50]!a} is too long or not printable")


def read_whole(entry: Mapping, name: str, default: int | None = None, *, least: int = 0) -> int:
    """Return a field that is a whole number of at least `least`.

    Parameters
    ----------
    entry : mapping
        Document that contains the field.
    name : str
        Name of the field.
    default : int, optional
        Value of a field that is missing or null; None if the field is required.
    least : int
        Smallest allowed value.

    Raises
    ------
    KeyError
        If a required field is missing.
    ValueError
        If the field is not a whole number or too small.
    """
    value = entry[name] if default is None else entry.get(name)
    if value is None and default is not None:
        return default
    if type(value) is not int or not least <= value <= MAX_WHOLE:
        raise ValueError(f"{name}: expected a whole number >= {least}, got {value!r:.50}")
    return value


def read_number(
    entry: Mapping, name: str, default: float | None = None, *, positive: bool = False
) -> float:
    """Return a field that is a number of at least 0 or, if `positive`, above 0.

    Parameters
    ----------
    entry : mapping
        Document that contains the field.
    name : str
        Name of the field.
    default : float, optional
        Value of a field that is missing or null; None if the field is required.
    positive : bool
        Whether 0 is refused.

    Raises
    ------
    KeyError
        If a required field is missing.
    ValueError
        If the field is not such a number.
    """
    value = entry[name] if default is None else entry.get(name)
    if value is None and default is not None:
        return default
    if type(value) not in (int, float) or not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{name}: expected a number >= 0, got {value!r:.50}")
    if positive and value == 0:
        raise ValueError(f"{name}: must be > 0")
    return float(value)
