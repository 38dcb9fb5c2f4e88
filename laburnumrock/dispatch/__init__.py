"""Choice of the upstream for each request, from the published cost model of the engines.

Everything here is free of I/O. One dispatcher at a time decides for all instances; an instance
that reaches none decides alone with `LocalDispatcher`.
"""

from laburnumrock.dispatch._budget import RepeatBudget
from laburnumrock.dispatch._directory import UpstreamDirectory
from laburnumrock.dispatch._dispatcher import Dispatcher, find_hold_s
from laburnumrock.dispatch._domain_health import DomainHealth
from laburnumrock.dispatch._engine_model import EngineModel
from laburnumrock.dispatch._fleet import DispatchSettings, Fleet
from laburnumrock.dispatch._load import ActiveSend, UpstreamLoad
from laburnumrock.dispatch._local import LocalDispatcher
from laburnumrock.dispatch._messages import (
    ActiveSendReport,
    DispatchAnswer,
    DispatchCall,
    DispatchDecided,
    Helper,
    SendEnded,
    SendOutcome,
    SendStalled,
    SendStarted,
    StallAdvice,
    UpstreamReport,
    UpstreamState,
)

__all__ = [
    "ActiveSend",
    "ActiveSendReport",
    "DispatchAnswer",
    "DispatchCall",
    "DispatchDecided",
    "DispatchSettings",
    "Dispatcher",
    "DomainHealth",
    "EngineModel",
    "Fleet",
    "Helper",
    "LocalDispatcher",
    "RepeatBudget",
    "SendEnded",
    "SendOutcome",
    "SendStalled",
    "SendStarted",
    "StallAdvice",
    "UpstreamDirectory",
    "UpstreamLoad",
    "UpstreamReport",
    "UpstreamState",
    "find_hold_s",
]
