"""Emulators of engines, load balancer and network links, and a load generator."""

from laburnumrock.standins._batching import BatchingModel
from laburnumrock.standins._engine import hash_prompt, token_text
from laburnumrock.standins._load import (
    load_command,
    read_executions,
    read_report,
    report_command,
    run_load,
)
from laburnumrock.standins._load_calls import CallRecord, LoadClient
from laburnumrock.standins._load_profile import (
    AccountProfile,
    ClassProfile,
    LoadProfile,
    PlannedCall,
    ServiceProfile,
    load_profile,
    plan_calls,
)
from laburnumrock.standins._load_report import LoadReport, format_report, summarize
from laburnumrock.standins._parameters import (
    EngineEvent,
    EngineParameters,
    EngineRequest,
    PrefillFinished,
    RefusalReason,
    RequestAborted,
    TokenEvent,
)
from laburnumrock.standins._passes import FleetReplay, ReplayRequest
from laburnumrock.standins._proxy import FaultyProxy
from laburnumrock.standins._request_meter import (
    LIMIT_SETTLE_S,
    LIMIT_WINDOW_S,
    max_limited_requests,
)

__all__ = [
    "LIMIT_SETTLE_S",
    "LIMIT_WINDOW_S",
    "AccountProfile",
    "BatchingModel",
    "CallRecord",
    "ClassProfile",
    "EngineEvent",
    "EngineParameters",
    "EngineRequest",
    "FaultyProxy",
    "FleetReplay",
    "LoadClient",
    "LoadProfile",
    "LoadReport",
    "PlannedCall",
    "PrefillFinished",
    "RefusalReason",
    "RequestAborted",
    "ServiceProfile",
    "TokenEvent",
    "format_report",
    "hash_prompt",
    "load_command",
    "load_profile",
    "max_limited_requests",
    "plan_calls",
    "ReplayRequest",
    "read_executions",
    "read_report",
    "report_command",
    "run_load",
    "summarize",
    "token_text",
]
