"""Registry of the parts of the replicated state."""

import importlib
from collections.abc import Callable, Iterable
from typing import Protocol


class Part(Protocol):
    """Interface of a part of the replicated state; its class is instantiated without arguments.

    Notes
    -----
    `apply` must be deterministic: it may depend only on the state and the command. A command that
    needs the time has a field ``stamped_at_s: float``, which the leader sets to seconds since 1970
    before it appends the command; it never decreases over the commands that a part receives.
    `apply` must be idempotent and return the same answer for a repeated command, since proposals
    are retried when an answer is lost.
    """

    command_types: tuple[type, ...]

    def apply(self, command: object, index: int) -> object:
        """Apply a command and return its answer, a registered message."""

    def query(self, question: object) -> object:
        """Answer a read-only query; question and answer are registered messages."""

    def to_plain(self) -> object:
        """Return the state as plain data (maps, lists, strings, numbers, bytes, null)."""

    def encode(self) -> list[bytes]:
        """Return the CBOR encoding of `to_plain` in chunks; optional, for large parts."""

    def restore(self, plain: object | None) -> None:
        """Replace the state with plain data; None stands for the empty state."""


PARTS: dict[str, type] = {}


def register_part(name: str) -> Callable[[type], type]:
    """Register a class as a part of the replicated state.

    Parameters
    ----------
    name : str
        Key of the part in snapshots.

    Raises
    ------
    ValueError
        If another class is registered under the same name.
    """

    def register(cls: type) -> type:
        if PARTS.get(name, cls) is not cls:
            raise ValueError(f"part {name} is registered twice")
        PARTS[name] = cls
        return cls

    return register


def discover_parts(packages: Iterable[str]) -> None:
    """Import packages, which registers the parts that they define."""
    for package in packages:
        importlib.import_module(package)
