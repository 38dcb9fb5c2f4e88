"""Model of the disks of several machines, each of which may lose power.

Notes
-----
`laburnumrock.replication._disk` runs on real files, and its calls to the operating system are
recorded. After a loss of power, each write since the last sync of its file is kept, missing or
torn, and each name that was created, renamed or removed since the last sync of its folder is kept
or lost, all independently of each other. Nothing is really synced, so that this is fast.
"""

import os
import random
import shutil
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from laburnumrock.replication import _disk


class PowerLostError(Exception):
    """The machine lost power in the middle of a file operation."""


class FileContent:
    """Content of one file: what its last sync covers, and the operations after it."""

    def __init__(self) -> None:
        self.synced = b""
        self.unsynced: list[bytes | None] = []

    def sync(self) -> None:
        """Make all operations so far durable."""
        for operation in self.unsynced:
            self.synced = b"" if operation is None else self.synced + operation
        self.unsynced.clear()

    def lose_power(self, rng: random.Random) -> None:
        """Keep each operation since the last sync, none of it, or a part of it."""
        size = len(self.synced)
        content = bytearray(self.synced)
        for operation in self.unsynced:
            kept = rng.choice(["whole", "missing", "torn"])
            if operation is None:
                size = 0
                content = bytearray() if kept == "whole" else content
                continue
            end = size + len(operation)
            if kept == "torn":
                operation = operation[: rng.randrange(len(operation) + 1)]
            if kept != "missing":
                content.extend(bytes(max(0, size - len(content))))
                content[size : size + len(operation)] = operation
            size = end
        self.synced = bytes(content)
        self.unsynced.clear()


class Machine:
    """Files of one machine.

    Parameters
    ----------
    root : Path
        Folder that is durable from the start.

    Attributes
    ----------
    operations_left : int, optional
        Number of further operations after which the machine loses power.
    """

    def __init__(self, root: Path) -> None:
        self.root = root
        self.operations_left: int | None = None
        self.operations = 0
        self.wipe()

    def wipe(self) -> None:
        """Lose the disk; an empty one takes its place."""
        shutil.rmtree(self.root, ignore_errors=True)
        self.root.mkdir(parents=True)
        self.operations_left = None
        self.durable: dict[Path, FileContent | None] = {}
        self.current: dict[Path, FileContent | None] = {}
        self.history: dict[Path, list[FileContent | None | str]] = {}

    def step(self) -> None:
        """Count an operation; raises PowerLostError if the machine loses power before it."""
        self.add_folders()
        self.operations += 1
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left < 0:
                raise PowerLostError

    def add_folders(self) -> None:
        """Record the folders that were created since the last operation."""
        for folder, names, _ in os.walk(self.root):
            for path in (Path(folder, name) for name in names):
                if path not in self.current:
                    self.set_name(path, None)

    def set_name(self, path: Path, content: FileContent | None) -> None:
        """Record that a name stands for a file, or for a folder if `content` is None."""
        self.current[path] = content
        self.history.setdefault(path, []).append(content)

    def remove_name(self, path: Path) -> None:
        """Record that a name was removed."""
        del self.current[path]
        self.history.setdefault(path, []).append("removed")

    def sync_names(self, folder: Path) -> None:
        """Make the names in a folder durable."""
        for path in [path for path in self.durable if path.parent == folder]:
            del self.durable[path]
        for path in [path for path in self.current if path.parent == folder]:
            self.durable[path] = self.current[path]
        for path in [path for path in self.history if path.parent == folder]:
            del self.history[path]

    def lose_power(self, rng: random.Random) -> None:
        """Put the files into a state that they may be in after a loss of power."""
        self.add_folders()
        mode = rng.choice(["each", "each", "all kept", "all lost"])
        names = dict(self.durable)
        for path, states in sorted(self.history.items()):
            before = self.durable.get(path, "removed")
            chosen = {"all kept": states[-1], "all lost": before}.get(
                mode, rng.choice([before, *states])
            )
            names.pop(path, None)
            if chosen != "removed":
                names[path] = chosen
        self.wipe()
        for path in sorted(names):
            if path.parent != self.root and path.parent not in self.current:
                continue
            content = names[path]
            if content is None:
                path.mkdir()
            else:
                content.lose_power(rng)
                path.write_bytes(content.synced)
            self.current[path] = self.durable[path] = content


class RecordedOs:
    """Stands for the module `os` in `laburnumrock.replication._disk`.

    Parameters
    ----------
    root : Path
        Folder with one folder for each machine.
    """

    def __init__(self, root: Path) -> None:
        self.root = root
        self.machines: dict[str, Machine] = {}

    def __getattr__(self, name: str) -> object:
        return getattr(os, name)

    def add(self, name: str) -> Machine:
        """Return the machine with a name, with an empty disk if it is new."""
        if name not in self.machines:
            self.machines[name] = Machine(self.root / name)
        return self.machines[name]

    def find(self, path: Path) -> Machine:
        """Return the machine that a path belongs to."""
        return self.machines[path.relative_to(self.root).parts[0]]

    def open(self, path: Path, flags: int, mode: int = 0o600) -> int:
        """Open a file or folder."""
        if path.is_dir():
            return os.open(path, flags)
        machine = self.find(path)
        machine.step()
        handle = os.open(path, flags, mode)
        if path not in machine.current:
            machine.set_name(path, FileContent())
        elif flags & os.O_TRUNC:
            machine.current[path].unsynced.append(None)
        return handle

    def write(self, handle: int, data: bytes) -> int:
        """Write to a file."""
        path = _path_of(handle)
        self.find(path).step()
        self.find(path).current[path].unsynced.append(bytes(data))
        return os.write(handle, data)

    def fsync(self, handle: int) -> None:
        """Make the content of a file, or the names in a folder, durable."""
        path = _path_of(handle)
        if self.root not in path.parents:
            # Above the machines, everything is durable.
            return
        machine = self.find(path)
        machine.step()
        if path.is_dir():
            machine.sync_names(path)
        else:
            machine.current[path].sync()

    fdatasync = fsync

    def replace(self, source: Path, target: Path) -> None:
        """Rename a file."""
        machine = self.find(source)
        machine.step()
        os.replace(source, target)
        content = machine.current[source]
        machine.remove_name(source)
        machine.set_name(target, content)


@contextmanager
def recorded_disks(root: Path) -> Iterator[RecordedOs]:
    """Record the file operations of every `FolderDisk` below a folder."""
    recorded = RecordedOs(root)
    _disk.os = recorded
    try:
        yield recorded
    finally:
        _disk.os = os


def _path_of(handle: int) -> Path:
    return Path(os.readlink(f"/proc/self/fd/{handle}"))
