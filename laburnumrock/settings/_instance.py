"""Models of the settings of an instance."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from laburnumrock.placement import POLICIES

MAX_PORT = 65_535


class StrictModel(BaseModel):
    """Immutable model that rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(StrictModel):
    """Addresses on which an instance listens.

    Parameters
    ----------
    host : str
        IP address.
    caller_port : int
        HTTP port for callers, upstreams and operators.
    peer_port : int
        WebSocket port for other instances.
    """

    host: str
    caller_port: int = Field(gt=0, le=MAX_PORT)
    peer_port: int = Field(gt=0, le=MAX_PORT)


class PeerSettings(StrictModel):
    """Identity and address of one instance of the system.

    Parameters
    ----------
    instance_id : str
        Unique id of the instance.
    failure_domain : str
        Failure domain in which the instance runs.
    host : str
        IP address.
    caller_port, peer_port : int
        Ports as in `ListenSettings`.
    voter : bool
        Whether the instance is a voter of the replicated log when the system first starts.
    """

    instance_id: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    host: str
    caller_port: int = Field(gt=0, le=MAX_PORT)
    peer_port: int = Field(gt=0, le=MAX_PORT)
    voter: bool = False


class StatsdSettings(StrictModel):
    """Address of the statsd server.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        UDP port.
    prefix : str
        Prefix of all metric names.
    """

    host: str
    port: int = Field(default=8125, gt=0, le=MAX_PORT)
    prefix: str = "laburnumrock"


class TimingSettings(StrictModel):
    """Intervals and timeouts of an instance in seconds.

    Parameters
    ----------
    announcement_expiry_s : float, > 0
        Time after its last announcement at which an upstream is removed.
    permit_ttl_s : float, > 0
        Time after which a permit expires unless it is renewed.
    lease_s : float, > 0
        Duration of a coordinator lease.
    stale_after_s : float, > 0
        Time without confirmation after which declarations are considered stale.
    start_grace_s : float, > 0
        Maximum wait for a confirmed read of the declarations at startup.
    probe_period_s : float, > 0
        Interval between membership probes.
    probe_timeout_s : float, > 0
        Timeout for the response to a probe.
    suspicion_s : float, > 0
        Time after which a suspected member that does not respond is declared dead.
    heartbeat_s : float, > 0
        Interval between heartbeats of the log leader.
    election_min_s, election_max_s : float, > 0
        Bounds of the randomized election timeout.
    balancer_grace_s : float, >= 0
        Time between reporting not ready and closing the port for new connections, in which the load
        balancer can react.
    drain_timeout_s : float, > 0
        Maximum wait for running requests during a graceful shutdown.
    connect_timeout_s : float, > 0
        Timeout for connections to upstreams and peers.
    link_ping_s : float, > 0
        Interval between pings on a connection to another instance, and timeout for the response.
    """

    announcement_expiry_s: float = Field(default=2.0, gt=0)
    permit_ttl_s: float = Field(default=2.0, gt=0)
    lease_s: float = Field(default=2.0, gt=0)
    stale_after_s: float = Field(default=3.0, gt=0)
    start_grace_s: float = Field(default=5.0, gt=0)
    probe_period_s: float = Field(default=1.0, gt=0)
    probe_timeout_s: float = Field(default=0.4, gt=0)
    suspicion_s: float = Field(default=2.0, gt=0)
    heartbeat_s: float = Field(default=0.1, gt=0)
    election_min_s: float = Field(default=0.5, gt=0)
    election_max_s: float = Field(default=1.0, gt=0)
    balancer_grace_s: float = Field(default=1.0, ge=0)
    drain_timeout_s: float = Field(default=120.0, gt=0)
    connect_timeout_s: float = Field(default=1.0, gt=0)
    link_ping_s: float = Field(default=20.0, gt=0)

    @model_validator(mode="after")
    def _check_order(self) -> "TimingSettings":
        if self.election_max_s <= self.election_min_s:
            raise ValueError("election_max_s must be greater than election_min_s")
        if self.heartbeat_s * 3 > self.election_min_s:
            raise ValueError("election_min_s must be at least three times heartbeat_s")
        return self


class OrderSettings(StrictModel):
    """Settings of the controller that sends orders to engines.

    Parameters
    ----------
    max_loads : int, > 0
        Maximum number of concurrent loads from the weight store.
    loads_per_s : float, > 0
        Maximum mean rate of loads from the weight store.
    load_burst : float, >= 1
        Number of loads that may start at once after an idle period.
    fencing_upstreams : list of str
        Engines known to reject orders with an outdated fencing number. A new controller waits
        before it sends orders to any other engine.
    key_file : Path, optional
        File with the key that engines require for orders; the key is never logged.
    """

    max_loads: int = Field(default=2, gt=0)
    loads_per_s: float = Field(default=0.5, gt=0)
    load_burst: float = Field(default=2.0, ge=1)
    fencing_upstreams: list[str] = []
    key_file: Path | None = None


class InstanceSettings(StrictModel):
    """Settings of an instance.

    Parameters
    ----------
    instance_id : str
        Unique id of this instance; it must appear in `peers`.
    failure_domain, region : str
        Location in which this instance runs.
    listen : ListenSettings
        Addresses to listen on.
    data_folder : Path, optional
        Directory for persistent state; required for voters.
    shared_key_file, operator_key_file : Path
        Files with the keys by which peers and operators authenticate; the keys are never logged.
    peers : list of PeerSettings
        Instances of the system when it first starts, including this one.
    timing : TimingSettings
        Intervals and timeouts.
    seed : int
        Seed of the random number generator.
    statsd : StatsdSettings, optional
        Address of the statsd server; no metrics are sent when absent.
    log_file : Path, optional
        Log file; logs go to standard error when absent.
    max_body_bytes : int, > 0
        Maximum size of an HTTP request body.
    orders : OrderSettings
        Settings of the controller of engine orders; must be the same on all voters.
    placement_policy : str
        Registered name of the placement policy for pools owned by this instance.
    """

    instance_id: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    region: str = "default"
    listen: ListenSettings
    data_folder: Path | None = None
    shared_key_file: Path
    operator_key_file: Path
    peers: list[PeerSettings]
    timing: TimingSettings = TimingSettings()
    seed: int = 0
    statsd: StatsdSettings | None = None
    log_file: Path | None = None
    max_body_bytes: int = Field(default=16 * 1024 * 1024, gt=0)
    orders: OrderSettings = OrderSettings()
    placement_policy: str = "length_aware"

    @field_validator("placement_policy")
    @classmethod
    def _check_policy(cls, name: str) -> str:
        if name not in POLICIES:
            raise ValueError(f"placement_policy must be one of {', '.join(sorted(POLICIES))}")
        return name

    @model_validator(mode="after")
    def _check_peers(self) -> "InstanceSettings":
        names = [peer.instance_id for peer in self.peers]
        if len(set(names)) != len(names):
            raise ValueError("peers must have unique instance_id values")
        if self.instance_id not in names:
            raise ValueError(f"peers must contain this instance ({self.instance_id})")
        if self.own_peer.failure_domain != self.failure_domain:
            raise ValueError("failure_domain differs from the entry of this instance in peers")
        if self.own_peer.voter and self.data_folder is None:
            raise ValueError("data_folder is required for a voter")
        return self

    @property
    def own_peer(self) -> PeerSettings:
        """Entry of this instance in `peers`."""
        return self.find_peer(self.instance_id)

    def find_peer(self, instance_id: str) -> PeerSettings:
        """Return the entry of an instance in `peers`.

        Parameters
        ----------
        instance_id : str
            Id of the instance.

        Returns
        -------
        PeerSettings
            Entry of the instance.

        Raises
        ------
        KeyError
            If no peer has this id.
        """
        for peer in self.peers:
            if peer.instance_id == instance_id:
                return peer
        raise KeyError(instance_id)

    def list_domain_peers(self, failure_domain: str) -> list[PeerSettings]:
        """Return the instances of a failure domain, in the order of `peers`."""
        return [peer for peer in self.peers if peer.failure_domain == failure_domain]

    def voters(self) -> list[PeerSettings]:
        """Return the voters of the replicated log when the system first starts."""
        return [peer for peer in self.peers if peer.voter]
