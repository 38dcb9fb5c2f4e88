"""Declared routes, services and client accounts."""

from dataclasses import dataclass, field
from enum import StrEnum


class RequestKind(StrEnum):
    """Kind of a request, which determines whether it may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that go to a service.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float, >= 0
        Weight relative to the other services of the route.
    """

    service: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """Route for the requests of one host and path prefix.

    Parameters
    ----------
    name : str
        Name of the route.
    host : str
        Host of the request, in lower case.
    path_prefix : str
        Begins and ends with a slash.
    kind : RequestKind
        Kind of the requests.
    shares : tuple of ServiceShare
        Services that receive the requests.
    timeout_s : float, > 0
        Time limit for the complete answer.
    goal_s : float, > 0
        Latency target for the answer, or for the first event of a stream.
    gap_goal_s : float
        Latency target for the time between the events of a stream; 0 if none is declared.
    max_attempts : int, >= 1
        Maximum number of upstreams that one request may be sent to.
    priority : int
        Priority; 0 is the highest.
    anonymous : bool
        Whether requests are accepted without a key.
    resumable : bool
        Whether a stream may be resumed on another upstream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    goal_s: float
    gap_goal_s: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False

    @property
    def may_retry(self) -> bool:
        """Whether requests of the route may be run more than once."""
        if self.kind is RequestKind.STREAMING:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class EngineParameters:
    """Published cost parameters of the model engines of a service.

    Parameters
    ----------
    slots : int
        Requests that an engine runs concurrently.
    kv_capacity_tokens : int
        Capacity of the KV cache.
    stride : int
        Token steps in a pass with decoding requests; one event of a stream holds as many tokens.
    step_ms, per_sequence_ms, context_ms_per_1k : float
        Cost of one token step: fixed, for each decoding request, and for 1,000 tokens of context.
    prefill_tokens_per_s : float
        Prefill throughput.
    attention_ms_per_million_pairs : float
        Attention cost of a million pairs of a token and an earlier one.
    chunk_tokens : int
        Maximum number of prompt tokens that one step prefills.
    hop_ms : float
        Cost for each step of a request whose KV cache is spread over several engines.
    mean_prompt_tokens, mean_output_tokens : float
        Mean sizes of requests.
    """

    slots: int = 8
    kv_capacity_tokens: int = 450_000
    stride: int = 46
    step_ms: float = 0.925
    per_sequence_ms: float = 0.01
    context_ms_per_1k: float = 0.0025
    prefill_tokens_per_s: float = 256_000.0
    attention_ms_per_million_pairs: float = 0.0917
    chunk_tokens: int = 2048
    hop_ms: float = 0.1
    mean_prompt_tokens: float = 13_000.0
    mean_output_tokens: float = 1_500.0


@dataclass(frozen=True, slots=True)
class Service:
    """Service that a group of upstreams provides.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Maximum number of connections that one upstream accepts from all instances together.
    cold_requests_per_s : float
        Request rate that a cold upstream can handle; 0 for no limit.
    engine : EngineParameters, optional
        Cost parameters; only set for model engines.
    """

    name: str
    max_connections: int = 0
    cold_requests_per_s: float = 0.0
    engine: EngineParameters | None = None


@dataclass(frozen=True, slots=True)
class AccountEntry:
    """Client account.

    Parameters
    ----------
    name : str
        Name of the account.
    keys : tuple of str
        Keys of its callers.
    priority : int, optional
        Takes precedence over the priority of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RouteLimits:
    """Limits on requests and connections of callers.

    Parameters
    ----------
    max_header_bytes, max_body_bytes : int
        Maximum sizes of the header and body of a request.
    header_timeout_s : float
        Time in which a caller sends the header of a request.
    idle_timeout_s : float
        Time after which an idle connection is closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RouteSet:
    """One version of the routes, services, client accounts and limits that operators declare.

    Parameters
    ----------
    version : int
        The highest version is in force.
    routes, services, accounts : tuple
        Declared entries; `accounts` is None if requests need no key.
    limits : RouteLimits
        Limits on requests and connections of callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    accounts: tuple[AccountEntry, ...] | None = None
    limits: RouteLimits = field(default_factory=RouteLimits)
