"""Randomized fault-injection soak test with real processes on one machine.

Cores and entries run as the platform starts them, and faults are injected from outside. Simulated
upstreams, callers and an operator run in the soak process; they check the guarantees of the system
by what they observe on their sockets.
"""

from laburnumrock.platform.soak._findings import Findings
from laburnumrock.platform.soak._run import run_soak
from laburnumrock.platform.soak._schedule import ACTIONS, Step, make_schedule
from laburnumrock.platform.soak._state import SoakSettings

__all__ = ["ACTIONS", "Findings", "SoakSettings", "Step", "make_schedule", "run_soak"]
