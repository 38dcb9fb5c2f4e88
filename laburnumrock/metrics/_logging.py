"""Configuration of eliot logging."""

import contextlib
import errno
import os
import sys
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import IO, Self

from eliot import FileDestination, add_destinations, remove_destination

from laburnumrock.metrics._log_writer import LogLimits, LogWriter
from laburnumrock.settings import InstanceSettings

FULL_DISK_ERRORS = (errno.ENOSPC, errno.EDQUOT)


@contextlib.contextmanager
def open_log(settings: InstanceSettings) -> Iterator[None]:
    """Write the eliot log lines of this process to the configured log file.

    The id and failure domain of the instance are added to every line, so that lines of several
    instances can be correlated by request id.

    Parameters
    ----------
    settings : InstanceSettings
        Settings with the log file; without one, lines go to standard error.
    """
    common_fields = {"instance": settings.instance_id, "failure_domain": settings.failure_domain}
    path = settings.log_file
    with contextlib.ExitStack() as stack:
        file = sys.stderr
        if path is not None:
            file = stack.enter_context(_LogFile(path, common_fields))
        elif _has_descriptor(sys.stderr):
            file = LineFile(common_fields, lambda data: os.write(sys.stderr.fileno(), data))
        write = FileDestination(file)

        def write_with_common_fields(message: dict) -> None:
            write({**message, **common_fields})

        add_destinations(write_with_common_fields)
        try:
            yield
        finally:
            remove_destination(write_with_common_fields)


class LineFile:
    """File for `FileDestination` whose lines wait in memory while the disk refuses them.

    A buffered stream would lose a part of a line, and its flush at the exit would change the exit
    status of the process.

    Parameters
    ----------
    common_fields : dict of str to str
        Fields of the line that counts dropped lines.
    write : callable
        Writes bytes, and returns how many of them it has written.
    """

    def __init__(self, common_fields: dict[str, str], write: Callable[[bytes], int]) -> None:
        self.writer = LogWriter(common_fields, LogLimits(), write)

    def write(self, line: bytes) -> None:
        """Queue a line."""
        if line:
            self.writer.queue_line(line)

    def flush(self) -> None:
        """Write the queued lines; those that the disk refuses are tried again with the next one."""
        self.writer.flush()


class _LogFile(LineFile):
    """Log file that is created once its disk has room.

    Parameters
    ----------
    path : Path
        Path of the file.
    common_fields : dict of str to str
        Fields of the line that counts dropped lines.
    """

    def __init__(self, path: Path, common_fields: dict[str, str]) -> None:
        super().__init__(common_fields, self._write_bytes)
        self.path = path
        self.descriptor: int | None = None

    def __enter__(self) -> Self:
        try:
            self._open()
        except OSError as error:
            if error.errno not in FULL_DISK_ERRORS:
                raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.flush()
        if self.descriptor is not None:
            os.close(self.descriptor)

    def _open(self) -> None:
        self.descriptor = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o666)

    def _write_bytes(self, data: bytes) -> int:
        if self.descriptor is None:
            self._open()
        return os.write(self.descriptor, data)


def _has_descriptor(stream: IO) -> bool:
    """Return whether a stream is a file of the operating system; captured output is not."""
    try:
        stream.fileno()
    except (OSError, ValueError):
        return False
    return True
