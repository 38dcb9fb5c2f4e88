"""File that keeps local holds through a restart."""

import json
import os
from pathlib import Path

from eliot import log_message

from laburnumrock.declarations import HoldRegistry

FILE_NAME = "holds.json"


class HoldFile:
    """Stores a hold book in a data folder; does nothing without one.

    Parameters
    ----------
    folder : Path, optional
        Data folder of the instance.
    """

    def __init__(self, folder: Path | None) -> None:
        self.path = None if folder is None else folder / FILE_NAME

    def load(self, book: HoldRegistry) -> None:
        """Merge the stored holds into a book; an unreadable file is logged and kept aside."""
        if self.path is None or not self.path.exists():
            return
        try:
            book.restore(json.loads(self.path.read_text(encoding="utf-8")))
        except (OSError, ValueError) as error:
            log_message("holds_unreadable", error=str(error))
            os.replace(self.path, self.path.with_suffix(".unreadable"))

    def save(self, book: HoldRegistry) -> None:
        """Replace the stored holds; durable when the call returns.

        Notes
        -----
        A failed write is logged and not raised: the hold is in force in memory and at the other
        instances of the domain, and an emergency drain must not depend on a disk.
        """
        if self.path is None:
            return
        try:
            self._write(json.dumps(book.to_plain()))
        except OSError as error:
            log_message("holds_not_stored", error=str(error))

    def _write(self, text: str) -> None:
        self.path.parent.mkdir(parents=True, exist_ok=True)
        draft = self.path.with_suffix(".draft")
        with draft.open("w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.replace(draft, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
