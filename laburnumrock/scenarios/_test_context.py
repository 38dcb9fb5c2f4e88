"""State of a running scenario, and queries to its deployment."""

import http.client
import time
from dataclasses import dataclass, field
from urllib.parse import urlparse

from laburnumrock.scenarios._calls import ACCOUNT, CallBatch, CallSender
from laburnumrock.scenarios._deployment import BALANCER
from laburnumrock.scenarios._http import HttpResponse, request_json
from laburnumrock.scenarios._processes import ProcessGroup
from laburnumrock.scenarios._script import Script

STATUS_TIMEOUT_S = 1.0
# Leaves time for a leader election of the replicated log during the request.
CHANGE_TIMEOUT_S = 8.0


class StepError(AssertionError):
    """A statement failed or an expectation was not met."""


@dataclass(slots=True)
class ScenarioContext:
    """State of one scenario run.

    Parameters
    ----------
    script : Script
        The scenario.
    group : ProcessGroup
        Processes of the deployment.
    sender : CallSender
        Sends client calls in the background.
    batches : dict of str to CallBatch
        Submitted calls by batch name.
    changes : dict of str to list of HttpResponse
        Responses to declaration changes by the name given in the statement.
    roles : dict of str to str
        Process names by the alias that a ``let`` statement defined.
    exit_statuses : dict of str to int or None
        Exit statuses of stopped processes; None if the process did not stop in time.
    unavailable : set of str
        Processes that are killed, stopped or frozen at present.
    change_base_revisions : dict of str to int
        Base revision of each change by request id; a retry uses that of the first attempt.
    revision : int
        Highest declaration revision returned by an instance to this scenario.
    sequence : int
        Number of the last request id from `make_change_id`.
    """

    script: Script
    group: ProcessGroup
    sender: CallSender
    batches: dict[str, CallBatch] = field(default_factory=dict)
    changes: dict[str, list[HttpResponse]] = field(default_factory=dict)
    roles: dict[str, str] = field(default_factory=dict)
    exit_statuses: dict[str, int | None] = field(default_factory=dict)
    unavailable: set[str] = field(default_factory=set)
    change_base_revisions: dict[str, int] = field(default_factory=dict)
    revision: int = 0
    sequence: int = 0

    @property
    def deployment(self):
        """Addresses and files of the deployment."""
        return self.group.deployment

    def resolve_names(self, names) -> list[str]:
        """Return process names; resolves aliases and expands a failure domain to its instances."""
        resolved = []
        for name in map(str, names):
            name = self.roles.get(name, name)
            is_domain = name in self.deployment.plan.failure_domains
            resolved += self.deployment.instances_in(name) if is_domain else [name]
        return resolved

    def live_instances(self) -> list[str]:
        """Return the instances that run and are not frozen."""
        return [name for name in self.deployment.instances if name not in self.unavailable]

    def select_instances(self, at) -> list[str]:
        """Return the instances of an ``at`` clause, or all live instances if there is none."""
        return self.live_instances() if at is None else self.resolve_names(at.children)

    def get_caller_url(self, name: str) -> str:
        """Return the client-facing URL of an instance or the balancer."""
        if name == BALANCER:
            return self.deployment.url
        return self.deployment.instances[name].url

    def status(self, instance: str) -> dict:
        """Return the operator status of an instance, or an empty dict if the request fails."""
        headers = {"Authorization": f"Bearer {self.deployment.operator_key}"}
        url = f"{self.deployment.instances[instance].url}/operator/v1/status"
        response = request_json(url, headers=headers, timeout_s=STATUS_TIMEOUT_S)
        return response.json() if response.status == 200 else {}

    def statuses(self) -> dict[str, dict]:
        """Return the operator status of every live instance."""
        return {name: self.status(name) for name in self.live_instances()}

    def find_leader(self) -> str | None:
        """Return the instance that reports itself as log leader in the highest term."""
        leaders = {
            status["log_term"]: name
            for name, status in self.statuses().items()
            if status.get("log_leader")
        }
        return leaders[max(leaders)] if leaders else None

    def find_role(self, role: str, domain: str | None) -> str | None:
        """Return the process that currently holds a role, if any.

        The role ``busy`` belongs to the first engine with a running request.
        """
        if role == "leader":
            return self.find_leader()
        if role == "busy":
            loads = self.engine_loads()
            return next((name for name, load in loads.items() if load["running"]), None)
        for name in self.deployment.instances_in(domain):
            status = self.status(name) if name not in self.unavailable else {}
            pools = status.get("owned_pools", [])
            owns = any(pool.startswith(f"{domain}/model/") for pool in pools)
            if role == "owner" and owns:
                return name
            if role == "coordinator" and status.get("coordinator") == name:
                return name
        return None

    def engine_loads(self) -> dict[str, dict]:
        """Return the load report of every reachable engine."""
        return self._query_upstreams("v1/load", is_engine=True)

    def executions(self) -> dict[str, int]:
        """Return the number of executions per operation, summed over all application engines."""
        counts: dict[str, int] = {}
        for response in self._query_upstreams("executions", is_engine=False).values():
            for key, count in response["executions"].items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def count_work(self, names: list[str]) -> dict[str, int]:
        """Return the tokens or calls processed so far, by upstream.

        Each running request of an engine counts as one more token. `names` are upstreams or
        failure domains.
        """
        done = {
            name: load["generated_tokens"] + load["running"]
            for name, load in self.engine_loads().items()
        }
        done |= {
            name: execution["calls"]
            for name, execution in self._query_upstreams("executions", is_engine=False).items()
        }
        upstreams = self.deployment.upstreams
        return {
            name: count
            for name, count in done.items()
            if name in names or upstreams[name].failure_domain in names
        }

    def _query_upstreams(self, path: str, is_engine: bool) -> dict[str, dict]:
        responses = {}
        for name, upstream in self.deployment.upstreams.items():
            if upstream.is_engine == is_engine and name not in self.unavailable:
                response = request_json(f"{upstream.url}/{path}", timeout_s=STATUS_TIMEOUT_S)
                if response.status == 200:
                    responses[name] = response.json()
        return responses

    def make_change_id(self) -> str:
        """Return a new request id for a declaration change."""
        self.sequence += 1
        return f"scenario-{self.sequence}"

    def base_revision(self, instance: str) -> int:
        """Return the revision in force at an instance."""
        return int(self.status(instance).get("revision", self.revision))

    def post_change(self, instance: str, request_id: str, base: int, changes: list) -> HttpResponse:
        """Submit changes to an instance and record the revision in its response."""
        body = {"request_id": request_id, "base_revision": base, "changes": changes}
        headers = {"Authorization": f"Bearer {self.deployment.operator_key}"}
        url = f"{self.deployment.instances[instance].url}/operator/v1/changes"
        response = request_json(url, body, headers=headers, timeout_s=CHANGE_TIMEOUT_S)
        if response.status == 200:
            self.revision = max(self.revision, response.json()["revision"])
        return response

    def post_and_close(self, instance: str, body: bytes) -> None:
        """Submit changes and close the connection without reading the response."""
        url = urlparse(self.deployment.instances[instance].url)
        connection = http.client.HTTPConnection(url.hostname, url.port, timeout=STATUS_TIMEOUT_S)
        headers = {
            "Authorization": f"Bearer {self.deployment.operator_key}",
            "Content-Type": "application/json",
        }
        connection.request("POST", "/operator/v1/changes", body, headers)
        connection.close()

    def find_lagging_revisions(self, revision: int, names: list[str]) -> dict[str, int]:
        """Return the revision of each instance that is behind `revision`."""
        revisions = {name: int(self.status(name).get("revision", -1)) for name in names}
        return {name: found for name, found in revisions.items() if found < revision}

    def service_state(self, instance: str, name: str) -> str | None:
        """Return the service state that an instance has in force for a name, or None."""
        response = self.deployment.call_operator_api("declarations", instance=instance)
        declared = response.json()["declarations"] if response.status == 200 else []
        states = [entry["state"] for entry in declared if entry["type"] == "service_state"]
        names = [entry["name"] for entry in declared if entry["type"] == "service_state"]
        return dict(zip(names, states, strict=True)).get(name)

    def can_route(self, instance: str) -> bool:
        """Return whether an instance serves a completion and a look-up."""
        url = self.deployment.instances[instance].url
        headers = {"X-Client-Account": ACCOUNT.name}
        body = {"prompt": "route check", "max_tokens": 1}
        completion = request_json(f"{url}/v1/completions", body, headers=headers)
        lookup = request_json(f"{url}/v1/services/orders/stock", headers=headers)
        return completion.status == 200 and lookup.status == 200


def poll(condition, timeout_s: float, interval_s: float = 0.05):
    """Call a condition until its result is truthy or the timeout expires; return that result."""
    deadline_s = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result or time.monotonic() >= deadline_s:
            return result
        time.sleep(interval_s)
