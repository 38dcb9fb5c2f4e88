"""Configuration of eliot logging."""

import contextlib
import sys
from collections.abc import Iterator

from eliot import FileDestination, add_destinations, remove_destination

from laburnumrock.settings import InstanceSettings


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
        stream = sys.stderr
        if path is not None:
            stream = stack.enter_context(path.open("a", encoding="utf-8", buffering=1))
        write = FileDestination(stream)

        def write_with_common_fields(message: dict) -> None:
            write({**message, **common_fields})

        add_destinations(write_with_common_fields)
        try:
            yield
        finally:
            remove_destination(write_with_common_fields)
