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
        IP address.
    caller_port : int
        Port for callers on an entry node, or for operators and upstreams on a core.
    peer_port : int
        Port on which this node accepts connections of other nodes.
    target_port : int
        Port for connections to other nodes, the same for all of them; 0 for `peer_port`. It
        differs if there is a proxy in front of each node.
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
        IP address.
    peer_port : int
        Port for connections of other nodes.
    """

    instance_id: str
    host: str
    peer_port: int


@dataclass(frozen=True, slots=True)
class NodeTiming:
    """Intervals and time limits for communication between nodes, all in seconds.

    Parameters
    ----------
    heartbeat_s : float, > 0
        Interval of the heartbeats of the log leader.
    election_min_s, election_max_s : float, > 0
        Bounds of the randomised election timeout; at least three heartbeats.
    connect_timeout_s : float, > 0
        Time limit for a connection attempt; the first attempt after a partition may still hang.
    link_ping_s : float, > 0
        Interval of pings on a link, and time limit for each answer.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.4
    election_max_s: float = 0.8
    connect_timeout_s: float = 0.5
    link_ping_s: float = 1.0


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node; a node is named by its IP address.

    Parameters
    ----------
    instance_id : str
        IP address of this node.
    failure_domain : str
        Failure domain in which this node runs.
    listen : NodeListen
        Addresses on which the node listens.
    cores : tuple of str
        Cores known at start.
    data_folder : Path, optional
        Folder for the durable state of a core.
    may_bootstrap : bool
        Whether this is the first start of the whole system, with empty disks.
    readiness : tuple of (str, int), optional
        Host and port of the readiness endpoint of an entry node.
    tolerated_losses : int, >= 1
        Number of disks that may be lost at the same time.
    shutdown_timeout_s : float, > 0
        Time from the stop command until the process is killed.
    timing : NodeTiming
        Intervals and time limits.
    dispatch : DispatchSettings
        Dispatch limits for all instances together.
    forward : ForwardingSettings
        Time limits of requests.
    upstream_connections : ConnectionPoolSettings
        Limits of persistent connections to upstreams.
    seed : int
        Seed of the random number generator.
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
        """Cores that are known at start, with their addresses."""
        return [make_peer(core, self.listen) for core in self.cores]

    def voters(self) -> list[NodePeer]:
        """Initial voters of the replicated log at the first start."""
        return self.peers


def make_peer(instance_id: str, listen: NodeListen) -> NodePeer:
    """Return the address of a node; ports are the same on all nodes."""
    return NodePeer(instance_id, instance_id, listen.target_port or listen.peer_port)
