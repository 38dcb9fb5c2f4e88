"""Settings of a node."""

from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from result import Result

from laburnumrock.dispatch import DispatchSettings
from laburnumrock.errors import Failure
from laburnumrock.forwarding import ConnectionPoolSettings, ForwardingSettings
from laburnumrock.routing import RouteSet

RouteDecoder = Callable[[bytes], Result[RouteSet, Failure]]


@dataclass(frozen=True, slots=True)
class NodeListen:
    """Addresses on which a node listens.

    Parameters
    ----------
    host : str
        IP number.
    caller_port : int
        Port for callers on an entry, for operators and upstreams on a core.
    peer_port : int
        Port for other nodes on this one.
    target_port : int
        Port at which other nodes are called, the same for all of them; 0 for `peer_port`. It
        differs when a forwarder stands before each node.
    """

    host: str
    caller_port: int
    peer_port: int
    target_port: int = 0


@dataclass(frozen=True, slots=True)
class NodePeer:
    """Address of another node.

    Parameters
    ----------
    instance_id, host : str
        IP number.
    peer_port : int
        Port for other nodes.
    """

    instance_id: str
    host: str
    peer_port: int


@dataclass(frozen=True, slots=True)
class NodeTiming:
    """Intervals and time limits between nodes, all in seconds.

    Parameters
    ----------
    heartbeat_s : float, > 0
        Time between two heartbeats of the log leader.
    election_min_s, election_max_s : float, > 0
        Bounds of the randomised election timeout; at least three heartbeats.
    connect_timeout_s : float, > 0
        Longest wait for a connection; after a cut the first attempt may still hang.
    link_ping_s : float, > 0
        Time between two pings on a link, and longest wait for the answer.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.4
    election_max_s: float = 0.8
    connect_timeout_s: float = 0.5
    link_ping_s: float = 1.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node; the name of a node is its IP number.

    Parameters
    ----------
    instance_id : str
        IP number of this node.
    failure_domain : str
        Where this node runs.
    listen : NodeListen
        Addresses; `caller_port` serves callers on an entry and operators on a core.
    cores : tuple of str
        Cores that this node knows at start.
    data_folder : Path, optional
        Durable state of a core.
    may_bootstrap : bool
        Whether the whole system starts for the first time, with empty disks.
    readiness : tuple of (str, int), optional
        Host and port where an entry tells whether it takes connections.
    tolerated_losses : int, >= 1
        Disks that may be lost at once.
    shutdown_timeout_s : float, > 0
        Time between the order to stop and the end of the process by force.
    timing : NodeTiming
        Intervals and time limits.
    dispatch : DispatchSettings
        Bounds over all instances.
    forward : ForwardingSettings
        Time limits of requests.
    channels : ConnectionPoolSettings
        Limits of kept connections.
    seed : int
        Seed of the random numbers.
    """

    instance_id: str
    failure_domain: str
    listen: NodeListen
    cores: tuple[str, ...]
    data_folder: Path | None = None
    may_bootstrap: bool = False
    readiness: tuple[str, int] | None = None
    tolerated_losses: int = 1
    shutdown_timeout_s: float = 8.0
    timing: NodeTiming = field(default_factory=NodeTiming)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    forward: ForwardingSettings = field(default_factory=ForwardingSettings)
    upstream_connections: ConnectionPoolSettings = field(default_factory=ConnectionPoolSettings)
    seed: int = 0

    @property
    def peers(self) -> list[NodePeer]:
        """Cores that are known at start."""
        return [make_peer(core, self.listen) for core in self.cores]

    def voters(self) -> list[NodePeer]:
        """Cores that form the replicated log at the first start."""
        return self.peers


def make_peer(instance_id: str, listen: NodeListen) -> NodePeer:
    """Return the address of a node; ports are the same on all nodes."""
    return NodePeer(instance_id, instance_id, listen.target_port or listen.peer_port)
