"""Full disks of processes, which a soak run causes from outside."""

import resource

from laburnumrock.scenarios import ManagedProcess


def fill_disk(process: ManagedProcess) -> None:
    """Let every write of a running process to a file fail, as on a full disk.

    Notes
    -----
    The limit on the size of files is set to 0, so that writes fail with EFBIG, those to the log of
    the process included; Python ignores the signal that comes with it. Unlike on a full disk, empty
    files can be created. The limit ends with the process.
    """
    if process.is_running:
        _, hard = resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE, (0, hard))


def free_disk(process: ManagedProcess) -> None:
    """Let writes of a process succeed again."""
    if process.is_running:
        _, hard = resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(process.process.pid, resource.RLIMIT_FSIZE, (hard, hard))
