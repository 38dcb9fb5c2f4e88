"""Reading of declaration folders, and planning of the changes that apply a folder."""

import json
from dataclasses import dataclass
from pathlib import Path

from pydantic import ValidationError
from result import Err, Ok, Result

from laburnumrock.declarations._models import (
    DECLARATION_ADAPTER,
    Change,
    Declaration,
    PutChange,
    RemoveChange,
    ServiceState,
)
from laburnumrock.declarations._set import DeclarationSet, describe_declaration_error
from laburnumrock.errors import ErrorKind, Failure


@dataclass(frozen=True, slots=True)
class Difference:
    """Difference of one declaration between two sets.

    Parameters
    ----------
    key : str
        Key of the declaration.
    action : str
        ``add``, ``change`` or ``remove``.
    before, after : dict, optional
        Differing fields; the entire declaration if it is added or removed.
    """

    key: str
    action: str
    before: dict | None
    after: dict | None


def read_folder(folder: Path) -> Result[DeclarationSet, Failure]:
    """Read a folder of JSON files, each with one declaration or a list of declarations.

    Parameters
    ----------
    folder : Path
        Folder; all ``*.json`` files in it and its subfolders are read.

    Returns
    -------
    Result
        The set, or a failure of kind ``invalid_declaration`` that names the file and the field.
    """
    if not folder.is_dir():
        return _fail(f"{folder} is not a folder")
    declared_in: dict[str, str] = {}
    changes: list[Change] = []
    for path in sorted(folder.rglob("*.json")):
        name = path.relative_to(folder).as_posix()
        items = _read_file(path, name)
        if items.is_err():
            return items
        for item in items.unwrap():
            if item.key in declared_in:
                return _fail(f"{item.key} is declared in {declared_in[item.key]} and {name}", name)
            declared_in[item.key] = name
            changes.append(PutChange(declaration=item))
    if not changes:
        return _fail(f"{folder} contains no declarations")
    return DeclarationSet().with_changes(changes)


def _read_file(path: Path, name: str) -> Result[list[Declaration], Failure]:
    try:
        document = json.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        return _fail(f"cannot read the file: {error.strerror}", name)
    except ValueError as error:
        return _fail(f"not JSON: {error}", name)
    entries = document if isinstance(document, list) else [document]
    items = []
    for index, entry in enumerate(entries):
        prefix = f"{name}[{index}]" if isinstance(document, list) else name
        try:
            items.append(DECLARATION_ADAPTER.validate_python(entry))
        except ValidationError as error:
            return Err(describe_declaration_error(error, prefix))
    return Ok(items)


def plan_changes(current: DeclarationSet, desired: DeclarationSet) -> list[Change]:
    """Compute the changes that turn one set into another.

    Parameters
    ----------
    current, wanted : DeclarationSet
        Current set and set read from the folder.

    Returns
    -------
    list of Change
        Sorted by key; empty if nothing has to change.

    Notes
    -----
    Service states that are missing in the folder are kept. Otherwise applying a folder would undo a
    drain that an operator requested by command.
    """
    before, after = current.items(), desired.items()
    changes: list[Change] = []
    for key in sorted(before.keys() | after.keys()):
        if key not in after:
            if not isinstance(before[key], ServiceState):
                changes.append(RemoveChange(key=key))
        elif before.get(key) != after[key]:
            changes.append(PutChange(declaration=after[key]))
    return changes


def diff_sets(current: DeclarationSet, desired: DeclarationSet) -> list[Difference]:
    """Describe the changes of `plan_changes` field by field.

    Returns
    -------
    list of Difference
        Sorted by key.
    """
    before = current.items()
    differences = []
    for change in plan_changes(current, desired):
        old = _dump(before.get(change.key))
        new = _dump(change.declaration) if isinstance(change, PutChange) else None
        if old is None or new is None:
            action = "add" if old is None else "remove"
            differences.append(Difference(change.key, action, old, new))
            continue
        names = [name for name in (old | new) if old.get(name) != new.get(name)]
        old_fields = {name: old.get(name) for name in names}
        new_fields = {name: new.get(name) for name in names}
        differences.append(Difference(change.key, "change", old_fields, new_fields))
    return differences


def _dump(item: Declaration | None) -> dict | None:
    return None if item is None else item.model_dump(mode="json", exclude_none=True)


def _fail(detail: str, path: str | None = None) -> Err[Failure]:
    return Err(Failure(ErrorKind.INVALID_DECLARATION, detail, path))
