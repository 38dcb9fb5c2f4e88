"""Tests of the signals that stop the daemon."""

import dataclasses
import signal
import time

import pytest

from laburnumrock.scenarios import DeploymentPlan, request_json, run_deployment

PLAN = DeploymentPlan(
    ("a",),
    instances=1,
    voters=1,
    engines=0,
    application_engines=0,
    has_balancer=False,
    timing={"balancer_grace_s": 0.1},
)


@pytest.mark.processes
class TestSignals:
    def test_repeated_signal(self):
        """Guards against a failure status when the supervisor repeats SIGTERM until the end."""
        with run_deployment(PLAN, 30.0) as group:
            process = group.processes["a-1"]
            end_s = time.monotonic() + 10.0
            while process.is_running and time.monotonic() < end_s:
                process.send(signal.SIGTERM)
                time.sleep(0.0005)
            assert process.wait(1.0) == 0

    def test_signal_before_the_instance_is_ready(self):
        """Guards against a stop that waits for a quorum, or a failure status."""
        plan = dataclasses.replace(PLAN, instances=3, voters=3)
        with run_deployment(plan, 30.0) as group:
            for name in ("a-1", "a-2", "a-3"):
                group.kill(name)
            group.start("a-1")
            url = group.deployment.instances["a-1"].url
            group.wait_for(lambda: request_json(f"{url}/health").status == 200, 10.0, "health")
            assert request_json(f"{url}/ready").status == 503
            started_s = time.monotonic()
            assert group.stop("a-1", 4.0) == 0
            assert time.monotonic() - started_s < 3.0
