"""Periodic work, which a single error does not end."""

from laburnumrock.periodic._periodic import log_errors, run_every, run_periodically

__all__ = ["log_errors", "run_every", "run_periodically"]
