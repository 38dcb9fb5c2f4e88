"""Scenarios and the virtual clock that they run on."""

from laburnumrock.scenarios._log_checks import LogChecks
from laburnumrock.scenarios._log_cluster import LogCluster, LogReport
from laburnumrock.scenarios._log_host import LogHost
from laburnumrock.scenarios._log_owner import OperationOwner
from laburnumrock.scenarios._loopback import make_loopback_settings
from laburnumrock.scenarios._virtual import FaultRates, VirtualClock, VirtualNetwork

__all__ = [
    "FaultRates",
    "LogChecks",
    "LogCluster",
    "LogHost",
    "LogReport",
    "OperationOwner",
    "VirtualClock",
    "VirtualNetwork",
    "make_loopback_settings",
]
