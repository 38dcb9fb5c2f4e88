"""Error kinds and the HTTP answer of each kind."""

from laburnumrock.errors._failure import Failure, problem_document
from laburnumrock.errors._kinds import (
    ANSWERS,
    ErrorAnswer,
    ErrorKind,
    Outcome,
    Phase,
    RetryAdvice,
)

__all__ = [
    "ANSWERS",
    "ErrorAnswer",
    "ErrorKind",
    "Failure",
    "Outcome",
    "Phase",
    "RetryAdvice",
    "problem_document",
]
