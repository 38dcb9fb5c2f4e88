"""Addresses, files and process commands of a deployment on the loopback interface."""

import json
import secrets
from collections.abc import Iterable
from pathlib import Path

from laburnumrock.scenarios._http import HttpResponse, request_json
from laburnumrock.scenarios._plan import (
    HOST,
    DeploymentPlan,
    EmulatedUpstream,
    Instance,
    ProcessSpec,
)
from laburnumrock.scenarios._ports import reserve_ports

READY_TIMEOUT_S = 1.0
STANDINS = ["-m", "laburnumrock.standins"]
RELAY = "relay"
BALANCER = "balancer"


class Deployment:
    """Addresses and files of a deployment on the loopback interface.

    Parameters
    ----------
    plan : DeploymentPlan
        Size and options of the deployment.
    folder : Path
        Folder for settings, keys, logs and data.

    Notes
    -----
    Instances are named ``a-1``, engines ``a-engine-1`` and application engines
    ``a-application-1``. The peer link ``a-1>b-1`` carries the connections that ``a-1`` opens to
    ``b-1``. The link to an upstream has the name of the upstream.
    """

    def __init__(self, plan: DeploymentPlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.operator_key = secrets.token_hex(16)
        self.operator_key_file = folder / "operator.key"
        self.shared_key_file = folder / "shared.key"
        self.instances: dict[str, Instance] = {}
        self.upstreams: dict[str, EmulatedUpstream] = {}
        self.link_ports: dict[str, int] = {}
        self.balancer_port = self.balancer_control_port = self.relay_port = 0
        self._assign_addresses()

    @property
    def url(self) -> str:
        """Client-facing URL of the load balancer."""
        return f"http://{HOST}:{self.balancer_port}"

    @property
    def engine_urls(self) -> list[str]:
        """Base URLs of the model engines."""
        return [upstream.url for upstream in self.upstreams.values() if upstream.is_engine]

    @property
    def application_urls(self) -> list[str]:
        """Base URLs of the application engines."""
        return [upstream.url for upstream in self.upstreams.values() if not upstream.is_engine]

    def instances_in(self, failure_domain: str) -> list[str]:
        """Return the names of the instances of a failure domain."""
        return [
            instance.name
            for instance in self.instances.values()
            if instance.failure_domain == failure_domain
        ]

    def call_operator_api(
        self, path: str, body: object = None, method: str | None = None, instance: str | None = None
    ) -> HttpResponse:
        """Send a request to ``/operator/v1/PATH``, by default of the first instance."""
        instance = instance or next(iter(self.instances))
        headers = {"Authorization": f"Bearer {self.operator_key}"}
        url = f"{self.instances[instance].url}/operator/v1/{path}"
        return request_json(url, body, method, headers)

    def change_links(self, names: Iterable[str], **change: object) -> None:
        """Set ``open``, ``delay_s`` or ``reset`` of links; the plan must have `has_links`."""
        url = f"http://{HOST}:{self.relay_port}/links"
        response = request_json(url, {"names": list(names), **change})
        if response.status != 200:
            raise ValueError(f"cannot change links: {response.body.decode()}")

    def links_between(self, first: Iterable[str], second: Iterable[str]) -> list[str]:
        """Return the names of the links between two sets of instances, in both directions."""
        first, second = set(first), set(second)
        names = [f"{x}>{y}" for x in sorted(first) for y in sorted(second) if x != y]
        names += [f"{y}>{x}" for x in sorted(first) for y in sorted(second) if x != y]
        return [name for name in dict.fromkeys(names) if name in self.link_ports]

    def cut(self, first: Iterable[str], second: Iterable[str], reset: bool = False) -> None:
        """Cut the links between two sets of instances.

        Connections stay open but carry no data, unless `reset` closes them.
        """
        self.change_links(self.links_between(first, second), open=False, reset=reset)

    def isolate(self, name: str) -> None:
        """Cut the links between an instance and all other instances."""
        self.cut([name], set(self.instances) - {name})

    def heal(self) -> None:
        """Open every link and remove its delay."""
        self.change_links(self.link_ports, open=True, delay_s=0.0)

    def is_ready(self, name: str) -> bool:
        """Return whether a process responds; an instance must also accept new requests."""
        if name in self.instances:
            url = f"{self.instances[name].url}/ready"
        elif name in self.upstreams:
            path = "v1/load" if self.upstreams[name].is_engine else "executions"
            url = f"{self.upstreams[name].url}/{path}"
        elif name == RELAY:
            url = f"http://{HOST}:{self.relay_port}/links"
        else:
            url = f"http://{HOST}:{self.balancer_control_port}/backends"
        return request_json(url, timeout_s=READY_TIMEOUT_S).status == 200

    def write_files(self) -> list[ProcessSpec]:
        """Write settings and key files; return the process commands in start order."""
        for file, key in (
            (self.operator_key_file, self.operator_key),
            (self.shared_key_file, secrets.token_hex(32)),
        ):
            file.touch(mode=0o600)
            file.write_text(key, encoding="ascii")
        specs = [self._make_relay()] if self.plan.has_links else []
        specs += [self._make_instance(instance) for instance in self.instances.values()]
        specs += [self._make_upstream(upstream) for upstream in self.upstreams.values()]
        if self.plan.has_balancer and self.instances:
            specs.append(self._make_balancer())
        return specs

    def _assign_addresses(self) -> None:
        plan = self.plan
        per_domain = 2 * plan.instances + 3 * (plan.engines + plan.application_engines)
        count = 3 + per_domain * len(plan.failure_domains)
        total_instances = plan.instances * len(plan.failure_domains)
        links = total_instances * (total_instances - 1) if plan.has_links else 0
        self.port_reservation = reserve_ports(count + links, HOST)
        ports = iter(self.port_reservation.ports)
        self.balancer_port, self.balancer_control_port = next(ports), next(ports)
        self.relay_port = next(ports)
        voters = 0
        for index in range(1, plan.instances + 1):
            for domain in plan.failure_domains:
                name = f"{domain}-{index}"
                is_voter = voters < plan.voters
                voters += is_voter
                self.instances[name] = Instance(name, domain, next(ports), next(ports), is_voter)
        kinds = (("engine", plan.engines, True), ("application", plan.application_engines, False))
        for domain in plan.failure_domains:
            for kind, number, is_engine in kinds:
                for index in range(1, number + 1):
                    name = f"{domain}-{kind}-{index}"
                    addresses = next(ports), next(ports), next(ports)
                    self.upstreams[name] = EmulatedUpstream(name, domain, *addresses, is_engine)
        if plan.has_links:
            self.link_ports = {
                name: upstream.link_port for name, upstream in self.upstreams.items()
            }
            for x in self.instances:
                self.link_ports |= {f"{x}>{y}": next(ports) for y in self.instances if x != y}

    def _make_relay(self) -> ProcessSpec:
        lines = []
        for name, port in self.link_ports.items():
            target = self.upstreams[name].port if name in self.upstreams else None
            target = target or self.instances[name.partition(">")[2]].peer_port
            lines.append(f"{name}={port}:{HOST}:{target}")
        file = self.folder / "links.txt"
        file.write_text("\n".join(lines), encoding="ascii")
        options = ["--control-port", str(self.relay_port), "--links-file", str(file)]
        return ProcessSpec(RELAY, [*STANDINS, "relay", *options])

    def _make_instance(self, instance: Instance) -> ProcessSpec:
        data_folder = self.folder / f"{instance.name}.data" if instance.is_voter else None
        settings = {
            "instance_id": instance.name,
            "failure_domain": instance.failure_domain,
            "listen": {
                "host": HOST,
                "caller_port": instance.caller_port,
                "peer_port": instance.peer_port,
            },
            "data_folder": str(data_folder) if data_folder else None,
            "shared_key_file": str(self.shared_key_file),
            "operator_key_file": str(self.operator_key_file),
            "peers": [self._describe_peer(instance, peer) for peer in self.instances.values()],
            "timing": self.plan.timing,
            "placement_policy": self.plan.placement_policy,
            "seed": self.plan.seed,
        }
        file = self.folder / f"{instance.name}.json"
        file.write_text(json.dumps(settings, indent=1), encoding="utf-8")
        command = ["-m", "laburnumrock.daemon", "--settings", str(file)]
        return ProcessSpec(instance.name, command, data_folder)

    def _describe_peer(self, instance: Instance, peer: Instance) -> dict[str, object]:
        return {
            "instance_id": peer.name,
            "failure_domain": peer.failure_domain,
            "host": HOST,
            "caller_port": peer.caller_port,
            "peer_port": self.link_ports.get(f"{instance.name}>{peer.name}", peer.peer_port),
            "voter": peer.is_voter,
        }

    def _make_upstream(self, upstream: EmulatedUpstream) -> ProcessSpec:
        options = ["--id", upstream.name, "--failure-domain", upstream.failure_domain]
        for instance in self.instances_in(upstream.failure_domain):
            options += ["--announce-to", self.instances[instance].url.removeprefix("http://")]
        if self.plan.has_links:
            options += ["--advertise", f"{HOST}:{upstream.link_port}"]
        if upstream.is_engine:
            options += ["--base-port", str(upstream.port), "--seed", str(self.plan.seed)]
            for model in self.plan.models:
                options += ["--model", model]
            command = [*STANDINS, "engine", *options, *self.plan.engine_options]
            return ProcessSpec(upstream.name, command)
        options += ["--port", str(upstream.port), "--control-port", str(upstream.control_port)]
        for service in self.plan.services:
            options += ["--service", service]
        command = [*STANDINS, "application", *options, *self.plan.application_options]
        return ProcessSpec(upstream.name, command)

    def _make_balancer(self) -> ProcessSpec:
        options = ["--port", str(self.balancer_port)]
        options += ["--control-port", str(self.balancer_control_port)]
        for instance in self.instances.values():
            options += ["--backend", instance.url.removeprefix("http://")]
        return ProcessSpec(BALANCER, [*STANDINS, "balancer", *options])
