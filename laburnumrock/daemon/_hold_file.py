"""File that keeps local holds through a restart."""

import json
import os
from pathlib import Path

from eliot import log_message

from laburnumrock.declarations import HoldBook

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

    def load(self, book: HoldBook) -> None:
        """Merge the stored holds into a book; an unreadable file is logged and kept aside."""
        if self.path is None or not self.path.exists():
            return
        try:
            book.restore(json.loads(self.path.read_text(encoding="utf-8")))
        except (OSError, ValueError) as error:
            log_message("holds_unreadable", error=str(error))
            os.replace(self.path, self.path.with_suffix(".unreadable"))

    def save(self, book: HoldBook) -> None:
        """Replace the stored holds; durable when the call returns."""
        if self.path is None:
            return
        self.path.parent.mkdir(parents=True, exist_ok=True)
        draft = self.path.with_suffix(".draft")
        with draft.open("w", encoding="utf-8") as file:
            json.dump(book.to_plain(), file)
            file.flush()
            os.fsync(file.fileno())
        os.replace(draft, self.path)
        folder = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
