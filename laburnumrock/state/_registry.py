"""Registry of the parts of the replicated state."""

import importlib
from collections.abc import Callable, Iterable
from typing import Protocol


class Part(Protocol):
    """Part of the replicated state; instances are made without arguments.

    Notes
    -----
    `apply` must depend on nothing but the state and the command. A command that needs the time has
    a field ``stamped_at_s: float``, which the leader sets to seconds since 1970 before it appends
    the command; over the commands that a part sees it never decreases. `apply` must give the same
    answer for a command that comes twice, since proposals are repeated when an answer is lost.
    """

    command_types: tuple[type, ...]

    def apply(self, command: object, index: int) -> object:
        """Apply a command and return its answer, an instance of a registered message class."""

    def query(self, question: object) -> object:
        """Answer a question without a change; both are registered messages."""

    def to_plain(self) -> object:
        """Return the state as plain data (maps, lists, strings, numbers, bytes, null)."""

    def encode(self) -> list[bytes]:
        """Return the CBOR encoding of `to_plain` in pieces; optional, for large parts."""

    def restore(self, plain: object | None) -> None:
        """Replace the state by plain data; None means the empty state."""


PARTS: dict[str, type] = {}


def register_part(name: str) -> Callable[[type], type]:
    """Register a class as a part of the replicated state.

    Parameters
    ----------
    name : str
        Name of the part in snapshots.

    Raises
    ------
    ValueError
        If another class has the same name.
    """

    def register(cls: type) -> type:
        if PARTS.get(name, cls) is not cls:
            raise ValueError(f"part {name} is registered twice")
        PARTS[name] = cls
        return cls

    return register


def discover_parts(packages: Iterable[str]) -> None:
    """Import packages, whose parts thereby register themselves."""
    for package in packages:
        importlib.import_module(package)
