"""Quarantine of the parts of prompts that crash upstreams, without I/O."""

from laburnumrock.quarantine._quarantine import PromptQuarantine, QuarantineSettings

__all__ = ["PromptQuarantine", "QuarantineSettings"]
