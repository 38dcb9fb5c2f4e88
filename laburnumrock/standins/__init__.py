"""Emulators of model engines, application engines, balancer and links, and the load tool."""

from laburnumrock.standins._batching import BatchingModel
from laburnumrock.standins._engine import hash_prompt, token_text
from laburnumrock.standins._load import load_command, read_executions, read_report, report_command
from laburnumrock.standins._load_report import LoadReport
from laburnumrock.standins._parameters import (
    EngineEvent,
    EngineParameters,
    EngineRequest,
    PrefillFinished,
    RefusalReason,
    RequestAborted,
    TokenEvent,
)
from laburnumrock.standins._prefix_cache import PREFIX_LENGTHS, hash_prefixes

__all__ = [
    "PREFIX_LENGTHS",
    "BatchingModel",
    "EngineEvent",
    "EngineParameters",
    "EngineRequest",
    "LoadReport",
    "PrefillFinished",
    "RefusalReason",
    "RequestAborted",
    "TokenEvent",
    "hash_prefixes",
    "hash_prompt",
    "load_command",
    "read_executions",
    "read_report",
    "report_command",
    "token_text",
]
