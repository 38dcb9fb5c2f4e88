"""Runs of whole deployments: the process runner."""

from laburnumrock.scenarios._deployment import Deployment
from laburnumrock.scenarios._http import HttpAnswer, request_json
from laburnumrock.scenarios._plan import DeploymentPlan
from laburnumrock.scenarios._processes import ManagedProcess, ProcessGroup, run_deployment

__all__ = [
    "Deployment",
    "DeploymentPlan",
    "HttpAnswer",
    "ManagedProcess",
    "ProcessGroup",
    "request_json",
    "run_deployment",
]
