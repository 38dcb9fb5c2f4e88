"""Quarantine of requests and parts of prompts that crash upstreams, without I/O."""

from laburnumrock.quarantine._digest import digest_request
from laburnumrock.quarantine._quarantine import (
    DIGEST_DIGITS,
    CrashedRequest,
    CrashQuarantine,
    QuarantineSettings,
    is_request,
    name_request,
)

__all__ = [
    "DIGEST_DIGITS",
    "CrashQuarantine",
    "CrashedRequest",
    "QuarantineSettings",
    "digest_request",
    "is_request",
    "name_request",
]
