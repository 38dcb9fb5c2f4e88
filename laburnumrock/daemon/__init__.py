"""The laburnumrock daemon: assembles and runs the tasks of one instance."""

from laburnumrock.daemon._log_task import LogTask

__all__ = ["LogTask"]
