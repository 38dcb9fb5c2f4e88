"""Tests of processes that fall silent and go on, and of a planned stop beside them."""

import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumrock.scenarios import DeploymentPlan, request_json, run_deployment
from laburnumrock.scenarios.tests.test_deployment import (
    ACCOUNT,
    complete,
    declare_and_wait,
    is_complete,
    place_order,
)

SILENCE_S = 1.7
PLAN = DeploymentPlan(
    ("a",),
    instances=3,
    engines=1,
    has_balancer=False,
    timing={"balancer_grace_s": 0.1, "drain_timeout_s": 0.5},
)
TOKENS = 250
"""A stream of about 4 s."""


def stream(url):
    body = {"prompt": "x", "max_tokens": TOKENS, "stream": True}
    return request_json(f"{url}/v1/completions", body, headers=ACCOUNT, timeout_s=20.0)


def has_true_end(response):
    """Return whether a completion ended whole or with the proof that it has not run."""
    if response.status == 503:
        document = response.json()
        return document["outcome"] == "not_run" and document["kind"] != "no_upstream"
    return is_complete(response, "x", TOKENS)


@pytest.mark.processes
class TestSilence:
    def test_streams_and_stop(self, tmp_path):
        """Guards against sound requests that a silence cuts, and a stop that cuts the others."""
        with (
            run_deployment(PLAN, 30.0, log_folder=tmp_path) as group,
            ThreadPoolExecutor(8) as pool,
        ):
            declare_and_wait(group)
            urls = {name: item.url for name, item in group.deployment.instances.items()}
            for name in ("a-engine-1", "a-1", "a-2", "a-3"):
                calls = [pool.submit(complete, url, "x", TOKENS) for url in urls.values()]
                time.sleep(0.7)
                group.pause(name)
                time.sleep(SILENCE_S)
                group.resume(name)
                # A new pool owner starts with one permit for the engine, so it may refuse some.
                answers = [call.result() for call in calls]
                assert all(map(has_true_end, answers)), (name, [one.body for one in answers])
                assert any(is_complete(one, "x", TOKENS) for one in answers)
            logs = "".join(group.read_log(name) for name in urls)
            assert "attempt_failed" not in logs
            self.check_stop(group, pool, urls["a-1"])

    def check_stop(self, group, pool, url):
        # After the last pause the pool may be without an owner for a while.
        group.wait_for(lambda: complete(url, "x", 1).status == 200, 10.0, "owner of the pool")
        streamed = pool.submit(stream, url)
        time.sleep(0.5)
        group.pause("a-engine-1")
        group.pause("a-application-1")
        queued = pool.submit(complete, url, "x", TOKENS)
        order = pool.submit(place_order, url, "silent")
        time.sleep(0.5)
        started_s = time.monotonic()
        assert group.stop("a-1", 10.0) == 0
        assert time.monotonic() - started_s < 6.0
        body = streamed.result().body.decode()
        assert "[DONE]" not in body
        assert json.loads(body.split("event: error\ndata: ")[1])["outcome"] == "unknown"
        document = queued.result().json()
        assert (queued.result().status, document["outcome"]) in ((502, "unknown"), (503, "not_run"))
        group.resume("a-application-1")
        again = place_order(group.deployment.instances["a-2"].url, "silent")
        document = order.result().json()
        if document["outcome"] == "not_run":
            assert again.status == 200
        else:
            assert (order.result().status, document["kind"]) == (502, "outcome_unknown")
            assert (again.status, again.json()["kind"]) == (502, "outcome_unknown")
