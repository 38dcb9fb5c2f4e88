"""File that persists the local holds across restarts."""

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

    def load(self, registry: HoldRegistry) -> None:
        """Merge the stored holds into a registry.

        An unreadable file is logged and renamed, so that it does not prevent a start.
        """
        if self.path is None or not self.path.exists():
            return
        try:
            registry.restore(json.loads(self.path.read_text(encoding="utf-8")))
        except (OSError, ValueError) as error:
            log_message("holds_unreadable", error=str(error))
            os.replace(self.path, self.path.with_suffix(".unreadable"))

    def save(self, registry: HoldRegistry) -> None:
        """Atomically replace the stored holds; durable when the call returns.

        Notes
        -----
        A failed write is logged and not raised: the hold is already effective in memory and on
        the other instances of the domain, and an emergency drain must not depend on a disk.
        """
        if self.path is None:
            return
        try:
            self._write(json.dumps(registry.to_plain()))
        except OSError as error:
            log_message("holds_not_stored", error=str(error))

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
