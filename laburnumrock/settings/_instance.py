"""Settings models of one instance."""

from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, field_validator, model_validator

from laburnumrock.placement import POLICIES

MAX_PORT = 65_535


class StrictModel(BaseModel):
    """Model that refuses unknown fields and cannot be changed after validation."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class ListenSettings(StrictModel):
    """Addresses on which an instance listens.

    Parameters
    ----------
    host : str
        IP number.
    caller_port : int
        Port for callers, upstreams and operators (HTTP).
    peer_port : int
        Port for other instances (websocket).
    """

    host: str
    caller_port: int = Field(gt=0, le=MAX_PORT)
    peer_port: int = Field(gt=0, le=MAX_PORT)


class PeerSettings(StrictModel):
    """Address of one instance of the system.

    Parameters
    ----------
    instance_id : str
        Unique name.
    failure_domain : str
        Failure domain in which the instance runs.
    host : str
        IP number.
    caller_port, peer_port : int
        Ports as in `ListenSettings`.
    voter : bool
        Whether the instance holds a copy of the replicated log at first start.
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
        IP number.
    port : int
        UDP port.
    prefix : str
        Prefix of every metric name.
    """

    host: str
    port: int = Field(default=8125, gt=0, le=MAX_PORT)
    prefix: str = "laburnumrock"


class TimingSettings(StrictModel):
    """Intervals and time limits of an instance, all in seconds.

    Parameters
    ----------
    announcement_expiry_s : float, > 0
        An upstream is forgotten this long after its last announcement.
    permit_ttl_s : float, > 0
        A permit that is not renewed ends after this time.
    lease_s : float, > 0
        Duration of a coordinator lease.
    stale_after_s : float, > 0
        Declarations that were not confirmed for this long count as stale.
    start_grace_s : float, > 0
        Longest wait for a confirmed read of the declarations at start.
    probe_period_s : float, > 0
        Time between two membership probes.
    probe_timeout_s : float, > 0
        Longest wait for the answer to a probe.
    suspicion_s : float, > 0
        Time from suspicion to death of a silent member.
    heartbeat_s : float, > 0
        Time between two heartbeats of the log leader.
    election_min_s, election_max_s : float, > 0
        Bounds of the randomised election timeout.
    balancer_grace_s : float, >= 0
        Time from readiness off until new connections are no longer accepted.
    drain_timeout_s : float, > 0
        Longest wait for running requests in a planned stop.
    connect_timeout_s : float, > 0
        Longest wait for a connection to an upstream or a peer.
    link_ping_s : float, > 0
        Time between two pings on a link between instances, and longest wait for the answer.
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
    """Limits and knowledge of the controller of engine orders.

    Parameters
    ----------
    max_loads : int, > 0
        Loads that may read from the weight store at once.
    loads_per_s : float, > 0
        Mean rate of loads from the weight store.
    load_burst : float, >= 1
        Loads that may start at once after a pause.
    fencing_upstreams : list of str
        Engines that are known to refuse an order with an old fencing number. A new controller
        waits before it orders any other engine.
    key_file : Path, optional
        File with the key that engines ask of whoever gives them orders; never logged.
    """

    max_loads: int = Field(default=2, gt=0)
    loads_per_s: float = Field(default=0.5, gt=0)
    load_burst: float = Field(default=2.0, ge=1)
    fencing_upstreams: list[str] = []
    key_file: Path | None = None


class InstanceSettings(StrictModel):
    """Settings of one instance.

    Parameters
    ----------
    instance_id : str
        Unique name of this instance; it must appear in `peers`.
    failure_domain, region : str
        Where this instance runs.
    listen : ListenSettings
        Addresses to listen on.
    data_folder : Path, optional
        Folder for durable state; required for a voter.
    shared_key_file, operator_key_file : Path
        Files with the keys that peers and operators prove; never logged.
    peers : list of PeerSettings
        Instances of the system at first start, this one included.
    timing : TimingSettings
        Intervals and time limits.
    seed : int
        Seed of the instance's random numbers.
    statsd : StatsdSettings, optional
        Address of the statsd server.
    log_file : Path, optional
        File for eliot log lines; standard error when absent.
    max_body_bytes : int, > 0
        Largest accepted HTTP body.
    orders : OrderSettings
        Limits of the controller of engine orders; the same on all voters.
    placement_policy : str
        Registered name of the placement policy of the pools that this instance owns.
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
        """Return the entry of an instance.

        Parameters
        ----------
        instance_id : str
            Name of the instance.

        Returns
        -------
        PeerSettings
            Its addresses.

        Raises
        ------
        KeyError
            If no peer has this name.
        """
        for peer in self.peers:
            if peer.instance_id == instance_id:
                return peer
        raise KeyError(instance_id)

    def list_domain_peers(self, failure_domain: str) -> list[PeerSettings]:
        """Return the instances of one failure domain in the order of the settings."""
        return [peer for peer in self.peers if peer.failure_domain == failure_domain]

    def voters(self) -> list[PeerSettings]:
        """Return the instances that hold the replicated log at first start."""
        return [peer for peer in self.peers if peer.voter]
