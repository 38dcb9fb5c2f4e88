"""Contents of a deployment."""

from dataclasses import dataclass, field
from pathlib import Path

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """What a deployment consists of.

    Parameters
    ----------
    failure_domains : tuple of str
        Names of the failure domains.
    instances : int
        Entry instances per failure domain; 0 runs the emulators alone.
    voters : int
        Instances with a disk and the replicated log, spread over the failure domains.
    engines, application_engines : int
        Upstreams per failure domain.
    models, services : tuple of str
        What the upstreams serve.
    has_balancer : bool
        Whether a balancer runs in front of the instances.
    has_links : bool
        Whether instances reach each other and upstreams are reached through links of the relay
        emulator, which can be cut. It costs one relay process on the path of every byte.
    engine_options, application_options : tuple of str
        Further options of the emulators.
    timing : dict of str to float
        Members of the instances' ``timing`` settings.
    placement_policy : str
        Placement policy of the instances.
    seed : int
        Seed of every process.
    """

    failure_domains: tuple[str, ...] = ("a", "b", "c")
    instances: int = 5
    voters: int = 3
    engines: int = 2
    application_engines: int = 1
    models: tuple[str, ...] = ("quote",)
    services: tuple[str, ...] = ("orders",)
    has_balancer: bool = True
    has_links: bool = False
    engine_options: tuple[str, ...] = ()
    application_options: tuple[str, ...] = ()
    timing: dict[str, float] = field(default_factory=dict)
    placement_policy: str = "length_aware"
    seed: int = 0


@dataclass(frozen=True, slots=True)
class ProcessSpec:
    """Command of one process."""

    name: str
    command: list[str]
    data_folder: Path | None = None


@dataclass(slots=True)
class Instance:
    """Addresses of one entry instance."""

    name: str
    failure_domain: str
    caller_port: int
    peer_port: int
    is_voter: bool

    @property
    def url(self) -> str:
        """Base URL for callers, upstreams and operators."""
        return f"http://{HOST}:{self.caller_port}"


@dataclass(slots=True)
class EmulatedUpstream:
    """Addresses of one emulated upstream; `control_port` serves also when calls are refused."""

    name: str
    failure_domain: str
    port: int
    control_port: int
    link_port: int
    is_engine: bool

    @property
    def url(self) -> str:
        """Base URL without a link in between, with the control endpoint of an engine."""
        return f"http://{HOST}:{self.port if self.is_engine else self.control_port}"
