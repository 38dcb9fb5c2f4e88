"""What a running scenario knows and observes of its deployment."""

import http.client
import time
from dataclasses import dataclass, field
from urllib.parse import urlparse

from laburnumrock.scenarios._calls import ACCOUNT, Batch, CallSender
from laburnumrock.scenarios._deployment import BALANCER
from laburnumrock.scenarios._http import HttpAnswer, request_json
from laburnumrock.scenarios._processes import ProcessGroup
from laburnumrock.scenarios._script import Script

STATUS_TIMEOUT_S = 1.0
# The log may elect a leader while the operator waits.
CHANGE_TIMEOUT_S = 8.0


class StepError(AssertionError):
    """A statement could not be carried out or an expectation did not hold."""


@dataclass(slots=True)
class World:
    """State of a run.

    Parameters
    ----------
    script : Script
        The scenario.
    group : ProcessGroup
        Its processes.
    sender : CallSender
        Sends the calls.
    batches : dict of str to Batch
        Submitted calls by name.
    changes : dict of str to list of HttpAnswer
        Answers to changes by name.
    roles : dict of str to str
        Names that ``let`` defined.
    exits : dict of str to int or None
        Exit status of stopped instances, None after a timeout.
    unusable : set of str
        Processes that were killed, stopped or frozen.
    bases : dict of str to int
        Base revisions of changes by request id; a resend has that of the first one.
    revision : int
        Highest revision that an operator was told.
    """

    script: Script
    group: ProcessGroup
    sender: CallSender
    batches: dict[str, Batch] = field(default_factory=dict)
    changes: dict[str, list[HttpAnswer]] = field(default_factory=dict)
    roles: dict[str, str] = field(default_factory=dict)
    exits: dict[str, int | None] = field(default_factory=dict)
    unusable: set[str] = field(default_factory=set)
    bases: dict[str, int] = field(default_factory=dict)
    revision: int = 0
    sequence: int = 0

    @property
    def deployment(self):
        """Addresses and files."""
        return self.group.deployment

    def resolve(self, names) -> list[str]:
        """Return the processes that names stand for; a failure domain stands for its instances."""
        resolved = []
        for name in map(str, names):
            name = self.roles.get(name, name)
            is_domain = name in self.deployment.plan.failure_domains
            resolved += self.deployment.instances_in(name) if is_domain else [name]
        return resolved

    def live_instances(self) -> list[str]:
        """Return the instances that run and are not frozen."""
        return [name for name in self.deployment.instances if name not in self.unusable]

    def choose(self, at) -> list[str]:
        """Return the instances of an ``at`` clause, or all live ones without it."""
        return self.live_instances() if at is None else self.resolve(at.children)

    def url_of(self, name: str) -> str:
        """Return the URL for callers of an instance or of the balancer."""
        if name == BALANCER:
            return self.deployment.url
        return self.deployment.instances[name].url

    def status(self, instance: str) -> dict:
        """Return the operator status of an instance; empty without an answer."""
        headers = {"Authorization": f"Bearer {self.deployment.operator_key}"}
        url = f"{self.deployment.instances[instance].url}/operator/v1/status"
        answer = request_json(url, headers=headers, timeout_s=STATUS_TIMEOUT_S)
        return answer.json() if answer.status == 200 else {}

    def statuses(self) -> dict[str, dict]:
        """Return the status of every live instance."""
        return {name: self.status(name) for name in self.live_instances()}

    def find_leader(self) -> str | None:
        """Return the leader of the log with the highest term, as its own status says."""
        leaders = {
            status["log_term"]: name
            for name, status in self.statuses().items()
            if status.get("log_leader")
        }
        return leaders[max(leaders)] if leaders else None

    def find_role(self, role: str, domain: str | None) -> str | None:
        """Return who holds a role now."""
        if role == "leader":
            return self.find_leader()
        if role == "busy":
            loads = self.engine_loads()
            return next((name for name, load in loads.items() if load["running"]), None)
        for name in self.deployment.instances_in(domain):
            status = self.status(name) if name not in self.unusable else {}
            pools = status.get("owned_pools", [])
            owns = any(pool.startswith(f"{domain}/model/") for pool in pools)
            if role == "owner" and owns:
                return name
            if role == "coordinator" and status.get("coordinator") == name:
                return name
        return None

    def engine_loads(self) -> dict[str, dict]:
        """Return the load of every engine that answers."""
        return self._ask_upstreams("v1/load", is_engine=True)

    def executions(self) -> dict[str, int]:
        """Return executions per operation over all application engines."""
        counts: dict[str, int] = {}
        for answer in self._ask_upstreams("executions", is_engine=False).values():
            for key, count in answer["executions"].items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def work_done(self, names: list[str]) -> dict[str, int]:
        """Return tokens and calls so far, by upstream, of upstreams or failure domains."""
        done = {
            name: load["generated_tokens"] + load["running"]
            for name, load in self.engine_loads().items()
        }
        done |= {
            name: one["calls"]
            for name, one in self._ask_upstreams("executions", is_engine=False).items()
        }
        upstreams = self.deployment.upstreams
        return {
            name: count
            for name, count in done.items()
            if name in names or upstreams[name].failure_domain in names
        }

    def _ask_upstreams(self, path: str, is_engine: bool) -> dict[str, dict]:
        answers = {}
        for name, upstream in self.deployment.upstreams.items():
            if upstream.is_engine == is_engine and name not in self.unusable:
                answer = request_json(f"{upstream.url}/{path}", timeout_s=STATUS_TIMEOUT_S)
                if answer.status == 200:
                    answers[name] = answer.json()
        return answers

    def make_change_id(self) -> str:
        """Return a new request id."""
        self.sequence += 1
        return f"scenario-{self.sequence}"

    def base_revision(self, instance: str) -> int:
        """Return the revision in force at an instance."""
        return int(self.status(instance).get("revision", self.revision))

    def post_change(self, instance: str, request_id: str, base: int, changes: list) -> HttpAnswer:
        """Submit changes at an instance and note the revision of the answer."""
        body = {"request_id": request_id, "base_revision": base, "changes": changes}
        headers = {"Authorization": f"Bearer {self.deployment.operator_key}"}
        url = f"{self.deployment.instances[instance].url}/operator/v1/changes"
        answer = request_json(url, body, headers=headers, timeout_s=CHANGE_TIMEOUT_S)
        if answer.status == 200:
            self.revision = max(self.revision, answer.json()["revision"])
        return answer

    def post_and_close(self, instance: str, body: bytes) -> None:
        """Submit changes and close the connection without reading the answer."""
        url = urlparse(self.deployment.instances[instance].url)
        connection = http.client.HTTPConnection(url.hostname, url.port, timeout=STATUS_TIMEOUT_S)
        headers = {
            "Authorization": f"Bearer {self.deployment.operator_key}",
            "Content-Type": "application/json",
        }
        connection.request("POST", "/operator/v1/changes", body, headers)
        connection.close()

    def in_force_at(self, revision: int, names: list[str]) -> dict[str, int]:
        """Return the revisions of the instances that have not reached `revision`."""
        revisions = {name: int(self.status(name).get("revision", -1)) for name in names}
        return {name: one for name, one in revisions.items() if one < revision}

    def service_state(self, instance: str, name: str) -> str | None:
        """Return the declared state of a name as an instance applies it; None without one."""
        answer = self.deployment.call_operator_api("declarations", instance=instance)
        declared = answer.json()["declarations"] if answer.status == 200 else []
        states = [one["state"] for one in declared if one["type"] == "service_state"]
        names = [one["name"] for one in declared if one["type"] == "service_state"]
        return dict(zip(names, states, strict=True)).get(name)

    def can_route(self, instance: str) -> bool:
        """Whether an instance answers a completion and a look-up."""
        url = self.deployment.instances[instance].url
        headers = {"X-Client-Account": ACCOUNT.name}
        body = {"prompt": "route check", "max_tokens": 1}
        completion = request_json(f"{url}/v1/completions", body, headers=headers)
        lookup = request_json(f"{url}/v1/services/orders/stock", headers=headers)
        return completion.status == 200 and lookup.status == 200


def poll(condition, timeout_s: float, interval_s: float = 0.05):
    """Return the first true result of a condition, or its last result after the timeout."""
    ends_s = time.monotonic() + timeout_s
    while True:
        result = condition()
        if result or time.monotonic() >= ends_s:
            return result
        time.sleep(interval_s)
