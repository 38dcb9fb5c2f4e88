"""Randomized fault soak: real processes on one machine, with faults from outside them.

Cores and entries run as the platform starts them. Upstreams, callers and an operator run in the
soak itself and check the promises from what they see on their sockets.
"""

from laburnumrock.platform.soak._findings import Findings
from laburnumrock.platform.soak._run import SoakSettings, run_soak
from laburnumrock.platform.soak._schedule import ACTIONS, Step, make_schedule

__all__ = ["ACTIONS", "Findings", "SoakSettings", "Step", "make_schedule", "run_soak"]
