"""Description of a deployment: its size, options, processes and addresses."""

from dataclasses import dataclass, field
from pathlib import Path

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Size and options of a deployment.

    Parameters
    ----------
    failure_domains : tuple of str
        Names of the failure domains.
    instances : int
        Entry instances per failure domain; 0 runs only the emulators.
    voters : int
        Number of instances with a disk and a replica of the log, spread over failure domains.
    engines, application_engines : int
        Number of model engines and application engines per failure domain.
    models, services : tuple of str
        Names of the models and services that the upstreams serve.
    has_balancer : bool
        Whether a load balancer runs in front of the instances.
    has_links : bool
        Whether traffic between instances and to upstreams passes through links of the relay
        emulator, which can be cut. This adds one relay process to the path of every byte.
    engine_options, application_options : tuple of str
        Additional command-line options of the emulators.
    timing : dict of str to float
        Fields of the ``timing`` settings of the instances.
    placement_policy : str
        Placement policy in the settings of the instances.
    seed : int
        Random seed of every process.
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
    """Name, command and data folder of one process."""

    name: str
    command: list[str]
    data_folder: Path | None = None


@dataclass(slots=True)
class Instance:
    """Name and ports of one entry instance."""

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
    """Name and ports of one upstream emulator.

    The emulator serves `control_port` even while it refuses calls on `port`.
    """

    name: str
    failure_domain: str
    port: int
    control_port: int
    link_port: int
    is_engine: bool

    @property
    def url(self) -> str:
        """Base URL of the control endpoints, which bypasses relay links."""
        return f"http://{HOST}:{self.port if self.is_engine else self.control_port}"
