"""Periodic work, which a single error does not end."""

from laburnumrock.periodic._periodic import (
    log_errors,
    raise_if_cancelled,
    run_every,
    run_periodically,
)
from laburnumrock.periodic._stalls import StallDetector

__all__ = ["StallDetector", "log_errors", "raise_if_cancelled", "run_every", "run_periodically"]
