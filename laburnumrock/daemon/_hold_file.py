"""File that persists the local holds across restarts."""

import contextlib
import json
import os
from pathlib import Path

from eliot import log_message

from laburnumrock.declarations import HoldRegistry

FILE_NAME = "holds.json"


class HoldFile:
    """Persists a hold registry in the data folder; does nothing without one.

    Parameters
    ----------
    folder : Path, optional
        Data folder of the instance.
    """

    def __init__(self, folder: Path | None) -> None:
        self.path = None if folder is None else folder / FILE_NAME
        self.is_current = True
        # Whether the disk refused to read the stored holds, which a save would replace.
        self.is_unread = False

    def load(self, registry: HoldRegistry) -> None:
        """Merge the stored holds into a registry.

        An unreadable file is logged, so that it does not prevent a start. It is renamed only if its
        content is invalid: an error of the disk may pass, and the holds are needed then. The next
        save reads it again.
        """
        if self.path is None:
            return
        was_unread, self.is_unread = self.is_unread, False
        try:
            registry.restore(json.loads(self.path.read_text(encoding="utf-8")))
        except FileNotFoundError:
            return
        except OSError as error:
            if not was_unread:
                log_message("holds_unreadable", error=str(error))
            self.is_unread = True
            self.is_current = False
        except ValueError as error:
            log_message("holds_unreadable", error=str(error))
            with contextlib.suppress(OSError):
                os.replace(self.path, self.path.with_suffix(".unreadable"))

    def save(self, registry: HoldRegistry) -> None:
        """Atomically replace the stored holds; durable when the call returns.

        Notes
        -----
        A failed write is logged and not raised: the hold is already effective in memory and on
        the other instances of the domain, and an emergency drain must not depend on a disk. The
        caller tries again while `is_current` is not set.
        """
        if self.path is None:
            return
        if self.is_unread:
            self.load(registry)
            if self.is_unread:
                return
        try:
            self._write(json.dumps(registry.to_plain()))
            self.is_current = True
        except OSError as error:
            if self.is_current:
                log_message("holds_not_stored", error=str(error))
            self.is_current = False

    def _write(self, text: str) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        temporary_path = self.path.with_suffix(".draft")
        with temporary_path.open("w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, self.path)
        folder_fd = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder_fd)
        finally:
            os.close(folder_fd)
