"""Settings of a node."""

from dataclasses import dataclass, field
from pathlib import Path

from laburnumrock.dispatch import DispatchSettings
from laburnumrock.forwarding import ChannelSettings, ForwardSettings
from laburnumrock.settings import ListenSettings, PeerSettings, TimingSettings


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one node; the name of a node is its IP number.

    Parameters
    ----------
    instance_id : str
        IP number of this node.
    failure_domain : str
        Where this node runs.
    listen : ListenSettings
        Addresses; `caller_port` serves callers on an entry and operators on a core.
    cores : tuple of str
        Cores that this node knows at start.
    data_folder : Path, optional
        Durable state of a core.
    first_start : bool
        Whether the whole system starts for the first time, with empty disks.
    readiness : tuple of (str, int), optional
        Host and port where an entry tells whether it takes connections.
    stop_s : float, > 0
        Time between the order to stop and the end of the process by force.
    timing : TimingSettings
        Intervals and time limits.
    dispatch : DispatchSettings
        Bounds over all instances.
    forward : ForwardSettings
        Time limits of requests.
    channels : ChannelSettings
        Limits of kept connections.
    seed : int
        Seed of the random numbers.
    """

    instance_id: str
    failure_domain: str
    listen: ListenSettings
    cores: tuple[str, ...]
    data_folder: Path | None = None
    first_start: bool = False
    readiness: tuple[str, int] | None = None
    stop_s: float = 8.0
    timing: TimingSettings = field(default_factory=TimingSettings)
    dispatch: DispatchSettings = field(default_factory=DispatchSettings)
    forward: ForwardSettings = field(default_factory=ForwardSettings)
    channels: ChannelSettings = field(default_factory=ChannelSettings)
    seed: int = 0

    @property
    def peers(self) -> list[PeerSettings]:
        """Cores that are known at start."""
        return [make_peer(core, self.listen) for core in self.cores]

    def voters(self) -> list[PeerSettings]:
        """Cores that form the replicated log at the first start."""
        return self.peers


def make_peer(instance_id: str, listen: ListenSettings) -> PeerSettings:
    """Return the address of a node; ports are the same on all nodes.

    Parameters
    ----------
    instance_id : str
        IP number of the node.
    listen : ListenSettings
        Gives the ports.
    """
    return PeerSettings(
        instance_id=instance_id,
        failure_domain="unknown",
        host=instance_id,
        caller_port=listen.caller_port,
        peer_port=listen.peer_port,
        voter=True,
    )
