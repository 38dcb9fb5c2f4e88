"""Tests of a whole deployment with faults, over the process runner."""

import hashlib
import json
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from laburnumrock.scenarios import DeploymentPlan, request_json, run_deployment
from laburnumrock.standins import hash_prompt, token_text

ACCOUNT = {"X-Client-Account": "skylight"}
CHANGES = [
    {
        "type": "template",
        "client_account": "skylight",
        "model": "quote",
        "limits": {"requests_per_s": 500.0, "tokens_per_s": 5e7, "concurrency": 500},
        "deadlines": {"short_s": 15.0, "medium_s": 30.0, "long_s": 60.0},
        "max_output_tokens": 1_000,
    },
    {
        "type": "service",
        "name": "orders",
        "paths": [{"path": "place", "repeatable": False}],
        "timeout_s": 10.0,
    },
]
PLAN = DeploymentPlan(instances=3, engines=1, has_links=True)


def complete(url, prompt, max_tokens):
    body = {"prompt": prompt, "max_tokens": max_tokens, "stream": False}
    return request_json(f"{url}/v1/completions", body, headers=ACCOUNT, timeout_s=20.0)


def is_whole(answer, prompt, max_tokens):
    digest = hash_prompt(prompt)
    expected = "".join(token_text(digest, index) for index in range(max_tokens))
    return answer.status == 200 and answer.json()["choices"][0]["text"] == expected


def place_order(url, key):
    headers = {**ACCOUNT, "Idempotency-Key": key}
    return request_json(f"{url}/v1/services/orders/place", {}, headers=headers, timeout_s=20.0)


def prepare(group):
    """Declare the account and the service, and wait until every instance routes."""
    deployment = group.deployment
    changes = [{"action": "put", "declaration": declaration} for declaration in CHANGES]
    body = {"request_id": "1", "base_revision": 0, "changes": changes}
    assert deployment.call_operator_api("changes", body).status == 200
    for instance in deployment.instances.values():

        seen = []

        def has_routes(url=instance.url, seen=seen):
            digest = hashlib.sha256(url.encode()).hexdigest()
            answers = [complete(url, "x", 1), place_order(url, digest)]
            seen.append([answer.body[:300] for answer in answers if answer.status != 200])
            return not seen[-1]

        try:
            group.wait_for(has_routes, 15.0, f"routes on {instance.name}")
        except TimeoutError as error:
            raise AssertionError(f"{error}: {seen[-3:]}") from error


def count_executions(deployment, prefix):
    counts = {}
    for url in deployment.application_urls:
        for key, count in request_json(f"{url}/executions").json()["executions"].items():
            if key.startswith(prefix):
                counts[key] = counts.get(key, 0) + count
    return counts


def find_leader(deployment):
    statuses = {
        name: deployment.call_operator_api("status", instance=name) for name in deployment.instances
    }
    return next(name for name, answer in statuses.items() if answer.json()["log_leader"])


def find_owner(deployment, pool):
    return deployment.call_operator_api("status").json()["pools"][pool]["owner"]


def find_entries(deployment, victim):
    """Return the URL of one instance of each failure domain that is not the victim."""
    urls = []
    for domain in deployment.plan.failure_domains:
        names = [name for name in deployment.instances_in(domain) if name != victim]
        urls.append(deployment.instances[names[-1]].url)
    return urls


@pytest.mark.processes
class TestDeployment:
    def test_partitioned_domain_serves_models_and_refuses_orders_truthfully(self):
        """Guards against a cut-off domain that stops, or that says not_run of a run order."""
        with run_deployment(PLAN, 30.0) as group:
            prepare(group)
            deployment = group.deployment
            others = deployment.instances_in("a") + deployment.instances_in("b")
            deployment.cut(deployment.instances_in("c"), others)
            time.sleep(4.0)
            url = deployment.instances["c-3"].url
            answers = [complete(url, f"cut {index}", 20) for index in range(5)]
            assert all(is_whole(answer, f"cut {i}", 20) for i, answer in enumerate(answers))
            refused = place_order(url, "cut-1")
            assert refused.status == 503
            # Nothing proves that the order did not run through another instance.
            assert refused.json()["kind"] == "journal_unavailable"
            assert refused.json()["outcome"] == "unknown"
            assert count_executions(deployment, "cut-") == {}
            assert place_order(deployment.instances["a-3"].url, "majority-1").status == 200
            deployment.heal()

            def is_healed():
                return place_order(url, "cut-1").status == 200

            group.wait_for(is_healed, 15.0, "orders in the healed domain")
            assert count_executions(deployment, "cut-") == {"cut-1": 1}

    def test_engine_and_owner_die_during_streams(self):
        """Guards against broken or wrong answers after the loss of an engine or an instance."""
        with run_deployment(PLAN, 30.0) as group:
            prepare(group)
            owner = find_owner(group.deployment, "a/model/quote")
            urls = find_entries(group.deployment, owner)
            with ThreadPoolExecutor(12) as pool:
                running = {
                    f"long {index}": pool.submit(complete, urls[index % 3], f"long {index}", 300)
                    for index in range(12)
                }
                time.sleep(1.0)
                group.kill("b-engine-1", owner)
                answers = {prompt: future.result() for prompt, future in running.items()}
            failed = {p: a for p, a in answers.items() if not is_whole(a, p, 300)}
            for answer in failed.values():
                assert answer.status >= 500
                assert json.loads(answer.body)["outcome"] in ("not_run", "unknown", "rejected")
            assert len(failed) <= 4, {p: a.body[:300] for p, a in failed.items()}

    def test_orders_run_once_while_the_log_leader_dies(self):
        """Guards against double runs and untrue refusals when the leader is lost mid-call."""
        with run_deployment(PLAN, 30.0) as group:
            prepare(group)
            deployment = group.deployment
            leader = find_leader(deployment)
            urls = find_entries(deployment, leader)
            with ThreadPoolExecutor(6) as pool:
                placed = []
                for index in range(40):
                    key = f"order-{index // 2}"
                    placed.append((key, pool.submit(place_order, urls[index % 3], key)))
                    if index == 15:
                        group.kill(leader)
                    time.sleep(0.05)
                answers = [(key, future.result()) for key, future in placed]
            counts = count_executions(deployment, "order-")
            assert max(counts.values()) == 1
            for key in {key for key, _ in answers}:
                group_answers = [answer for name, answer in answers if name == key]
                if any(answer.status == 200 for answer in group_answers):
                    assert counts.get(key) == 1
                elif all(answer.json()["outcome"] == "not_run" for answer in group_answers):
                    assert key not in counts
