"""Set-up of eliot logs."""

import contextlib
import sys
from collections.abc import Iterator

from eliot import FileDestination, add_destinations, remove_destination

from laburnumrock.settings import InstanceSettings


@contextlib.contextmanager
def open_log(settings: InstanceSettings) -> Iterator[None]:
    """Write eliot log lines of this process to the log file of the settings.

    Every line carries the name and failure domain of the instance, so that the lines of several
    instances can be joined by the request id.

    Parameters
    ----------
    settings : InstanceSettings
        Names the file; standard error when it names none.
    """
    common_fields = {"instance": settings.instance_id, "failure_domain": settings.failure_domain}
    path = settings.log_file
    with contextlib.ExitStack() as stack:
        stream = sys.stderr
        if path is not None:
            stream = stack.enter_context(path.open("a", encoding="utf-8", buffering=1))
        write = FileDestination(stream)

        def write_with_place(message: dict) -> None:
            write({**message, **common_fields})

        add_destinations(write_with_place)
        try:
            yield
        finally:
            remove_destination(write_with_place)
