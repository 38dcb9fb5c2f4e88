"""Quarantine of requests and parts of prompts that crash upstreams, without I/O."""

from laburnumrock.quarantine._digest import digest_request
from laburnumrock.quarantine._quarantine import CrashQuarantine, QuarantineSettings

__all__ = ["CrashQuarantine", "QuarantineSettings", "digest_request"]
