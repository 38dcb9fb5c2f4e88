"""Fault-injection scenarios, simulated under a virtual clock or run on real processes."""

from laburnumrock.scenarios._deployment import Deployment
from laburnumrock.scenarios._http import HttpResponse, request_json
from laburnumrock.scenarios._interpreter import ScenarioReport, run_script
from laburnumrock.scenarios._log_checks import LogChecks
from laburnumrock.scenarios._log_cluster import LogCluster, LogReport
from laburnumrock.scenarios._log_host import LogHost
from laburnumrock.scenarios._log_owner import OperationOwner
from laburnumrock.scenarios._loopback import make_loopback_settings
from laburnumrock.scenarios._order_cluster import OrderCluster
from laburnumrock.scenarios._order_host import OrderHost
from laburnumrock.scenarios._plan import DeploymentPlan
from laburnumrock.scenarios._ports import find_free_ports
from laburnumrock.scenarios._processes import ManagedProcess, ProcessGroup, run_deployment
from laburnumrock.scenarios._script import CASES, ScenarioError, Script, parse_script, read_script
from laburnumrock.scenarios._virtual import FaultRates, VirtualClock, VirtualNetwork

__all__ = [
    "CASES",
    "ScenarioError",
    "ScenarioReport",
    "Script",
    "parse_script",
    "read_script",
    "run_script",
    "Deployment",
    "DeploymentPlan",
    "FaultRates",
    "HttpResponse",
    "LogChecks",
    "LogCluster",
    "LogHost",
    "LogReport",
    "ManagedProcess",
    "OperationOwner",
    "OrderCluster",
    "OrderHost",
    "ProcessGroup",
    "VirtualClock",
    "VirtualNetwork",
    "find_free_ports",
    "make_loopback_settings",
    "request_json",
    "run_deployment",
]
