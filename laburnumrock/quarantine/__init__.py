"""Quarantine of requests and parts of prompts that crash upstreams, without I/O."""

from laburnumrock.quarantine._digest import digest_request
from laburnumrock.quarantine._quarantine import PromptQuarantine, QuarantineSettings

__all__ = ["PromptQuarantine", "QuarantineSettings", "digest_request"]
