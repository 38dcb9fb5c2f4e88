"""File access of the log store: a real folder, or a fake that can lose unsynced writes."""

import contextlib
import errno
import os
import random
from pathlib import Path
from typing import Protocol


class Disk(Protocol):
    """Interface to the files of one data folder."""

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file; they are durable only after `sync`."""

    def sync(self, name: str) -> None:
        """Make the appended bytes durable."""

    def replace(self, name: str, data: bytes) -> None:
        """Atomically replace the content of a file; it is durable on return."""


class FolderDisk:
    """Files in a folder of the file system.

    Parameters
    ----------
    folder : Path
        Path of the folder; created at the first write if it does not exist.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.handles: dict[str, int] = {}
        self.has_folder = False
        self.unsynced_names = True

    def read(self, name: str) -> bytes | None:
        """Return the durable content of a file, or None if it does not exist.

        Notes
        -----
        Files are read only at the start. A process that was killed may have left bytes and names
        that no sync covers; the node would build on them, and a loss of power would undo them.
        """
        try:
            self._sync_names()
            with (self.folder / name).open("rb") as file:
                os.fsync(file.fileno())
                return file.read()
        except FileNotFoundError:
            return None

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file; they are durable only after `sync`."""
        self._make_folder()
        handle = self.handles.get(name)
        if handle is None:
            path = self.folder / name
            self.unsynced_names = self.unsynced_names or not path.exists()
            handle = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o600)
            self.handles[name] = handle
        self._sync_names()
        _write_all(handle, data)

    def sync(self, name: str) -> None:
        """Make the appended bytes durable."""
        handle = self.handles.get(name)
        if handle is not None:
            os.fdatasync(handle)

    def replace(self, name: str, data: bytes) -> None:
        """Atomically replace the content of a file; it is durable on return."""
        self._make_folder()
        self._close(name)
        temporary = self.folder / f"{name}.new"
        try:
            handle = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
            try:
                _write_all(handle, data)
                os.fsync(handle)
            finally:
                os.close(handle)
        except OSError:
            # An incomplete copy would take up the room that the next attempt needs.
            with contextlib.suppress(OSError):
                temporary.unlink()
            raise
        self.unsynced_names = True
        os.replace(temporary, self.folder / name)
        self._sync_names()

    def close(self) -> None:
        """Close all open files."""
        for name in list(self.handles):
            self._close(name)

    def _make_folder(self) -> None:
        """Create the folder at the first write, so that a full disk does not prevent a start."""
        if not self.has_folder:
            _make_durable_folder(self.folder)
            self.has_folder = True

    def _sync_names(self) -> None:
        """Make new names durable; retried with the next access if it fails.

        Without this, a file whose replacement is not durable yet would be read or extended as if it
        were.
        """
        if self.unsynced_names:
            _sync_folder(self.folder)
            self.unsynced_names = False

    def _close(self, name: str) -> None:
        handle = self.handles.pop(name, None)
        if handle is not None:
            os.close(handle)


class FakeDisk:
    """In-memory files that lose unsynced writes in a simulated crash.

    Parameters
    ----------
    honours_sync : bool
        Whether `sync` makes writes durable; False simulates a disk that acknowledges a sync
        without performing it.
    rng : random.Random, optional
        Decides what the writes that a full disk refuses leave behind.

    Attributes
    ----------
    full : bool
        While set, all writes fail. A refused append may leave a part of its bytes behind, a refused
        sync may lose the unsynced bytes, and a refused replacement may be in effect without being
        durable.
    """

    def __init__(self, honours_sync: bool = True, rng: random.Random | None = None) -> None:
        self.honours_sync = honours_sync
        self.rng = rng if rng is not None else random.Random(0)
        self.full = False
        self.durable: dict[str, bytes] = {}
        self.pending: dict[str, bytes] = {}
        self.replaced: dict[str, bytes | None] = {}

    def read(self, name: str) -> bytes | None:
        """Return the content of a file, or None if it does not exist."""
        if self.replaced:
            self._check_room()
            self.replaced.clear()
        if name not in self.durable and name not in self.pending:
            return None
        return self.durable.get(name, b"") + self.pending.get(name, b"")

    def append(self, name: str, data: bytes) -> None:
        """Append bytes to a file; they are durable only after `sync`."""
        written = data[: self.rng.randrange(len(data) + 1)] if self.full else data
        self.pending[name] = self.pending.get(name, b"") + written
        self._check_room()

    def sync(self, name: str) -> None:
        """Make the appended bytes durable."""
        if self.full and self.rng.random() < 0.5:
            self.pending.pop(name, None)
        self._check_room()
        if self.honours_sync and name in self.pending:
            self.durable[name] = self.durable.get(name, b"") + self.pending.pop(name)

    def replace(self, name: str, data: bytes) -> None:
        """Atomically replace the content of a file; it is durable on return."""
        if self.full:
            if self.rng.random() < 0.3:
                self.replaced.setdefault(name, self.durable.get(name))
                self.pending.pop(name, None)
                self.durable[name] = data
            self._check_room()
        self.replaced.clear()
        self.pending.pop(name, None)
        self.durable[name] = data

    def crash(self, rng: random.Random) -> None:
        """Simulate a crash: of each file, keep a random prefix of the unsynced bytes."""
        for name, data in self.pending.items():
            kept = data[: rng.randrange(len(data) + 1)]
            self.durable[name] = self.durable.get(name, b"") + kept
        self.pending.clear()
        for name, data in self.replaced.items():
            if rng.random() < 0.5:
                self.durable.pop(name)
                if data is not None:
                    self.durable[name] = data
        self.replaced.clear()

    def _check_room(self) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def _write_all(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]


def _make_durable_folder(folder: Path) -> None:
    """Create a folder and those above it; each is durable before the next one is created.

    Notes
    -----
    A process that was killed may have created the last folder that exists without syncing its name,
    so that name is synced as well.
    """
    if not folder.exists() and folder.parent != folder:
        _make_durable_folder(folder.parent)
        folder.mkdir(exist_ok=True)
    # Whoever may not read the folder above cannot sync it, and a start must not depend on that.
    with contextlib.suppress(PermissionError):
        _sync_folder(folder.parent)


def _sync_folder(folder: Path) -> None:
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
