"""Closed list of error kinds and the answer that each of them gives."""

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
