"""Composition and life cycle of the daemon."""

from laburnumrock.daemon._log_task import LogTask

__all__ = ["LogTask"]
