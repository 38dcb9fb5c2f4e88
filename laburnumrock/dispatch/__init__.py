"""Selection of the upstream for each request, based on the published cost model of the engines.

The package does no I/O. The leading core runs one dispatcher that places the requests of all entry
nodes; an entry node that cannot reach it falls back to `LocalDispatcher`. A *send* is one attempt
to forward a request to an upstream; it is identified by its permit number.
"""

from laburnumrock._lazy import make_lazy_getattr
from laburnumrock.dispatch._budget import RetryBudget
from laburnumrock.dispatch._directory import UpstreamDirectory, UpstreamRecord
from laburnumrock.dispatch._domain_health import DomainHealth
from laburnumrock.dispatch._limits import DispatchSettings, max_queue_wait_s
from laburnumrock.dispatch._local import LocalDispatcher
from laburnumrock.dispatch._messages import (
    ActiveSendReport,
    DispatchAnswer,
    DispatchCall,
    DispatchDecided,
    Helper,
    LimitReport,
    SendEnded,
    SendOutcome,
    SendStalled,
    SendStarted,
    StallAdvice,
    UpstreamReport,
    UpstreamState,
    WithdrawCall,
)
from laburnumrock.dispatch._outcomes import record_parts, refuse_quarantined
from laburnumrock.dispatch._request_limits import RequestLimits
from laburnumrock.dispatch._statements import (
    UpstreamStatement,
    UpstreamStatements,
    refuse_declined,
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
    "LimitReport",
    "LocalDispatcher",
    "RequestLimits",
    "RetryBudget",
    "SendEnded",
    "SendOutcome",
    "SendStalled",
    "SendStarted",
    "StallAdvice",
    "UpstreamDirectory",
    "UpstreamRecord",
    "UpstreamLoad",
    "UpstreamReport",
    "UpstreamState",
    "UpstreamStatement",
    "UpstreamStatements",
    "WithdrawCall",
    "max_queue_wait_s",
    "record_parts",
    "refuse_declined",
    "refuse_quarantined",
]

# Entry nodes run no dispatcher, so they do not import its modules.
__getattr__ = make_lazy_getattr(
    __name__,
    {
        "ActiveSend": "_load",
        "Dispatcher": "_dispatcher",
        "EngineModel": "_engine_model",
        "Fleet": "_fleet",
        "UpstreamLoad": "_load",
    },
)
