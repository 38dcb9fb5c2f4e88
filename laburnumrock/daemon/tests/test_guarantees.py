"""Tests of guarantees to callers and operators against real daemons."""

import time

import pytest

from laburnumrock.daemon.tests.test_bad_input import ACCOUNT, WHOLE, Target
from laburnumrock.scenarios import DeploymentPlan, request_json, run_deployment

PLAN = DeploymentPlan(
    failure_domains=("a",), instances=2, voters=1, engines=1, has_balancer=False, seed=7
)
DRAIN = {"type": "service_state", "kind": "instance", "name": "a-2", "state": "drained"}
DEADLINE_S = 4.0


@pytest.fixture(scope="class")
def target():
    with run_deployment(PLAN) as group:
        running = Target(group)
        running.declare()
        yield running


@pytest.mark.processes
class TestGuarantees:
    def test_drained_instance_gets_no_new_work(self, target):
        """Guards against an instance that the balancer goes on using after it was drained."""
        url = f"{target.deployment.instances['a-2'].url}/ready"
        assert request_json(url).status == 200
        changes = [{"action": "put", "declaration": DRAIN}]
        body = {"request_id": "r-2", "base_revision": 1, "changes": changes}
        assert target.deployment.call_operator_api("changes", body).status == 200
        target.group.wait_for(lambda: request_json(url).status == 503, 5.0, "readiness off")

    def test_deadline_holds_while_the_engine_is_frozen(self, target):
        """Guards against a failure that is held back until the engine confirms the cancellation."""
        url = f"{target.url}/v1/completions"
        headers = ACCOUNT | {"X-Timeout-S": str(DEADLINE_S)}
        target.group.pause("a-engine-1")
        started_s = time.monotonic()
        try:
            answer = request_json(url, WHOLE, headers=headers, timeout_s=4 * DEADLINE_S)
        finally:
            target.group.resume("a-engine-1")
        assert time.monotonic() - started_s < DEADLINE_S + 1.0
        assert answer.json()["kind"] in ("deadline_exceeded", "deadline_unreachable")
